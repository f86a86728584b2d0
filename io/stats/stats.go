package stats

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Constants of histograms: microseconds up to ten minutes with three digits.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

// Set is the figures of one node.
type Set struct{ vars *expvar.Map }

// New returns an empty set.
func New() *Set { return &Set{vars: new(expvar.Map).Init()} }

// Counter returns the total of a name, which is made at its first use.
func (s *Set) Counter(name string) *expvar.Int {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v
	}
	s.vars.Add(name, 0)
	return s.vars.Get(name).(*expvar.Int)
}

// Gauge publishes a figure that is read when it is asked for.
func (s *Set) Gauge(name string, f func() any) { s.vars.Set(name, expvar.Func(f)) }

// Histogram returns a histogram of times, published under a name that ends in its unit, -us.
func (s *Set) Histogram(name string) *Histogram {
	h := &Histogram{h: hdrhistogram.New(lowest, highest, digits)}
	s.vars.Set(name, expvar.Func(h.summary))
	return h
}

// Handler serves the figures as JSON.
func (s *Set) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, "%s\n", s.vars.String())
	})
}

// Histogram counts times.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Add counts a time.
func (h *Histogram) Add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

func (h *Histogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P95   int64 `json:"p95"`
		P99   int64 `json:"p99"`
		Max   int64 `json:"max"`
	}{h.h.TotalCount(), h.h.ValueAtQuantile(50), h.h.ValueAtQuantile(95), h.h.ValueAtQuantile(99), h.h.Max()}
}
