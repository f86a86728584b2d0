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

// Constants of the protocol.
const (
	Period         = time.Second // between a node's probes
	suspicionFloor = 3 * time.Second
	suspicionStep  = time.Second // a suspicion lasts longer by it with each doubling of the nodes
	maxNews        = 24          // items of news in one packet, of each sort
	oldNews        = 1 << 20     // times sent of what need not be told
	spreadFactor   = 3           // times the logarithm of the nodes that a piece of news is sent
	settleTime     = 5 * time.Second
	deadMemory     = 10 * time.Minute
)

type record struct {
	node  Node
	since time.Time // of the present state
	sent  int       // times that it went out as news
}

type factRecord struct {
	fact    Fact
	expires time.Time // zero for never
	sent    int
}

// Swim is the state of one node in the liveness protocol; it has no goroutine and no socket.
type Swim struct {
	mu      sync.Mutex
	now     func() time.Time
	random  *rand.Rand
	self    Node
	known   map[string]*record
	facts   map[factKey]*factRecord
	digest  uint64
	changed time.Time // when a fact last changed
	round   []string  // names still to probe in this round
	onFact  func(Fact)
	onNodes func([]Node)
	nodeVer uint64
}

// Option sets a part of a Swim.
type Option func(*Swim)

// WithClock sets the source of time.
func WithClock(now func() time.Time) Option { return func(s *Swim) { s.now = now } }

// WithSeed fixes the order of probes.
func WithSeed(seed uint64) Option {
	return func(s *Swim) { s.random = rand.New(rand.NewPCG(seed, xxhash.Sum64String(s.self.Name))) }
}

// WithOnFact sets what is called, under the lock, with each fact that is new here.
func WithOnFact(f func(Fact)) Option { return func(s *Swim) { s.onFact = f } }

// WithOnNodes sets what is called, under the lock, with the live nodes when these have changed.
func WithOnNodes(f func([]Node)) Option { return func(s *Swim) { s.onNodes = f } }

// New returns the state of a node that knows only itself.
func New(self Node, opts ...Option) *Swim {
	s := &Swim{
		now:     time.Now,
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		self:    self,
		known:   make(map[string]*record),
		facts:   make(map[factKey]*factRecord),
		onFact:  func(Fact) {},
		onNodes: func([]Node) {},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Seed adds nodes that the platform's list shows. The list alone makes nobody dead, and it does not
// revive a node that the others found dead. It reports whether some node is new here.
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
		// The others read the same list: it is no news.
		s.known[n.Name] = &record{node: n, since: s.now(), sent: oldNews}
		changed = true
	}
	s.tellNodes(changed)
	return changed
}

// Next returns the node to probe in this period; every node is probed once a round, in random order.
func (s *Swim) Next() (Node, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 2 {
		for len(s.round) > 0 {
			name := s.round[len(s.round)-1]
			s.round = s.round[:len(s.round)-1]
			if r := s.known[name]; r != nil && r.node.State != Dead {
				return r.node, true
			}
		}
		s.newRound()
	}
	return Node{}, false
}

// newRound puts the dead behind the living: a node that was cut off and is back has to be met again.
func (s *Swim) newRound() {
	for name := range s.known {
		s.round = append(s.round, name)
	}
	slices.Sort(s.round)
	s.random.Shuffle(len(s.round), func(i, j int) { s.round[i], s.round[j] = s.round[j], s.round[i] })
}

// Lost returns a dead node to try once more, so that two halves of a partition find each other again.
func (s *Swim) Lost() (Node, bool) {
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

// Others returns up to n random live nodes besides one.
func (s *Swim) Others(n int, besides string) []Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Node
	for _, r := range s.known {
		if r.node.State == Alive && r.node.Name != besides {
			out = append(out, r.node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	s.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// Missed notes that a probe of a node failed, directly and through others.
func (s *Swim) Missed(n Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.State = Suspect
	s.tellNodes(s.learn(n))
}

// Tick declares those dead that have been suspect for too long, and forgets what has expired.
func (s *Swim) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	changed := false
	for name, r := range s.known {
		switch {
		case r.node.State == Suspect && now.Sub(r.since) >= s.suspicion():
			n := r.node
			n.State = Dead
			changed = s.learn(n) || changed
		case r.node.State == Dead && now.Sub(r.since) >= deadMemory:
			delete(s.known, name)
		}
	}
	for key, f := range s.facts {
		if !f.expires.IsZero() && !now.Before(f.expires) {
			s.digest ^= hashFact(f.fact)
			delete(s.facts, key)
		}
	}
	s.tellNodes(changed)
}

func (s *Swim) suspicion() time.Duration {
	return suspicionFloor + time.Duration(bits.Len(uint(len(s.known))))*suspicionStep
}

// learn takes over news of a node and reports whether it changed who is alive.
func (s *Swim) learn(n Node) bool {
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
	before := r != nil && r.node.State != Dead
	fresh := &record{node: n, since: s.now()}
	if r != nil && r.node.Incarnation == 0 && n.State == Alive {
		// Its first word about itself; the others hear theirs from it.
		fresh.sent = oldNews
	}
	s.known[n.Name] = fresh
	return before != (n.State != Dead)
}

// refute answers a suspicion of this node with a higher incarnation.
func (s *Swim) refute(n Node) {
	if n.State == Alive || n.Incarnation < s.self.Incarnation {
		return
	}
	s.self.Incarnation = n.Incarnation + 1
}

func (s *Swim) tellNodes(changed bool) {
	if changed {
		s.onNodes(s.alive())
	}
}

// Alive returns this node and all that are not dead, by name.
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

// All returns this node and all that it remembers, by name.
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

// Leave declares this node dead by its own word; the packets that follow tell the others.
func (s *Swim) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self.State = Dead
}
