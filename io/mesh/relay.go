package mesh

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"rhubarbspread/io/mesh/wire"

	"github.com/cespare/xxhash/v2"
)

// Constants of relays.
const (
	relayFrom  = 16          // other nodes from which on datagrams go through relays: all to all grows with their square
	relays     = 2           // of a data centre, so that the loss of one is not felt
	memberTime = time.Second // after which a member's claims are no longer added up
	everybody  = "*"         // names the sum of all other nodes
)

// NameTag returns a hash of a node's name.
func NameTag(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// outgoing is a datagram and where it goes.
type outgoing struct {
	to     netip.AddrPort
	digest *wire.Digest
}

// isRelayed reports whether datagrams go through relays.
func (m *Mesh) isRelayed() bool { return len(m.others()) >= relayFrom }

// plan returns the datagrams of one period. Few nodes tell each other. Many tell the relays of their data centre,
// which add up what they hear, trade sums with the relays of other data centres and tell each member of all others.
func (m *Mesh) plan(own *wire.Digest, others map[string]Node) []outgoing {
	var out []outgoing
	if len(others) < relayFrom {
		for _, n := range others {
			out = append(out, outgoing{n.Address, own})
		}
		return out
	}
	centres := m.relaysOf(others)
	mine := centres[m.config.DataCentre]
	for _, name := range mine {
		if name != m.config.Node {
			out = append(out, outgoing{others[name].Address, own})
		}
	}
	if slices.Contains(mine, m.config.Node) {
		out = append(out, m.relay(own, others, centres)...)
	}
	return out
}

// relaysOf returns the relays of each data centre: the first nodes by the hash of their names, those that fell silent
// last.
func (m *Mesh) relaysOf(others map[string]Node) map[string][]string {
	byCentre := map[string][]string{m.config.DataCentre: {m.config.Node}}
	for name, n := range others {
		byCentre[n.DataCentre] = append(byCentre[n.DataCentre], name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for centre, names := range byCentre {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare(m.silent(a), m.silent(b)), cmp.Compare(NameTag(a), NameTag(b)))
		})
		byCentre[centre] = names[:min(relays, len(names))]
	}
	return byCentre
}

// silent returns 1 for a relay that was heard once and not lately, else 0. The lock is held.
func (m *Mesh) silent(name string) int {
	if s := m.peers[name]; s != nil && s.digest.GetScope() != wire.Scope_NODE && time.Since(s.At) > freshTime {
		return 1
	}
	return 0
}

// relay returns the datagrams of a relay: its data centre's sum for other relays, and for each member what all others
// hold. It takes that in itself as well.
func (m *Mesh) relay(own *wire.Digest, others map[string]Node, centres map[string][]string) []outgoing {
	members, sums := m.heard()
	t := newTally()
	for _, d := range members {
		t.add(d, 1)
	}
	t.add(own, 1)
	var out []outgoing
	sum := t.digest(own, wire.Scope_DATA_CENTRE, own.GetRules(), own.GetList())
	for centre, names := range centres {
		for _, name := range names {
			if centre != m.config.DataCentre {
				out = append(out, outgoing{others[name].Address, sum})
			}
		}
	}
	for _, d := range sums {
		t.add(d, 1)
	}
	for _, d := range members {
		t.add(d, -1)
		if n, ok := others[d.GetNode()]; ok {
			out = append(out, outgoing{n.Address, t.digest(own, wire.Scope_OTHERS, own.GetRules(), own.GetList())})
		}
		t.add(d, 1)
	}
	t.add(own, -1)
	m.hear(t.digest(own, wire.Scope_OTHERS, 0, 0))
	return out
}

// heard returns the latest digests of the live members of the data centre, and the latest sum of each other one.
func (m *Mesh) heard() (members, sums []*wire.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := make(map[string]*seen)
	for _, s := range m.peers {
		if time.Since(s.At) > memberTime {
			continue
		}
		switch {
		case s.DataCentre == m.config.DataCentre && s.own != nil && time.Since(s.ownAt) <= memberTime:
			members = append(members, s.own)
		case s.digest.GetScope() == wire.Scope_DATA_CENTRE:
			if other := latest[s.DataCentre]; other == nil || s.At.After(other.At) {
				latest[s.DataCentre] = s
			}
		}
	}
	for _, s := range latest {
		sums = append(sums, s.digest)
	}
	return members, sums
}

// tally adds up digests.
type tally struct {
	claims  map[uint32]*wire.Claim
	resting map[uint32]int
	refused map[uint32]int
	health  map[uint32]*wire.Health
	members map[uint32]int
	crashes []*wire.Crash
	plans   int
	spent   map[uint32]*wire.Spent
	nodes   int
}

func newTally() *tally {
	return &tally{
		claims: make(map[uint32]*wire.Claim), resting: make(map[uint32]int), health: make(map[uint32]*wire.Health),
		members: make(map[uint32]int), refused: make(map[uint32]int), spent: make(map[uint32]*wire.Spent),
	}
}

// add adds a digest with a sign of 1 or takes it off with -1.
func (t *tally) add(d *wire.Digest, sign int) {
	for _, c := range d.GetClaims() {
		sum := t.claims[c.GetUpstream()]
		if sum == nil {
			sum = &wire.Claim{Upstream: c.GetUpstream()}
			t.claims[c.GetUpstream()] = sum
		}
		// Unsigned sums wrap and come back, since nothing is taken off that was not added.
		sum.Held += uint32(sign) * c.GetHeld()
		sum.Running += uint32(sign) * c.GetRunning()
		sum.First += uint32(sign) * c.GetFirst()
		sum.Reading += uint32(sign) * c.GetReading()
	}
	for _, tag := range d.GetResting() {
		t.resting[tag] += sign
	}
	t.nodes += sign * nodesOf(d)
	for _, s := range d.GetSpent() {
		sum := t.spent[s.GetService()]
		if sum == nil {
			sum = &wire.Spent{Service: s.GetService()}
			t.spent[s.GetService()] = sum
		}
		sum.Firsts += uint32(sign) * s.GetFirsts()
		sum.Repeats += uint32(sign) * s.GetRepeats()
	}
	for _, tag := range d.GetRefusing() {
		t.refused[tag] += sign
	}
	if d.GetPlans() {
		t.plans += sign
	}
	if d.GetScope() == wire.Scope_NODE {
		t.members[NameTag(d.GetNode())] += sign
	}
	if sign < 0 {
		return
	}
	for _, h := range d.GetHealth() {
		t.health[h.GetUpstream()] = h
	}
	t.crashes = append(t.crashes, d.GetCrashes()...)
}

// digest returns the sum in the name of a relay, with the versions that it knows.
func (t *tally) digest(own *wire.Digest, scope wire.Scope, rules, list uint64) *wire.Digest {
	d := &wire.Digest{
		Node: own.GetNode(), Incarnation: own.GetIncarnation(), Sequence: own.GetSequence(), DataCentre: own.GetDataCentre(),
		Questions: own.GetQuestions(), Rules: rules, List: list, Scope: scope, Crashes: t.crashes, Plans: t.plans > 0,
		Nodes: uint32(t.nodes),
	}
	for _, c := range t.claims {
		if c.GetRunning() > 0 || c.GetFirst() > 0 {
			d.Claims = append(d.Claims, &wire.Claim{
				Upstream: c.GetUpstream(), Held: c.GetHeld(), Running: c.GetRunning(), First: c.GetFirst(), Reading: c.GetReading(),
			})
		}
	}
	for _, s := range t.spent {
		d.Spent = append(d.Spent, &wire.Spent{Service: s.GetService(), Firsts: s.GetFirsts(), Repeats: s.GetRepeats()})
	}
	d.Resting, d.Refusing = repeated(t.resting), repeated(t.refused)
	for _, h := range t.health {
		d.Health = append(d.Health, h)
	}
	for tag, n := range t.members {
		if n > 0 {
			d.Members = append(d.Members, tag)
		}
	}
	return d
}

// repeated returns each tag as often as it was counted.
func repeated(counts map[uint32]int) []uint32 {
	var out []uint32
	for tag, n := range counts {
		for range n {
			out = append(out, tag)
		}
	}
	return out
}
