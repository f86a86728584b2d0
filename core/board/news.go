package board

import (
	"time"

	"rhubarbspread/core/fleet"
)

// Claim is what nodes hold on one upstream.
type Claim struct {
	Held    float64 // tokens x layers
	Running int
	First   int
	Reading float64 // prompt tokens x layers
}

// add adds up the claims of several nodes.
func (c Claim) add(d Claim) Claim {
	return Claim{c.Held + d.Held, c.Running + d.Running, c.First + d.First, c.Reading + d.Reading}
}

// News is what another node tells of upstreams, by their tags.
type News struct {
	Node       string
	DataCentre string
	Claims     map[uint32]Claim
	Resting    []uint32 // that broke or fell silent for it
	Refusing   []uint32 // that refused it, once for each node that is told of
	Paces      map[uint32]float64
}

// heard is another node's latest news.
type heard struct {
	News
	at time.Time
}

// isRefusing reports whether an upstream refuses others, for want of room or since a part behind it is dead.
func (s *state) isRefusing(now time.Time) bool {
	return s.refusers >= mostRefusers && now.Sub(s.refusersAt) < refusersLife
}

// Claims returns what this node's requests hold, by the upstream's tag.
func (b *Board) Claims() map[uint32]Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := make(map[uint32]Claim, len(b.states))
	for _, s := range b.states {
		if s.running > 0 || s.first > 0 {
			m[s.tag] = Claim{s.held, s.running, s.first, s.reading}
		}
	}
	return m
}

// RestingTags returns the upstreams that broke or fell silent for this node.
func (b *Board) RestingTags() []uint32 {
	return b.restingFor(func(s *state) bool { return s.strikes > 0 })
}

// RefusingTags returns the upstreams that refused this node and rest for it.
func (b *Board) RefusingTags() []uint32 {
	return b.restingFor(func(s *state) bool { return s.strikes == 0 && s.refusals > 0 })
}

// restingFor returns the tags of the upstreams that rest for a cause.
func (b *Board) restingFor(cause func(*state) bool) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var tags []uint32
	for _, s := range b.states {
		if now.Before(s.restUntil) && cause(s) {
			tags = append(tags, s.tag)
		}
	}
	return tags
}

// Hear takes in what another node tells.
func (b *Board) Hear(n News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[n.Node] = heard{n, b.now()}
	byTag := make(map[uint32]*state, len(b.states))
	for _, s := range b.states {
		s.others, s.doubted, s.refusers = Claim{}, 0, 0
		byTag[s.tag] = s
	}
	now := b.now()
	for tag, pace := range n.Paces {
		if s := byTag[tag]; s != nil && !s.paceOwn {
			s.pace, s.paceAt = pace, now
		}
	}
	for node, p := range b.peers {
		if now.Sub(p.at) > claimLife {
			delete(b.peers, node)
			continue
		}
		for tag, c := range p.Claims {
			if s := byTag[tag]; s != nil {
				s.others = s.others.add(c)
			}
		}
		for _, tag := range p.Refusing {
			if s := byTag[tag]; s != nil {
				s.refusers++
				if p.at.After(s.refusersAt) {
					s.refusersAt = p.at
				}
			}
		}
		for _, tag := range p.Resting {
			if s := byTag[tag]; s != nil {
				s.doubted++
				if p.DataCentre == s.centre {
					s.doubted++
				}
			}
		}
	}
}

// Others returns what the other nodes together hold on an upstream, as they told last.
func (b *Board) Others(u *fleet.Upstream) Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(KeyOf(u)).others
}

// Paces returns the paces of upstreams that report to this node, by their tags.
func (b *Board) Paces() map[uint32]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	m := make(map[uint32]float64)
	for _, s := range b.states {
		if s.paceOwn && now.Sub(s.paceAt) < paceLife {
			m[s.tag] = s.pace
		} else {
			s.paceOwn = false
		}
	}
	return m
}
