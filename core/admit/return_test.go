package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// returnsOf lets nodes admit and refuse requests for a time, and returns how many of their callers come back in each second. Callers have 20 s left
// and come back within a third of it only. The counts of the others reach each node after a delay.
func returnsOf(nodes int, admittedPerSecond, refusedPerSecond float64, seconds int) []int {
	const left, step, delay = 20 * time.Second, 50 * time.Millisecond, 9
	random := rand.New(rand.NewPCG(1, uint64(nodes)))
	clock := newClock()
	var controllers []*Controller
	for range nodes {
		c := New("s", WithClock(clock.now))
		c.SetClasses(threeClasses())
		controllers = append(controllers, c)
	}
	began := clock.at
	var sums []map[uint32]Count // of all nodes, by step
	returns := make([]int, seconds+int(left/time.Second))
	for i := range seconds * int(time.Second/step) {
		for k := random.ExpFloat64() / admittedPerSecond; k < step.Seconds(); k += random.ExpFloat64() / admittedPerSecond {
			controllers[random.IntN(nodes)].Offer(Request{Rank: []Rank{urgent, usual, patient}[random.IntN(3)]}).Admit()
		}
		for k := random.ExpFloat64() / refusedPerSecond; k < step.Seconds(); k += random.ExpFloat64() / refusedPerSecond {
			t := controllers[random.IntN(nodes)].Offer(Request{Rank: []Rank{urgent, usual, patient}[random.IntN(3)]})
			t.Refuse()
			if after := t.RetryAfter(left, random.Float64()); after <= left/3 {
				returns[clock.at.Add(after).Sub(began)/time.Second]++
			}
		}
		sum := make(map[uint32]Count)
		for _, c := range controllers {
			for hash, count := range c.Counts() {
				sum[hash] = Count{sum[hash].Offered + count.Offered, sum[hash].Unserved + count.Unserved}
			}
		}
		if sums = append(sums, sum); i >= delay {
			for _, c := range controllers {
				others := make(map[uint32]Count)
				own := c.Counts()
				for hash, count := range sums[i-delay] {
					others[hash] = Count{max(0, count.Offered-own[hash].Offered), max(0, count.Unserved-own[hash].Unserved)}
				}
				c.Merge("all", others)
			}
		}
		clock.at = clock.at.Add(step)
	}
	return returns
}

// TestAllNodesCallBackNoMoreThanTheFleetAdmits guards against refused callers whom each node calls back at a pace of its own, and who come
// back to a fleet that has no room for them: each node and class called back two a second at least.
func TestAllNodesCallBackNoMoreThanTheFleetAdmits(t *testing.T) {
	const seconds, tolerance = 12, 1.25 // of a Poisson process of some 100 a second: two and a half standard deviations
	for _, tc := range []struct {
		nodes               int
		admissions, refused float64
	}{{2, 100, 400}, {61, 100, 400}, {61, 270, 100}, {370, 100, 400}, {370, 100, 2000}} {
		t.Run(fmt.Sprintf("%d nodes, %.0f admitted, %.0f refused", tc.nodes, tc.admissions, tc.refused), func(t *testing.T) {
			all := 0
			for second, count := range returnsOf(tc.nodes, tc.admissions, tc.refused, seconds) {
				all += count
				if float64(count) > tolerance*tc.admissions {
					t.Errorf("%d callers come back in second %d, the fleet admits %.0f", count, second, tc.admissions)
				}
			}
			if least := seconds * min(tc.admissions, tc.refused) / 2; float64(all) < least {
				t.Errorf("%d callers come back in all, want %.0f", all, least)
			}
		})
	}
}
