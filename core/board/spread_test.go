package board

import (
	"math"
	"testing"
	"time"

	"rhubarbspread/core/fleet"
)

// TestManyNodesSpreadTheirChoices guards against nodes that all choose the same upstreams while they do not know of each
// other's requests yet: 300 nodes with views of 0.3 s sent so many to the cheapest ones that these refused every eighth
// request, preempted others, and six in ten answers came late.
func TestManyNodesSpreadTheirChoices(t *testing.T) {
	for _, size := range staleSizes {
		t.Run(size.name, func(t *testing.T) {
			t.Parallel()
			c := size.staleCase
			c.duration = 4 * time.Second
			r := newStaleFleet(c, 1).play()
			t.Log(r)
			if share := float64(r.refused) / float64(r.arrivals); share > 0.01 {
				t.Errorf("upstreams refused %.4f of the requests, want at most 0.01", share)
			}
			if r.preempted > 0 {
				t.Errorf("%d requests were preempted", r.preempted)
			}
		})
	}
}

// TestChoiceTellsWhatItRestedOn guards against log lines on choices from which nobody sees how old the node's knowledge was.
func TestChoiceTellsWhatItRestedOn(t *testing.T) {
	near, far := upstream("near", "a", "big", 0, 80), upstream("far", "b", "big", 0, 80)
	for _, tc := range []struct {
		name    string
		list    []*fleet.Upstream
		unseen  float64
		hasNext bool
	}{
		{"one data centre", []*fleet.Upstream{near}, 15, false},
		{"two data centres", []*fleet.Upstream{near, far}, 15, true},
		{"an unknown rate", []*fleet.Upstream{near, far}, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := doubtingNode(newClock(), 1, 4, tc.list) // a view of 0.2 s
			e := b.ReservePath(tc.list, need()).Evidence
			unseen := e.Unseen(tc.unseen / 0.2 * 4 / 3) // the node sees its own quarter at once
			if e.ViewAge != 200*time.Millisecond || math.Abs(unseen-tc.unseen) > 0.01 || e.Cost <= 0 ||
				(e.NextCost > 0) != tc.hasNext || tc.hasNext && e.NextCost < e.Cost {
				t.Errorf("the choice rested on %+v, want a view of 0.2 s, %v unseen and a next cost: %v", e, tc.unseen, tc.hasNext)
			}
		})
	}
}

// TestShortageTellsWhatIsLacking guards against refusals from whose log line nobody sees whether room or speed was lacking.
func TestShortageTellsWhatIsLacking(t *testing.T) {
	list := []*fleet.Upstream{upstream("u", "a", "big", 0, 80)}
	for _, tc := range []struct {
		name    string
		need    func(n *Need)
		hasPath bool
	}{
		{"room", func(n *Need) { n.PromptTokens = 1e9 }, false},
		{"speed", func(n *Need) { n.FirstEventLimit = time.Microsecond }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := doubtingNode(newClock(), 1, 4, list)
			n := need()
			tc.need(n)
			if b.ReservePath(list, n) != nil {
				t.Fatal("there is a path")
			}
			if s := b.ShortageOf(list, n); s.HasPath != tc.hasPath || (s.FirstEvent > n.FirstEventLimit) != tc.hasPath ||
				s.Evidence.ViewAge != 200*time.Millisecond {
				t.Errorf("%+v, want a path that is too slow: %v", s, tc.hasPath)
			}
		})
	}
}
