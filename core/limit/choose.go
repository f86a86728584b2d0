package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rhubarbspread/core/route"
)

// choose lets the policy choose one of the upstreams that may run the request; it returns nil if there are none.
func (p *Pool) choose(d Demand, now time.Time) *upstreamState {
	responsiveOnly := p.markUnresponsive(now)
	p.collectCandidates(p.bindUpstream(d, now), responsiveOnly, now)
	if len(p.candidates) == 0 {
		return nil
	}
	q := route.Query{Tokens: d.Tokens, Prefill: d.Prefill, Urgent: d.Resume}
	return p.upstreams[p.candidateIndexes[p.policy.Choose(q, p.candidates, p.random.Uint64())]]
}

// bindUpstream restricts a duplicate or pinned request to the one upstream where it must run, by setting
// DuplicateUpstream.
func (p *Pool) bindUpstream(d Demand, now time.Time) Demand {
	if d.DuplicateUpstream != "" && p.availableByName(d.DuplicateUpstream, now) {
		return d
	}
	d.DuplicateUpstream = ""
	if d.Pinned {
		if i := p.rendezvousIndex(d.Key, d.Exclude); i >= 0 {
			d.DuplicateUpstream = p.upstreams[i].upstream.Name()
		}
	}
	return d
}

func (p *Pool) availableByName(name string, now time.Time) bool {
	for _, s := range p.upstreams {
		if s.upstream.Name() == name {
			return s.available(now)
		}
	}
	return false
}

// collectCandidates sets the candidates for a demand: the admissible upstreams of the best grade.
// If responsiveOnly is set, unresponsive upstreams are left out.
func (p *Pool) collectCandidates(d Demand, responsiveOnly bool, now time.Time) {
	p.candidates = p.candidates[:0]
	p.candidateIndexes = p.candidateIndexes[:0]
	var owners []int
	if p.policy.Windowed() {
		owners = p.prefixOwners(d.Prefix)
	}
	avoided := p.avoidedIndexes(d)
	// A resumed request may exceed the window: the upstream lets it pass its queue.
	windowed := p.policy.Windowed() && !d.Resume
	least := worstGrade
	for i, s := range p.upstreams {
		if !s.available(now) || !s.hasRoom(windowed) || excluded(d, s) || !p.mayUse(s, now) {
			continue
		}
		if responsiveOnly && s.unresponsive {
			continue
		}
		grade := s.grade(d, slices.Contains(avoided, i), len(owners) > 0 && !slices.Contains(owners, i))
		if grade > least {
			continue
		}
		if grade < least {
			least = grade
			p.candidates = p.candidates[:0]
			p.candidateIndexes = p.candidateIndexes[:0]
		}
		p.candidates = append(p.candidates, s.candidate(d, len(owners) > 0 && owners[0] == i, now))
		p.candidateIndexes = append(p.candidateIndexes, i)
	}
}

// avoidedIndexes returns the indexes of the upstreams that a suspect avoids because pinned requests are mapped to them.
func (p *Pool) avoidedIndexes(d Demand) []int {
	if !d.Suspect || len(d.AvoidKeys) == 0 {
		return nil
	}
	var indexes []int
	for _, key := range d.AvoidKeys {
		indexes = append(indexes, p.rendezvousIndex(key, nil))
	}
	return indexes
}

// Penalties that add up to the grade of an upstream for a demand; the policy sees only upstreams of the lowest grade.
const (
	avoidedDataCentreGrade = worstIsolation + 1         // in the same data centre as the upstream that stopped responding
	otherPrefixGrade       = avoidedDataCentreGrade + 1 // not an owner of the prompt's prefix
	worstGrade             = worstIsolation + avoidedDataCentreGrade + otherPrefixGrade
)

func (s *upstreamState) grade(d Demand, avoided, notOwner bool) int {
	grade := 0
	if notOwner {
		grade = otherPrefixGrade
	}
	if d.Suspect && d.DuplicateUpstream == "" {
		grade += s.isolationGrade(avoided)
	}
	if d.AvoidDataCentre != "" && s.upstream.DataCentre() == d.AvoidDataCentre {
		grade += avoidedDataCentreGrade
	}
	return grade
}

func (s *upstreamState) candidate(d Demand, primaryOwner bool, now time.Time) route.Candidate {
	return route.Candidate{
		Name:           s.upstream.Name(),
		InFlight:       s.inFlight,
		OtherInFlight:  s.otherInFlight(),
		Slots:          s.slots(),
		Rate:           s.streamRate(),
		RTT:            s.rtt,
		SameDataCentre: s.sameDataCentre,
		PrefixCached:   s.prefixes.has(d.Prefix),
		QueueDelay:     s.currentQueueDelay(now),
		PrefixOwner:    primaryOwner,
		TieBreak:       rendezvousWeight(d.Key, s.hash),
	}
}

// rendezvousIndex returns the healthy and responsive upstream to which rendezvous hashing maps a key, or -1.
// Nodes that agree on which upstreams are healthy get the same result.
func (p *Pool) rendezvousIndex(key uint64, exclude []string) int {
	best := -1
	var most uint64
	for i, s := range p.upstreams {
		if !s.healthy() || s.unresponsive || slices.Contains(exclude, s.upstream.Name()) {
			continue
		}
		if w := rendezvousWeight(key, s.hash); best < 0 || w > most {
			best, most = i, w
		}
	}
	return best
}

// prefixDivisor is the number of upstreams per owner of a prompt prefix. One owner in four is few enough that the
// owners' caches hold their prefixes, and enough that one of them has room.
const prefixDivisor = 4

// prefixOwners returns the indexes of the healthy upstreams that own a prompt prefix, the primary owner first, by
// rendezvous hashing weighted by capacity. The result is the same on all nodes.
func (p *Pool) prefixOwners(prefix uint64) []int {
	if prefix == 0 {
		return nil
	}
	type weighted struct {
		index  int
		weight float64
	}
	var all []weighted
	for i, s := range p.upstreams {
		if s.healthy() && !s.unresponsive {
			uniform := (float64(rendezvousWeight(prefix, s.hash)>>11) + 0.5) / (1 << 53)
			all = append(all, weighted{i, float64(s.slots()) * s.streamRate() / -math.Log(uniform)})
		}
	}
	slices.SortFunc(all, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	var owners []int
	for _, w := range all[:min(len(all), 1+len(all)/prefixDivisor)] {
		owners = append(owners, w.index)
	}
	return owners
}

func excluded(d Demand, s *upstreamState) bool {
	if d.DuplicateUpstream != "" && d.DuplicateUpstream != s.upstream.Name() {
		return true
	}
	return slices.Contains(d.Exclude, s.upstream.Name())
}
