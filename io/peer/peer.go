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
	probeTime    = 500 * time.Millisecond
	indirectTime = time.Second
	helpers      = 3 // nodes that probe on another's behalf
	pushFan      = 3 // nodes that a new fact is pushed to at once
	smallFan     = 9 // up to as many nodes, a new fact is pushed to all
	idleConn     = 10 * time.Second
	lostPeriod   = 10 // periods between tries to meet a dead node again
)

// Peer is one node's end of the protocol.
type Peer struct {
	swim   *member.Swim
	clock  *event.Clock
	tls    *tls.Config
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	fates  func(token string) (once.TokenState, *once.Response)
	bodies func(digest string) []byte
	push   chan struct{}
	cut    func(address string) bool

	bytesIn, bytesOut atomic.Int64
}

// Option sets a part of a Peer.
type Option func(*Peer)

// WithFates sets what answers for this node's tokens.
func WithFates(f func(token string) (once.TokenState, *once.Response)) Option {
	return func(p *Peer) { p.fates = f }
}

// WithBodies sets what gives the document of a digest, or nil.
func WithBodies(f func(digest string) []byte) Option { return func(p *Peer) { p.bodies = f } }

// WithCut sets what says that a peer can't be reached, for tests of partitions.
func WithCut(f func(address string) bool) Option { return func(p *Peer) { p.cut = f } }

// New returns a node's end of the protocol, with a TLS configuration of TLSConfig.
func New(swim *member.Swim, clock *event.Clock, config *tls.Config, opts ...Option) *Peer {
	p := &Peer{
		swim:   swim,
		clock:  clock,
		tls:    config,
		pool:   drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleConn, KeyCapacity: 4, Capacity: 512}),
		fates:  func(string) (once.TokenState, *once.Response) { return once.Unknown, nil },
		bodies: func(string) []byte { return nil },
		push:   make(chan struct{}, 1),
		cut:    func(string) bool { return false },
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
	case p.push <- struct{}{}:
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
		err := drpcserver.New(mux).Serve(ctx, tls.NewListener(&countedListener{l, p}, p.tls))
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
				if period%lostPeriod == 0 {
					p.meetLost(ctx)
				}
			case <-p.push:
				p.pushNews(ctx)
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
	if !p.reachedByOthers(ctx, n) {
		p.swim.ProbeFailed(n)
	}
}

func (p *Peer) meetLost(ctx context.Context) {
	if n, ok := p.swim.DeadNode(); ok {
		// Nothing depends on its answer; a node that is back tells its new incarnation.
		_ = p.exchange(ctx, n.Address)
	}
}

func (p *Peer) reachedByOthers(ctx context.Context, n member.Node) bool {
	ctx, cancel := context.WithTimeout(ctx, indirectTime)
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

// pushNews tells a few nodes at once; each that finds it new does the same.
func (p *Peer) pushNews(ctx context.Context) {
	fan := pushFan
	if len(p.swim.Alive()) <= smallFan {
		fan = smallFan
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
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	return p.call(ctx, address, func(ctx context.Context, c wire.DRPCPeerClient) error {
		differs, err := p.trade(ctx, c, p.swim.Packet(uint64(p.clock.Next())))
		if err != nil || !differs {
			return err
		}
		_, err = p.trade(ctx, c, p.swim.WholePacket(uint64(p.clock.Next())))
		return err
	})
}

func (p *Peer) trade(ctx context.Context, c wire.DRPCPeerClient, out member.Packet) (bool, error) {
	in, err := c.Exchange(ctx, toWire(out))
	if err != nil {
		return false, err
	}
	return p.take(in), nil
}

func (p *Peer) take(in *wire.Packet) bool {
	p.clock.Observe(event.Stamp(in.GetStamp()))
	news, differs := p.swim.Receive(fromWire(in))
	if news {
		p.Push()
	}
	return differs
}

func (p *Peer) call(ctx context.Context, address string, f func(context.Context, wire.DRPCPeerClient) error) error {
	if p.cut(address) {
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
	conn := tls.Client(&countedConn{raw, p}, p.tls)
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
			return p.fateAt(ctx, n.Address, token)
		}
	}
	return once.Unknown, nil, fmt.Errorf("peer: node %s is not alive", node)
}

func (p *Peer) fateAt(ctx context.Context, address, token string) (fate once.TokenState, response *once.Response, err error) {
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
