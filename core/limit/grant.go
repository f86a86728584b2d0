package limit

import (
	"sync"
	"time"

	"rhubarbspread/core/route"
)

// Result is how a granted request ended.
type Result int

// The results of a grant.
const (
	Completed Result = iota // the upstream completed the request
	Stopped                 // the caller or this node canceled it, which says nothing about the upstream
	Errored                 // the upstream returned an error
	Lost                    // the upstream was unreachable, closed the connection early or stopped responding
)

// Grant is a slot at an upstream; the holder frees it with Done.
type Grant struct {
	pool         *Pool
	state        *upstreamState
	account      *account
	prefixCached bool // the prompt's prefix was assumed to be in the upstream's cache
	demand       Demand
	grantedAt    time.Time
	firstTokenAt time.Time
	// othersWaiting is true if other eligible requests were queued at the time of the grant.
	othersWaiting bool
	reachable     bool // the upstream was known to be reachable at the time of the grant
	probe         bool // half-open probe of an upstream that failed recently
	once          sync.Once
}

// Upstream returns the upstream to send the request to.
func (g *Grant) Upstream() *route.Upstream { return g.state.upstream }

// RecordFirstToken records the arrival of the first token.
func (g *Grant) RecordFirstToken() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.firstTokenAt = g.pool.now()
	g.state.observeFirstToken(g.firstTokenAt.Sub(g.grantedAt)-g.prefillTime(), g.othersWaiting, g.firstTokenAt)
	g.state.recordSuccess()
}

// prefillTime returns the predicted time to prefill the prompt, which does not count as queueing.
func (g *Grant) prefillTime() time.Duration {
	if g.prefixCached {
		return 0
	}
	return time.Duration(g.demand.Prefill / g.state.streamRate() * float64(time.Second))
}

// RecordActivity records that the upstream sent something. It takes no lock because it is called for every token.
func (g *Grant) RecordActivity() { g.state.lastTokenAt.Store(g.pool.now().UnixNano()) }

// IsProbe reports whether the request is a half-open probe of an upstream that failed recently.
func (g *Grant) IsProbe() bool { return g.probe }

// Reachable reports whether the upstream was known to be reachable at the time of the grant.
func (g *Grant) Reachable() bool { return g.reachable }

// Done frees the slot and records the result and the number of generated tokens; later calls do nothing.
func (g *Grant) Done(r Result, tokens int) {
	g.once.Do(func() { g.pool.release(g, r, tokens) })
}

func (p *Pool) grant(s *upstreamState, a *account, d Demand, now time.Time) *Grant {
	if s.inFlight == 0 {
		s.lastTokenAt.Store(now.UnixNano())
	}
	s.inFlight++
	a.running++
	p.running++
	p.probes.addGrant(now)
	if s.failures > 0 {
		s.probing = true
		p.probes.spend(s)
	}
	if d.Suspect {
		s.suspectsInFlight++
	}
	cached := s.prefixes.has(d.Prefix)
	s.prefixes.add(d.Prefix)
	return &Grant{pool: p, state: s, account: a, prefixCached: cached, demand: d, grantedAt: now, probe: s.probing,
		othersWaiting: p.queue.anyWaiting(p.mayGrant), reachable: !p.reportsLoad || now.Sub(s.reportAt) < reachableReportAge}
}

func (p *Pool) freeSlot(g *Grant) {
	g.state.inFlight--
	g.account.running--
	p.running--
	if g.demand.Suspect {
		g.state.suspectsInFlight--
	}
}

func (p *Pool) release(g *Grant, r Result, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.freeSlot(g)
	s := g.state
	switch r {
	case Completed:
		s.recordSuccess()
		p.completedTokens.add(g.demand.Tokens, now)
		if !g.firstTokenAt.IsZero() {
			s.observeRate(tokens, now.Sub(g.firstTokenAt))
		}
	case Stopped:
		s.probing = false
	case Errored:
		p.eject(s, false, now)
	case Lost:
		p.eject(s, true, now)
	}
	p.serveQueue()
}

// eject keeps new requests from an upstream until its backoff ends, and then serves the queue.
func (p *Pool) eject(s *upstreamState, lost bool, now time.Time) {
	s.recordFailure(now, lost, p.random.Float64())
	time.AfterFunc(s.ejectedUntil.Sub(now), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.serveQueue()
	})
}

// reachableReportAge is the age up to which a load report shows that its upstream is reachable.
const reachableReportAge = 1500 * time.Millisecond

// Limits on half-open probes, each of which risks a request at an upstream that may still be failing.
const (
	probesPerGrant  = 0.01 // credit from each grant
	probesPerSecond = 0.1  // credit from each second
	maxProbeCredit  = 3.0
)

// probeBudget limits half-open probes, except of lost upstreams that report again. Its credit grows with each grant
// and over time.
type probeBudget struct {
	credit    float64
	updatedAt time.Time
}

func (b *probeBudget) addGrant(now time.Time) {
	b.refill(now)
	b.credit = min(maxProbeCredit, b.credit+probesPerGrant)
}

func (b *probeBudget) refill(now time.Time) {
	if !b.updatedAt.IsZero() {
		b.credit = min(maxProbeCredit, b.credit+now.Sub(b.updatedAt).Seconds()*probesPerSecond)
	}
	b.updatedAt = now
}

func (b *probeBudget) spend(s *upstreamState) {
	if !s.reachableAgain() {
		b.credit = max(0, b.credit-1)
	}
}

// reachableAgain reports whether a lost upstream has reported its load since, so that a probe risks little.
func (s *upstreamState) reachableAgain() bool { return s.lastFailureLost && s.reportedSinceFailure }

// mayUse reports whether a request may go to an upstream. One that failed recently may be probed if it was
// lost and has reported since, if the probe budget allows it, or if no upstream is healthy.
func (p *Pool) mayUse(s *upstreamState, now time.Time) bool {
	if s.failures == 0 || s.reachableAgain() {
		return true
	}
	p.probes.refill(now)
	if p.probes.credit >= 1 {
		return true
	}
	for _, other := range p.upstreams {
		if other.healthy() {
			return false
		}
	}
	return true
}
