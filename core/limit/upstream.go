package limit

import (
	"math"
	"sync/atomic"
	"time"

	"rhubarbspread/core/route"

	"github.com/cespare/xxhash/v2"
)

// Parameters of a window, which grows beyond the node's share of an upstream and shrinks when requests queue there.
const (
	lowQueueDelay       = 30 * time.Millisecond  // below it, the window grows if requests were queued
	highQueueDelay      = 100 * time.Millisecond // above it, the window shrinks
	windowStep          = 0.5                    // requests by which the window grows at each sample
	windowShrinkFactor  = 0.7                    // of the extra window at each sample
	queueDelayLifetime  = time.Second            // time in which an observed queueing delay decays to zero
	arrivalSlack        = 0.125                  // extra capacity per slot, to absorb jitter of arrival times
	minFirstTokenGrowth = 1.002                  // of the minimum at each sample, to follow a path that gets slower
	minRateSamples      = 5                      // responses after which the measured rate replaces the reported one
	rateWeight          = 0.1                    // of a new sample in the moving average
	defaultRate         = 50.0                   // tokens/s of an upstream without a report or rate samples
	defaultSlots        = 4
)

// Parameters of outlier ejection.
const (
	ejectBase             = 250 * time.Millisecond
	ejectGrowth           = 4
	ejectMax              = 16 * time.Second
	maxEarlyProbeFailures = 2 // consecutive failures up to which a load report ends the backoff
)

// upstreamState is the node's state of one upstream: its requests in flight there, its window and its health.
type upstreamState struct {
	upstream       *route.Upstream
	hash           uint64
	sameDataCentre bool
	draining       bool

	inFlight         int
	lastTokenAt      atomic.Int64 // Unix time of the latest token in nanoseconds; written without the pool's lock
	suspectsInFlight int
	// acceptsSuspects is whether this node may place suspects here. Each upstream accepts them from one node, so
	// that suspects of two nodes don't share an upstream, without communication between the nodes.
	acceptsSuspects  bool
	report           route.Report
	hasReport        bool
	reportAt         time.Time     // time of the latest report, or of the creation of this state
	inFlightAtReport int           // requests of this node in flight at the latest report
	rtt              time.Duration // smoothed round-trip time

	rank          int           // of this node in rendezvous hashing for the upstream
	share         int           // requests of the upstream's capacity that are allotted to this node
	extraWindow   float64       // requests beyond the share, while other nodes leave theirs unused
	minFirstToken time.Duration // minimum time to first token, less the time to prefill
	queueDelay    time.Duration // latest time to first token less the minimum
	queueDelayAt  time.Time     // when queueDelay was observed

	rate        float64 // measured tokens/s of one stream
	rateSamples int

	failures             int       // consecutive failures
	lastFailureLost      bool      // the latest failure was Lost, not Errored
	reportedSinceFailure bool      // it has reported its load since the latest failure
	ejectedUntil         time.Time // end of the backoff, before which it gets no new requests
	unresponsive         bool      // it may be unreachable; set by markUnresponsive
	probing              bool      // a half-open probe is in flight

	prefixes prefixSet
}

func newUpstreamState(u *route.Upstream, sameDataCentre bool, now time.Time) *upstreamState {
	return &upstreamState{upstream: u, hash: xxhash.Sum64String(u.Name()),
		sameDataCentre: sameDataCentre, share: 1, reportAt: now}
}

func (s *upstreamState) slots() int {
	if s.hasReport && s.report.Slots > 0 {
		return s.report.Slots
	}
	return defaultSlots
}

func (s *upstreamState) streamRate() float64 {
	switch {
	case s.rateSamples >= minRateSamples:
		return s.rate
	case s.hasReport && s.report.Rate > 0:
		return s.report.Rate
	}
	return defaultRate
}

// otherInFlight estimates other nodes' requests in flight: those in the latest report less this node's at that time.
func (s *upstreamState) otherInFlight() float64 {
	return math.Max(0, float64(s.report.Running+s.report.Queued-s.inFlightAtReport))
}

func (s *upstreamState) window() int {
	return s.share + int(s.extraWindow)
}

// capacity returns how many requests of all nodes together keep the upstream busy: its slots, the requests in
// transit, and a few to absorb jitter of arrival times.
func (s *upstreamState) capacity(meanTokens float64) int {
	slots := s.slots()
	service := meanTokens / s.streamRate()
	inTransit := float64(slots) * s.rtt.Seconds() / math.Max(service, 1e-3)
	return slots + int(math.Ceil(inTransit+float64(slots)*arrivalSlack))
}

// setShare sets this node's share of the capacity. All nodes compute the same ranks, so the shares add up.
func (s *upstreamState) setShare(nodes int, meanTokens float64) {
	capacity := s.capacity(meanTokens)
	s.share = capacity / nodes
	if s.rank < capacity%nodes {
		s.share++
	}
	s.share = max(s.share, 1)
}

func (s *upstreamState) available(now time.Time) bool {
	if s.draining || s.report.Leaving {
		return false
	}
	if s.failures == 0 {
		return true
	}
	return !s.probing && !now.Before(s.ejectedUntil)
}

func (s *upstreamState) hasRoom(windowed bool) bool {
	if s.failures > 0 {
		return s.inFlight == 0 || !s.probing
	}
	return !windowed || s.inFlight < s.window()
}

// observeFirstToken adapts the window to the time to first token, whose excess over the minimum is queueing delay at
// the upstream.
func (s *upstreamState) observeFirstToken(d time.Duration, othersWaiting bool, now time.Time) {
	d = max(d, time.Millisecond)
	if s.minFirstToken == 0 || d < s.minFirstToken {
		s.minFirstToken = d
	} else {
		s.minFirstToken = time.Duration(float64(s.minFirstToken) * minFirstTokenGrowth)
	}
	delay := d - s.minFirstToken
	s.queueDelay, s.queueDelayAt = delay, now
	switch {
	case delay > highQueueDelay:
		s.extraWindow *= windowShrinkFactor
	case delay < lowQueueDelay && othersWaiting:
		s.extraWindow = min(s.extraWindow+windowStep, float64(s.slots()))
	}
}

// currentQueueDelay returns the latest observed queueing delay, reduced by its age.
func (s *upstreamState) currentQueueDelay(now time.Time) time.Duration {
	age := now.Sub(s.queueDelayAt).Seconds() / queueDelayLifetime.Seconds()
	return time.Duration(float64(s.queueDelay) * math.Max(0, 1-age))
}

func (s *upstreamState) observeRate(tokens int, d time.Duration) {
	if tokens < 2 || d <= 0 {
		return
	}
	rate := float64(tokens-1) / d.Seconds()
	if s.rateSamples == 0 {
		s.rate = rate
	}
	s.rateSamples++
	s.rate += rateWeight * (rate - s.rate)
}

func (s *upstreamState) recordSuccess() {
	s.failures = 0
	s.probing = false
}

// recordFailure ejects the upstream, with exponential backoff over consecutive failures.
func (s *upstreamState) recordFailure(now time.Time, lost bool, jitter float64) {
	s.probing = false
	s.lastFailureLost = lost
	s.reportedSinceFailure = false
	s.failures++
	s.extraWindow = 0
	backoff := float64(ejectBase) * math.Pow(ejectGrowth, float64(s.failures-1))
	backoff = min(backoff, float64(ejectMax)) * (0.75 + jitter/2)
	s.ejectedUntil = now.Add(time.Duration(backoff))
}

// healthy reports whether the upstream accepts requests and has not failed since its last success.
func (s *upstreamState) healthy() bool { return s.failures == 0 && !s.draining && !s.report.Leaving }

// prefixSet holds the prompt prefixes most recently sent to an upstream.
type prefixSet struct {
	order [64]uint64 // ring buffer, in order of insertion
	next  int        // index in order of the next insertion
	known map[uint64]bool
}

func (p *prefixSet) add(key uint64) {
	if key == 0 || p.known[key] {
		return
	}
	if p.known == nil {
		p.known = make(map[uint64]bool, len(p.order))
	}
	delete(p.known, p.order[p.next])
	p.order[p.next] = key
	p.known[key] = true
	p.next = (p.next + 1) % len(p.order)
}

func (p *prefixSet) remove(key uint64) { delete(p.known, key) }

func (p *prefixSet) has(key uint64) bool { return key != 0 && p.known[key] }

// rendezvousWeight combines two hashes into a weight for rendezvous hashing.
func rendezvousWeight(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// worstIsolation is the grade of an upstream that runs another suspect of this node, or to which a pinned request
// is mapped.
const worstIsolation = 2

// isolationGrade grades the risk that a suspect placed here shares the upstream with another; lower is better.
func (s *upstreamState) isolationGrade(avoided bool) int {
	switch {
	case s.suspectsInFlight > 0, avoided:
		return worstIsolation
	case !s.acceptsSuspects:
		return 1
	}
	return 0
}
