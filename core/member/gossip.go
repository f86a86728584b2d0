package member

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Packet returns the gossip for one exchange: the node states and facts that were sent least often, and the digest
// of all facts.
func (s *Swim) Packet(stamp uint64) Packet {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Packet{From: s.self, Digest: s.digest, Stamp: stamp}
	limit := retransmitMultiplier * (1 + bits.Len(uint(len(s.known))))
	p.Nodes = s.nodeUpdates(limit)
	p.Facts = s.factUpdates(limit)
	return p
}

// WholePacket returns all nodes and facts that this node knows, for full synchronisation.
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

func (s *Swim) nodeUpdates(limit int) []Node {
	var pending []*nodeRecord
	for _, r := range s.known {
		if r.transmissions < limit {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *nodeRecord) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(a.node.Name, b.node.Name))
	})
	var out []Node
	for _, r := range pending[:min(maxUpdates, len(pending))] {
		r.transmissions++
		out = append(out, r.node)
	}
	return out
}

func (s *Swim) factUpdates(limit int) []Fact {
	var pending []*factRecord
	for _, f := range s.facts {
		if f.transmissions < limit {
			pending = append(pending, f)
		}
	}
	slices.SortFunc(pending, func(a, b *factRecord) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions),
			cmp.Compare(a.fact.Kind+a.fact.Key, b.fact.Kind+b.fact.Key))
	})
	var out []Fact
	for _, f := range pending[:min(maxUpdates, len(pending))] {
		f.transmissions++
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

// Receive merges a packet. The first result says that it held a new fact, which the caller should push on. The
// second says that the two nodes' facts still differ factConvergenceTimeout after the last change here, which calls
// for full synchronisation.
func (s *Swim) Receive(p Packet) (newFact, differs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.mergeNode(p.From)
	if r := s.known[p.From.Name]; r != nil && r.node.State != Alive {
		// The sender is alive but known here as suspect or dead: resend that state, so that it can refute it.
		r.transmissions = 0
	}
	for _, n := range p.Nodes {
		changed = s.mergeNode(n) || changed
	}
	for _, f := range p.Facts {
		newFact = s.mergeFact(f) || newFact
	}
	s.notifyNodes(changed)
	return newFact, !p.Whole && p.Digest != s.digest && s.now().Sub(s.factsChanged) > factConvergenceTimeout
}

// Publish adds a fact of this node to the gossip, and reports whether its version was new.
func (s *Swim) Publish(f Fact) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mergeFact(f)
}

// Fact returns the known fact of a kind and key, and false if there is none.
func (s *Swim) Fact(kind, key string) (Fact, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.facts[factKey{kind, key}]
	if f == nil {
		return Fact{}, false
	}
	return s.outgoing(f), true
}

func (s *Swim) mergeFact(f Fact) bool {
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
	s.factsChanged = s.now()
	s.onFact(f)
	return true
}

func hashFact(f Fact) uint64 {
	return xxhash.Sum64String(f.Kind + "\x00" + f.Key + "\x00" + strconv.FormatUint(f.Version, 10))
}
