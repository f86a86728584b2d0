package mesh

import (
	"maps"
	"slices"
	"time"

	"rhubarbspread/io/mesh/wire"
)

// awaitTime is how long a node may count as a relay without a datagram from it until it counts as silent. Its row may be all that is
// left of it. It exceeds peerTTL, as a relay that has just started has to read the rows of the others first.
const awaitTime = 3 * time.Second

// awaited tracks the relays from which this node should hear and has not heard yet.
type awaited struct {
	since  map[string]time.Time // since when a node counts as a relay, by name
	silent map[string]bool      // nodes that did so for awaitTime
	turn   int                  // of the candidates that are tried one after the other
}

func newAwaited() awaited {
	return awaited{since: make(map[string]time.Time), silent: make(map[string]bool)}
}

// heard records a datagram from a node.
func (a *awaited) heard(name string) {
	delete(a.since, name)
	delete(a.silent, name)
}

// await records from which nodes this one should hear now.
func (a *awaited) await(names []string, now time.Time) {
	maps.DeleteFunc(a.since, func(name string, _ time.Time) bool { return !slices.Contains(names, name) })
	for _, name := range names {
		since, ok := a.since[name]
		switch {
		case !ok:
			a.since[name] = now
		case now.Sub(since) > awaitTime:
			a.silent[name] = true
		}
	}
}

// awaitRelays records that this node should hear from the relays of its own data centre and, if it is one, from those of the others.
func (m *Mesh) awaitRelays(relays map[string]relaySet, others map[string]Node) {
	isRelay := slices.Contains(relays[m.config.DataCentre].active, m.config.Node)
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for dataCentre, set := range relays {
		for _, name := range set.active {
			if name != m.config.Node && (isRelay || dataCentre == m.config.DataCentre) && !m.isHeard(name) {
				names = append(names, name)
			}
		}
	}
	m.awaited.await(names, time.Now())
	maps.DeleteFunc(m.awaited.silent, func(name string, _ bool) bool { _, ok := others[name]; return !ok })
	m.awaited.turn++
}

// isHeard reports whether a datagram of a node has arrived of late. The caller holds the lock.
func (m *Mesh) isHeard(name string) bool {
	s := m.peers[name]
	return s != nil && time.Since(s.LastSeen) <= peerTTL
}

// isHeardAsRelay reports whether a node has sent sums of late. The caller holds the lock.
func (m *Mesh) isHeardAsRelay(name string) bool {
	return m.isHeard(name) && m.peers[name].latest.GetScope() != wire.Scope_NODE
}

// receiversOf returns to which candidates of a data centre datagrams are sent: to the first ones and the active relays, to those that
// act as relays though this node would choose others, and to each one in turn while none does.
func (m *Mesh) receiversOf(names, active []string) []string {
	receivers := slices.Clone(names[:len(active)])
	isAnyHeard := false
	for _, name := range names {
		if name == m.config.Node {
			isAnyHeard = isAnyHeard || slices.Contains(active, name)
		} else if m.isHeardAsRelay(name) {
			isAnyHeard = true
			receivers = append(receivers, name)
		}
	}
	receivers = append(receivers, active...)
	if !isAnyHeard {
		receivers = append(receivers, names[m.awaited.turn%len(names)])
	}
	slices.Sort(receivers)
	return slices.Compact(receivers)
}
