package fleet

import (
	"testing"
	"time"
)

// TestOutage checks when a lapsed entry counts as gone: a bound of two seconds holds for one that lapses while the
// store is well, so that only an outage of the list itself may put it off.
func TestOutage(t *testing.T) {
	const least, grace = 1200 * time.Millisecond, 2200 * time.Millisecond
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name   string
		events func(o *Outage)
		now    time.Time
		late   bool // the lapse does not count yet
	}{
		{"never lost", func(*Outage) {}, at(0), false},
		{"a call that failed once", func(o *Outage) { o.Lost(at(0)); o.Back(at(300)) }, at(500), false},
		{"lost for long, just back", func(o *Outage) { o.Lost(at(0)); o.Back(at(4000)) }, at(4100), true},
		{"lost for long, back for long", func(o *Outage) { o.Lost(at(0)); o.Back(at(4000)) }, at(6300), false},
		{"still lost, told by another node", func(o *Outage) { o.Lost(at(0)) }, at(100), true},
		{"fails again and again", func(o *Outage) { o.Lost(at(0)); o.Lost(at(1000)); o.Back(at(1300)) }, at(1400), true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			o := NewOutage(least, grace)
			tc.events(o)
			if late := tc.now.Before(o.Until(tc.now)); late != tc.late {
				t.Errorf("put off: %v, want %v", late, tc.late)
			}
		})
	}
}
