package limit

import (
	"cmp"
	"slices"
	"time"

	"rhubarbspread/core/route"

	"github.com/cespare/xxhash/v2"
)

// Member is an upstream of a pool, as passed to SetMembers.
type Member struct {
	Upstream       *route.Upstream
	SameDataCentre bool // in this node's data centre
	Draining       bool
}

// SetMembers replaces the pool's upstreams; the state of those that remain is kept.
func (p *Pool) SetMembers(members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]*upstreamState, len(p.upstreams))
	for _, s := range p.upstreams {
		known[s.upstream.Name()] = s
	}
	upstreams := make([]*upstreamState, 0, min(len(members), p.subset))
	for _, m := range p.chooseSubset(members) {
		s := known[m.Upstream.Name()]
		if s == nil || s.upstream.Address() != m.Upstream.Address() {
			s = newUpstreamState(m.Upstream, m.SameDataCentre, p.now())
		}
		s.draining = m.Draining
		upstreams = append(upstreams, s)
	}
	p.upstreams = upstreams
	p.divideCapacity()
	p.serveQueue()
}

// chooseSubset selects the node's upstreams by rendezvous hashing, those in its own data centre first.
func (p *Pool) chooseSubset(members []Member) []Member {
	self := xxhash.Sum64String(p.self)
	weight := func(m Member) uint64 { return rendezvousWeight(self, xxhash.Sum64String(m.Upstream.Name())) }
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if a.SameDataCentre != b.SameDataCentre {
			if a.SameDataCentre {
				return -1
			}
			return 1
		}
		return cmp.Compare(weight(b), weight(a))
	})
	return sorted[:min(len(sorted), p.subset)]
}

// SetNodes sets the nodes that share the upstreams; self is one of them.
func (p *Pool) SetNodes(self string, nodes []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.self = self
	p.nodes = slices.Clone(nodes)
	if !slices.Contains(p.nodes, self) {
		p.nodes = append(p.nodes, self)
	}
	p.divideCapacity()
	p.serveQueue()
}

// divideCapacity divides each upstream's capacity among the nodes.
func (p *Pool) divideCapacity() {
	acceptsAny := false
	for _, s := range p.upstreams {
		s.rank = Rank(p.self, p.nodes, s.hash)
		s.acceptsSuspects = s.rank == 0
		acceptsAny = acceptsAny || s.acceptsSuspects
		s.setShare(len(p.nodes), p.meanTokens)
	}
	if acceptsAny {
		return
	}
	// With fewer upstreams than nodes, a node may rank first for none; it may then place suspects anywhere.
	for _, s := range p.upstreams {
		s.acceptsSuspects = true
	}
}

// Rank returns the number of nodes that precede self for a key in rendezvous hashing.
func Rank(self string, nodes []string, key uint64) int {
	rank := 0
	own := rendezvousWeight(xxhash.Sum64String(self), key)
	for _, n := range nodes {
		if rendezvousWeight(xxhash.Sum64String(n), key) > own {
			rank++
		}
	}
	return rank
}

// SetReport records an upstream's load report, which describes a past moment, and the round-trip time of the call
// that fetched it.
func (p *Pool) SetReport(name string, r route.Report, rtt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.upstreams {
		if s.upstream.Name() != name {
			continue
		}
		s.report = r
		s.hasReport = true
		s.reportAt = p.now()
		p.reportsLoad = true
		s.inFlightAtReport = s.inFlight
		s.rtt = smoothRTT(s.rtt, rtt)
		s.reportedSinceFailure = true
		if s.lastFailureLost && s.failures > 0 && s.failures <= maxEarlyProbeFailures && !s.probing {
			// The upstream responds again: allow a probe now rather than at the end of the backoff.
			s.ejectedUntil = p.now()
		}
		s.setShare(len(p.nodes), p.meanTokens)
	}
	p.serveQueue()
}

// smoothRTT returns the smoothed round-trip time: it follows a shorter sample at once and a longer one slowly.
func smoothRTT(old, sample time.Duration) time.Duration {
	if old == 0 || sample < old {
		return sample
	}
	return old + (sample-old)/8
}

// DropPrefix records that an upstream's cache no longer holds a prefix.
func (p *Pool) DropPrefix(name string, prefix uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.upstreams {
		if s.upstream.Name() == name {
			s.prefixes.remove(prefix)
		}
	}
}

// UpstreamStatus is a snapshot of the pool's state of one upstream, for operators.
type UpstreamStatus struct {
	Upstream  string
	InFlight  int           // requests in flight from this node
	Window    int           // largest number of requests in flight from this node
	Slots     int           // largest number of concurrent requests
	Rate      float64       // tokens/s of one stream
	RTT       time.Duration // round-trip time
	Failures  int           // consecutive failures
	Available bool          // whether it may get new requests
	Draining  bool
}

// State returns the status of the pool's upstreams and the number of queued requests.
func (p *Pool) State() (statuses []UpstreamStatus, queued int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, s := range p.upstreams {
		statuses = append(statuses, UpstreamStatus{
			Upstream:  s.upstream.Name(),
			InFlight:  s.inFlight,
			Window:    s.window(),
			Slots:     s.slots(),
			Rate:      s.streamRate(),
			RTT:       s.rtt,
			Failures:  s.failures,
			Available: s.available(now),
			Draining:  s.draining || s.report.Leaving,
		})
	}
	return statuses, p.queue.length
}
