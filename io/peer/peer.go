package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"rhubarbspread/core/event"
	"rhubarbspread/core/member"
	"rhubarbspread/core/once"
	"rhubarbspread/core/quota"
	"rhubarbspread/io/peer/wire"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
)

// Parameters of the protocol.
const (
	probeTimeout         = 500 * time.Millisecond
	indirectProbeTimeout = time.Second
	helpers              = 3 // nodes asked for an indirect probe, or for a document
	pushFanOut           = 3 // nodes to which a new fact is pushed
	fullFanOut           = 9 // with up to this many live nodes, a new fact is pushed to all of them
	idleConnTimeout      = 10 * time.Second
	deadProbePeriods     = 10 // probe intervals between probes of a dead node
)

// Peer is one node's client and server of the protocol.
type Peer struct {
	swim         *member.Swim
	clock        *event.Clock
	tls          *tls.Config
	pool         *drpcpool.Pool[string, drpcpool.Conn]
	tokenState   func(token string) (once.TokenState, *once.Response)
	documentBody func(digest string) []byte
	pushRequests chan struct{} // holds at most one request, which covers all facts that are new by then
	partitioned  func(address string) bool
	connLimit    int
	onLimit      func(limit, client string)
	requests     quota.Budget // of the bytes that the server has received

	bytesIn, bytesOut atomic.Int64
}

// Option sets a part of a Peer.
type Option func(*Peer)

// WithTokenStates sets the function that returns the state of a token that this node issued.
func WithTokenStates(f func(token string) (once.TokenState, *once.Response)) Option {
	return func(p *Peer) { p.tokenState = f }
}

// WithDocuments sets the function that returns the document with a digest, or nil.
func WithDocuments(f func(digest string) []byte) Option { return func(p *Peer) { p.documentBody = f } }

// WithPartition sets the function that reports whether calls to an address fail, for tests of network partitions.
func WithPartition(f func(address string) bool) Option { return func(p *Peer) { p.partitioned = f } }

// New returns a node's Peer; config is a result of TLSConfig.
func New(swim *member.Swim, clock *event.Clock, config *tls.Config, opts ...Option) *Peer {
	p := &Peer{
		swim:  swim,
		clock: clock,
		tls:   config,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration: idleConnTimeout, KeyCapacity: 4, Capacity: 512,
		}),
		tokenState:   func(string) (once.TokenState, *once.Response) { return once.Unknown, nil },
		documentBody: func(string) []byte { return nil },
		pushRequests: make(chan struct{}, 1),
		partitioned:  func(string) bool { return false },
		connLimit:    defaultConns,
		onLimit:      func(string, string) {},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Bytes returns the bytes received and sent, including those of TLS.
func (p *Peer) Bytes() (in, out int64) { return p.bytesIn.Load(), p.bytesOut.Load() }

// Push makes Run send new facts to other nodes at once, rather than with the next probes.
func (p *Peer) Push() {
	select {
	case p.pushRequests <- struct{}{}:
	default:
	}
}

// Serve answers other nodes on a listener until the context ends, and then reports on the channel.
func (p *Peer) Serve(ctx context.Context, l net.Listener) <-chan error {
	ended := make(chan error, 1)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, &server{peer: p}); err != nil {
		ended <- err
		return ended
	}
	go func() {
		err := p.boundedServer(mux).Serve(ctx, p.bounded(l))
		if ctx.Err() != nil {
			err = nil
		}
		ended <- err
	}()
	return ended
}

// Run probes one node per probe interval and pushes new facts until the context ends, and then reports on the
// channel.
func (p *Peer) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		defer func() { ended <- p.pool.Close() }()
		tick := time.NewTicker(member.ProbeInterval)
		defer tick.Stop()
		for period := 0; ; {
			select {
			case <-tick.C:
				period++
				p.swim.Tick()
				p.probe(ctx)
				if period%deadProbePeriods == 0 {
					p.probeDead(ctx)
				}
			case <-p.pushRequests:
				p.pushFacts(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return ended
}

// probe probes the next node, directly and, if that fails, through other nodes.
func (p *Peer) probe(ctx context.Context) {
	n, ok := p.swim.NextProbe()
	if !ok || p.exchange(ctx, n.Address) == nil || ctx.Err() != nil {
		return
	}
	if !p.indirectProbe(ctx, n) {
		p.swim.ProbeFailed(n)
	}
}

// probeDead probes a random dead node, so that the sides of a healed partition reconnect.
func (p *Peer) probeDead(ctx context.Context) {
	if n, ok := p.swim.DeadNode(); ok {
		// The result does not matter here: if the node is alive again, the exchange refutes its death by a higher
		// incarnation.
		_ = p.exchange(ctx, n.Address)
	}
}

// indirectProbe reports whether one of several other nodes reaches a node.
func (p *Peer) indirectProbe(ctx context.Context, n member.Node) bool {
	ctx, cancel := context.WithTimeout(ctx, indirectProbeTimeout)
	defer cancel()
	others := p.swim.RandomAlive(helpers, n.Name)
	answers := make(chan bool, len(others))
	for _, o := range others {
		go func() {
			var reached bool
			err := p.call(ctx, o.Address, func(ctx context.Context, c wire.DRPCPeerClient) error {
				r, err := c.Probe(ctx, &wire.ProbeRequest{Address: n.Address, Stamp: uint64(p.clock.Next())})
				reached = r.GetReached()
				return err
			})
			answers <- err == nil && reached
		}()
	}
	for range others {
		if <-answers {
			return true
		}
	}
	return false
}

// pushFacts exchanges gossip with a few nodes at once; each node that learns a new fact pushes it on.
func (p *Peer) pushFacts(ctx context.Context) {
	fanOut := pushFanOut
	if len(p.swim.Alive()) <= fullFanOut {
		fanOut = fullFanOut
	}
	others := p.swim.RandomAlive(fanOut, "")
	done := make(chan error, len(others))
	for _, o := range others {
		go func() { done <- p.exchange(ctx, o.Address) }()
	}
	for range others {
		<-done
	}
}

// exchange exchanges gossip with a node. If their facts have differed for too long, full synchronisation follows.
func (p *Peer) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return p.call(ctx, address, func(ctx context.Context, c wire.DRPCPeerClient) error {
		differs, err := p.sendPacket(ctx, c, p.swim.Packet(uint64(p.clock.Next())))
		if err != nil || !differs {
			return err
		}
		_, err = p.sendPacket(ctx, c, p.swim.WholePacket(uint64(p.clock.Next())))
		return err
	})
}

// sendPacket sends a packet, merges the one that it gets back, and reports whether full synchronisation is needed.
func (p *Peer) sendPacket(ctx context.Context, c wire.DRPCPeerClient, out member.Packet) (bool, error) {
	in, err := c.Exchange(ctx, toWire(out))
	if err != nil {
		return false, err
	}
	return p.receive(in), nil
}

// receive merges a packet and pushes on what was new; it reports whether full synchronisation is needed.
func (p *Peer) receive(in *wire.Packet) bool {
	p.clock.Observe(event.Stamp(in.GetStamp()))
	newFact, differs := p.swim.Receive(fromWire(in))
	if newFact {
		p.Push()
	}
	return differs
}

func (p *Peer) call(ctx context.Context, address string, f func(context.Context, wire.DRPCPeerClient) error) error {
	if p.partitioned(address) {
		return fmt.Errorf("peer: %s is cut off", address)
	}
	conn := p.pool.Get(ctx, address, p.dial)
	defer conn.Close()
	return f(ctx, wire.NewDRPCPeerClient(conn))
}

func (p *Peer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(&countingConn{raw, p}, p.tls)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return drpcconn.New(conn), nil
}

// TokenState asks a node for the state of a token that it issued.
func (p *Peer) TokenState(ctx context.Context, node, token string) (once.TokenState, *once.Response, error) {
	for _, n := range p.swim.Alive() {
		if n.Name == node {
			return p.queryToken(ctx, n.Address, token)
		}
	}
	return once.Unknown, nil, fmt.Errorf("peer: node %s is not alive", node)
}

func (p *Peer) queryToken(
	ctx context.Context, address, token string,
) (state once.TokenState, response *once.Response, err error) {
	err = p.call(ctx, address, func(ctx context.Context, c wire.DRPCPeerClient) error {
		r, err := c.Fate(ctx, &wire.FateRequest{Token: token, Stamp: uint64(p.clock.Next())})
		if err != nil {
			return err
		}
		p.clock.Observe(event.Stamp(r.GetStamp()))
		state = once.TokenState(r.GetFate())
		if len(r.GetResponse()) > 0 {
			response = &once.Response{}
			return json.Unmarshal(r.GetResponse(), response)
		}
		return nil
	})
	return state, response, err
}

// Body asks some live nodes, one after the other, for the document with a digest. The caller has to check the digest.
func (p *Peer) Body(ctx context.Context, digest string) ([]byte, error) {
	for _, n := range p.swim.RandomAlive(helpers, "") {
		var body []byte
		err := p.call(ctx, n.Address, func(ctx context.Context, c wire.DRPCPeerClient) error {
			r, err := c.Body(ctx, &wire.BodyRequest{Digest: digest})
			body = r.GetBody()
			return err
		})
		if err == nil && len(body) > 0 {
			return body, nil
		}
	}
	return nil, fmt.Errorf("peer: no node that was asked sent document %.12s", digest)
}
