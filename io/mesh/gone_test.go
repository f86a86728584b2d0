package mesh

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/crash"
)

// goneGroup returns a group of 18 nodes in three data centres, and how many of each are gone for good: those that come first as relays.
func goneGroup(t *testing.T, gone int) *group {
	const nodes = 18
	g := newGroup(t, nodes, "a", "b", "c")
	byDataCentre := make(map[string][]*member)
	for _, m := range g.nodes {
		byDataCentre[m.dataCentre] = append(byDataCentre[m.dataCentre], m)
	}
	for _, list := range byDataCentre {
		slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(NameHash(a.config.Node), NameHash(b.config.Node)) })
		for _, m := range list[:gone] {
			m.isStopped = true
		}
	}
	return g
}

// TestMarksSpreadThoughGoneNodesComeFirst guards against relays that nobody hears of: the rows of nodes that are gone for good stay in
// the list, and no mark of a crash reached any other node once such nodes came first.
func TestMarksSpreadThoughGoneNodesComeFirst(t *testing.T) {
	const bound = 10 * time.Second // from the latest replacement to the next crash
	for _, gone := range []int{1, 2, 3, 4} {
		for _, direct := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d of 6 in each data centre, seen before as few nodes: %v", gone, direct), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := goneGroup(t, gone)
					sequence := uint32(0)
					deliver := func(d time.Duration) {
						for range d / gossipPeriod {
							sequence++
							g.deliver(sequence)
						}
					}
					if direct {
						var stopped, live []*member
						for _, m := range g.nodes {
							if m.isStopped {
								stopped = append(stopped, m)
								m.isStopped = false
							} else {
								live = append(live, m)
							}
						}
						for _, m := range live[:3] { // the new ones
							m.isStopped, m.isUnlisted = true, true
						}
						deliver(3 * time.Second)
						for _, m := range stopped {
							m.isStopped = true
						}
						for _, m := range live[:3] {
							m.isStopped, m.isUnlisted = false, false
						}
					}
					deliver(bound)
					var live []*member
					for _, m := range g.nodes {
						if !m.isStopped {
							live = append(live, m)
						}
					}
					for i, m := range live {
						m.BroadcastMark(crash.Mark{Fingerprint: "f", Upstream: fmt.Sprint("u", i), Stamp: uint64(i + 1)})
					}
					deliver(6 * gossipPeriod)
					for _, m := range live {
						seen := make(map[string]bool)
						for _, mark := range m.receivedMarks {
							seen[mark.Upstream] = true
						}
						if len(seen) < len(live)-1 {
							t.Errorf("%s has the marks of %d other nodes, want %d", m.config.Node, len(seen), len(live)-1)
						}
					}
				})
			})
		}
	}
}
