package admit

import (
	"testing"
	"time"
)

// TestCallersComeBackByTheCapacityOfAllNodes guards against callers who are called back by one node's own counts, against callers of the
// most urgent class who are held back for others, and against those who came back before and take the place of first ones.
func TestCallersComeBackByTheCapacityOfAllNodes(t *testing.T) {
	const left, callers = 20 * time.Second, 40
	calm := map[Rank]Count{urgent: {Offered: 50}}
	short := map[Rank]Count{urgent: {Offered: 80, Unserved: 30}, usual: {Offered: 60, Unserved: 60}, patient: {Offered: 60, Unserved: 60}}
	for _, tc := range []struct {
		name    string
		others  map[Rank]Count
		news    time.Duration // age of the shortage at the others
		silence time.Duration // since the others' last counts
		class   Rank
		isLate  bool
		most    int // of the callers that are called back
		least   int
	}{
		{"nothing else goes unserved", calm, 2 * time.Second, 0, usual, false, callers, callers},
		{"capacity for all of the most urgent", short, 2 * time.Second, 0, urgent, false, callers, 30},
		{"capacity for some of the next class", short, 2 * time.Second, 0, usual, false, 12, 4},
		{"none for the least urgent", short, 2 * time.Second, 0, patient, false, 1, 0},
		{"none for those who came back before", short, 2 * time.Second, 0, urgent, true, 4, 0},
		{"a shortage that the others have not told of", calm, 0, 0, usual, false, 2, 1},
		{"a node that is cut off", short, 2 * time.Second, 2 * time.Second, urgent, false, 2, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock := newClock()
			c := newController(clock)
			counts := make(map[uint32]Count)
			for rank, count := range tc.others {
				counts[ClassHash("s", rank)] = count
			}
			for range tc.news / (100 * time.Millisecond) {
				c.Merge("others", counts)
				offer(c, patient, 1, func(q *Ticket) {
					q.Refuse()
					q.RetryAfter(left, 0)
				})
				clock.at = clock.at.Add(100 * time.Millisecond)
			}
			c.Merge("others", counts)
			clock.at = clock.at.Add(tc.silence)
			called := 0
			for range callers {
				q := c.Offer(Request{Rank: tc.class, Team: "t"})
				q.isLate = tc.isLate
				q.Refuse()
				after := q.RetryAfter(left, 0)
				if after <= left/3 {
					called++
				} else if after < 2*left/5 || after > 3*left/5 {
					t.Errorf("told to come back after %v", after)
				}
			}
			if called < tc.least || called > tc.most {
				t.Errorf("%d of %d callers called back, want %d to %d", called, callers, tc.least, tc.most)
			}
		})
	}
}
