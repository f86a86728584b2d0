package crash

import (
	"fmt"
	"testing"
	"time"
)

// TestMarksOfInventedRequestsAreBounded guards against marks and clearances, sent by anyone under names that nobody else knows, that
// make a registry grow without bound, and against the loss of the latest ones.
func TestMarksOfInventedRequestsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry(func() time.Time { return now }, func() uint64 { return 1 }, time.Minute)
	const count = 3 * maxSeen
	for i := range count {
		if i%maxRecords == 0 {
			now = now.Add(time.Millisecond)
		}
		f := Fingerprint(fmt.Sprint("invented-", i))
		r.ApplyMark(Mark{Fingerprint: f, Upstream: "u", Stamp: uint64(2*i + 1)})
		if i < 3*maxCleared {
			r.ApplyMark(Mark{Fingerprint: f, Stamp: uint64(2*i + 2), Cleared: true})
		}
		if _, ok := r.seen[deathID{f, "u"}]; !ok {
			t.Fatalf("mark %d is not remembered", i)
		}
	}
	for _, m := range []struct {
		name      string
		got, most int
	}{
		{"records", len(r.records), maxRecords}, {"deaths", len(r.deaths), maxDeaths},
		{"seen", len(r.seen), maxSeen}, {"cleared", len(r.cleared), maxCleared}, {"contested", len(r.contested), maxCleared},
	} {
		if m.got > m.most {
			t.Errorf("%d %s, want at most %d", m.got, m.name, m.most)
		}
	}
}
