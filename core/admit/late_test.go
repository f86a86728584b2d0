package admit

import (
	"testing"
	"time"
)

// TestCallersWhoComeBackAreRecognized guards against requests that can still meet their objective and wait behind ones that have
// missed it elsewhere, and against callers taken for such ones because others begin with more time.
func TestCallersWhoComeBackAreRecognized(t *testing.T) {
	const usual, objective = 20 * time.Second, 500 * time.Millisecond
	repeat := func(left time.Duration, count int) []time.Duration {
		list := make([]time.Duration, count)
		for i := range list {
			list[i] = left
		}
		return list
	}
	spread := make([]time.Duration, 200) // from 17 to 20 s
	for i := range spread {
		spread[i] = usual - time.Duration(i*7%200)*15*time.Millisecond
	}
	var halves []time.Duration
	for range 40 {
		halves = append(halves, usual, usual/2)
	}
	for _, tc := range []struct {
		name   string
		before []time.Duration
		left   time.Duration
		want   bool
	}{
		{"less time by more than the objective", repeat(usual, 20), usual - time.Second, true},
		{"less time by less than the objective", repeat(usual, 20), usual - objective/2, false},
		{"more time", repeat(usual, 20), 2 * usual, false},
		{"few requests before", repeat(usual, enoughTimes-1), usual - time.Second, false},
		{"callers begin with different times", spread, usual - 5*time.Second, true},
		{"the least of different times", spread, usual - 3*time.Second, false},
		{"half begin with less time", halves, usual / 2, false},
		{"callers now begin with less time", append(repeat(usual, 20), repeat(usual/2, 60)...), usual / 2, false},
		{"few had less time", append(append(repeat(usual, 40), usual/2), repeat(usual, 40)...), usual / 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s startTime
			for _, left := range tc.before {
				s.add(left)
			}
			if got := s.isUnder(tc.left, objective); got != tc.want {
				t.Errorf("%v, want %v, at an estimate of %v", got, tc.want, s.least)
			}
		})
	}
}

// TestLateRequestOfASmallClassIsRecognized guards against callers who come back and are taken for fresh ones, as their class has too few
// requests at the node to tell their usual time, and against a class whose callers begin with less time that is taken for late as a whole.
func TestLateRequestOfASmallClassIsRecognized(t *testing.T) {
	const usual = 20 * time.Second
	for _, tc := range []struct {
		name         string
		ownRequests  int // of the class, each with half of the usual time
		left         time.Duration
		hasObjective bool
		want         bool
	}{
		{"the usual time", 0, usual, true, false},
		{"less", 0, usual / 2, true, true},
		{"less, without an objective", 0, usual / 2, false, false},
		{"the class's own usual time", enoughTimes, usual / 2, true, false},
		{"less than that", enoughTimes, usual / 4, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController(newClock())
			classes := threeClasses()
			if !tc.hasObjective {
				classes[0].FirstEvent = 0
			}
			c.SetClasses(classes)
			for range 100 * enoughTimes {
				c.Offer(Request{Rank: urgent, Left: usual}).Admit()
			}
			for range tc.ownRequests {
				c.Offer(Request{Rank: patient, Left: usual / 2}).Admit()
			}
			if got := c.Offer(Request{Rank: patient, Left: tc.left}).IsLate(); got != tc.want {
				t.Errorf("late %v, want %v", got, tc.want)
			}
		})
	}
}

// TestReturnsTeachNoUsualTime guards against callers who come back from a shortage and pass for ones who begin with little time.
func TestReturnsTeachNoUsualTime(t *testing.T) {
	const usual, patience = 20 * time.Second, 6 * time.Second
	clock := newClock()
	c := newController(clock)
	for range enoughTimes {
		c.Offer(Request{Rank: urgent, Left: usual}).Admit()
	}
	for range 100 {
		clock.at = clock.at.Add(100 * time.Millisecond)
		offer(c, patient, 4, (*Ticket).Refuse)
		limitsOf(c, patient)
		c.Offer(Request{Rank: patient, Left: usual - patience}).Admit()
	}
	if !c.Offer(Request{Rank: patient, Left: usual - patience}).IsLate() {
		t.Error("a caller who came back passes for a fresh one")
	}
	clock.at = clock.at.Add(usual)
	for range 500 {
		c.Offer(Request{Rank: patient, Left: usual - patience}).Admit()
	}
	if c.Offer(Request{Rank: patient, Left: usual - patience}).IsLate() {
		t.Error("callers who begin with less time are still late after 500 requests without a shortage")
	}
}

// TestLateRequestsHaveTheLimitsOfTheirClass guards against callers who come back and are refused again while there is room: late
// requests are kept from the room of others by their place in the queue, not by narrower limits.
func TestLateRequestsHaveTheLimitsOfTheirClass(t *testing.T) {
	const usual = 20 * time.Second
	for _, rank := range []Rank{urgent, patient} {
		c := newController(newClock())
		for range enoughTimes {
			c.Offer(Request{Rank: urgent, Left: usual}).Admit()
		}
		late, inTime := c.Offer(Request{Rank: rank, Left: usual / 2}), c.Offer(Request{Rank: rank, Left: usual})
		if !late.IsLate() || inTime.IsLate() {
			t.Fatalf("late %v %v, want true false", late.IsLate(), inTime.IsLate())
		}
		if got, want := late.Limits(), inTime.Limits(); got != want {
			t.Errorf("%+v, want %+v", got, want)
		}
	}
}
