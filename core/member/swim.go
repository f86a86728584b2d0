package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the protocol.
const (
	ProbeInterval          = time.Second // between a node's probes
	minSuspicionTimeout    = 3 * time.Second
	suspicionTimeoutStep   = time.Second      // added to the suspicion timeout for each doubling of the nodes
	maxUpdates             = 24               // node states, and facts, in one packet
	noRetransmit           = 1 << 20          // transmission count of an update that need not be sent
	retransmitMultiplier   = 3                // an update is sent this many times the logarithm of the number of nodes
	factConvergenceTimeout = 5 * time.Second  // after which gossip should have spread a fact to all nodes
	deadRetention          = 10 * time.Minute // that a dead node stays known
)

type nodeRecord struct {
	node          Node
	stateSince    time.Time
	transmissions int // number of packets that carried this state
}

type factRecord struct {
	fact          Fact
	expires       time.Time // zero for never
	transmissions int       // number of packets that carried this version
}

// Swim is the state of a node in the SWIM protocol. It has no goroutine and no socket; its caller sends the packets
// and calls Tick.
type Swim struct {
	mu           sync.Mutex
	now          func() time.Time
	random       *rand.Rand
	self         Node
	known        map[string]*nodeRecord // other nodes by name
	facts        map[factKey]*factRecord
	digest       uint64    // XOR of the hashes of all facts
	factsChanged time.Time // when a fact last changed
	unprobed     []string  // names of the nodes still to probe in this round
	onFact       func(Fact)
	onNodes      func([]Node)
	nodeVer      uint64
}

// Option sets a part of a Swim.
type Option func(*Swim)

// WithClock sets the source of time.
func WithClock(now func() time.Time) Option { return func(s *Swim) { s.now = now } }

// WithSeed sets the seed of the probe order.
func WithSeed(seed uint64) Option {
	return func(s *Swim) { s.random = rand.New(rand.NewPCG(seed, xxhash.Sum64String(s.self.Name))) }
}

// WithOnFact sets the function that is called, with the lock held, for each fact that is new to this node.
func WithOnFact(f func(Fact)) Option { return func(s *Swim) { s.onFact = f } }

// WithOnNodes sets the function that is called, with the lock held, with the nodes that are not dead whenever these
// change.
func WithOnNodes(f func([]Node)) Option { return func(s *Swim) { s.onNodes = f } }

// New returns the state of a node that knows only itself.
func New(self Node, opts ...Option) *Swim {
	s := &Swim{
		now:     time.Now,
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		self:    self,
		known:   make(map[string]*nodeRecord),
		facts:   make(map[factKey]*factRecord),
		onFact:  func(Fact) {},
		onNodes: func([]Node) {},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Seed adds nodes from the platform's list and reports whether one was new. A node's absence from the list does not
// make it dead, and a dead node becomes alive by the list only with a new address.
func (s *Swim) Seed(nodes []Node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, n := range nodes {
		r := s.known[n.Name]
		if n.Name == s.self.Name || (r != nil && (r.node.State != Dead || r.node.Address == n.Address)) {
			continue
		}
		n.Incarnation = 0
		n.State = Alive
		// The other nodes read the same list, so this need not be gossiped.
		s.known[n.Name] = &nodeRecord{node: n, stateSince: s.now(), transmissions: noRetransmit}
		changed = true
	}
	s.notifyNodes(changed)
	return changed
}

// NextProbe returns the node to probe in this period. Each node that is not dead is probed once per round, in random
// order.
func (s *Swim) NextProbe() (Node, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 2 {
		for len(s.unprobed) > 0 {
			name := s.unprobed[len(s.unprobed)-1]
			s.unprobed = s.unprobed[:len(s.unprobed)-1]
			if r := s.known[name]; r != nil && r.node.State != Dead {
				return r.node, true
			}
		}
		s.newRound()
	}
	return Node{}, false
}

// newRound starts a round with all known nodes in random order. Dead nodes are included, because one that was
// partitioned may be alive again when its turn comes; NextProbe skips those that are still dead.
func (s *Swim) newRound() {
	for name := range s.known {
		s.unprobed = append(s.unprobed, name)
	}
	slices.Sort(s.unprobed)
	s.random.Shuffle(len(s.unprobed), func(i, j int) { s.unprobed[i], s.unprobed[j] = s.unprobed[j], s.unprobed[i] })
}

// DeadNode returns a random dead node to probe again, so that the sides of a healed partition reconnect.
func (s *Swim) DeadNode() (Node, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var dead []Node
	for _, r := range s.known {
		if r.node.State == Dead {
			dead = append(dead, r.node)
		}
	}
	if len(dead) == 0 {
		return Node{}, false
	}
	slices.SortFunc(dead, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return dead[s.random.IntN(len(dead))], true
}

// RandomAlive returns up to n random nodes in the state Alive, other than the named one.
func (s *Swim) RandomAlive(n int, except string) []Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Node
	for _, r := range s.known {
		if r.node.State == Alive && r.node.Name != except {
			out = append(out, r.node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	s.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// ProbeFailed marks a node as suspect after its direct and indirect probes failed.
func (s *Swim) ProbeFailed(n Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.State = Suspect
	s.notifyNodes(s.mergeNode(n))
}

// Tick declares nodes dead whose suspicion timed out, and removes old dead nodes and expired facts.
func (s *Swim) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	changed := false
	for name, r := range s.known {
		switch {
		case r.node.State == Suspect && now.Sub(r.stateSince) >= s.suspicionTimeout():
			n := r.node
			n.State = Dead
			changed = s.mergeNode(n) || changed
		case r.node.State == Dead && now.Sub(r.stateSince) >= deadRetention:
			delete(s.known, name)
		}
	}
	for key, f := range s.facts {
		if !f.expires.IsZero() && !now.Before(f.expires) {
			s.digest ^= hashFact(f.fact)
			delete(s.facts, key)
		}
	}
	s.notifyNodes(changed)
}

func (s *Swim) suspicionTimeout() time.Duration {
	return minSuspicionTimeout + time.Duration(bits.Len(uint(len(s.known))))*suspicionTimeoutStep
}

// mergeNode applies a received state of a node, and reports whether the set of nodes that are not dead changed.
func (s *Swim) mergeNode(n Node) bool {
	if n.Name == s.self.Name {
		s.refute(n)
		return false
	}
	r := s.known[n.Name]
	if r != nil && !n.overrides(r.node) {
		return false
	}
	if r == nil && n.State == Dead {
		return false
	}
	wasLive := r != nil && r.node.State != Dead
	updated := &nodeRecord{node: n, stateSince: s.now()}
	if r != nil && r.node.Incarnation == 0 && n.State == Alive {
		// This is the first state received of a node that Seed added. The node contacts the others itself, so this
		// need not be gossiped.
		updated.transmissions = noRetransmit
	}
	s.known[n.Name] = updated
	return wasLive != (n.State != Dead)
}

// refute raises this node's incarnation above that of a suspicion or death report about it.
func (s *Swim) refute(n Node) {
	if n.State == Alive || n.Incarnation < s.self.Incarnation {
		return
	}
	s.self.Incarnation = n.Incarnation + 1
}

func (s *Swim) notifyNodes(changed bool) {
	if changed {
		s.onNodes(s.alive())
	}
}

// Alive returns this node and the others that are not dead, sorted by name.
func (s *Swim) Alive() []Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive()
}

func (s *Swim) alive() []Node {
	out := []Node{s.self}
	for _, r := range s.known {
		if r.node.State != Dead {
			out = append(out, r.node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// All returns this node and all nodes that it knows, sorted by name.
func (s *Swim) All() []Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Node{s.self}
	for _, r := range s.known {
		out = append(out, r.node)
	}
	slices.SortFunc(out, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Leave marks this node as dead; the packets that it sends afterwards tell the other nodes.
func (s *Swim) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self.State = Dead
}
