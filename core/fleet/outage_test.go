package fleet

import (
	"testing"
	"time"
)

// TestOutage checks when an expired entry counts as removed. An entry that expires while the store is available must be
// gone within two seconds, so only an outage of the list itself may start a grace period.
func TestOutage(t *testing.T) {
	const minOutage, gracePeriod = 1200 * time.Millisecond, 2200 * time.Millisecond
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name    string
		events  func(o *Outage)
		now     time.Time
		inGrace bool // an expired entry may still reappear
	}{
		{"no outage", func(*Outage) {}, at(0), false},
		{"one failed call", func(o *Outage) { o.ReadFailed(at(0)); o.ReadSucceeded(at(300)) }, at(500), false},
		{"long outage, just recovered", func(o *Outage) { o.ReadFailed(at(0)); o.ReadSucceeded(at(4000)) }, at(4100), true},
		{"long outage, recovered long ago", func(o *Outage) { o.ReadFailed(at(0)); o.ReadSucceeded(at(4000)) },
			at(6300), false},
		{"outage goes on, expiry reported by another node", func(o *Outage) { o.ReadFailed(at(0)) }, at(100), true},
		{"repeated failures", func(o *Outage) { o.ReadFailed(at(0)); o.ReadFailed(at(1000)); o.ReadSucceeded(at(1300)) },
			at(1400), true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			o := NewOutage(minOutage, gracePeriod)
			tc.events(o)
			if inGrace := tc.now.Before(o.GraceEnd(tc.now)); inGrace != tc.inGrace {
				t.Errorf("in the grace period: %v, want %v", inGrace, tc.inGrace)
			}
		})
	}
}
