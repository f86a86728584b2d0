package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbspread/core/route"

	"github.com/cespare/xxhash/v2"
)

// Parameters of admission.
const (
	defaultPatience   = 500 * time.Millisecond
	maxWait           = 5 * time.Second  // longest time in the queue, unless the request's patience is longer
	rateWindow        = 2 * time.Second  // time over which token rates are measured
	maxResumeWait     = 10 * time.Second // longest time in the queue of a resumed request
	defaultSubset     = 32               // largest number of upstreams of one target that a node uses
	meanTokensWeight  = 0.02             // of a new sample in the moving average
	initialMeanTokens = 64.0             // tokens per request, until requests are observed
	accountIdleTime   = time.Minute
	resumeTeam        = "" // account of resumed requests, which precede queued ones and are not held to a fair rate
)

// Demand describes a request that asks a pool for admission.
type Demand struct {
	Team              string
	Weight            float64
	Tokens            float64       // tokens to generate, or 1 for a call of a plain service
	Prefill           float64       // tokens that could be generated in the time that the prompt's prefill takes
	Prefix            uint64        // hash of the prompt's first blocks, or zero
	Exclude           []string      // upstreams at which the request has failed
	Resume            bool          // the request was admitted before, and its caller may have part of the response
	AvoidDataCentre   string        // data centre of the upstream that stopped responding to the request, or empty
	Key               uint64        // hash of the request, for choices that must be the same on all nodes
	DuplicateUpstream string        // upstream that runs an identical request; this one must run there too
	Suspect           bool          // the request may crash its upstream, and should share it with no other suspect
	Pinned            bool          // the request must run at the upstream that Key maps to, the same on all nodes
	AvoidKeys         []uint64      // keys of pinned requests, whose upstreams a suspect should avoid
	Patience          time.Duration // longest predicted wait, or zero for the pool's
}

// Pool is the admission control for the requests of one model or service on one node.
type Pool struct {
	target   string
	policy   route.Policy
	now      func() time.Time
	patience time.Duration
	subset   int

	mu               sync.Mutex
	random           *rand.Rand
	self             string
	nodes            []string // nodes that share the upstreams, including self
	upstreams        []*upstreamState
	queue            *fairQueue
	meanTokens       float64     // moving average of tokens per request
	completedTokens  decayingSum // tokens of completed requests
	activeWeights    float64     // sum of the weights of recently active teams, computed at activeWeightsAt
	activeWeightsAt  time.Time
	prunedAt         time.Time
	probes           probeBudget
	running          int  // requests in flight from this node
	reportsLoad      bool // whether upstreams of this target report their load
	dataCentres      []dataCentreState
	candidates       []route.Candidate
	candidateIndexes []int
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithClock sets the source of time.
func WithClock(now func() time.Time) PoolOption { return func(p *Pool) { p.now = now } }

// WithSeed seeds the random choices.
func WithSeed(seed uint64) PoolOption {
	return func(p *Pool) { p.random = rand.New(rand.NewPCG(seed, xxhash.Sum64String(p.target))) }
}

// WithPatience sets the longest predicted wait that is not refused.
func WithPatience(d time.Duration) PoolOption { return func(p *Pool) { p.patience = d } }

// WithSubset sets the largest number of upstreams that the node uses.
func WithSubset(n int) PoolOption { return func(p *Pool) { p.subset = n } }

// NewPool returns a pool without upstreams for a model or service.
func NewPool(target string, policy route.Policy, opts ...PoolOption) *Pool {
	p := &Pool{
		target:     target,
		policy:     policy,
		now:        time.Now,
		patience:   defaultPatience,
		subset:     defaultSubset,
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		nodes:      []string{""},
		queue:      newFairQueue(),
		meanTokens: initialMeanTokens,
	}
	for _, o := range opts {
		o(p)
	}
	p.prunedAt = p.now()
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

// Acquire waits for a slot at an upstream. Its error is an *Error; then nothing was sent.
func (p *Pool) Acquire(ctx context.Context, d Demand) (*Grant, error) {
	w, g, err := p.admit(d)
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
		return p.withdraw(w, &Error{cause: Abandoned, target: p.target})
	case <-timer.C:
		return p.withdraw(w, &Error{cause: Expired, target: p.target, wait: patience, retryAfter: time.Second})
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
		return maxResumeWait
	}
	return max(maxWait, p.patienceOf(d))
}

// admit grants a slot at once, refuses the request at once, or queues it.
func (p *Pool) admit(d Demand) (*waiter, *Grant, error) {
	if d.Weight <= 0 {
		d.Weight = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.meanTokens += meanTokensWeight * (d.Tokens - p.meanTokens)
	p.pruneIdle(now)
	a := p.accountOf(d, now)
	p.recordDemand(a, d.Tokens, now)
	if g := p.grantImmediately(a, d, now); g != nil {
		return nil, g, nil
	}
	if !d.Resume && !p.anyAvailable(now) {
		return nil, nil, &Error{cause: Unavailable, target: p.target, retryAfter: p.untilAvailable(now)}
	}
	w := &waiter{demand: d, deadline: now.Add(p.patienceOf(d)), granted: make(chan *Grant, 1)}
	wait := max(p.predictWait(a, d, now), p.fairShareWait(a, now))
	p.queue.push(a, w)
	// All queued requests may be bound to full upstreams while another has room for this one.
	p.serveQueue()
	if w.index < 0 {
		a.recordAdmission(d.Tokens, now)
		return nil, <-w.granted, nil
	}
	if patience := p.patienceOf(d); wait > patience && !d.Resume {
		p.queue.remove(a, w)
		return nil, nil, &Error{cause: Overloaded, target: p.target, wait: wait,
			retryAfter: max(wait-patience, time.Second)}
	}
	a.recordAdmission(d.Tokens, now)
	return w, nil, nil
}

func (p *Pool) accountOf(d Demand, now time.Time) *account {
	if d.Resume {
		return p.queue.account(resumeTeam, 1, now)
	}
	return p.queue.account(d.Team, d.Weight, now)
}

// grantImmediately bypasses the queue. It does so only if the queue is empty or the request is resumed.
func (p *Pool) grantImmediately(a *account, d Demand, now time.Time) *Grant {
	if (p.queue.length > 0 && !d.Resume) || !p.mayGrant(a) {
		return nil
	}
	s := p.choose(d, now)
	if s == nil {
		return nil
	}
	a.recordAdmission(d.Tokens, now)
	p.recordGrant(a, d.Tokens, now)
	return p.grant(s, a, d, now)
}

func (p *Pool) anyAvailable(now time.Time) bool {
	for _, s := range p.upstreams {
		if s.available(now) {
			return true
		}
	}
	return false
}

// untilAvailable returns the time until the next backoff ends, at most one second.
func (p *Pool) untilAvailable(now time.Time) time.Duration {
	least := time.Second
	for _, s := range p.upstreams {
		if d := s.ejectedUntil.Sub(now); !s.draining && d > 0 && d < least {
			least = d
		}
	}
	return least
}

// predictWait returns how long the node takes to serve the tokens queued ahead of a request.
func (p *Pool) predictWait(a *account, d Demand, now time.Time) time.Duration {
	rate := max(p.completedTokens.perSecond(now), p.windowRate(now)/2, 1e-3)
	ahead := p.queue.tokensAhead(a, p.patienceOf(d), now)
	return time.Duration(ahead / rate * float64(time.Second))
}

// windowRate returns the tokens/s that the node's windows allow if the other nodes fill theirs.
func (p *Pool) windowRate(now time.Time) float64 {
	sum := 0.0
	for _, s := range p.upstreams {
		if s.available(now) {
			share := min(1, float64(s.window())/float64(s.capacity(p.meanTokens)))
			sum += share * float64(s.slots()) * s.streamRate()
		}
	}
	return sum
}

func (p *Pool) pruneIdle(now time.Time) {
	if now.Sub(p.prunedAt) < accountIdleTime {
		return
	}
	p.prunedAt = now
	p.queue.pruneIdle(now.Add(-accountIdleTime))
}

// withdraw removes a waiter from the queue. If it was granted in the meantime, withdraw returns the grant, or
// frees its slot if the caller is gone.
func (p *Pool) withdraw(w *waiter, err *Error) (*Grant, error) {
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
	p.freeSlot(g)
	p.serveQueue()
	return nil, err
}

// serveQueue grants slots until no queued request can be placed.
func (p *Pool) serveQueue() {
	for p.queue.length > 0 {
		now := p.now()
		var chosen *upstreamState
		a, w := p.queue.next(p.mayGrant, func(w *waiter) bool {
			s := p.choose(w.demand, now)
			if s != nil {
				chosen = s
			}
			return s != nil
		})
		if w == nil {
			return
		}
		p.queue.remove(a, w)
		p.recordGrant(a, w.demand.Tokens, now)
		w.granted <- p.grant(chosen, a, w.demand, now)
	}
}
