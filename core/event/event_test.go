package event_test

import (
	"testing"
	"time"

	"rhubarbspread/core/event"
)

// TestCausesComeFirst merges the timelines of two nodes whose wall clocks differ by seconds, and checks that the order
// is causal.
func TestCausesComeFirst(t *testing.T) {
	base := time.Unix(1_000_000, 0)
	for _, skew := range []time.Duration{-5 * time.Second, 0, 5 * time.Second} {
		a := event.NewRing("a", event.NewClock(func() time.Time { return base }), 8)
		b := event.NewRing("b", event.NewClock(func() time.Time { return base.Add(skew) }), 8)
		a.Append(event.Event{Kind: "cause"})
		b.Clock().Observe(a.Clock().Next())
		b.Append(event.Event{Kind: "effect"})
		a.Clock().Observe(b.Clock().Next())
		a.Append(event.Event{Kind: "consequence"})
		got := ""
		for _, e := range event.Merge(a.Select(event.Filter{}), b.Select(event.Filter{})) {
			got += e.Kind + " "
		}
		if got != "cause effect consequence " {
			t.Errorf("skew %v: %s", skew, got)
		}
	}
}

func TestRingForgetsTheOldest(t *testing.T) {
	r := event.NewRing("a", event.NewClock(time.Now), 3)
	for _, kind := range []string{"1", "2", "3", "4"} {
		r.Append(event.Event{Kind: kind})
	}
	events := r.Select(event.Filter{})
	if len(events) != 3 || events[0].Kind != "2" || events[2].Kind != "4" {
		t.Errorf("got %v", events)
	}
}
