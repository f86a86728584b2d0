package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWindowKeepsTheBound draws requests and retries of several nodes at arbitrary times and guards against exceeding
// the shared budget: in no window do all nodes together make more retries than the share of the requests in that window
// or in the one before, plus the extra. Counts from other nodes arrive late, and isolated nodes exchange none.
func TestWindowKeepsTheBound(t *testing.T) { rapid.Check(t, checkBound(false)) }

// TestRestartedNodesKeepTheBound guards against nodes that spend the retry budget anew each time they restart.
func TestRestartedNodesKeepTheBound(t *testing.T) { rapid.Check(t, checkBound(true)) }

// checkBound returns the property that the bound holds; with restarts, nodes lose what they know from time to time.
func checkBound(restarts bool) func(t *rapid.T) {
	return func(t *rapid.T) {
		const share, extra, window = 0.2, 40.0, 10 * time.Second
		const period, lag = 150 * time.Millisecond, 3 // periods
		nodes := rapid.IntRange(1, 6).Draw(t, "nodes")
		isolated := rapid.IntRange(0, nodes).Draw(t, "isolated nodes")
		now := time.Unix(1000, 0)
		budgets := make([]*Window, nodes)
		start := func(i int, at time.Time) {
			budgets[i] = NewWindow(share, extra, window)
			budgets[i].now = func() time.Time { return now }
			budgets[i].startedAt = at
			budgets[i].SetNodes(nodes)
		}
		for i := range budgets {
			start(i, now.Add(-window))
		}
		var reports [][]map[uint32]Count
		var coverages [][]Coverage
		var exchangedAt time.Time
		exchange := func() {
			exchangedAt = now
			var counts []map[uint32]Count
			var coverage []Coverage
			for _, b := range budgets {
				counts = append(counts, b.Counts())
				coverage = append(coverage, b.Coverage())
			}
			coverages = append(coverages, coverage)
			if reports = append(reports, counts); len(reports) <= lag {
				return
			}
			for i := isolated; i < nodes; i++ {
				for j := isolated; j < nodes; j++ {
					if i != j {
						n := len(reports) - 1 - lag
						budgets[i].MergeCounts(fmt.Sprint(j), coverages[n][j], reports[n][j])
					}
				}
			}
		}
		var requestTimes, retryTimes []time.Time
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if now.Sub(exchangedAt) >= period {
				exchange()
			}
			if restarts && rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				start(rapid.IntRange(0, nodes-1).Draw(t, "restarted node"), now)
			}
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				b.RecordFirstAttempt("s")
				requestTimes = append(requestTimes, now)
			} else if b.Take("s") {
				if rapid.IntRange(0, 4).Draw(t, "refund") == 0 { // it reached no upstream
					b.Refund("s", now)
				} else {
					retryTimes = append(retryTimes, now)
				}
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
			inWindow := max(count(requestTimes, from, now), count(requestTimes, from.Add(-window), from))
			if got, most := count(retryTimes, from, now), share*inWindow+extra+1; got > most {
				t.Fatalf("%v retries in a window with %v requests, want at most %v", got, inWindow, most)
			}
		}
	}
}

func TestWindowOfManyNodesStillRepeats(t *testing.T) {
	w := NewWindow(0.2, 200, 10*time.Second)
	w.startedAt = time.Now().Add(-time.Minute)
	w.SetNodes(1000)
	for range 5 {
		w.RecordFirstAttempt("s")
	}
	if !w.Take("s") {
		t.Error("five requests at a share of 0.2 do not earn a retry")
	}
	if w.Take("s") {
		t.Error("five requests at a share of 0.2 earn two retries")
	}
}

// TestWindowLendsWhatOthersLeave checks that a node that has spent its own part may borrow what other nodes leave
// unused, and that it may not once the retries of all nodes have reached the share that may be borrowed.
func TestWindowLendsWhatOthersLeave(t *testing.T) {
	for _, test := range []struct {
		name   string
		others Count
		want   int // fewest retries of 50 tries in 5 s; 0 means exactly none
	}{
		{"the others retry little", Count{FirstAttempts: 2000, Retries: 10}, 20},
		{"the others have spent the budget", Count{FirstAttempts: 2000, Retries: 600}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := NewWindow(0.2, 200, 10*time.Second)
			w.now = func() time.Time { return now }
			w.startedAt = now.Add(-time.Minute)
			w.SetNodes(20)
			w.RecordFirstAttempt("s")
			ownRetries := 0
			for w.Take("s") {
				ownRetries++
			}
			got := 0
			for range 50 {
				now = now.Add(100 * time.Millisecond)
				w.MergeCounts("*", Coverage{Nodes: 19, Settled: 19}, map[uint32]Count{ServiceHash("s"): test.others})
				if w.Take("s") {
					got++
				}
			}
			if got < test.want || test.want == 0 && got > 0 {
				t.Errorf("%d retries beyond the node's own %d, want %d", got, ownRetries, test.want)
			}
		})
	}
}

// TestRefundedRetryMayBeSpentAgain checks that a retry that reached no upstream is returned once, and not after its window.
func TestRefundedRetryMayBeSpentAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindow(0.2, 0, 10*time.Second)
	w.now = func() time.Time { return now }
	w.startedAt = now.Add(-time.Minute)
	w.SetNodes(1)
	for range 6 {
		w.RecordFirstAttempt("s")
	}
	if !w.Take("s") || w.Take("s") {
		t.Fatal("six requests at a share of 0.2 do not earn exactly one retry")
	}
	takenAt := now
	now = now.Add(time.Second)
	w.Refund("s", takenAt)
	w.Refund("s", takenAt)
	if !w.Take("s") || w.Take("s") {
		t.Error("a refunded retry can't be spent exactly once more")
	}
	takenAt = now
	now = now.Add(time.Minute)
	w.Refund("s", takenAt)
	if got := w.Totals("s"); got.Retries != 0 {
		t.Errorf("%d retries a minute later, want none", got.Retries)
	}
}
