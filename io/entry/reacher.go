package entry

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/reach"
	"rhubarbspread/io/hop"
	"rhubarbspread/io/tunnel"
)

// Times and limits of connecting to upstreams through other nodes.
const (
	relayTimeout   = 700 * time.Millisecond // for all relays together; the same as for a direct connection
	relaysPerDial  = 3                      // tried for one connection
	maxTurns       = 8                      // connections tried through relays at once while the node is not cut off
	suspectsQueued = 4                      // reports of broken exchanges that wait
)

// reacher connects to upstreams: by the node itself, or through other nodes while that fails.
type reacher struct {
	direct     hop.DialFunc
	dataCentre string
	relays     func() []reach.Relay     // nodes that may be asked
	upstreams  func() []*fleet.Upstream // those that are listed
	count      func(metric string)
	changed    func(reach.Change) // called by the goroutine of run
	tracker    *reach.Tracker
	lastRelay  atomic.Pointer[relayUse]
	suspects   chan hop.Target // whose exchanges broke off
	wake       chan struct{}   // receives a value when a relay reached what the node itself did not
	turns      chan struct{}   // holds a value for each connection in dialRelayedInTurn
}

// relayUse is the latest connection through a relay.
type relayUse struct {
	relay string // name of the node
	at    time.Time
}

func newReacher(direct hop.DialFunc, tracker *reach.Tracker) *reacher {
	return &reacher{direct: direct, tracker: tracker, suspects: make(chan hop.Target, suspectsQueued),
		wake: make(chan struct{}, 1), turns: make(chan struct{}, maxTurns)}
}

// dial connects to an upstream. Nothing is sent before it returns, so ways that are tried at once do no harm.
func (r *reacher) dial(ctx context.Context, t hop.Target) (net.Conn, error) {
	if r.tracker.IsCut() {
		return race(ctx, t, r.dialRelayed, r.dialDirect)
	}
	return r.dialEither(ctx, t)
}

// dialEither connects by the node itself and, if that fails or is pending for too long, through a relay as well.
func (r *reacher) dialEither(ctx context.Context, t hop.Target) (net.Conn, error) {
	return race(ctx, t, r.dialDirect, r.dialRelayedInTurn)
}

// dialRelayedInTurn connects through a relay when few other connections are tried in this way, so that a node which is slow
// because it has too much work does not get more.
func (r *reacher) dialRelayedInTurn(ctx context.Context, t hop.Target) (net.Conn, error) {
	select {
	case r.turns <- struct{}{}:
		defer func() { <-r.turns }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c, err := r.dialRelayed(ctx, t)
	if err == nil {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	return c, err
}

// dialDirect connects by the node itself and records the outcome.
func (r *reacher) dialDirect(ctx context.Context, t hop.Target) (net.Conn, error) {
	c, err := r.direct(ctx, t)
	switch {
	case err == nil:
		r.tracker.DirectConnected(t.ID)
	case !errors.Is(ctx.Err(), context.Canceled):
		r.tracker.DirectFailed(t.ID)
	}
	return c, err
}

var errNoRelay = errors.New("no other node is known")

// relayResult is the outcome of one relay.
type relayResult struct {
	relay reach.Relay
	conn  *net.TCPConn
	err   error
}

// dialRelayed connects through the first of a few relays that reaches the upstream. The next relay is tried when one has
// failed or is silent.
func (r *reacher) dialRelayed(ctx context.Context, t hop.Target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	waiting := r.tracker.Order(r.relays(), r.dataCentre, relaysPerDial)
	results := make(chan relayResult)
	var pending []reach.Relay
	lastErr := errNoRelay
	next := time.NewTimer(0)
	defer next.Stop()
	for len(waiting) > 0 || len(pending) > 0 {
		select {
		case <-next.C:
			if len(waiting) > 0 {
				go r.connectThrough(ctx, waiting[0], t, results)
				pending, waiting = append(pending, waiting[0]), waiting[1:]
				next.Reset(delay(ctx))
			}
		case result := <-results:
			i := slices.Index(pending, result.relay)
			if result.err == nil {
				for _, slower := range pending[:i] {
					r.tracker.RelayFailed(slower.Name)
				}
				r.recordRelayed(result.relay, t)
				return hop.RelayedConn{TCPConn: result.conn, Relay: result.relay.Name}, nil
			}
			pending = slices.Delete(pending, i, i+1)
			lastErr = result.err
			next.Reset(0)
		case <-ctx.Done():
			return nil, errors.Join(lastErr, ctx.Err())
		}
	}
	return nil, lastErr
}

// recordRelayed records that a relay reached an upstream.
func (r *reacher) recordRelayed(relay reach.Relay, t hop.Target) {
	r.tracker.RelayWorked(relay.Name)
	r.tracker.RelayedOnly(t.ID)
	r.lastRelay.Store(&relayUse{relay.Name, time.Now()})
	r.count("relayed-connections")
}

// connectThrough connects through one relay and reports the outcome, or closes the connection if nobody waits for it.
func (r *reacher) connectThrough(ctx context.Context, relay reach.Relay, t hop.Target, results chan<- relayResult) {
	c, err := tunnel.Connect(ctx, relay.Address, t.Address)
	var e *tunnel.Error
	switch {
	case err == nil || errors.Is(ctx.Err(), context.Canceled):
	case errors.As(err, &e) && e.Reason() == tunnel.UpstreamUnreachable:
		r.tracker.RelayMissed(relay.Name)
	default:
		r.tracker.RelayFailed(relay.Name)
	}
	select {
	case results <- relayResult{relay, c, err}:
	case <-ctx.Done():
		if err == nil {
			_ = c.Close()
		}
	}
}

// suspect notes that an exchange over a direct connection broke off; run then tests the upstream over a new one.
func (r *reacher) suspect(t hop.Target) {
	if r.tracker.IsCut() {
		return
	}
	select {
	case r.suspects <- t:
	default:
	}
}
