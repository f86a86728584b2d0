package event

import (
	"cmp"
	"slices"
	"sync"
)

// Event is one entry of the time line.
type Event struct {
	Stamp    Stamp  `json:"stamp"`
	Node     string `json:"node"`
	Kind     string `json:"kind"`
	Request  string `json:"request,omitempty"`
	Attempt  string `json:"attempt,omitempty"`
	Team     string `json:"team,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	Note     string `json:"note,omitempty"`
}

// Ring holds the latest events of one node and forgets the oldest.
type Ring struct {
	mu     sync.Mutex
	node   string
	clock  *Clock
	events []Event
	next   int
}

// NewRing returns a ring for a node with room for a number of events.
func NewRing(node string, clock *Clock, room int) *Ring {
	return &Ring{node: node, clock: clock, events: make([]Event, 0, room)}
}

// Clock returns the clock that stamps the ring's events.
func (r *Ring) Clock() *Clock { return r.clock }

// Add stamps an event and keeps it.
func (r *Ring) Add(e Event) {
	e.Stamp = r.clock.Next()
	e.Node = r.node
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Filter selects events; an empty member matches everything.
type Filter struct {
	Request, Team, Upstream, Node, Kind string
	Since                               Stamp
}

// Match reports whether an event is selected.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Request) && matches(f.Team, e.Team) && matches(f.Upstream, e.Upstream) &&
		matches(f.Node, e.Node) && matches(f.Kind, e.Kind) && e.Stamp >= f.Since
}

func matches(want, got string) bool { return want == "" || want == got }

// Select returns the ring's events that a filter selects, oldest first.
func (r *Ring) Select(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if f.Match(e) {
			out = append(out, e)
		}
	}
	return out
}

// Merge joins the events of several nodes into one order that puts causes before effects.
func Merge(rings ...[]Event) []Event {
	out := slices.Concat(rings...)
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Node, b.Node))
	})
	return slices.Compact(out)
}
