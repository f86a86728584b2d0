package fleet

import (
	"cmp"
	"slices"
)

// Range is the layers from From up to, but not including, To.
type Range struct{ From, To int }

// Len returns the number of layers.
func (r Range) Len() int { return max(0, r.To-r.From) }

// Holds reports whether a range contains all layers of another one.
func (r Range) Holds(s Range) bool { return r.From <= s.From && s.To <= r.To }

// Upstream is one incarnation of a replica that serves requests.
type Upstream struct {
	ID          string
	Service     string
	Address     string
	DataCentre  string
	Card        string // kind of accelerator, or "" for a plain service
	Slots       int    // requests that it runs at once
	Draining    bool   // takes no new requests
	Layers      Range  // model layers that it holds; empty if none
	Incarnation int64  // distinguishes the incarnations of one ID
}

// List is a version of the list of upstreams. It is immutable.
type List struct {
	version   uint64
	byID      map[string]*Upstream
	byService map[string][]*Upstream // by service name, in order of ID
}

// NewList returns the list of upstreams at a version of the platform's table.
func NewList(version uint64, upstreams []*Upstream) *List {
	l := &List{
		version: version, byID: make(map[string]*Upstream, len(upstreams)), byService: make(map[string][]*Upstream),
	}
	for _, u := range upstreams {
		l.byID[u.ID] = u
		l.byService[u.Service] = append(l.byService[u.Service], u)
	}
	for _, s := range l.byService {
		slices.SortFunc(s, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return l
}

// Version returns the version of the platform's table that the list was read from.
func (l *List) Version() uint64 { return l.version }

// Len returns the number of upstreams.
func (l *List) Len() int { return len(l.byID) }

// Get returns an upstream by ID, or nil.
func (l *List) Get(id string) *Upstream { return l.byID[id] }

// Of returns a service's upstreams in order of ID.
func (l *List) Of(service string) []*Upstream { return l.byService[service] }

// All returns all upstreams in no order.
func (l *List) All() []*Upstream {
	list := make([]*Upstream, 0, len(l.byID))
	for _, u := range l.byID {
		list = append(list, u)
	}
	return list
}
