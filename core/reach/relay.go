package reach

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the order of relays.
const (
	restTime  = time.Second     // for which a relay that failed is tried last
	workedTTL = 3 * time.Second // for which a relay that worked is tried first
	maxRelays = 64              // remembered; more are nodes that have left
	// As long as fewer relays than wantedRelays work, this share of attempts tries another one first, so that one node does
	// not carry everything.
	wantedRelays = 3
	exploreShare = 0.25
)

// Relay is another node that can connect to upstreams for this one.
type Relay struct {
	Name       string
	DataCentre string
	Address    string // IP:port of its tunnels
}

// relayState is what is known of a relay.
type relayState struct {
	workedAt time.Time
	failedAt time.Time
}

// RelayWorked records that a relay connected to an upstream.
func (t *Tracker) RelayWorked(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setRelay(name, relayState{workedAt: t.now()})
}

// RelayMissed records that a relay could not connect to an upstream. This may be the upstream's fault, so it says nothing
// about a relay that has worked lately.
func (t *Tracker) RelayMissed(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.relays[name]; !t.workedLately(s) {
		t.setRelay(name, relayState{failedAt: t.now()})
	}
}

// workedLately reports whether a relay's latest outcome is a recent success. The caller holds the lock.
func (t *Tracker) workedLately(s relayState) bool {
	return !s.workedAt.IsZero() && t.now().Sub(s.workedAt) <= workedTTL
}

// RelayFailed records that a relay could not be reached or refused.
func (t *Tracker) RelayFailed(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setRelay(name, relayState{failedAt: t.now()})
}

// setRelay replaces the state of a relay and bounds their number. The caller holds the lock.
func (t *Tracker) setRelay(name string, s relayState) {
	if _, ok := t.relays[name]; !ok && len(t.relays) >= maxRelays {
		clear(t.relays)
	}
	t.relays[name] = s
}

// Rank of a relay in the order of attempts; lower ones come first.
const (
	rankWorked    = iota // it worked lately
	rankNear             // the first one of the node's own data centre
	rankElsewhere        // in other data centres: one cut often hits many nodes of one
	rankAlsoNear         // the others of the own data centre
	rankFailed           // it failed lately
	rankCount     = iota
)

// Order returns at most limit of the relays, in the order in which a node of a data centre tries them.
func (t *Tracker) Order(relays []Relay, dataCentre string, limit int) []Relay {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	shuffled := slices.Clone(relays)
	slices.SortFunc(shuffled, func(a, b Relay) int { return cmp.Compare(a.Name, b.Name) }) // callers may pass them in a map's order
	t.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	var ranked [rankCount][]Relay
	for _, r := range shuffled {
		s := t.relays[r.Name]
		rank := rankElsewhere
		switch {
		case t.workedLately(s):
			rank = rankWorked
		case !s.failedAt.IsZero() && now.Sub(s.failedAt) < restTime:
			rank = rankFailed
		case r.DataCentre == dataCentre && len(ranked[rankNear]) == 0:
			rank = rankNear
		case r.DataCentre == dataCentre:
			rank = rankAlsoNear
		}
		ranked[rank] = append(ranked[rank], r)
	}
	worked, untried := ranked[rankWorked], slices.Concat(ranked[rankNear:rankFailed]...)
	if len(worked) < wantedRelays && len(untried) > 0 && t.random.Float64() < exploreShare {
		worked, untried = slices.Concat(untried[:1], worked), untried[1:]
	}
	ordered := slices.Concat(worked, untried, ranked[rankFailed])
	return ordered[:min(limit, len(ordered))]
}
