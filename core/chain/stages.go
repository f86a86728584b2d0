package chain

import (
	"math"
	"sync"
	"time"

	"rhubarbspread/core/route"
)

// Constants of stages.
const (
	ejectBase    = 200 * time.Millisecond
	ejectLimit   = 8 * time.Second
	defaultRate  = 400.0
	defaultSlots = 4
)

// Stages is what one node knows of the upstreams of one split model.
type Stages struct {
	model  string
	layers int
	now    func() time.Time
	mu     sync.Mutex
	stages []*stage
}

type stage struct {
	upstream *route.Upstream
	draining bool
	report   route.Report
	reported bool
	link     time.Duration
	work     float64 // layers of our requests assigned here
	failures int
	ejected  time.Time
}

// NewStages returns the stages of a model with a number of layers.
func NewStages(model string, layers int, now func() time.Time) *Stages {
	return &Stages{model: model, layers: layers, now: now}
}

// Layers returns the number of layers of the model.
func (s *Stages) Layers() int { return s.layers }

// Set replaces the upstreams and keeps what is known of those that stay.
func (s *Stages) Set(upstreams []*route.Upstream, draining map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]*stage, len(s.stages))
	for _, st := range s.stages {
		known[st.upstream.Name()] = st
	}
	s.stages = s.stages[:0:0]
	for _, u := range upstreams {
		st := known[u.Name()]
		if st == nil || *st.upstream != *u {
			st = &stage{upstream: u}
		}
		st.draining = draining[u.Name()]
		s.stages = append(s.stages, st)
	}
}

// SetReport notes an upstream's late account of its load.
func (s *Stages) SetReport(name string, r route.Report, link time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.find(name); st != nil {
		st.report = r
		st.reported = true
		if st.link == 0 || link < st.link {
			st.link = link
		}
	}
}

func (s *Stages) find(name string) *stage {
	for _, st := range s.stages {
		if st.upstream.Name() == name {
			return st
		}
	}
	return nil
}

// Capacity returns how many requests the stages together work on at once, and the tokens a second of
// one request, for the admission before them.
func (s *Stages) Capacity() (requests int, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	options := s.options(nil)
	plan := Make(options, Range{0, s.layers})
	if plan == nil {
		return 0, 0
	}
	seconds := 0.0
	for _, st := range plan {
		for i := range options {
			if options[i].Upstream == st.Upstream {
				seconds += options[i].Link.Seconds() + float64(st.Range.Len())/options[i].Rate
			}
		}
	}
	bound := Bound(options, Range{0, s.layers})
	// As many requests as tokens leave in the time that one takes through the chain keep it full; some
	// more cover the spread.
	return max(1, int(bound*seconds*fill)+1), 1 / seconds
}

// fill is how many more requests than the bare pipeline holds are let in.
const fill = 4

// Plan returns a chain over a range of layers that avoids some upstreams, or nil, and counts its work.
func (s *Stages) Plan(layers Range, avoid map[string]bool) Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Make(s.options(avoid), layers)
	for _, st := range p {
		s.find(st.Upstream.Name()).work += float64(st.Range.Len())
	}
	return p
}

// Release takes a plan's work back.
func (s *Stages) Release(p Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range p {
		if found := s.find(st.Upstream.Name()); found != nil {
			found.work = max(0, found.work-float64(st.Range.Len()))
		}
	}
}

func (s *Stages) options(avoid map[string]bool) []Option {
	now := s.now()
	var out []Option
	for _, st := range s.stages {
		u := st.upstream
		if st.draining || st.report.Leaving || avoid[u.Name()] || now.Before(st.ejected) {
			continue
		}
		o := Option{Upstream: u, Rate: defaultRate, Slots: defaultSlots, Link: st.link}
		if st.reported && st.report.Rate > 0 {
			o.Rate = st.report.Rate
			o.Slots = max(1, st.report.Slots)
		}
		out = append(out, o)
	}
	s.setPrices(out)
	return out
}

// setPrices prices each upstream by its part of the assigned work over its part of the capacity: a chain
// avoids what would become the bottleneck, the more so the fuller the whole is.
func (s *Stages) setPrices(options []Option) {
	work, capacity, slots := 0.0, 0.0, 0.0
	for i := range options {
		work += s.find(options[i].Upstream.Name()).work
		capacity += options[i].capacity()
		slots += float64(max(options[i].Slots, 1))
	}
	if work == 0 {
		return
	}
	// Work fills the whole when every slot has the layers of one chain assigned.
	fullness := work / float64(s.layers) / slots
	for i := range options {
		o := &options[i]
		relative := s.find(o.Upstream.Name()).work / work * capacity / o.capacity()
		o.Price = fullness * math.Pow(relative, priceExponent)
	}
}

// priceExponent makes the price steep about an even load.
const priceExponent = 4

// Failed keeps new chains from an upstream for a time that doubles with each failure in a row.
func (s *Stages) Failed(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.find(name); st != nil {
		st.failures++
		st.ejected = s.now().Add(min(ejectBase<<min(st.failures-1, 10), ejectLimit))
	}
}

// Succeeded forgets an upstream's failures.
func (s *Stages) Succeeded(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.find(name); st != nil {
		st.failures = 0
	}
}

// Usable reports whether an upstream that holds a chain's state may go on with it. One that is leaving may.
func (s *Stages) Usable(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.find(name)
	return st != nil && !s.now().Before(st.ejected)
}
