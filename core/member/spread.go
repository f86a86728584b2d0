package member

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Packet returns what to tell another node now: news that went out least, and the digest of all facts.
func (s *Swim) Packet(stamp uint64) Packet {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Packet{From: s.self, Digest: s.digest, Stamp: stamp}
	limit := spreadFactor * (1 + bits.Len(uint(len(s.known))))
	p.Nodes = s.nodeNews(limit)
	p.Facts = s.factNews(limit)
	return p
}

// WholePacket returns all that this node knows.
func (s *Swim) WholePacket(stamp uint64) Packet {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Packet{From: s.self, Digest: s.digest, Stamp: stamp, Whole: true}
	for _, r := range s.known {
		p.Nodes = append(p.Nodes, r.node)
	}
	for _, f := range s.facts {
		p.Facts = append(p.Facts, s.outgoing(f))
	}
	return p
}

func (s *Swim) nodeNews(limit int) []Node {
	var fresh []*record
	for _, r := range s.known {
		if r.sent < limit {
			fresh = append(fresh, r)
		}
	}
	slices.SortFunc(fresh, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.node.Name, b.node.Name))
	})
	var out []Node
	for _, r := range fresh[:min(maxNews, len(fresh))] {
		r.sent++
		out = append(out, r.node)
	}
	return out
}

func (s *Swim) factNews(limit int) []Fact {
	var fresh []*factRecord
	for _, f := range s.facts {
		if f.sent < limit {
			fresh = append(fresh, f)
		}
	}
	slices.SortFunc(fresh, func(a, b *factRecord) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.fact.Kind+a.fact.Key, b.fact.Kind+b.fact.Key))
	})
	var out []Fact
	for _, f := range fresh[:min(maxNews, len(fresh))] {
		f.sent++
		out = append(out, s.outgoing(f))
	}
	return out
}

func (s *Swim) outgoing(f *factRecord) Fact {
	out := f.fact
	if !f.expires.IsZero() {
		out.Remaining = uint32(max(1, f.expires.Sub(s.now())/time.Second))
	}
	return out
}

// Receive takes over a packet. It reports whether some fact was new here, which is then worth pushing
// on, and whether the two nodes' facts have differed for longer than news takes to spread.
func (s *Swim) Receive(p Packet) (news, differs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.learn(p.From)
	if r := s.known[p.From.Name]; r != nil && r.node.State != Alive {
		// The sender is alive and doesn't know what is said of it: tell it, so that it can refute.
		r.sent = 0
	}
	for _, n := range p.Nodes {
		changed = s.learn(n) || changed
	}
	for _, f := range p.Facts {
		news = s.learnFact(f) || news
	}
	s.tellNodes(changed)
	return news, !p.Whole && p.Digest != s.digest && s.now().Sub(s.changed) > settleTime
}

// Publish states a fact of this node's own; it reports whether it was new.
func (s *Swim) Publish(f Fact) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learnFact(f)
}

// Fact returns a fact, and false where none is known.
func (s *Swim) Fact(kind, key string) (Fact, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.facts[factKey{kind, key}]
	if f == nil {
		return Fact{}, false
	}
	return s.outgoing(f), true
}

func (s *Swim) learnFact(f Fact) bool {
	key := factKey{f.Kind, f.Key}
	known := s.facts[key]
	if known != nil && known.fact.Version >= f.Version {
		return false
	}
	if known != nil {
		s.digest ^= hashFact(known.fact)
	}
	r := &factRecord{fact: f}
	if f.Remaining > 0 {
		r.expires = s.now().Add(time.Duration(f.Remaining) * time.Second)
	}
	s.facts[key] = r
	s.digest ^= hashFact(f)
	s.changed = s.now()
	s.onFact(f)
	return true
}

func hashFact(f Fact) uint64 {
	return xxhash.Sum64String(f.Kind + "\x00" + f.Key + "\x00" + strconv.FormatUint(f.Version, 10))
}
