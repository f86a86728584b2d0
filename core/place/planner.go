package place

import (
	"context"
	"slices"
	"sync"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"

	"github.com/go-logr/logr"
)

// Times of the planner.
const (
	callLimit   = 600 * time.Millisecond // a report or an order is answered within milliseconds
	orderMemory = 2 * time.Second        // beyond its load time that an order counts as under way
	mostAtATime = 8                      // calls to upstreams under way
	settleTime  = 600 * time.Millisecond // without a change of upstreams before one that holds layers is moved
	movePause   = 10 * time.Second       // between two moves of one upstream
	failedAgain = time.Second            // after an order that failed the upstream is asked again
)

// Planner performs plans under a lease. It has one caller at a time.
type Planner struct {
	engines Engines
	fence   func() (uint64, bool)
	log     logr.Logger
	now     func() time.Time
	pending map[string]pending
	told    time.Time
	names   []string             // upstreams at the last look
	content []Member             // for which there was nothing to mend
	settled time.Time            // since when they are the same
	moved   map[string]time.Time // upstreams that hold layers and were given others
}

// pending is an order that the platform's list does not show yet.
type pending struct {
	born   int64
	layers fleet.Range
	until  time.Time
}

// NewPlanner returns a planner; fence returns the lease's number and whether it is held now.
func NewPlanner(engines Engines, fence func() (uint64, bool), log logr.Logger) *Planner {
	return &Planner{engines: engines, fence: fence, log: log, now: time.Now, pending: make(map[string]pending), moved: make(map[string]time.Time)}
}

// Step looks at a service's upstreams once and orders what is missing. Silent reports whether an upstream is
// believed to be dead.
func (p *Planner) Step(ctx context.Context, e *rules.Engine, list []*fleet.Upstream, silent func(*fleet.Upstream) bool) {
	if _, held := p.fence(); !held {
		return
	}
	byID := make(map[string]*fleet.Upstream, len(list))
	var members []Member
	for _, u := range list {
		card, ok := e.Kinds[u.Card]
		if !ok || u.Draining || silent(u) {
			continue
		}
		byID[u.ID] = u
		members = append(members, p.member(u, card))
	}
	p.tell(e, members)
	moves := Plan(e, members)
	moves = append(moves, p.mends(e, members, len(moves) > 0)...)
	var all sync.WaitGroup
	gate := make(chan struct{}, mostAtATime)
	results := make(chan pendingOf, len(moves))
	for _, m := range moves {
		all.Add(1)
		gate <- struct{}{}
		go func() {
			defer func() { <-gate; all.Done() }()
			results <- pendingOf{m.ID, p.perform(ctx, e, byID[m.ID], m)}
		}()
	}
	all.Wait()
	close(results)
	for r := range results {
		p.pending[r.id] = r.pending
	}
}

// mends returns at most one move of an upstream that holds layers already, once upstreams have stood still for a
// while and while few such moves are under way.
func (p *Planner) mends(e *rules.Engine, members []Member, filling bool) []Move {
	now := p.now()
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.ID)
	}
	slices.Sort(names)
	if filling || !slices.Equal(names, p.names) {
		p.names, p.settled = names, now
	}
	if now.Sub(p.settled) < settleTime || len(p.mending(now)) >= mostMends {
		return nil
	}
	candidates := p.restless(members, now)
	if slices.Equal(candidates, p.content) {
		return nil
	}
	m, ok := Mend(e, candidates)
	if !ok {
		p.content = candidates
		return nil
	}
	p.moved[m.ID] = now
	return []Move{m}
}

// mending returns the upstreams whose move by mending is under way.
func (p *Planner) mending(now time.Time) []string {
	var ids []string
	for id, at := range p.moved {
		if _, under := p.pending[id]; under {
			ids = append(ids, id)
		} else if now.Sub(at) > movePause {
			delete(p.moved, id)
		}
	}
	return ids
}

// restless marks upstreams that were moved lately as not free.
func (p *Planner) restless(members []Member, now time.Time) []Member {
	out := slices.Clone(members)
	for i := range out {
		if at, ok := p.moved[out[i].ID]; ok && now.Sub(at) < movePause {
			out[i].Free = false
		}
	}
	return out
}

// tellPause is the time between two log lines on coverage.
const tellPause = time.Second

// tell logs how well the layers are held.
func (p *Planner) tell(e *rules.Engine, members []Member) {
	if p.now().Sub(p.told) < tellPause {
		return
	}
	p.told = p.now()
	s := Summarize(e, members)
	p.log.Info("coverage", "upstreams", len(members), "least-copies", s.LeastCopies, "least-room", int(s.LeastRoom), "whole-data-centres", s.WholeCentres)
}

type pendingOf struct {
	id string
	pending
}

// member returns an upstream as it will be once what was ordered is done.
func (p *Planner) member(u *fleet.Upstream, card rules.Card) Member {
	m := Member{ID: u.ID, DataCentre: u.DataCentre, Card: card, Layers: u.Layers, Free: true}
	o, ok := p.pending[u.ID]
	switch {
	case !ok:
	case o.born != u.Born || p.now().After(o.until) || u.Layers == o.layers && u.Layers.Len() > 0:
		delete(p.pending, u.ID)
	default:
		m.Layers, m.Free = o.layers, false
	}
	return m
}

// perform asks an upstream for its state and orders a move that fits it.
func (p *Planner) perform(ctx context.Context, e *rules.Engine, u *fleet.Upstream, m Move) pending {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	again := pending{u.Born, u.Layers, p.now().Add(failedAgain)}
	r, err := p.engines.Report(ctx, u)
	if err != nil {
		p.log.Info("order-skipped", "upstream", u.ID, "cause", err.Error())
		return again
	}
	load := time.Duration(float64(e.Load) * float64(m.Layers.Len()) / float64(e.Layers))
	if r.Layers != u.Layers || r.Busy {
		p.log.Info("order-skipped", "upstream", u.ID, "cause", "its state is another than listed", "from", r.Layers.From, "to", r.Layers.To, "busy", r.Busy)
		return pending{u.Born, r.Layers, p.now().Add(orderMemory)}
	}
	fence, held := p.fence()
	if !held {
		return again
	}
	result, err := p.engines.Place(ctx, u, Order{Layers: m.Layers, Fence: fence, Sequence: r.Sequence})
	p.log.Info("order", "upstream", u.ID, "from", m.Layers.From, "to", m.Layers.To, "fence", fence, "sequence", r.Sequence,
		"result", result, "cause", text(err))
	if result == Rejected {
		return again
	}
	return pending{u.Born, m.Layers, p.now().Add(load + orderMemory)}
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
