package limit

import (
	"sync"
	"time"

	"rhubarbspread/core/route"
)

// Result is how the use of a place ended.
type Result int

// The results of a grant.
const (
	Completed Result = iota // the upstream did its work
	Stopped                 // the caller or this node stopped it; it says nothing of the upstream
	Errored                 // the upstream answered with an error of its own
	Lost                    // the upstream could not be reached, broke off or fell silent
)

// Grant is a place at an upstream; its holder ends it with Done.
type Grant struct {
	pool    *Pool
	seat    *seat
	account *account
	cached  bool // the prompt's beginning was taken to be in the upstream's cache
	demand  Demand
	at      time.Time
	firstAt time.Time
	// keptWaiting says that others, who may take a place, waited for one at the time of the grant.
	keptWaiting bool
	reached     bool
	trial       bool
	once        sync.Once
}

// Upstream returns where the request may go.
func (g *Grant) Upstream() *route.Upstream { return g.seat.upstream }

// First tells the pool that the first token has come.
func (g *Grant) First() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.firstAt = g.pool.now()
	g.seat.sawFirst(g.firstAt.Sub(g.at)-g.reading(), g.keptWaiting, g.firstAt)
	g.seat.succeeded()
}

// reading returns how long the upstream has likely read the prompt, which is no queueing.
func (g *Grant) reading() time.Duration {
	if g.cached {
		return 0
	}
	return time.Duration(g.demand.Prefill / g.seat.streamRate() * float64(time.Second))
}

// Heard tells the pool that something came from the upstream. It takes no lock, for every token calls it.
func (g *Grant) Heard() { g.seat.heard.Store(g.pool.now().UnixNano()) }

// Trial reports whether the request tests an upstream that failed lately.
func (g *Grant) Trial() bool { return g.trial }

// Reached reports whether the upstream was known to be in reach when the request went there.
func (g *Grant) Reached() bool { return g.reached }

// Done gives the place back with the tokens that were generated; later calls do nothing.
func (g *Grant) Done(r Result, tokens int) {
	g.once.Do(func() { g.pool.release(g, r, tokens) })
}

func (p *Pool) grant(s *seat, a *account, d Demand, now time.Time) *Grant {
	if s.ours == 0 {
		s.heard.Store(now.UnixNano())
	}
	s.ours++
	a.running++
	p.running++
	p.trials.earn(now)
	if s.failures > 0 {
		s.trial = true
		p.trials.spend(s)
	}
	if d.Suspect {
		s.suspects++
	}
	cached := s.prefixes.has(d.Prefix)
	s.prefixes.add(d.Prefix)
	return &Grant{pool: p, seat: s, account: a, cached: cached, demand: d, at: now, trial: s.trial, keptWaiting: p.queue.anyWaiting(p.mayTake),
		reached: !p.reports || now.Sub(s.reportAt) < freshReport}
}

func (p *Pool) giveBack(g *Grant) {
	g.seat.ours--
	g.account.running--
	p.running--
	if g.demand.Suspect {
		g.seat.suspects--
	}
}

func (p *Pool) release(g *Grant, r Result, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.giveBack(g)
	s := g.seat
	switch r {
	case Completed:
		s.succeeded()
		p.drained.add(g.demand.Tokens, now)
		if !g.firstAt.IsZero() {
			s.sawRate(tokens, now.Sub(g.firstAt))
		}
	case Stopped:
		s.trial = false
	case Errored:
		p.eject(s, false, now)
	case Lost:
		p.eject(s, true, now)
	}
	p.serveQueue()
}

// eject keeps new work from a seat and looks at the queue again when its backoff ends.
func (p *Pool) eject(s *seat, lost bool, now time.Time) {
	s.failed(now, lost, p.random.Float64())
	time.AfterFunc(s.ejected.Sub(now), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.serveQueue()
	})
}

// freshReport is the age up to which a report shows that its upstream is in reach.
const freshReport = 1500 * time.Millisecond

// Constants of trials, each of which risks a request at an upstream that may still be failing.
const (
	trialsPerGrant  = 0.01
	trialsPerSecond = 0.1
	mostTrials      = 3.0
)

// trials bounds how many requests test upstreams that answered with errors.
type trials struct {
	credit float64
	at     time.Time
}

func (t *trials) earn(now time.Time) {
	t.refresh(now)
	t.credit = min(mostTrials, t.credit+trialsPerGrant)
}

func (t *trials) refresh(now time.Time) {
	if !t.at.IsZero() {
		t.credit = min(mostTrials, t.credit+now.Sub(t.at).Seconds()*trialsPerSecond)
	}
	t.at = now
}

func (t *trials) spend(s *seat) {
	if !s.returned() {
		t.credit = max(0, t.credit-1)
	}
}

// returned reports whether an upstream that was lost answers again, so that a trial risks little.
func (s *seat) returned() bool { return s.lost && s.answers }

// mayTry reports whether a request may go to a seat: a trial needs a sign of life, credit, or that
// there is nothing better.
func (p *Pool) mayTry(s *seat, now time.Time) bool {
	if s.failures == 0 || s.returned() {
		return true
	}
	p.trials.refresh(now)
	if p.trials.credit >= 1 {
		return true
	}
	for _, other := range p.seats {
		if other.sound() {
			return false
		}
	}
	return true
}
