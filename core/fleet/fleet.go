package fleet

import (
	"cmp"
	"slices"
)

// Range is layers From up to To, which is not included.
type Range struct{ From, To int }

// Len returns the number of layers.
func (r Range) Len() int { return max(0, r.To-r.From) }

// Holds reports whether all of another range's layers are in this one.
func (r Range) Holds(s Range) bool { return r.From <= s.From && s.To <= r.To }

// Upstream is one life of a replica that takes requests.
type Upstream struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Card       string // kind of accelerator, or "" for a plain service
	Slots      int
	Draining   bool
	Layers     Range // of a model that it holds; empty if none
	Born       int64 // tells two lives of one ID apart
}

// List is the upstreams at one moment; it is never changed once made.
type List struct {
	version uint64
	byID    map[string]*Upstream
	byName  map[string][]*Upstream // by service, in order of ID
}

// NewList returns a list as of a version of the platform's table.
func NewList(version uint64, upstreams []*Upstream) *List {
	l := &List{version: version, byID: make(map[string]*Upstream, len(upstreams)), byName: make(map[string][]*Upstream)}
	for _, u := range upstreams {
		l.byID[u.ID] = u
		l.byName[u.Service] = append(l.byName[u.Service], u)
	}
	for _, s := range l.byName {
		slices.SortFunc(s, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return l
}

// Version returns the version of the platform's table that the list shows.
func (l *List) Version() uint64 { return l.version }

// Len returns the number of upstreams.
func (l *List) Len() int { return len(l.byID) }

// Get returns an upstream by ID, or nil.
func (l *List) Get(id string) *Upstream { return l.byID[id] }

// Of returns a service's upstreams in order of ID.
func (l *List) Of(service string) []*Upstream { return l.byName[service] }

// All returns all upstreams in no order.
func (l *List) All() []*Upstream {
	list := make([]*Upstream, 0, len(l.byID))
	for _, u := range l.byID {
		list = append(list, u)
	}
	return list
}
