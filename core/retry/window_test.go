package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowKeepsTheBound plays requests and repeats of several nodes at any times: in no window do all of them
// together make more repeats than the share of the requests in that window, the one before or half a window before,
// plus the extra.
func TestWindowKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, extra, window = 0.2, 40.0, 10 * time.Second
		nodes := rapid.IntRange(1, 6).Draw(t, "nodes")
		now := time.Unix(1000, 0)
		budgets := make([]*Window, nodes)
		for i := range budgets {
			budgets[i] = NewWindow(share, extra, window)
			budgets[i].now = func() time.Time { return now }
			budgets[i].SetNodes(nodes)
		}
		var firsts, repeats []time.Time
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				b.First("s")
				firsts = append(firsts, now)
			} else if b.Take("s") {
				repeats = append(repeats, now)
			}
			count := func(times []time.Time, from, to time.Time) float64 {
				n := 0.0
				for _, at := range times {
					if at.After(from) && !at.After(to) {
						n++
					}
				}
				return n
			}
			from := now.Add(-window)
			requests := max(count(firsts, from, now), count(firsts, from.Add(-window), from))
			if got, most := count(repeats, from, now), share*requests+extra+1; got > most {
				t.Fatalf("%v repeats in a window with %v requests, at most %v allowed", got, requests, most)
			}
		}
	})
}

func TestWindowOfManyNodesStillRepeats(t *testing.T) {
	w := NewWindow(0.2, 200, 10*time.Second)
	w.SetNodes(1000)
	for range 5 {
		w.First("s")
	}
	if !w.Take("s") {
		t.Error("five requests at a share of 0.2 do not earn a repeat")
	}
	if w.Take("s") {
		t.Error("five requests earn two repeats")
	}
}
