package mesh

import (
	"cmp"
	"slices"
	"time"

	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh/wire"
)

// Word is what the store last confirmed of one topic to some node, as far as a node knows.
type Word struct {
	Through store.Revision // up to which the node has all changes
	Changed store.Revision // of the newest change that it knows of, or of its snapshot
	// ConfirmedAt is when the store confirmed that nothing has changed since, or a little earlier, in this node's time; zero if that
	// is not known.
	ConfirmedAt time.Time
}

// encodeWord returns nil for a word that says nothing. Its age counts until now.
func encodeWord(w Word, now time.Time) *wire.Word {
	if w.ConfirmedAt.IsZero() {
		return nil
	}
	return &wire.Word{Era: w.Changed.Era, Changed: w.Changed.Number, Through: w.Through.Number,
		AgeMs: encodeAge(now.Sub(w.ConfirmedAt))}
}

// decodeWord returns a word that was encoded at a time or later. If the time is zero, the word confirms nothing, but still tells of
// the newest change.
func decodeWord(w *wire.Word, encodedAt time.Time) Word {
	if w == nil {
		return Word{}
	}
	word := Word{Through: store.Revision{Era: w.GetEra(), Number: w.GetThrough()},
		Changed: store.Revision{Era: w.GetEra(), Number: w.GetChanged()}}
	if !encodedAt.IsZero() {
		word.ConfirmedAt = encodedAt.Add(-milliseconds(w.GetAgeMs()))
	}
	return word
}

// Evidence is what the other nodes say of the store on one topic to a node that has all changes up to some revision.
type Evidence struct {
	ConfirmedAt time.Time // when the store last confirmed that it has no others; zero if unknown
	ConfirmedBy string    // name of the node that says so
	IsBehind    bool      // another node knows of one that this node may lack
}

// add adds the word that reached another node.
func (e *Evidence) add(node string, w Word, through store.Revision) {
	switch {
	case w.Changed.Compare(through) > 0:
		e.IsBehind = true
	case w.ConfirmedAt.After(e.ConfirmedAt):
		e.ConfirmedAt, e.ConfirmedBy = w.ConfirmedAt, node
	}
}

// role is what a node does for others.
type role struct {
	isRelay  bool // it adds up the digests of its data centre
	isReader bool // it reads the store; of few nodes, the configuration
}

// setRole sets what this node does for others in this period.
func (m *Mesh) setRole(r role) {
	if old := m.role.Swap(&r); old == nil && r != (role{}) || old != nil && *old != r {
		m.log.Info("role", "relay", r.isRelay, "reads-store-for-others", r.isReader)
	}
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

// ReadsForOthers reports whether other nodes leave polling the store to this one.
func (m *Mesh) ReadsForOthers() bool {
	r := m.role.Load()
	return r != nil && r.isReader
}

// LeavesReading reports whether other nodes read the store in this one's place. Where the nodes exchange their states directly,
// each reads for itself.
func (m *Mesh) LeavesReading() bool { return m.usesRelays() && !m.ReadsForOthers() }

// Role returns what this node does for others, as logs show it: "reader" of the store, "relay", "member" of many nodes, or "alone"
// where the nodes exchange their states directly and each reads for itself.
func (m *Mesh) Role() string {
	r := m.role.Load()
	switch {
	case r != nil && r.isReader:
		return "reader"
	case !m.usesRelays():
		return "alone"
	case r != nil && r.isRelay:
		return "relay"
	}
	return "member"
}

// EvidenceFor returns what the other nodes say of the store on a topic to a node that has all changes up to a revision. A
// confirmation counts only if the newest change before it is one that this node has.
func (m *Mesh) EvidenceFor(t store.Topic, through store.Revision) Evidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var e Evidence
	for _, s := range m.peers {
		if time.Since(s.LastSeen) <= peerTTL {
			e.add(s.Name, s.wordOn(t), through)
		}
	}
	return e
}

// wordOn returns the store's word on a topic that reached the node; of the nodes there is none.
func (p *Peer) wordOn(t store.Topic) Word {
	switch t {
	case store.Configuration:
		return p.RulesWord
	case store.Upstreams:
		return p.ListWord
	}
	return Word{}
}
