package board

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbspread/core/fleet"

	"github.com/go-logr/logr"
)

// Snapshot returns a copy of the board that shares no state with it, logs nothing and wakes nobody. Its random choices are those that
// the board would make next.
func (b *Board) Snapshot() *Board {
	b.mu.Lock()
	defer b.mu.Unlock()
	source := *b.source
	c := &Board{
		now: b.now, source: &source, random: rand.New(&source), states: make(map[Key]*upstreamState, len(b.states)),
		peers: make(map[string]peerGossip), capacityFreed: make(chan struct{}), dataCentre: b.dataCentre, nameHash: b.nameHash,
		doubtsChanged: make(chan struct{}, 1), partitions: make(map[string]*partition, len(b.partitions)), nodes: b.nodes,
		sharers: b.sharers, log: logr.Discard(), linkBudgets: make(map[Key]*linkBudget, len(b.linkBudgets)), viewAge: b.viewAge,
		gossipAt: b.gossipAt, isOwnFault: b.isOwnFault, onFreed: func() {}, isSnapshot: true,
	}
	for k, s := range b.states {
		copied := *s
		c.states[k] = &copied
	}
	for name, p := range b.partitions {
		c.partitions[name] = &partition{failedAt: maps.Clone(p.failedAt), unreachableUntil: p.unreachableUntil}
	}
	for k, l := range b.linkBudgets {
		copied := *l
		c.linkBudgets[k] = &copied
	}
	return c
}

// Stage is one stage of a path with what the choice counted for it.
type Stage struct {
	Hop
	Cost     float64       // in ms, with that of the link to it
	First    time.Duration // predicted until its first output, without the link to it
	EventGap time.Duration // predicted time that it adds between events, without the link to it
}

// Choice is a path with its costs.
type Choice struct {
	Stages      []Stage
	Cost        float64 // in ms
	Expected    Estimate
	IsWithin    bool // it meets the limits of the request
	UsesEjected bool // it may use ejected upstreams, as there is no path without them
}

// Hops returns the stages of the path.
func (c *Choice) Hops() []Hop {
	hops := make([]Hop, 0, len(c.Stages))
	for _, s := range c.Stages {
		hops = append(hops, s.Hop)
	}
	return hops
}

// choiceOf returns the result of a search with its costs.
func (b *Board) choiceOf(n *Need, f found) Choice {
	costs := f.search.stageCosts()
	c := Choice{Expected: f.expected, IsWithin: b.isWithin(n, f.hops, f.expected), UsesEjected: f.search.useEjected}
	c.Cost, _ = f.search.endCosts()
	for i, h := range f.hops {
		alone := b.estimate(n, []Hop{h})
		c.Stages = append(c.Stages, Stage{Hop: h, Cost: costs[i], First: alone.FirstEvent, EventGap: alone.EventGap})
	}
	return c
}

// stageCosts returns the costs of the stages of the cheapest path, in ms.
func (p *pathSearch) stageCosts() []float64 {
	var costs []float64
	latest := -1
	for at := p.cheapestEnd(); p.best[at].candidate >= 0; at = p.best[at].from {
		s := p.best[at]
		cost := s.cost - p.best[s.from].cost
		if s.candidate == latest { // adjacent stages on the same upstream are one
			costs[len(costs)-1] += cost
		} else {
			costs = append(costs, cost)
		}
		latest = s.candidate
	}
	slices.Reverse(costs)
	return costs
}

// Choose returns the path that ReservePath would choose, also if it is beyond the limits of the request, or false if there is none.
func (b *Board) Choose(list []*fleet.Upstream, n *Need) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.find(list, n)
	if f.hops == nil {
		return Choice{}, false
	}
	return b.choiceOf(n, f), true
}

// Bounds of the search for other paths, each of which costs up to three searches for a path.
const (
	maxAlternatives = 3
	maxDetours      = 8 // stages of the chosen path without which another one is searched
)

// Alternatives returns the next best paths, the cheapest first: those without one stage of the chosen path.
func (b *Board) Alternatives(ctx context.Context, list []*fleet.Upstream, n *Need, chosen []Hop) []Choice {
	var choices []Choice
	known := map[string]bool{Describe(chosen): true}
	for _, h := range chosen[:min(len(chosen), maxDetours)] {
		if ctx.Err() != nil {
			break
		}
		around := *n
		around.Exclude = append(slices.Clone(n.Exclude), h.Upstream.ID)
		c, ok := b.Choose(list, &around)
		if name := Describe(c.Hops()); ok && !known[name] {
			known[name] = true
			choices = append(choices, c)
		}
	}
	slices.SortStableFunc(choices, func(a, b Choice) int { return cmp.Compare(a.Cost, b.Cost) })
	return choices[:min(len(choices), maxAlternatives)]
}

// Reason says why an upstream is left out of a choice; it is "" if it is a candidate.
type Reason string

// The reasons.
const (
	Draining    Reason = "draining"
	OtherLayers Reason = "other-layers" // none, those of another model or card, or not those for which an upstream lacks
	Failed      Reason = "failed"       // it has failed this request
	AtRest      Reason = "at-rest"      // it wants no requests from this node for some time
	InDoubt     Reason = "in-doubt"     // it refuses several nodes
	Ejected     Reason = "ejected"      // after a failure or refusal, or with its data centre, or another request probes it
	AtLimit     Reason = "limit"        // this node has used up its part of the limit that the upstream names
	NoRoom      Reason = "no-room"      // it lacks slots, or KV cache for the layers that it holds
	Quarantined Reason = "quarantine"   // the request itself is in quarantine or withheld
	Dearer      Reason = "dearer"       // the path without it costs less
	ClassLimit  Reason = "class-limit"  // the paths over it are beyond the limits of the request's class or objectives
)

// Omission is an upstream that is left out of a choice.
type Omission struct {
	Upstream *fleet.Upstream
	Reason   Reason
}

// Omissions returns the listed upstreams that have no stage of the chosen path. For a plain service the need has no engine, and the
// chosen path is one stage. The last reason is that of candidates.
func (b *Board) Omissions(list []*fleet.Upstream, n *Need, chosen []Hop, candidate Reason) []Omission {
	b.mu.Lock()
	defer b.mu.Unlock()
	var omissions []Omission
	for _, u := range list {
		if slices.ContainsFunc(chosen, func(h Hop) bool { return h.Upstream.ID == u.ID }) {
			continue
		}
		reason := b.plainReason
		if n.Engine != nil {
			reason = b.pathReason
		}
		omissions = append(omissions, Omission{u, cmp.Or(reason(u, n), candidate)})
	}
	return omissions
}

// pathReason returns why an upstream can't have a stage, or "".
func (b *Board) pathReason(u *fleet.Upstream, n *Need) Reason {
	if reason := n.unfit(u); reason != "" {
		return reason
	}
	s, now := b.state(KeyOf(u)), b.now()
	if reason := b.unavailable(u, s, now, false); reason != "" {
		return reason
	}
	c := b.usable([]*fleet.Upstream{u}, n, false)
	switch {
	case len(c) == 0:
		return Ejected
	case u.Layers.From == 0 && !b.withinLimit(s, now):
		return AtLimit
	case u.Layers.From == 0 && c[0].slotsFull:
		return NoRoom
	}
	if _, fits := c[0].cost(n, u.Layers); !fits {
		return NoRoom
	}
	return ""
}

// plainReason returns why an upstream of a plain service can't be picked, or "".
func (b *Board) plainReason(u *fleet.Upstream, n *Need) Reason {
	s, now := b.state(KeyOf(u)), b.now()
	switch {
	case u.Draining:
		return Draining
	case contains(n.Exclude, u.ID):
		return Failed
	case b.isWithheld(s, now):
		return AtRest
	case !b.withinLimit(s, now):
		return AtLimit
	case b.isRefusing(s, now):
		return InDoubt
	case b.isExcluded(u, s, now):
		return Ejected
	case b.plainLoad(s, now) >= float64(u.Slots+queueSlack):
		return NoRoom
	}
	return ""
}

// OnChoice sets a function that is called with each path that is reserved. It must not call the board.
func (b *Board) OnChoice(f func(Choice)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onChoice = f
}
