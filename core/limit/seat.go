package limit

import (
	"math"
	"sync/atomic"
	"time"

	"rhubarbspread/core/route"

	"github.com/cespare/xxhash/v2"
)

// Constants of a window: how it borrows beyond the node's share and how it is cut back.
const (
	lowQueueing  = 30 * time.Millisecond // below it a window grows that kept the queue waiting
	highQueueing = 100 * time.Millisecond
	growStep     = 0.5
	shrinkFactor = 0.7
	excessLife   = time.Second
	spread       = 0.125 // places beyond an upstream's slots, for the spread of arrival times
	forgetFactor = 1.002 // by which the least time to first token grows a sample, to follow a slower link
	rateSamples  = 5     // answers after which the measured rate replaces the reported one
	rateWeight   = 0.1
	defaultRate  = 50.0 // tokens/s of an upstream that has neither reported nor answered
	defaultSlots = 4
)

// Constants of ejection after failures.
const (
	ejectBase   = 250 * time.Millisecond
	ejectGrowth = 4
	ejectLimit  = 16 * time.Second
	earlyTrials = 2 // failures in a row up to which a load report ends the backoff
)

// seat is the node's view of one upstream: what it sent there and how much more it may send.
type seat struct {
	upstream *route.Upstream
	hash     uint64
	home     bool
	draining bool

	ours     int
	heard    atomic.Int64 // nanoseconds since 1970 of the latest token; written without the pool's lock
	suspects int
	// keepsSuspects says that this node may place suspects here. Each upstream belongs to one node in
	// this, so that suspects of two nodes don't meet without the nodes having to talk.
	keepsSuspects bool
	report        route.Report
	reported      bool
	reportAt      time.Time // of the latest report, or of the making of the seat
	oursThen      int       // requests of this node that were in flight at the report
	link          time.Duration

	rank     int     // of this node among those that use the upstream
	share    int     // this node's part of the upstream's places
	extra    float64 // places borrowed from nodes that leave theirs empty
	firstMin time.Duration
	excess   time.Duration // of the latest time to first token over the least
	excessAt time.Time

	rate    float64 // tokens/s of one stream, measured
	samples int

	failures int
	lost     bool      // the latest failure was a loss, not an error that the upstream answered with
	answers  bool      // it has reported since then
	ejected  time.Time // until then no new work
	doubted  bool      // it may be out of reach; weighDoubts decides
	trial    bool      // a single request tests an ejected upstream

	prefixes prefixSet
}

func newSeat(u *route.Upstream, home bool, now time.Time) *seat {
	return &seat{upstream: u, hash: xxhash.Sum64String(u.Name()), home: home, share: 1, reportAt: now}
}

func (s *seat) slots() int {
	if s.reported && s.report.Slots > 0 {
		return s.report.Slots
	}
	return defaultSlots
}

func (s *seat) streamRate() float64 {
	switch {
	case s.samples >= rateSamples:
		return s.rate
	case s.reported && s.report.Rate > 0:
		return s.report.Rate
	}
	return defaultRate
}

// others returns the requests of other nodes in flight, by the late report less what of it was ours.
func (s *seat) others() float64 {
	return math.Max(0, float64(s.report.Running+s.report.Queued-s.oursThen))
}

func (s *seat) window() int {
	return s.share + int(s.extra)
}

// places returns how many requests of all nodes together keep the upstream busy: its slots, those on
// their way over the link, and a few for the spread of arrival times.
func (s *seat) places(meanTokens float64) int {
	slots := s.slots()
	service := meanTokens / s.streamRate()
	travel := float64(slots) * s.link.Seconds() / math.Max(service, 1e-3)
	return slots + int(math.Ceil(travel+float64(slots)*spread))
}

// setShare divides the places over the nodes; every node computes the same ranks, so the parts add up.
func (s *seat) setShare(nodes int, meanTokens float64) {
	places := s.places(meanTokens)
	s.share = places / nodes
	if s.rank < places%nodes {
		s.share++
	}
	s.share = max(s.share, 1)
}

func (s *seat) fit(now time.Time) bool {
	if s.draining || s.report.Leaving {
		return false
	}
	if s.failures == 0 {
		return true
	}
	return !s.trial && !now.Before(s.ejected)
}

func (s *seat) room(windowed bool) bool {
	if s.failures > 0 {
		return s.ours == 0 || !s.trial
	}
	return !windowed || s.ours < s.window()
}

// sawFirst follows the time to first token: queueing at the upstream shows as its excess over the least seen.
func (s *seat) sawFirst(d time.Duration, keptWaiting bool, now time.Time) {
	d = max(d, time.Millisecond)
	if s.firstMin == 0 || d < s.firstMin {
		s.firstMin = d
	} else {
		s.firstMin = time.Duration(float64(s.firstMin) * forgetFactor)
	}
	queueing := d - s.firstMin
	s.excess, s.excessAt = queueing, now
	switch {
	case queueing > highQueueing:
		s.extra *= shrinkFactor
	case queueing < lowQueueing && keptWaiting:
		s.extra = min(s.extra+growStep, float64(s.slots()))
	}
}

// queueing returns the wait at the upstream that the latest first token showed, less the older it is.
func (s *seat) queueing(now time.Time) time.Duration {
	age := now.Sub(s.excessAt).Seconds() / excessLife.Seconds()
	return time.Duration(float64(s.excess) * math.Max(0, 1-age))
}

func (s *seat) sawRate(tokens int, d time.Duration) {
	if tokens < 2 || d <= 0 {
		return
	}
	rate := float64(tokens-1) / d.Seconds()
	if s.samples == 0 {
		s.rate = rate
	}
	s.samples++
	s.rate += rateWeight * (rate - s.rate)
}

func (s *seat) succeeded() {
	s.failures = 0
	s.trial = false
}

// failed ejects the upstream for a time that grows with each failure in a row.
func (s *seat) failed(now time.Time, lost bool, jitter float64) {
	s.trial = false
	s.lost = lost
	s.answers = false
	s.failures++
	s.extra = 0
	backoff := float64(ejectBase) * math.Pow(ejectGrowth, float64(s.failures-1))
	backoff = min(backoff, float64(ejectLimit)) * (0.75 + jitter/2)
	s.ejected = now.Add(time.Duration(backoff))
}

// sound reports whether the upstream takes work and has not failed lately.
func (s *seat) sound() bool { return s.failures == 0 && !s.draining && !s.report.Leaving }

// prefixSet remembers the prompt prefixes lately sent to an upstream.
type prefixSet struct {
	order [64]uint64
	next  int
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

// weigh mixes two hashes for rendezvous hashing.
func weigh(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// worstIsolation is the grade of an upstream that runs another suspect of this node, or may soon run one
// that is pinned to it.
const worstIsolation = 2

// isolation grades how surely a suspect placed here meets no other; a smaller grade is better.
func (s *seat) isolation(shunned bool) int {
	switch {
	case s.suspects > 0, shunned:
		return worstIsolation
	case !s.keepsSuspects:
		return 1
	}
	return 0
}
