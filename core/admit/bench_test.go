package admit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkLimits measures the limits of one request, which are asked for each search of capacity and for each log line.
func BenchmarkLimits(b *testing.B) {
	for _, tc := range []struct{ classes, peers int }{{3, 1}, {3, 15}, {32, 15}} {
		b.Run(fmt.Sprintf("%d_classes,_%d_peers", tc.classes, tc.peers), func(b *testing.B) {
			c := New("s")
			var classes []Class
			counts := make(map[uint32]Count)
			for i := range tc.classes {
				r := Rank{Secondary: i}
				classes = append(classes, Class{r, 500 * time.Millisecond, 250 * time.Millisecond})
				counts[ClassHash("s", r)] = Count{100, 3}
			}
			c.SetClasses(classes)
			t := c.Offer(Request{Rank: classes[tc.classes-1].Rank, Team: "t", Tokens: 1000})
			for i := 0; b.Loop(); i++ {
				if i%1000 == 0 { // the counts of a node expire after a second
					for p := range tc.peers {
						c.Merge(fmt.Sprint(p), counts)
					}
				}
				t.Limits()
			}
		})
	}
}

// BenchmarkTicket measures the arrival and the admission of a request.
func BenchmarkTicket(b *testing.B) {
	c := newController(newClock())
	for i := 0; b.Loop(); i++ {
		c.Offer(Request{Rank: usual, Team: "t", Tokens: float64(i % 1000)}).Admit()
	}
}

// BenchmarkRetryAfter measures the refusal of a request and its Retry-After, which follows the counts of all nodes.
func BenchmarkRetryAfter(b *testing.B) {
	c := newController(newClock())
	counts := make(map[uint32]Count)
	for _, class := range threeClasses() {
		counts[ClassHash("s", class.Rank)] = Count{100, 50}
	}
	c.SetClasses(threeClasses())
	for p := range 15 {
		c.Merge(fmt.Sprint(p), counts)
	}
	for b.Loop() {
		t := c.Offer(Request{Rank: usual, Team: "t", Tokens: 1000, Left: 20 * time.Second})
		t.Refuse()
		t.RetryAfter(20*time.Second, 0.5)
	}
}
