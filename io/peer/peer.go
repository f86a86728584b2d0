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
	"rhubarbspread/io/peer/wire"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
)

// Constants of the exchange between nodes.
const (
	probeTimeout         = 500 * time.Millisecond
	indirectProbeTimeout = time.Second
	helpers              = 3 // nodes that probe on another's behalf
	pushFanOut           = 3 // nodes that a new fact is pushed to at once
	fullFanOut           = 9 // up to as many nodes, a new fact is pushed to all
	idleConnTimeout      = 10 * time.Second
	deadProbePeriods     = 10 // periods between tries to meet a dead node again
)

// Peer is one node's end of the protocol.
type Peer struct {
	swim         *member.Swim
	clock        *event.Clock
	tls          *tls.Config
	pool         *drpcpool.Pool[string, drpcpool.Conn]
	tokenState   func(token string) (once.TokenState, *once.Response)
	documentBody func(digest string) []byte
	pushRequests chan struct{}
	partitioned  func(address string) bool

	bytesIn, bytesOut atomic.Int64
}

// Option sets a part of a Peer.
type Option func(*Peer)

// WithTokenStates sets what answers for this node's tokens.
func WithTokenStates(f func(token string) (once.TokenState, *once.Response)) Option {
	return func(p *Peer) { p.tokenState = f }
}

// WithDocuments sets what gives the document of a digest, or nil.
func WithDocuments(f func(digest string) []byte) Option { return func(p *Peer) { p.documentBody = f } }

// WithPartition sets what says that a peer can't be reached, for tests of partitions.
func WithPartition(f func(address string) bool) Option { return func(p *Peer) { p.partitioned = f } }

// New returns a node's end of the protocol, with a TLS configuration of TLSConfig.
func New(swim *member.Swim, clock *event.Clock, config *tls.Config, opts ...Option) *Peer {
	p := &Peer{
		swim:         swim,
		clock:        clock,
		tls:          config,
		pool:         drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleConnTimeout, KeyCapacity: 4, Capacity: 512}),
		tokenState:   func(string) (once.TokenState, *once.Response) { return once.Unknown, nil },
		documentBody: func(string) []byte { return nil },
		pushRequests: make(chan struct{}, 1),
		partitioned:  func(string) bool { return false },
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Bytes returns the bytes that came and went, TLS included.
func (p *Peer) Bytes() (in, out int64) { return p.bytesIn.Load(), p.bytesOut.Load() }

// Push wakes the node to push its news at once.
func (p *Peer) Push() {
	select {
	case p.pushRequests <- struct{}{}:
	default:
	}
}

// Serve answers other nodes on a listener until the context ends.
func (p *Peer) Serve(ctx context.Context, l net.Listener) <-chan error {
	ended := make(chan error, 1)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, &server{peer: p}); err != nil {
		ended <- err
		return ended
	}
	go func() {
		err := drpcserver.New(mux).Serve(ctx, tls.NewListener(&countingListener{l, p}, p.tls))
		if ctx.Err() != nil {
			err = nil
		}
		ended <- err
	}()
	return ended
}

// Run probes one node a period and pushes news until the context ends.
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

// probe meets the next node, directly or through others.
func (p *Peer) probe(ctx context.Context) {
	n, ok := p.swim.NextProbe()
	if !ok || p.exchange(ctx, n.Address) == nil || ctx.Err() != nil {
		return
	}
	if !p.indirectProbe(ctx, n) {
		p.swim.ProbeFailed(n)
	}
}

func (p *Peer) probeDead(ctx context.Context) {
	if n, ok := p.swim.DeadNode(); ok {
		// Nothing depends on its answer; a node that is back tells its new incarnation.
		_ = p.exchange(ctx, n.Address)
	}
}

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

// pushFacts tells a few nodes at once; each that finds it new does the same.
func (p *Peer) pushFacts(ctx context.Context) {
	fan := pushFanOut
	if len(p.swim.Alive()) <= fullFanOut {
		fan = fullFanOut
	}
	others := p.swim.RandomAlive(fan, "")
	done := make(chan error, len(others))
	for _, o := range others {
		go func() { done <- p.exchange(ctx, o.Address) }()
	}
	for range others {
		<-done
	}
}

// exchange trades news with a node, and all facts where these have differed for a while.
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

func (p *Peer) sendPacket(ctx context.Context, c wire.DRPCPeerClient, out member.Packet) (bool, error) {
	in, err := c.Exchange(ctx, toWire(out))
	if err != nil {
		return false, err
	}
	return p.receive(in), nil
}

func (p *Peer) receive(in *wire.Packet) bool {
	p.clock.Observe(event.Stamp(in.GetStamp()))
	news, differs := p.swim.Receive(fromWire(in))
	if news {
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

// TokenState asks a node for the fate of its token.
func (p *Peer) TokenState(ctx context.Context, node, token string) (once.TokenState, *once.Response, error) {
	for _, n := range p.swim.Alive() {
		if n.Name == node {
			return p.queryToken(ctx, n.Address, token)
		}
	}
	return once.Unknown, nil, fmt.Errorf("peer: node %s is not alive", node)
}

func (p *Peer) queryToken(ctx context.Context, address, token string) (fate once.TokenState, response *once.Response, err error) {
	err = p.call(ctx, address, func(ctx context.Context, c wire.DRPCPeerClient) error {
		r, err := c.Fate(ctx, &wire.FateRequest{Token: token, Stamp: uint64(p.clock.Next())})
		if err != nil {
			return err
		}
		p.clock.Observe(event.Stamp(r.GetStamp()))
		fate = once.TokenState(r.GetFate())
		if len(r.GetResponse()) > 0 {
			response = &once.Response{}
			return json.Unmarshal(r.GetResponse(), response)
		}
		return nil
	})
	return fate, response, err
}

// Body asks live nodes, one after the other, for the document of a digest.
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
	return nil, fmt.Errorf("peer: no node has document %.12s", digest)
}
