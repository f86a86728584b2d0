package board

import (
	"testing"
	"time"
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
