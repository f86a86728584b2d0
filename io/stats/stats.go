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
type Set struct {
	vars       *expvar.Map
	mu         sync.Mutex
	histograms map[string]*Histogram // those made by Observe
}

// New returns an empty set.
func New() *Set { return &Set{vars: new(expvar.Map).Init(), histograms: make(map[string]*Histogram)} }

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

// Count adds one to a counter.
func (s *Set) Count(name string) { s.Counter(name).Add(1) }

// Observe counts a time in the histogram of a name, which is made at its first use and ends in -us.
func (s *Set) Observe(name string, d time.Duration) {
	s.mu.Lock()
	h := s.histograms[name]
	if h == nil {
		h = s.Histogram(name)
		s.histograms[name] = h
	}
	s.mu.Unlock()
	h.Add(d)
}

// Text serves the figures as lines of a name and a value; those of a histogram end in its figure.
func (s *Set) Text() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		s.vars.Do(func(kv expvar.KeyValue) {
			f, ok := kv.Value.(expvar.Func)
			if !ok {
				fmt.Fprintf(w, "%s %s\n", kv.Key, kv.Value)
				return
			}
			if sum, ok := f().(summary); ok {
				fmt.Fprintf(w, "%s-count %d\n%s-p50 %d\n%s-p95 %d\n%s-p99 %d\n%s-max %d\n", kv.Key, sum.Count,
					kv.Key, sum.P50, kv.Key, sum.P95, kv.Key, sum.P99, kv.Key, sum.Max)
				return
			}
			fmt.Fprintf(w, "%s %v\n", kv.Key, f())
		})
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

// summary is a histogram's figures in its unit.
type summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func (h *Histogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return summary{h.h.TotalCount(), h.h.ValueAtQuantile(50), h.h.ValueAtQuantile(95), h.h.ValueAtQuantile(99), h.h.Max()}
}
