package mesh

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/io/mesh/wire"
)

// Times and limits of the exchange of crash marks.
const (
	markRepeatTime = 3 * time.Second // for which a mark is repeated, since datagrams get lost
	// evidencePeriods is the number of periods between two datagrams with the marks of quarantined requests that a
	// receiver lacks, as a node does that has restarted or was cut off.
	evidencePeriods = 4
	maxMarks        = 96 // in one datagram, which all its claims share
	// maxReceivedMarks is how many marks of one datagram are applied: more than builds with a larger maxMarks may send.
	maxReceivedMarks = 4 * maxMarks
	// maxMarkName is the length of the names in a mark, in bytes; fingerprints have 37.
	maxMarkName = 256
	// urgentMarkTime is for how long a mark is in each datagram; later it is repeated with the evidence only. A relay sends
	// all marks of its data centre to each member, over a link that may be slow.
	urgentMarkTime = 3 * gossipPeriod
)

// recentMark is a mark that each datagram repeats for a while.
type recentMark struct {
	mark   crash.Mark
	sentAt time.Time // when it was first sent
}

// BroadcastMark sends a mark to the other nodes, with the next datagrams.
func (m *Mesh) BroadcastMark(mark crash.Mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recentMarks = append(m.recentMarks, recentMark{mark, time.Now()})
}

// marksToSend drops old marks and returns the others, and in some periods also the evidence that other nodes lack.
func (m *Mesh) marksToSend(sequence uint32, evidence []crash.Mark) []*wire.Crash {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recentMarks = slices.DeleteFunc(m.recentMarks, func(r recentMark) bool {
		return time.Since(r.sentAt) > markRepeatTime
	})
	var list []*wire.Crash
	for _, mark := range m.crashes.Acquittals() {
		list = append(list, encodeMark(mark))
	}
	for _, r := range m.recentMarks {
		if sequence%evidencePeriods != 0 && time.Since(r.sentAt) > urgentMarkTime {
			continue
		}
		mark := r.mark
		mark.Age += time.Since(r.sentAt)
		list = append(list, encodeMark(mark))
	}
	if sequence%evidencePeriods != 0 {
		return limitMarks(list)
	}
	for _, mark := range append(m.missingEvidence(evidence), m.crashes.OpenMarks()...) {
		list = append(list, encodeMark(mark))
	}
	return limitMarks(list)
}

// limitMarks returns the most important marks: clearances and those of quarantines, those of parts, of which a death has
// few, then the latest. When a rack or a data centre fails, there are many, which say little.
func limitMarks(list []*wire.Crash) []*wire.Crash {
	if len(list) <= maxMarks {
		return list
	}
	rank := func(c *wire.Crash) int {
		switch {
		case c.GetQuarantined() || c.GetCleared():
			return 0
		case crash.Fingerprint(c.GetFingerprint()).IsPart():
			return 1
		}
		return 2
	}
	slices.SortFunc(list, func(a, b *wire.Crash) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.GetStamp(), a.GetStamp()))
	})
	return list[:maxMarks]
}

// missingEvidence returns the marks of requests that at least one live node does not have in quarantine. The caller
// holds the lock.
func (m *Mesh) missingEvidence(evidence []crash.Mark) []crash.Mark {
	live := 0
	holders := make(map[uint32]int) // live nodes with a quarantine, by its hash
	for _, s := range m.peers {
		if time.Since(s.LastSeen) > peerTTL {
			continue
		}
		live++
		for _, hash := range s.latest.GetQuarantined() {
			holders[hash]++
		}
	}
	var missing []crash.Mark
	for _, mark := range evidence {
		if holders[quarantineHash(mark)] < live {
			missing = append(missing, mark)
		}
	}
	return missing
}

// quarantinedHashes returns the hash of each quarantine in evidence once.
func quarantinedHashes(evidence []crash.Mark) []uint32 {
	hashes := make(map[uint32]bool)
	for _, mark := range evidence {
		hashes[quarantineHash(mark)] = true
	}
	return slices.Collect(maps.Keys(hashes))
}

// quarantineHash returns a hash of what a mark states of a quarantine: of what, and how often it was prolonged.
func quarantineHash(mark crash.Mark) uint32 {
	return uint32(mark.Fingerprint.Key()) + uint32(mark.Prolonged)
}

// applyMarks applies the crash marks in a digest that was on its way for a time, up to a limit that no node reaches.
func (m *Mesh) applyMarks(d *wire.Digest, onTheWay time.Duration) {
	crashes := d.GetCrashes()
	if n := len(crashes); n > maxReceivedMarks {
		m.count(counterMarks)
		if lines := m.markLines.due(); lines > 0 {
			m.log.Info("datagram-refused", "limit", "crash-marks", "other", shortName(d.GetNode()), "marks", n, "count", lines)
		}
	}
	for _, c := range crashes[:min(len(crashes), maxReceivedMarks)] {
		if max(len(c.GetFingerprint()), len(c.GetUpstream()), len(c.GetDataCentre())) > maxMarkName {
			m.count(counterMarks)
			continue
		}
		m.crashes.ApplyMark(crash.Mark{
			Fingerprint: crash.Fingerprint(c.GetFingerprint()), Upstream: c.GetUpstream(), DataCentre: c.GetDataCentre(),
			Stamp: c.GetStamp(), Symptom: crash.Symptom(c.GetSign()), Cleared: c.GetCleared(),
			Age: milliseconds(c.GetAgeMs()) + onTheWay, Quarantined: c.GetQuarantined(),
			Prolonged: int(c.GetProlonged()), Ran: time.Duration(c.GetRanMs()) * time.Millisecond,
		})
	}
}

func encodeMark(mark crash.Mark) *wire.Crash {
	return &wire.Crash{
		Fingerprint: string(mark.Fingerprint), Upstream: mark.Upstream, DataCentre: mark.DataCentre, Stamp: mark.Stamp,
		Sign: uint32(mark.Symptom), Cleared: mark.Cleared, AgeMs: encodeAge(mark.Age),
		Quarantined: mark.Quarantined, Prolonged: uint32(mark.Prolonged), RanMs: uint32(mark.Ran.Milliseconds()),
	}
}
