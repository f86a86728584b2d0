package place

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"

	"github.com/go-logr/logr"
)

// Timing and concurrency of the planner.
const (
	callTimeout        = 600 * time.Millisecond // for a report or order, which upstreams answer within milliseconds
	loadMargin         = 2 * time.Second        // time beyond the load time for which an order stays pending
	maxConcurrentCalls = 8                      // concurrent calls to upstreams
	stableTime         = 600 * time.Millisecond // time without a change of upstreams before rebalancing
	rebalanceInterval  = 10 * time.Second       // least time between two moves of one upstream by rebalancing
	failureBackoff     = time.Second            // wait before an upstream that failed or rejected an order is called again
)

// Planner carries out plans while its node holds a lease. It is not safe for concurrent use.
type Planner struct {
	engines          Engines
	fencingToken     func() (uint64, bool)
	log              logr.Logger
	now              func() time.Time
	pending          map[string]pendingOrder // by upstream ID
	coverageLoggedAt time.Time
	memberIDs        []string             // sorted IDs in the latest step
	balancedMembers  []Member             // state for which rebalancing found no move
	stableSince      time.Time            // start of the time with the same memberIDs and no moves planned
	rebalancedAt     map[string]time.Time // time of the latest move by rebalancing, by upstream ID
	shortSince       map[shortage]shortPeriod
	demandMembers    []Member // state and data centres for which no move for demand was found
	demandCentres    []string
	demandMoves      atomic.Int64
}

// pendingOrder is the expected state of an upstream until the platform's list shows it or expiresAt.
type pendingOrder struct {
	incarnation int64
	layers      fleet.Range
	expiresAt   time.Time
}

// NewPlanner returns a planner; fencingToken returns the lease's fencing token and whether the lease is held.
func NewPlanner(engines Engines, fencingToken func() (uint64, bool), log logr.Logger) *Planner {
	return &Planner{engines: engines, fencingToken: fencingToken, log: log, now: time.Now,
		pending: make(map[string]pendingOrder), rebalancedAt: make(map[string]time.Time),
		shortSince: make(map[shortage]shortPeriod)}
}

// Step plans for the current upstreams of a service and sends the orders. The function suspected reports whether an
// upstream is believed to be dead; such upstreams are ignored, as are those with layers that the model does not have.
func (p *Planner) Step(ctx context.Context, e *rules.Engine, list []*fleet.Upstream,
	suspected func(*fleet.Upstream) bool, opts ...Option) {
	if _, held := p.fencingToken(); !held {
		clear(p.shortSince)
		return
	}
	o := newOptions(opts)
	short := p.shortCentres(o.demand)
	byID := make(map[string]*fleet.Upstream, len(list))
	var members []Member
	for _, u := range list {
		card, ok := e.Cards[u.Card]
		if !ok || u.Draining || suspected(u) {
			continue
		}
		m := p.member(u, card)
		if e.CheckLayers(m.Layers) != nil {
			continue
		}
		byID[u.ID] = u
		members = append(members, m)
	}
	p.logCoverage(e, members)
	moves := Plan(e, members, opts...)
	fillForDemand(e, members, moves, short, o)
	moves = append(moves, p.rebalance(e, members, len(moves) > 0, short, o)...)
	var calls sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	results := make(chan orderResult, len(moves))
	for _, m := range moves {
		calls.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer func() { <-semaphore; calls.Done() }()
			results <- orderResult{m.ID, p.orderMove(ctx, e, byID[m.ID], m)}
		}()
	}
	calls.Wait()
	close(results)
	for r := range results {
		p.pending[r.id] = r.pendingOrder
	}
}

// rebalance returns at most one move of an upstream that already holds layers, if the upstreams have not changed for
// stableTime and fewer than maxRebalancing such moves are pending. Data centres that lack room are served first.
func (p *Planner) rebalance(e *rules.Engine, members []Member, hasMoves bool, short []string, o options) []Move {
	now := p.now()
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	slices.Sort(ids)
	if hasMoves || !slices.Equal(ids, p.memberIDs) {
		p.memberIDs, p.stableSince = ids, now
	}
	if now.Sub(p.stableSince) < stableTime || len(p.rebalancing(now)) >= maxRebalancing {
		return nil
	}
	candidates := p.excludeRebalanced(members, now)
	if m, ok := p.moveForDemand(e, candidates, short, o); ok {
		p.rebalancedAt[m.ID] = now
		return []Move{m}
	}
	if slices.Equal(candidates, p.balancedMembers) {
		return nil
	}
	m, ok := Rebalance(e, candidates)
	if !ok {
		p.balancedMembers = candidates
		return nil
	}
	p.rebalancedAt[m.ID] = now
	return []Move{m}
}

// rebalancing returns the upstreams whose move by rebalancing is pending.
func (p *Planner) rebalancing(now time.Time) []string {
	var ids []string
	for id, at := range p.rebalancedAt {
		if _, isPending := p.pending[id]; isPending {
			ids = append(ids, id)
		} else if now.Sub(at) > rebalanceInterval {
			delete(p.rebalancedAt, id)
		}
	}
	return ids
}

// excludeRebalanced returns a copy of the members in which those moved within rebalanceInterval are not available.
func (p *Planner) excludeRebalanced(members []Member, now time.Time) []Member {
	available := slices.Clone(members)
	for i := range available {
		if at, ok := p.rebalancedAt[available[i].ID]; ok && now.Sub(at) < rebalanceInterval {
			available[i].Available = false
		}
	}
	return available
}

const coverageLogInterval = time.Second

// logCoverage logs how well the layers are covered, at most once per coverageLogInterval.
func (p *Planner) logCoverage(e *rules.Engine, members []Member) {
	if p.now().Sub(p.coverageLoggedAt) < coverageLogInterval {
		return
	}
	p.coverageLoggedAt = p.now()
	s := Summarize(e, members)
	p.log.Info("coverage", "upstreams", len(members), "least-copies", s.MinCopies,
		"least-room", int(s.MinKVCapacity), "whole-data-centres", s.CompleteDataCentres)
}

// orderResult is the state to expect of an upstream after an order.
type orderResult struct {
	id string
	pendingOrder
}

// member returns an upstream in the state that its pending order leads to, and drops an order that has expired, that
// the list shows as done, or that went to an earlier incarnation.
func (p *Planner) member(u *fleet.Upstream, card rules.Card) Member {
	m := Member{ID: u.ID, DataCentre: u.DataCentre, Card: card, Layers: u.Layers, Available: true}
	expected, ok := p.pending[u.ID]
	switch {
	case !ok:
	case expected.incarnation != u.Incarnation || p.now().After(expected.expiresAt) ||
		u.Layers == expected.layers && u.Layers.Len() > 0:
		delete(p.pending, u.ID)
	default:
		m.Layers, m.Available = expected.layers, false
	}
	return m
}

// orderMove requests an upstream's report and sends the order if the report agrees with the list. It returns the state
// to expect of the upstream.
func (p *Planner) orderMove(ctx context.Context, e *rules.Engine, u *fleet.Upstream, m Move) pendingOrder {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	backoff := pendingOrder{u.Incarnation, u.Layers, p.now().Add(failureBackoff)}
	r, err := p.engines.Report(ctx, u)
	if err != nil {
		p.log.Info("order-skipped", "upstream", u.ID, "cause", err.Error())
		return backoff
	}
	if err := e.CheckLayers(r.Layers); err != nil {
		p.log.Info("order-skipped", "upstream", u.ID, "cause", "its report: "+err.Error())
		return backoff
	}
	loadTime := time.Duration(float64(e.LoadTime) * float64(m.Layers.Len()) / float64(e.Layers))
	if r.Layers != u.Layers || r.Busy {
		p.log.Info("order-skipped", "upstream", u.ID, "cause", "the reported state differs from the list",
			"from", r.Layers.From, "to", r.Layers.To, "busy", r.Busy)
		return pendingOrder{u.Incarnation, r.Layers, p.now().Add(loadMargin)}
	}
	token, held := p.fencingToken()
	if !held {
		return backoff
	}
	result, err := p.engines.Place(ctx, u, Order{Layers: m.Layers, FencingToken: token, Sequence: r.Sequence})
	p.log.Info("order", "upstream", u.ID, "from", m.Layers.From, "to", m.Layers.To, "fence", token,
		"sequence", r.Sequence, "result", result, "cause", errorText(err))
	if result == Rejected {
		return backoff
	}
	return pendingOrder{u.Incarnation, m.Layers, p.now().Add(loadTime + loadMargin)}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
