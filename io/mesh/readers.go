package mesh

import (
	"cmp"
	"slices"
	"time"
)

// Evidence is what the other nodes say of the store.
type Evidence struct {
	// When the store last confirmed that it has nothing newer than what this node has; zero if unknown.
	RulesConfirmedAt, ListConfirmedAt time.Time
	// Whether a node that is alive has newer ones.
	RulesBehind, ListBehind bool
	// The newest versions that a live node has.
	RulesVersion, ListVersion uint64
}

// role is what a node does for others.
type role struct {
	isRelay  bool // it adds up the digests of its data centre
	isReader bool // it reads the store
}

// setRole sets what this node does for others in this period.
func (m *Mesh) setRole(r role) {
	if old := m.role.Swap(&r); old == nil && r != (role{}) || old != nil && *old != r {
		m.log.Info("role", "relay", r.isRelay, "reads-store-for-others", r.isReader)
	}
}

func (m *Mesh) isReader() bool {
	r := m.role.Load()
	return r != nil && r.isReader
}

// maxReaders is how many nodes read the store for all others. Their word reaches every data centre over the relays.
const maxReaders = 3

// readersOf returns the nodes that read the store for the others: the first relays that are not silent, from different data
// centres if there are so many.
func (m *Mesh) readersOf(relays map[string]relaySet) []string {
	var first, others []string
	for _, set := range relays {
		first = append(first, set.active[0])
		others = append(others, set.active[1:]...)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	byRank := func(a, b string) int {
		return cmp.Or(cmp.Compare(m.silentRank(a), m.silentRank(b)), cmp.Compare(NameHash(a), NameHash(b)))
	}
	slices.SortFunc(first, byRank)
	slices.SortFunc(others, byRank)
	all := append(first, others...)
	return all[:min(maxReaders, len(all))]
}

// LeavesReading reports whether other nodes read the store in this one's place. Where the nodes exchange their states directly,
// each reads for itself.
func (m *Mesh) LeavesReading() bool { return m.usesRelays() && !m.isReader() }

// ReadsForMembers reports whether other nodes leave polling the store to this one.
func (m *Mesh) ReadsForMembers() bool { return m.isReader() }

// EvidenceFor returns what the other nodes say of the store to a node with the given versions. A confirmation counts only from
// a node that has nothing newer, with the age that it had on arrival.
func (m *Mesh) EvidenceFor(rulesVersion, listVersion uint64) Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var e Evidence
	for _, s := range m.peers {
		if time.Since(s.LastSeen) > peerTTL {
			continue
		}
		e.RulesVersion, e.ListVersion = max(e.RulesVersion, s.RulesVersion), max(e.ListVersion, s.ListVersion)
		if s.RulesVersion > rulesVersion {
			e.RulesBehind = true
		} else if s.RulesConfirmedAt.After(e.RulesConfirmedAt) {
			e.RulesConfirmedAt = s.RulesConfirmedAt
		}
		if s.ListVersion > listVersion {
			e.ListBehind = true
		} else if s.ListConfirmedAt.After(e.ListConfirmedAt) {
			e.ListConfirmedAt = s.ListConfirmedAt
		}
	}
	return e
}
