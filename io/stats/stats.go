package stats

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of histograms, which count microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Set holds the metrics of one node.
type Set struct {
	vars       *expvar.Map
	mu         sync.Mutex
	histograms map[string]*Histogram // by name; those that Observe created
}

// New returns an empty set.
func New() *Set { return &Set{vars: new(expvar.Map).Init(), histograms: make(map[string]*Histogram)} }

// Counter returns the counter of a name and creates it on first use.
func (s *Set) Counter(name string) *expvar.Int {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v
	}
	s.vars.Add(name, 0)
	return s.vars.Get(name).(*expvar.Int)
}

// Gauge publishes a value that f returns each time the metrics are read.
func (s *Set) Gauge(name string, f func() any) { s.vars.Set(name, expvar.Func(f)) }

// Histogram creates and publishes a histogram of durations; its name ends in the unit, -us.
func (s *Set) Histogram(name string) *Histogram {
	h := &Histogram{hdr: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
	s.vars.Set(name, expvar.Func(h.summary))
	return h
}

// Handler serves the metrics as JSON.
func (s *Set) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, "%s\n", s.vars.String())
	})
}

// Count adds one to a counter.
func (s *Set) Count(name string) { s.Counter(name).Add(1) }

// Observe records a duration in the histogram of a name, which ends in -us, and creates it on first use.
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

// Text serves the metrics as text, one "name value" pair a line; a histogram gives one line for each of its statistics,
// with the statistic as the suffix of the name.
func (s *Set) Text() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		s.vars.Do(func(kv expvar.KeyValue) {
			read, ok := kv.Value.(expvar.Func)
			if !ok {
				fmt.Fprintf(w, "%s %s\n", kv.Key, kv.Value)
				return
			}
			if sum, ok := read().(summary); ok {
				fmt.Fprintf(w, "%s-count %d\n%s-p50 %d\n%s-p95 %d\n%s-p99 %d\n%s-max %d\n", kv.Key, sum.Count,
					kv.Key, sum.P50, kv.Key, sum.P95, kv.Key, sum.P99, kv.Key, sum.Max)
				return
			}
			fmt.Fprintf(w, "%s %v\n", kv.Key, read())
		})
	})
}

// Histogram records durations.
type Histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
}

// Add records a duration.
func (h *Histogram) Add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.hdr.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// summary holds a histogram's count of values, percentiles and maximum, in microseconds.
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
	return summary{
		h.hdr.TotalCount(), h.hdr.ValueAtQuantile(50), h.hdr.ValueAtQuantile(95), h.hdr.ValueAtQuantile(99), h.hdr.Max(),
	}
}
