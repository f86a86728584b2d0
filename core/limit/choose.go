package limit

import (
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
	favored := -1
	if d.Prefix != 0 {
		favored = p.favored(d.Prefix)
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
		grade := s.grade(d, slices.Contains(shunned, i))
		if grade > least {
			continue
		}
		if grade < least {
			least = grade
			p.candidates = p.candidates[:0]
			p.indexes = p.indexes[:0]
		}
		p.candidates = append(p.candidates, s.candidate(d, i == favored, now))
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
	worstGrade   = worstIsolation + sharesCentre
)

func (s *seat) grade(d Demand, shunned bool) int {
	grade := 0
	if d.Suspect && d.Twin == "" {
		grade = s.isolation(shunned)
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

// favored returns the sound seat to which a prompt's beginning belongs: rendezvous hashing weighted by
// capacity, so that the seat is one that the policy would often take anyway.
func (p *Pool) favored(prefix uint64) int {
	best := -1
	most := 0.0
	for i, s := range p.seats {
		if !s.sound() {
			continue
		}
		uniform := (float64(weigh(prefix, s.hash)>>11) + 0.5) / (1 << 53)
		if w := float64(s.slots()) * s.streamRate() / -math.Log(uniform); best < 0 || w > most {
			best, most = i, w
		}
	}
	return best
}

func excluded(d Demand, s *seat) bool {
	if d.Twin != "" && d.Twin != s.upstream.Name() {
		return true
	}
	return slices.Contains(d.Exclude, s.upstream.Name())
}
