package mesh

import (
	"maps"
	"sync"
	"time"

	"rhubarbspread/io/mesh/wire"
)

// Limits on what nodes that the store doesn't list make this one hold. Such datagrams come from nodes that have just started, or from
// anyone under any name.
const (
	// maxUnlisted is the number of their names: those of a fleet of 1,000 that starts before this node has read the list.
	maxUnlisted = 1024
	// maxUnlistedBytes is the encoded size of their latest datagrams. That of a node that has just started has some 200 bytes. Decoded
	// ones are up to 36 times as large.
	maxUnlistedBytes = 512 << 10
)

// Names of the counters that WithCounter's function gets.
const (
	counterUnlisted   = "refused-by-unlisted-nodes"
	counterUnreadable = "datagrams-unreadable"
	counterMarks      = "refused-by-crash-marks" // datagrams with too many, and marks with too long names
)

// WithCounter sets a function that counts refused datagrams by the name of a counter.
func WithCounter(f func(name string)) Option { return func(m *Mesh) { m.count = f } }

// admits reports whether the latest datagram of a node, of an encoded size, may be kept: that of a listed node always, those of others
// within the limits. The caller holds the lock.
func (m *Mesh) admits(d *wire.Digest, size int, listed map[string]Node) bool {
	if _, ok := listed[d.GetNode()]; ok {
		return true
	}
	names, bytes := 1, size
	for name, s := range m.peers {
		if _, ok := listed[name]; ok {
			continue
		}
		if name != d.GetNode() {
			names++
			bytes += s.latestBytes
		}
		if s.ownDigest != s.latest && (name != d.GetNode() || d.GetScope() != wire.Scope_NODE) {
			bytes += s.ownBytes
		}
	}
	return names <= maxUnlisted && bytes <= maxUnlistedBytes
}

// dropSilentUnlisted forgets the nodes that are neither listed nor alive.
func (m *Mesh) dropSilentUnlisted(listed map[string]Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.peers, func(name string, s *peerState) bool {
		_, ok := listed[name]
		return !ok && time.Since(s.LastSeen) > peerTTL
	})
}

// refuseUnlisted counts and logs a datagram that is not kept.
func (m *Mesh) refuseUnlisted(d *wire.Digest) {
	m.count(counterUnlisted)
	if n := m.unlistedLines.due(); n > 0 {
		m.log.Info("datagram-refused", "limit", "unlisted-nodes", "other", shortName(d.GetNode()), "count", n)
	}
}

// refuseUnreadable counts and logs a datagram that can't be decoded.
func (m *Mesh) refuseUnreadable(cause error) {
	m.count(counterUnreadable)
	if n := m.unreadableLines.due(); n > 0 {
		m.log.Info("datagram-unreadable", "cause", cause.Error(), "count", n)
	}
}

// maxLoggedName is the length of an unknown node's name in log lines.
const maxLoggedName = 64

func shortName(name string) string { return name[:min(len(name), maxLoggedName)] }

// boundedLines bounds the log lines on one kind of event, which others may cause at any rate.
type boundedLines struct {
	mu       sync.Mutex
	loggedAt time.Time
	count    int // since the latest line
}

// due counts an event, and returns 0, or the number of events since the latest line if a line is due.
func (b *boundedLines) due() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count++
	if time.Since(b.loggedAt) < failureLogPeriod {
		return 0
	}
	n := b.count
	b.loggedAt, b.count = time.Now(), 0
	return n
}
