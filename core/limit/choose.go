package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rhubarbspread/core/route"
)

// choose asks the policy for one of the seats that may take the demand, or returns nil.
func (p *Pool) choose(d Demand, now time.Time) *seat {
	sure := p.weighDoubts(now)
	p.gather(p.resolve(d, now), sure, now)
	if len(p.candidates) == 0 {
		return nil
	}
	q := route.Query{Tokens: d.Tokens, Prefill: d.Prefill, Urgent: d.Resume}
	return p.seats[p.indexes[p.policy.Choose(q, p.candidates, p.random.Uint64())]]
}

// resolve turns a twin or a pin into the one seat that the demand may go to.
func (p *Pool) resolve(d Demand, now time.Time) Demand {
	if d.Twin != "" && p.fitNamed(d.Twin, now) {
		return d
	}
	d.Twin = ""
	if d.Pinned {
		if i := p.mapped(d.Key, d.Exclude); i >= 0 {
			d.Twin = p.seats[i].upstream.Name()
		}
	}
	return d
}

func (p *Pool) fitNamed(name string, now time.Time) bool {
	for _, s := range p.seats {
		if s.upstream.Name() == name {
			return s.fit(now)
		}
	}
	return false
}

// gather fills the candidates for a demand.
func (p *Pool) gather(d Demand, sure bool, now time.Time) {
	p.candidates = p.candidates[:0]
	p.indexes = p.indexes[:0]
	var home []int
	if p.policy.Windowed() {
		home = p.prefixHome(d.Prefix)
	}
	shunned := p.shunned(d)
	// A resumed answer goes beyond the window: the upstream lets it pass those that wait.
	windowed := p.policy.Windowed() && !d.Resume
	least := worstGrade
	for i, s := range p.seats {
		if !s.fit(now) || !s.room(windowed) || excluded(d, s) || !p.mayTry(s, now) {
			continue
		}
		if sure && s.doubted {
			continue
		}
		grade := s.grade(d, slices.Contains(shunned, i), len(home) > 0 && !slices.Contains(home, i))
		if grade > least {
			continue
		}
		if grade < least {
			least = grade
			p.candidates = p.candidates[:0]
			p.indexes = p.indexes[:0]
		}
		p.candidates = append(p.candidates, s.candidate(d, len(home) > 0 && home[0] == i, now))
		p.indexes = append(p.indexes, i)
	}
}

// shunned returns the seats that pinned requests are mapped to.
func (p *Pool) shunned(d Demand) []int {
	if !d.Suspect || len(d.Shun) == 0 {
		return nil
	}
	var out []int
	for _, key := range d.Shun {
		out = append(out, p.mapped(key, nil))
	}
	return out
}

// Grades of a seat for a demand; only seats of the least grade come before the policy.
const (
	sharesCentre = worstIsolation + 1 // it is in the data centre where the request lost its last upstream to silence
	awayFromHome = sharesCentre + 1   // it is none of those that the prompt's beginning belongs to
	worstGrade   = worstIsolation + sharesCentre + awayFromHome
)

func (s *seat) grade(d Demand, shunned, away bool) int {
	grade := 0
	if away {
		grade = awayFromHome
	}
	if d.Suspect && d.Twin == "" {
		grade += s.isolation(shunned)
	}
	if d.AvoidCentre != "" && s.upstream.DataCentre() == d.AvoidCentre {
		grade += sharesCentre
	}
	return grade
}

func (s *seat) candidate(d Demand, favored bool, now time.Time) route.Candidate {
	return route.Candidate{
		Name:     s.upstream.Name(),
		Ours:     s.ours,
		Others:   s.others(),
		Slots:    s.slots(),
		Rate:     s.streamRate(),
		Link:     s.link,
		Home:     s.home,
		Cached:   s.prefixes.has(d.Prefix),
		Queueing: s.queueing(now),
		Favored:  favored,
		Tie:      weigh(d.Key, s.hash),
	}
}

// mapped returns the sound and undoubted seat that rendezvous hashing gives a key, or -1. Nodes that see
// the same upstreams as sound choose the same.
func (p *Pool) mapped(key uint64, exclude []string) int {
	best := -1
	var most uint64
	for i, s := range p.seats {
		if !s.sound() || s.doubted || slices.Contains(exclude, s.upstream.Name()) {
			continue
		}
		if w := weigh(key, s.hash); best < 0 || w > most {
			best, most = i, w
		}
	}
	return best
}

// homePart is the part of the upstreams that a prompt's beginning belongs to: few enough that their
// caches hold the beginnings that are theirs, and enough that one of them has a place.
const homePart = 4

// prefixHome returns the sound seats that a prompt's beginning belongs to, the first of all first:
// rendezvous hashing weighted by capacity, the same on every node.
func (p *Pool) prefixHome(prefix uint64) []int {
	if prefix == 0 {
		return nil
	}
	type weighted struct {
		seat   int
		weight float64
	}
	var all []weighted
	for i, s := range p.seats {
		if s.sound() && !s.doubted {
			uniform := (float64(weigh(prefix, s.hash)>>11) + 0.5) / (1 << 53)
			all = append(all, weighted{i, float64(s.slots()) * s.streamRate() / -math.Log(uniform)})
		}
	}
	slices.SortFunc(all, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	var home []int
	for _, w := range all[:min(len(all), 1+len(all)/homePart)] {
		home = append(home, w.seat)
	}
	return home
}

func excluded(d Demand, s *seat) bool {
	if d.Twin != "" && d.Twin != s.upstream.Name() {
		return true
	}
	return slices.Contains(d.Exclude, s.upstream.Name())
}
