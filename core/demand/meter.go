package demand

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Bounds of the state and of digests.
const (
	// MaxEntries is how many entries a digest holds: six data centres with two services each fit, in some 400 bytes.
	MaxEntries = 16
	// entryTTL is the age at which reported rates expire. With one of two relays lost, a member gets a sum each 1.5 s
	// whose parts have waited for up to 1.5 s more.
	entryTTL = 4 * time.Second
	// maxSenders bounds the nodes with entries, since names of nodes come from the network.
	maxSenders = 1024
	// maxKnown bounds the sums by data centre and service, since their hashes come from the network.
	maxKnown = 256
)

// report is a rate as another node stated it.
type report struct {
	rate     Rate
	statedAt time.Time
}

// nodeReports holds what one other node stated.
type nodeReports struct {
	dataCentre string
	rates      map[uint32]report
}

// place is a service in a data centre.
type place struct{ dataCentre, service string }

// Meter holds the demand at its node and what is known of the other nodes'. It is safe for concurrent use.
type Meter struct {
	dataCentre string // of the node
	now        func() time.Time

	mu       sync.Mutex
	services map[string]*window // of this node, by service in scope
	places   map[uint32]place   // services in scope in the known data centres, by Hash
	nodes    map[string]nodeReports
	centres  map[uint32]report // sums of other data centres, from their own relays
	relayed  map[uint32]report // sums of all data centres, from a relay of this one
	dropped  int               // entries beyond the bounds
}

// Option configures a Meter.
type Option func(*Meter)

// WithClock sets the source of time.
func WithClock(now func() time.Time) Option { return func(m *Meter) { m.now = now } }

// New returns a meter for a node of a data centre that measures no service yet.
func New(dataCentre string, opts ...Option) *Meter {
	m := &Meter{
		dataCentre: dataCentre, now: time.Now, services: make(map[string]*window), places: make(map[uint32]place),
		nodes: make(map[string]nodeReports), centres: make(map[uint32]report), relayed: make(map[uint32]report),
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Configure sets the services in scope and the data centres of the fleet. What was measured of services that stay is kept.
func (m *Meter) Configure(services, dataCentres []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept, places := make(map[string]*window, len(services)), make(map[uint32]place)
	for _, service := range services {
		if kept[service] = m.services[service]; kept[service] == nil {
			kept[service] = &window{}
		}
		places[Hash(m.dataCentre, service)] = place{m.dataCentre, service}
		for _, dataCentre := range dataCentres {
			places[Hash(dataCentre, service)] = place{dataCentre, service}
		}
	}
	m.services, m.places = kept, places
}

// Offer records a request that arrived.
func (m *Meter) Offer(service string, tokens float64) {
	m.record(service, Rate{Offered: tokens})
}

// Admit records a request that got room.
func (m *Meter) Admit(service string) { m.record(service, Rate{Admitted: 1}) }

// Unserved records a request that was refused for lack of room or has waited too long.
func (m *Meter) Unserved(service string, tokens float64) {
	m.record(service, Rate{Unserved: tokens, Refused: 1})
}

func (m *Meter) record(service string, r Rate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w := m.services[service]; w != nil {
		slot := w.at(m.now())
		*slot = slot.plus(r)
	}
}

// Own returns the demand at this node by Hash. Services in scope that nobody asks for have zero rates, so that others know of them.
func (m *Meter) Own() map[uint32]Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return limit(m.own(m.now()))
}

func (m *Meter) own(now time.Time) map[uint32]Entry {
	own := make(map[uint32]Entry, len(m.services))
	for service, w := range m.services {
		own[Hash(m.dataCentre, service)] = Entry{Rate: w.rate(now)}
	}
	return own
}

// MergeNode replaces what is known of the demand at one other node.
func (m *Meter) MergeNode(node, dataCentre string, entries map[uint32]Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if _, ok := m.nodes[node]; !ok && len(m.nodes) >= maxSenders {
		m.expire(now)
		if len(m.nodes) >= maxSenders {
			m.dropped += len(entries)
			return
		}
	}
	r := nodeReports{dataCentre, make(map[uint32]report, min(len(entries), MaxEntries))}
	m.merge(r.rates, entries, MaxEntries, now)
	m.nodes[node] = r
}

// MergeCentre stores the sums that a relay of another data centre states for that one.
func (m *Meter) MergeCentre(entries map[uint32]Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(m.now())
	m.merge(m.centres, entries, maxKnown, m.now())
}

// MergeAll stores the sums that a relay of this data centre states for all.
func (m *Meter) MergeAll(entries map[uint32]Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(m.now())
	m.merge(m.relayed, entries, maxKnown, m.now())
}

// merge stores entries that are newer than those that are known, up to a number of them.
func (m *Meter) merge(known map[uint32]report, entries map[uint32]Entry, limit int, now time.Time) {
	for hash, e := range entries {
		r, ok := known[hash]
		if e.Age < 0 || e.Age > entryTTL {
			continue
		}
		if !ok && len(known) >= limit {
			m.dropped++
			continue
		}
		if at := now.Add(-e.Age); !ok || !at.Before(r.statedAt) {
			known[hash] = report{e.Rate, at}
		}
	}
}

// expire drops what has reached entryTTL.
func (m *Meter) expire(now time.Time) {
	isOld := func(_ uint32, r report) bool { return now.Sub(r.statedAt) > entryTTL }
	maps.DeleteFunc(m.centres, isOld)
	maps.DeleteFunc(m.relayed, isOld)
	maps.DeleteFunc(m.nodes, func(_ string, n nodeReports) bool {
		maps.DeleteFunc(n.rates, isOld)
		return len(n.rates) == 0
	})
}

// measured returns the sums of the nodes that report directly and are in this node's data centre or, if isOwn is false, in the
// others. Those of its own data centre include the node itself.
func (m *Meter) measured(isOwn bool, now time.Time) map[uint32]Entry {
	sums := make(map[uint32]Entry)
	if isOwn {
		sums = m.own(now)
	}
	for _, n := range m.nodes {
		if (n.dataCentre == m.dataCentre) != isOwn {
			continue
		}
		for hash, r := range n.rates {
			sum := sums[hash]
			sums[hash] = Entry{sum.plus(r.rate), max(sum.Age, now.Sub(r.statedAt))}
		}
	}
	return sums
}

// Centre returns the sums of the nodes of this data centre, of which this node is a relay, for the relays of others.
func (m *Meter) Centre() map[uint32]Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.expire(now)
	return limit(m.measured(true, now))
}

// All returns the sums of all data centres, of which this node knows as a relay, for the members of its own. Sums that another
// relay of its data centre stated are left out, as the two would confirm them to each other without end.
func (m *Meter) All() map[uint32]Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.expire(now)
	sums := m.measured(true, now)
	for hash, r := range m.centres {
		if _, ok := sums[hash]; !ok {
			sums[hash] = Entry{r.rate, now.Sub(r.statedAt)}
		}
	}
	return limit(sums)
}

// limit returns at most MaxEntries entries: those with the most unserved, and of the others those with the most offered.
func limit(entries map[uint32]Entry) map[uint32]Entry {
	if len(entries) <= MaxEntries {
		return entries
	}
	hashes := slices.SortedFunc(maps.Keys(entries), func(a, b uint32) int {
		x, y := entries[a], entries[b]
		return cmp.Or(cmp.Compare(y.Unserved, x.Unserved), cmp.Compare(y.Offered, x.Offered), cmp.Compare(a, b))
	})
	for _, hash := range hashes[MaxEntries:] {
		delete(entries, hash)
	}
	return entries
}

// ByDataCentre returns the demand for a service in scope, in the data centres of which it is known.
func (m *Meter) ByDataCentre(service string) map[string]Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byDataCentre(service, m.now())
}

func (m *Meter) byDataCentre(service string, now time.Time) map[string]Entry {
	m.expire(now)
	own, others := m.measured(true, now), m.measured(false, now)
	known := make(map[string]Entry)
	for hash, p := range m.places {
		if p.service != service {
			continue
		}
		measured := others
		if p.dataCentre == m.dataCentre {
			measured = own
		}
		if e, ok := m.latest(hash, p, measured, now); ok {
			known[p.dataCentre] = e
		}
	}
	return known
}

// latest returns the best known sum of a data centre: that of its own relay, then that of a relay of this data centre, then what
// nodes reported directly. Of its own data centre a relay has the members' reports, and a member the sum of a relay.
func (m *Meter) latest(hash uint32, p place, measured map[uint32]Entry, now time.Time) (Entry, bool) {
	own, ok := measured[hash]
	if p.dataCentre == m.dataCentre && m.hasMembers() {
		return own, ok
	}
	for _, sums := range []map[uint32]report{m.centres, m.relayed} {
		if r, isKnown := sums[hash]; isKnown {
			return Entry{r.rate, now.Sub(r.statedAt)}, true
		}
	}
	return own, ok
}

// hasMembers reports whether nodes of this data centre report directly.
func (m *Meter) hasMembers() bool {
	for _, n := range m.nodes {
		if n.dataCentre == m.dataCentre {
			return true
		}
	}
	return false
}

// Fleet returns the demand for a service over all data centres of which it is known, and whether any other node reported.
func (m *Meter) Fleet(service string) (Rate, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum Rate
	for _, e := range m.byDataCentre(service, m.now()) {
		sum = sum.plus(e.Rate)
	}
	return sum, len(m.nodes)+len(m.centres)+len(m.relayed) > 0
}

// Dropped returns how many entries of other nodes were beyond the bounds on state.
func (m *Meter) Dropped() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dropped
}

// Age returns the age of the oldest rate of another data centre that is in use, and 0 if there is none.
func (m *Meter) Age() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var age time.Duration
	for service := range m.services {
		for _, e := range m.byDataCentre(service, m.now()) {
			age = max(age, e.Age)
		}
	}
	return age
}

// UnservedShare returns the share of unserved tokens in the data centre and the service where it is highest.
func (m *Meter) UnservedShare() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	share := 0.0
	for service := range m.services {
		for _, e := range m.byDataCentre(service, m.now()) {
			share = max(share, e.UnservedShare())
		}
	}
	return share
}
