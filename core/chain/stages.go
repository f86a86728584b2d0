package chain

import (
	"math"
	"sync"
	"time"

	"rhubarbspread/core/route"
)

// Outlier ejection, and defaults for upstreams that have not reported.
const (
	ejectionBase = 200 * time.Millisecond
	maxEjection  = 8 * time.Second
	defaultRate  = 400.0 // layers per second of one slot
	defaultSlots = 4
)

// Stages is the state that one node has of the upstreams of one split model.
type Stages struct {
	model     string
	layers    int
	now       func() time.Time
	mu        sync.Mutex
	upstreams []*upstreamState
}

// upstreamState is the state of one upstream that holds layers of the model.
type upstreamState struct {
	upstream           *route.Upstream
	draining           bool
	report             route.Report
	hasReport          bool
	rtt                time.Duration // shortest one measured
	assignedLayers     float64       // layers that this node's requests run here
	successiveFailures int
	ejectedUntil       time.Time
}

// NewStages returns the state of a model with a number of layers and no upstreams.
func NewStages(model string, layers int, now func() time.Time) *Stages {
	return &Stages{model: model, layers: layers, now: now}
}

// Layers returns the number of layers of the model.
func (s *Stages) Layers() int { return s.layers }

// Set replaces the upstreams and keeps the state of those that are unchanged.
func (s *Stages) Set(upstreams []*route.Upstream, draining map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]*upstreamState, len(s.upstreams))
	for _, st := range s.upstreams {
		known[st.upstream.Name()] = st
	}
	s.upstreams = s.upstreams[:0:0]
	for _, u := range upstreams {
		st := known[u.Name()]
		if st == nil || *st.upstream != *u {
			st = &upstreamState{upstream: u}
		}
		st.draining = draining[u.Name()]
		s.upstreams = append(s.upstreams, st)
	}
}

// SetReport records an upstream's latest load report, which may be out of date, and the round-trip time.
func (s *Stages) SetReport(name string, r route.Report, rtt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.find(name); st != nil {
		st.report = r
		st.hasReport = true
		if st.rtt == 0 || rtt < st.rtt {
			st.rtt = rtt
		}
	}
}

func (s *Stages) find(name string) *upstreamState {
	for _, st := range s.upstreams {
		if st.upstream.Name() == name {
			return st
		}
	}
	return nil
}

// Capacity returns, for admission, how many requests the stages can run concurrently and the tokens per second of one
// request.
func (s *Stages) Capacity() (requests int, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(nil)
	plan := CheapestPlan(candidates, Range{0, s.layers})
	if plan == nil {
		return 0, 0
	}
	seconds := 0.0
	for _, st := range plan {
		for i := range candidates {
			if candidates[i].Upstream == st.Upstream {
				seconds += candidates[i].RTT.Seconds() + float64(st.Range.Len())/candidates[i].Rate
			}
		}
	}
	bound := MaxThroughput(candidates, Range{0, s.layers})
	// By Little's law, throughput times latency is the number of requests that fills the pipeline. Admitting more
	// requests than that covers variations.
	return max(1, int(bound*seconds*admissionFactor)+1), 1 / seconds
}

// admissionFactor is the number of admitted requests per request that the pipeline holds.
const admissionFactor = 4

// Plan returns the cheapest chain over a range of layers without the excluded upstreams, or nil if there is none. It
// assigns the chain's layers to its upstreams until Release.
func (s *Stages) Plan(layers Range, excluded map[string]bool) Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := CheapestPlan(s.candidates(excluded), layers)
	for _, st := range p {
		s.find(st.Upstream.Name()).assignedLayers += float64(st.Range.Len())
	}
	return p
}

// Release removes a plan's layers from its upstreams.
func (s *Stages) Release(p Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range p {
		if found := s.find(st.Upstream.Name()); found != nil {
			found.assignedLayers = max(0, found.assignedLayers-float64(st.Range.Len()))
		}
	}
}

// candidates returns the upstreams that a new chain may use.
func (s *Stages) candidates(excluded map[string]bool) []CandidateUpstream {
	now := s.now()
	var out []CandidateUpstream
	for _, st := range s.upstreams {
		u := st.upstream
		if st.draining || st.report.Leaving || excluded[u.Name()] || now.Before(st.ejectedUntil) {
			continue
		}
		c := CandidateUpstream{Upstream: u, Rate: defaultRate, Slots: defaultSlots, RTT: st.rtt}
		if st.hasReport && st.report.Rate > 0 {
			c.Rate = st.report.Rate
			c.Slots = max(1, st.report.Slots)
		}
		out = append(out, c)
	}
	s.setLoadPenalties(out)
	return out
}

// setLoadPenalties sets each upstream's penalty from its share of the assigned work relative to its share of the
// capacity, scaled by the overall utilization. Chains thus avoid upstreams that would become the bottleneck, the more
// so the busier the stages are overall.
func (s *Stages) setLoadPenalties(candidates []CandidateUpstream) {
	work, capacity, slots := 0.0, 0.0, 0.0
	for i := range candidates {
		work += s.find(candidates[i].Upstream.Name()).assignedLayers
		capacity += candidates[i].capacity()
		slots += float64(max(candidates[i].Slots, 1))
	}
	if work == 0 {
		return
	}
	// The utilization is 1 if every slot has the layers of one chain assigned.
	utilization := work / float64(s.layers) / slots
	for i := range candidates {
		c := &candidates[i]
		relativeLoad := s.find(c.Upstream.Name()).assignedLayers / work * capacity / c.capacity()
		c.LoadPenalty = utilization * math.Pow(relativeLoad, loadPenaltyExponent)
	}
}

// loadPenaltyExponent makes the penalty rise steeply where an upstream's load exceeds its even share.
const loadPenaltyExponent = 4

// RecordFailure ejects an upstream from new chains for a time that doubles with each successive failure.
func (s *Stages) RecordFailure(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.find(name); st != nil {
		st.successiveFailures++
		st.ejectedUntil = s.now().Add(min(ejectionBase<<min(st.successiveFailures-1, 10), maxEjection))
	}
}

// RecordSuccess resets an upstream's failure count.
func (s *Stages) RecordSuccess(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.find(name); st != nil {
		st.successiveFailures = 0
	}
}

// Usable reports whether an upstream is known and not ejected, so that it may continue chains whose state it holds. An
// upstream that is leaving may.
func (s *Stages) Usable(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.find(name)
	return st != nil && !s.now().Before(st.ejectedUntil)
}
