package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbspread/core/route"

	"github.com/cespare/xxhash/v2"
)

// Constants of admission.
const (
	defaultPatience = 500 * time.Millisecond
	longestWait     = 5 * time.Second  // of a request that was predicted to wait less than its patience
	rateHorizon     = 2 * time.Second  // over which the rate of grants is measured
	resumeWait      = 10 * time.Second // of an answer that a caller has part of
	maxSeats        = 32               // upstreams of one target that a node uses
	meanWeight      = 0.02
	firstMean       = 64.0 // tokens of a request, until some were seen
	idleAccount     = time.Minute
	resumeTeam      = "" // the account of resumed answers, which goes before all teams
)

// Demand is what a request asks of a pool.
type Demand struct {
	Team        string
	Weight      float64
	Tokens      float64       // tokens to generate, or 1 for a call of a plain service
	Prefill     float64       // tokens' worth of time to read the prompt
	Prefix      uint64        // hash of the prompt's first blocks, or zero
	Exclude     []string      // upstreams that the request has failed at
	Resume      bool          // the request was admitted before, and its caller may have part of the answer
	AvoidCentre string        // the data centre where the request lost its last upstream to silence, or empty
	Key         uint64        // hash of the request, for choices that all nodes have to make alike
	Twin        string        // the upstream that runs an identical request, which then has to run there too
	Suspect     bool          // the request may crash its upstream, and should meet no other suspect there
	Pinned      bool          // every node has to run the request at the same upstream, which Key decides
	Shun        []uint64      // keys of pinned requests, whose upstreams a suspect keeps away from
	Patience    time.Duration // longest wait, or zero for the pool's
}

// Pool admits the requests of one model or service on one node.
type Pool struct {
	target   string
	policy   route.Policy
	now      func() time.Time
	patience time.Duration
	subset   int

	mu         sync.Mutex
	random     *rand.Rand
	self       string
	nodes      []string
	seats      []*seat
	queue      *fairQueue
	meanTokens float64
	drained    decaying // tokens of requests that have ended
	active     float64  // weights of the teams that asked lately, at activeAt
	activeAt   time.Time
	forgotAt   time.Time
	trials     trials
	running    int  // requests in flight
	reports    bool // upstreams of this target tell their load
	centres    []centre
	candidates []route.Candidate
	indexes    []int
}

// PoolOption sets a part of a Pool.
type PoolOption func(*Pool)

// WithClock sets the source of time.
func WithClock(now func() time.Time) PoolOption { return func(p *Pool) { p.now = now } }

// WithSeed fixes the random choices.
func WithSeed(seed uint64) PoolOption {
	return func(p *Pool) { p.random = rand.New(rand.NewPCG(seed, xxhash.Sum64String(p.target))) }
}

// WithPatience sets the longest predicted wait that is not refused.
func WithPatience(d time.Duration) PoolOption { return func(p *Pool) { p.patience = d } }

// WithSubset bounds the upstreams that the node uses.
func WithSubset(n int) PoolOption { return func(p *Pool) { p.subset = n } }

// NewPool returns a pool without upstreams for a model or service.
func NewPool(target string, policy route.Policy, opts ...PoolOption) *Pool {
	p := &Pool{
		target:     target,
		policy:     policy,
		now:        time.Now,
		patience:   defaultPatience,
		subset:     maxSeats,
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		nodes:      []string{""},
		queue:      newFairQueue(),
		meanTokens: firstMean,
	}
	for _, o := range opts {
		o(p)
	}
	p.forgotAt = p.now()
	return p
}

// Target returns the model or service of the pool.
func (p *Pool) Target() string { return p.target }

// SetPatience changes the longest predicted wait that is not refused.
func (p *Pool) SetPatience(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.patience = d
}

// Acquire waits for a place at an upstream; its error is an *Error, and means that nothing was sent.
func (p *Pool) Acquire(ctx context.Context, d Demand) (*Grant, error) {
	w, g, err := p.enter(d)
	if g != nil || err != nil {
		return g, err
	}
	patience := p.waitLimit(d)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g, nil
	case <-ctx.Done():
		return p.leave(w, &Error{cause: Abandoned, target: p.target})
	case <-timer.C:
		return p.leave(w, &Error{cause: Expired, target: p.target, wait: patience, retryAfter: time.Second})
	}
}

func (p *Pool) patienceOf(d Demand) time.Duration {
	if d.Patience > 0 {
		return d.Patience
	}
	return p.patience
}

func (p *Pool) waitLimit(d Demand) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.Resume {
		return resumeWait
	}
	return max(longestWait, p.patienceOf(d))
}

// enter grants at once, refuses at once or queues.
func (p *Pool) enter(d Demand) (*waiter, *Grant, error) {
	if d.Weight <= 0 {
		d.Weight = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.meanTokens += meanWeight * (d.Tokens - p.meanTokens)
	p.forgetIdle(now)
	a := p.accountOf(d, now)
	p.ask(a, d.Tokens, now)
	if g := p.tryDirect(a, d, now); g != nil {
		return nil, g, nil
	}
	if !d.Resume && !p.anyFit(now) {
		return nil, nil, &Error{cause: Unavailable, target: p.target, retryAfter: p.untilFit(now)}
	}
	w := &waiter{demand: d, deadline: now.Add(p.patienceOf(d)), granted: make(chan *Grant, 1)}
	wait := max(p.predictWait(a, d, now), p.floodWait(a, now))
	p.queue.push(a, w)
	// Those that wait may all be bound to upstreams that are full, while there is a place for this one.
	p.serveQueue()
	if w.index < 0 {
		a.admit(d.Tokens, now)
		return nil, <-w.granted, nil
	}
	if patience := p.patienceOf(d); wait > patience && !d.Resume {
		p.queue.remove(a, w)
		return nil, nil, &Error{cause: Overloaded, target: p.target, wait: wait, retryAfter: max(wait-patience, time.Second)}
	}
	a.admit(d.Tokens, now)
	return w, nil, nil
}

func (p *Pool) accountOf(d Demand, now time.Time) *account {
	if d.Resume {
		return p.queue.account(resumeTeam, 1, now)
	}
	return p.queue.account(d.Team, d.Weight, now)
}

// tryDirect passes the queue only where nobody waits who could take the place.
func (p *Pool) tryDirect(a *account, d Demand, now time.Time) *Grant {
	if (p.queue.length > 0 && !d.Resume) || !p.mayTake(a) {
		return nil
	}
	s := p.choose(d, now)
	if s == nil {
		return nil
	}
	a.admit(d.Tokens, now)
	p.take(a, d.Tokens, now)
	return p.grant(s, a, d, now)
}

func (p *Pool) anyFit(now time.Time) bool {
	for _, s := range p.seats {
		if s.fit(now) {
			return true
		}
	}
	return false
}

func (p *Pool) untilFit(now time.Time) time.Duration {
	least := time.Second
	for _, s := range p.seats {
		if d := s.ejected.Sub(now); !s.draining && d > 0 && d < least {
			least = d
		}
	}
	return least
}

// predictWait returns how long the tokens ahead of a request keep the node's share of the upstreams busy.
func (p *Pool) predictWait(a *account, d Demand, now time.Time) time.Duration {
	rate := max(p.drained.perSecond(now), p.shareRate(now)/2, 1e-3)
	ahead := p.queue.ahead(a, p.patienceOf(d), now)
	return time.Duration(ahead / rate * float64(time.Second))
}

// shareRate returns the tokens/s of the node's windows if other nodes fill theirs.
func (p *Pool) shareRate(now time.Time) float64 {
	sum := 0.0
	for _, s := range p.seats {
		if s.fit(now) {
			part := min(1, float64(s.window())/float64(s.places(p.meanTokens)))
			sum += part * float64(s.slots()) * s.streamRate()
		}
	}
	return sum
}

func (p *Pool) forgetIdle(now time.Time) {
	if now.Sub(p.forgotAt) < idleAccount {
		return
	}
	p.forgotAt = now
	p.queue.forget(now.Add(-idleAccount))
}

// leave takes a waiter out of the queue, unless a grant overtook it.
func (p *Pool) leave(w *waiter, err *Error) (*Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.index >= 0 {
		a := p.accountOf(w.demand, p.now())
		p.queue.remove(a, w)
		return nil, err
	}
	g := <-w.granted
	if err.cause != Abandoned {
		return g, nil
	}
	p.giveBack(g)
	p.serveQueue()
	return nil, err
}

// serveQueue grants places until nobody waits who fits one.
func (p *Pool) serveQueue() {
	for p.queue.length > 0 {
		now := p.now()
		var found *seat
		a, w := p.queue.next(p.mayTake, func(w *waiter) bool {
			s := p.choose(w.demand, now)
			if s != nil {
				found = s
			}
			return s != nil
		})
		if w == nil {
			return
		}
		p.queue.remove(a, w)
		p.take(a, w.demand.Tokens, now)
		w.granted <- p.grant(found, a, w.demand, now)
	}
}
