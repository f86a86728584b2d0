package admit

import "testing"

// TestLinkShares guards against an urgent class with less than the whole link budget, a class that is closed, and shares that differ
// where classes don't differ in priority.
func TestLinkShares(t *testing.T) {
	for _, tc := range []struct {
		name    string
		classes []Class
		refused int // of the urgent class, of 10
		rank    Rank
		want    float64
	}{
		{"most urgent", threeClasses(), 0, urgent, 1},
		{"most urgent under shortage", threeClasses(), 10, urgent, 1},
		{"usual", threeClasses(), 0, usual, 0.65},
		{"least urgent", threeClasses(), 0, patient, 0.3},
		{"least urgent under shortage", threeClasses(), 10, patient, narrowLinkShare},
		{"one class", threeClasses()[:1], 10, patient, 1},
		{"teams alone, without shortage", []Class{{Rank: Rank{0, 1}}, {Rank: Rank{2, 1}}}, 0, Rank{2, 1}, 1},
		{"out of force, 0 for all", nil, 10, patient, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController(newClock())
			c.SetClasses(tc.classes)
			offer(c, urgent, tc.refused, (*Ticket).Refuse)
			if got := limitsOf(c, tc.rank).LinkShare; got < tc.want-1e-9 || got > tc.want+1e-9 {
				t.Errorf("share %.2f, want %.2f", got, tc.want)
			}
		})
	}
}
