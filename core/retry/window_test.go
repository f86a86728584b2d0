package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowKeepsTheBound plays requests and repeats of several nodes at any times: in no window do all of them
// together make more repeats than the share of the requests in that window, the one before or half a window before,
// plus the extra. Nodes hear of each other late, some of them never.
func TestWindowKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, extra, window = 0.2, 40.0, 10 * time.Second
		const period, lag = 150 * time.Millisecond, 3 // periods
		nodes := rapid.IntRange(1, 6).Draw(t, "nodes")
		deaf := rapid.IntRange(0, nodes).Draw(t, "nodes that hear nothing and are not heard")
		now := time.Unix(1000, 0)
		budgets := make([]*Window, nodes)
		for i := range budgets {
			budgets[i] = NewWindow(share, extra, window)
			budgets[i].now = func() time.Time { return now }
			budgets[i].SetNodes(nodes)
		}
		var history [][]map[uint32]Count
		var told time.Time
		tell := func() {
			told = now
			var counts []map[uint32]Count
			for _, b := range budgets {
				counts = append(counts, b.Counts())
			}
			if history = append(history, counts); len(history) <= lag {
				return
			}
			for i := deaf; i < nodes; i++ {
				for j := deaf; j < nodes; j++ {
					if i != j {
						budgets[i].Hear(fmt.Sprint(j), 1, history[len(history)-1-lag][j])
					}
				}
			}
		}
		var firsts, repeats []time.Time
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if now.Sub(told) >= period {
				tell()
			}
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

// TestWindowLendsWhatOthersLeave holds that a node whose own part is spent may draw on what the others leave, and that
// it may not once all together have spent the common part.
func TestWindowLendsWhatOthersLeave(t *testing.T) {
	for _, test := range []struct {
		name   string
		others Count
		want   int // least repeats, of 50 tries in 5 s
	}{
		{"the others repeat little", Count{Firsts: 2000, Repeats: 10}, 20},
		{"the others have spent it", Count{Firsts: 2000, Repeats: 600}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := NewWindow(0.2, 200, 10*time.Second)
			w.now = func() time.Time { return now }
			w.SetNodes(20)
			w.First("s")
			own := 0
			for w.Take("s") {
				own++
			}
			got := 0
			for range 50 {
				now = now.Add(100 * time.Millisecond)
				w.Hear("*", 19, map[uint32]Count{Tag("s"): test.others})
				if w.Take("s") {
					got++
				}
			}
			if got < test.want || test.want == 0 && got > 0 {
				t.Errorf("%d repeats beyond the node's own %d, wanted %d", got, own, test.want)
			}
		})
	}
}
