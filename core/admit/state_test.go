package admit

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkState measures the memory of a controller: its classes, the counts of other nodes and the shares of teams.
func BenchmarkState(b *testing.B) {
	for _, tc := range []struct{ classes, peers, teams int }{{3, 1, 300}, {3, 15, 300}, {32, 1, 2800}, {32, 15, maxTeams}} {
		b.Run(fmt.Sprintf("%d_classes,_%d_peers,_%d_teams", tc.classes, tc.peers, tc.teams), func(b *testing.B) {
			const sample = 10 // controllers, for a mean
			kept := make([]*Controller, 0, sample)
			before := liveBytes()
			for range sample {
				kept = append(kept, newLargeController(tc.classes, tc.peers, tc.teams))
			}
			after := liveBytes()
			for b.Loop() {
				newLargeController(tc.classes, tc.peers, tc.teams)
			}
			b.ReportMetric(float64(after-before)/sample, "bytes/controller")
			runtime.KeepAlive(kept)
		})
	}
}

// liveBytes returns the size of the heap after a collection.
func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// newLargeController returns a controller of which each team has sent a request and each peer has sent all classes.
func newLargeController(classes, peers, teams int) *Controller {
	c := New("s")
	var list []Class
	for i := range classes {
		list = append(list, Class{Rank{Secondary: i}, 500 * time.Millisecond, 250 * time.Millisecond})
	}
	c.SetClasses(list)
	for i := range teams {
		c.Offer(Request{Rank: list[i%classes].Rank, Team: fmt.Sprint(i), Tokens: 1000}).Admit()
	}
	for p := range peers {
		counts := make(map[uint32]Count)
		for _, class := range list {
			counts[ClassHash("s", class.Rank)] = Count{100, 3}
		}
		c.Merge(fmt.Sprint(p), counts)
	}
	return c
}
