package event

import (
	"cmp"
	"slices"
	"sync"
)

// Event is one entry of the timeline.
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

// Ring is a ring buffer of the latest events of one node.
type Ring struct {
	mu     sync.Mutex
	node   string
	clock  *Clock
	events []Event
	oldest int // index of the oldest event once the ring is full
}

// NewRing returns an empty ring for a node that holds up to capacity events.
func NewRing(node string, clock *Clock, capacity int) *Ring {
	return &Ring{node: node, clock: clock, events: make([]Event, 0, capacity)}
}

// Clock returns the clock that stamps the ring's events.
func (r *Ring) Clock() *Clock { return r.clock }

// Append stamps an event and appends it, overwriting the oldest if the ring is full.
func (r *Ring) Append(e Event) {
	e.Stamp = r.clock.Next()
	e.Node = r.node
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.oldest] = e
	r.oldest = (r.oldest + 1) % len(r.events)
}

// Filter selects events; an empty field matches everything.
type Filter struct {
	Request, Team, Upstream, Node, Kind string
	Since                               Stamp
}

// Match reports whether the filter selects an event.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Request) && matches(f.Team, e.Team) && matches(f.Upstream, e.Upstream) &&
		matches(f.Node, e.Node) && matches(f.Kind, e.Kind) && e.Stamp >= f.Since
}

func matches(want, got string) bool { return want == "" || want == got }

// Select returns the events that match a filter, oldest first.
func (r *Ring) Select(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.events {
		e := r.events[(r.oldest+i)%len(r.events)]
		if f.Match(e) {
			out = append(out, e)
		}
	}
	return out
}

// Merge sorts the events of several nodes into one causal order, and drops duplicates.
func Merge(timelines ...[]Event) []Event {
	out := slices.Concat(timelines...)
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Node, b.Node))
	})
	return slices.Compact(out)
}
