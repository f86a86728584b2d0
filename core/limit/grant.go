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
	demand  Demand
	at      time.Time
	firstAt time.Time
	// keptWaiting says that others waited for a place at the time of the grant.
	keptWaiting bool
	once        sync.Once
}

// Upstream returns where the request may go.
func (g *Grant) Upstream() *route.Upstream { return g.seat.upstream }

// First tells the pool that the first token has come.
func (g *Grant) First() {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.firstAt = g.pool.now()
	g.seat.sawFirst(g.firstAt.Sub(g.at), g.keptWaiting)
	g.seat.succeeded()
}

// Done gives the place back with the tokens that were generated; later calls do nothing.
func (g *Grant) Done(r Result, tokens int) {
	g.once.Do(func() { g.pool.release(g, r, tokens) })
}

func (p *Pool) grant(s *seat, d Demand, now time.Time) *Grant {
	s.ours++
	if s.failures > 0 {
		s.trial = true
	}
	if d.Suspect {
		s.suspects++
	}
	s.prefixes.add(d.Prefix)
	return &Grant{pool: p, seat: s, demand: d, at: now, keptWaiting: p.queue.length > 0}
}

func (p *Pool) giveBack(g *Grant) {
	g.seat.ours--
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
		s.skips++
		if s.skips >= failuresToSkip || s.failures > 0 {
			p.eject(s, now)
		}
	case Lost:
		p.eject(s, now)
	}
	p.serveQueue()
}

// eject keeps new work from a seat and looks at the queue again when its backoff ends.
func (p *Pool) eject(s *seat, now time.Time) {
	s.failed(now, p.random.Float64())
	time.AfterFunc(s.ejected.Sub(now), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.serveQueue()
	})
}
