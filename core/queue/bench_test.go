package queue

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"rhubarbspread/core/admit"
)

// fill joins requests of several ranks and teams that find no capacity.
func fill(q *Queue, count int) {
	for i := range count {
		e := Entry{Rank: admit.Rank{Secondary: i % 3}, Team: fmt.Sprint(i % 20), Tokens: 1000, AimUntil: time.Now().Add(time.Hour)}
		if w := q.Join(e); hasTurn(w) {
			w.Pass()
		}
	}
}

// BenchmarkWake measures a wake with waiting requests, which runs under the lock of the board.
func BenchmarkWake(b *testing.B) {
	for _, count := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			q := New()
			fill(q, count)
			for b.Loop() {
				q.Wake()
			}
		})
	}
}

// BenchmarkJoin measures a request that joins waiting ones and leaves again.
func BenchmarkJoin(b *testing.B) {
	for _, count := range []int{0, 100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			q := New()
			fill(q, count)
			for b.Loop() {
				q.Join(Entry{Rank: admit.Rank{Secondary: 1}, Team: "t", Tokens: 1000}).Leave(true)
			}
		})
	}
}

// BenchmarkState measures the memory of a queue with waiting requests and the tags of teams.
func BenchmarkState(b *testing.B) {
	for _, count := range []int{100, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			before := liveBytes()
			kept := New()
			fill(kept, count)
			after := liveBytes()
			for b.Loop() {
				fill(New(), count)
			}
			b.ReportMetric(float64(after-before)/float64(count), "bytes/waiter")
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
