package mesh

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"rhubarbspread/core/demand"
	"rhubarbspread/io/mesh/wire"

	"github.com/cespare/xxhash/v2"
)

// Parameters of relays.
const (
	// RelayThreshold is the number of other nodes from which on relays are used, since direct traffic between all nodes
	// grows with the square of their number.
	RelayThreshold      = 16
	relaysPerDataCentre = 2           // two, so that one may fail
	memberTTL           = time.Second // after which the claims of a silent node are left out of the sum
	relayedHops         = 3           // between nodes of two data centres: from the node over their relays
	allOthers           = "*"         // stands for the sum of all other nodes in place of a node's name
)

// NameHash returns a hash of a node's name.
func NameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// datagram is a digest and its destination.
type datagram struct {
	to     netip.AddrPort
	digest *wire.Digest
}

// usesRelays reports whether the nodes are so many that they exchange state through relays.
func (m *Mesh) usesRelays() bool { return len(m.listedNodes()) >= RelayThreshold }

// datagrams returns the datagrams of one period. Few nodes send their digests to each other directly. Many nodes send
// them to the relays of their data centre, which add them up, exchange the sums with the relays of other data centres
// and send each member of their own data centre the sum of all other nodes.
func (m *Mesh) datagrams(digest *wire.Digest, others map[string]Node) []datagram {
	var out []datagram
	if len(others) < RelayThreshold {
		m.setRole(role{isReader: m.isFirst(others)})
		for name, n := range others {
			out = append(out, datagram{n.Address, m.addressed(digest, name)})
		}
		return out
	}
	relays := m.relaysOf(others)
	m.awaitRelays(relays, others)
	ownRelays := relays[m.config.DataCentre]
	for _, name := range ownRelays.receivers {
		if name != m.config.Node {
			out = append(out, datagram{others[name].Address, m.addressed(digest, name)})
		}
	}
	own := role{
		isRelay:  slices.Contains(ownRelays.active, m.config.Node),
		isReader: slices.Contains(m.readersOf(relays), m.config.Node),
	}
	m.setRole(own)
	if own.isRelay {
		out = append(out, m.relayDatagrams(digest, others, relays)...)
	}
	return out
}

// isFirst reports whether this node comes first among the live ones, by the hashes of their names, once it has had the time to hear
// from them.
func (m *Mesh) isFirst(others map[string]Node) bool {
	if time.Since(m.started) < peerTTL {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range others {
		if m.isHeard(name) && NameHash(name) < NameHash(m.config.Node) {
			return false
		}
	}
	return true
}

// relaySet holds the relays of one data centre.
type relaySet struct {
	active    []string
	receivers []string // to which datagrams are sent, in order of their names; see receiversOf
}

// candidate is a node that may become a relay of its data centre.
type candidate struct {
	name     string
	capacity float64
}

// sortCandidates sorts the nodes of a data centre by how well they suit as relays: the VMs with the most capacity first, and in
// the order of the hashes of their names where that is equal or unknown. While one of them is of an older build, all order by
// the hash, as that one does.
func sortCandidates(candidates []candidate) {
	isUnknown := slices.ContainsFunc(candidates, func(c candidate) bool { return c.capacity <= 0 })
	slices.SortFunc(candidates, func(a, b candidate) int {
		byName := cmp.Compare(NameHash(a.name), NameHash(b.name))
		if isUnknown {
			return byName
		}
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), byName)
	})
}

// relaysOf returns the relays of each data centre: the first of its candidates, with silent relays last.
func (m *Mesh) relaysOf(others map[string]Node) map[string]relaySet {
	nodes := map[string][]candidate{m.config.DataCentre: {{m.config.Node, m.config.Capacity}}}
	for name, n := range others {
		nodes[n.DataCentre] = append(nodes[n.DataCentre], candidate{name, n.Capacity})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	relays := make(map[string]relaySet, len(nodes))
	for dataCentre, candidates := range nodes {
		sortCandidates(candidates)
		names := make([]string, 0, len(candidates))
		for _, c := range candidates {
			names = append(names, c.name)
		}
		count := min(relaysPerDataCentre, len(names))
		byRank := slices.Clone(names)
		slices.SortStableFunc(byRank, func(a, b string) int { return cmp.Compare(m.silentRank(a), m.silentRank(b)) })
		active := byRank[:count]
		relays[dataCentre] = relaySet{active, m.receiversOf(names, active)}
	}
	return relays
}

// silentRank returns 1 for a node that was last seen as a relay and is silent now, or that should have been heard as one and was
// not, else 0. The caller holds the lock.
func (m *Mesh) silentRank(name string) int {
	if m.awaited.silent[name] {
		return 1
	}
	if s := m.peers[name]; s != nil && s.latest.GetScope() != wire.Scope_NODE && time.Since(s.LastSeen) > peerTTL {
		return 1
	}
	return 0
}

// relayDatagrams returns the datagrams of a relay: the sum of its data centre for the relays of the others, and for
// each member of its data centre the sum of all other nodes. It also applies that sum for this node itself.
func (m *Mesh) relayDatagrams(own *wire.Digest, others map[string]Node, relays map[string]relaySet) []datagram {
	members, sums := m.liveDigests()
	total := newDigestSum()
	for _, d := range members {
		total.add(d, 1)
	}
	total.add(own, 1)
	ownRank := slices.Index(relays[m.config.DataCentre].active, m.config.Node)
	var out []datagram
	dataCentreSum := total.digest(own, wire.Scope_DATA_CENTRE, own.GetRules(), own.GetList())
	dataCentreSum.Loads = m.loads(own.GetSequence(), (*demand.Meter).Centre)
	loads := m.loads(own.GetSequence(), (*demand.Meter).All)
	for dataCentre, set := range relays {
		for _, name := range set.receivers {
			if dataCentre != m.config.DataCentre {
				out = append(out, datagram{others[name].Address, m.addressed(dataCentreSum, name)})
			}
		}
	}
	for _, d := range sums {
		total.add(d, 1)
	}
	for _, d := range members {
		total.add(d, -1)
		if n, ok := others[d.GetNode()]; ok && m.isTurnOf(d.GetNode(), own.GetSequence(), len(members), ownRank) {
			sum := total.digest(own, wire.Scope_OTHERS, own.GetRules(), own.GetList())
			sum.Loads = loads
			sum.Echo = m.echoFor(d.GetNode(), sum.GetMadeUs())
			out = append(out, datagram{n.Address, sum})
		}
		total.add(d, 1)
	}
	total.add(own, -1)
	m.applyDigest(total.digest(own, wire.Scope_OTHERS, 0, 0))
	return out
}

// manyMembers is the number of members from which on the relays of a data centre take turns in sending each of them the sum of
// all others, which may have a claim for each upstream: two sums to 60 members in each period fill a link of 20 Mbit/s.
const manyMembers = 24

// isTurnOf reports whether it is the turn of this relay, by its rank among those of its data centre, to send a member the sum of
// all others.
func (m *Mesh) isTurnOf(member string, sequence uint32, members, rank int) bool {
	return members < manyMembers || (NameHash(member)+sequence+uint32(rank))%relaysPerDataCentre == 0
}

// liveDigests returns the latest digests of the live members of this data centre, and the latest sum of each other data
// centre.
func (m *Mesh) liveDigests() (members, sums []*wire.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := make(map[string]*peerState)
	for _, s := range m.peers {
		if time.Since(s.LastSeen) > memberTTL {
			continue
		}
		switch {
		case s.DataCentre == m.config.DataCentre && s.ownDigest != nil && time.Since(s.ownReceivedAt) <= memberTTL:
			members = append(members, s.ownDigest)
		case s.latest.GetScope() == wire.Scope_DATA_CENTRE:
			if other := latest[s.DataCentre]; other == nil || s.LastSeen.After(other.LastSeen) {
				latest[s.DataCentre] = s
			}
		}
	}
	for _, s := range latest {
		sums = append(sums, s.latest)
	}
	return members, sums
}

// digestSum is a sum of digests.
type digestSum struct {
	claims   map[uint32]*wire.Claim
	failed   map[uint32]int // nodes that eject an upstream after failures
	refusing map[uint32]int // nodes that eject an upstream after refusals
	health   map[uint32]*wire.Health
	members  map[uint32]int // by the hash of the name
	crashes  map[crashID]*wire.Crash
	planners int // nodes that hold the lease
	retries  map[uint32]*wire.Spent
	demand   map[uint32]*wire.Demand
	nodes    int // that the sum covers
	settled  int // of these, the nodes whose retry counts cover a whole window
}

// crashID identifies a crash mark.
type crashID struct {
	fingerprint, upstream string
	stamp                 uint64
}

func newDigestSum() *digestSum {
	return &digestSum{
		claims: make(map[uint32]*wire.Claim), failed: make(map[uint32]int), health: make(map[uint32]*wire.Health),
		members: make(map[uint32]int), refusing: make(map[uint32]int), retries: make(map[uint32]*wire.Spent),
		crashes: make(map[crashID]*wire.Crash), demand: make(map[uint32]*wire.Demand),
	}
}

// add adds a digest if sign is 1, and subtracts it if sign is -1. Health and crash marks are never subtracted.
func (s *digestSum) add(d *wire.Digest, sign int) {
	for _, c := range d.GetClaims() {
		sum := s.claims[c.GetUpstream()]
		if sum == nil {
			sum = &wire.Claim{Upstream: c.GetUpstream()}
			s.claims[c.GetUpstream()] = sum
		}
		// Unsigned sums may wrap around but end up right, since only what was added before is subtracted.
		sum.Held += uint32(sign) * c.GetHeld()
		sum.Running += uint32(sign) * c.GetRunning()
		sum.First += uint32(sign) * c.GetFirst()
		sum.Reading += uint32(sign) * c.GetReading()
	}
	for _, hash := range d.GetResting() {
		s.failed[hash] += sign
	}
	s.nodes += sign * nodeCount(d)
	s.settled += sign * int(d.GetSettled())
	for _, spent := range d.GetSpent() {
		sum := s.retries[spent.GetService()]
		if sum == nil {
			sum = &wire.Spent{Service: spent.GetService()}
			s.retries[spent.GetService()] = sum
		}
		sum.Firsts += uint32(sign) * spent.GetFirsts()
		sum.Repeats += uint32(sign) * spent.GetRepeats()
	}
	for _, c := range d.GetDemand() {
		sum := s.demand[c.GetClass()]
		if sum == nil {
			sum = &wire.Demand{Class: c.GetClass()}
			s.demand[c.GetClass()] = sum
		}
		sum.Offered += uint32(sign) * c.GetOffered()
		sum.Unserved += uint32(sign) * c.GetUnserved()
	}
	for _, hash := range d.GetRefusing() {
		s.refusing[hash] += sign
	}
	if d.GetPlans() {
		s.planners += sign
	}
	if d.GetScope() == wire.Scope_NODE {
		s.members[NameHash(d.GetNode())] += sign
	}
	if sign < 0 {
		return
	}
	for _, h := range d.GetHealth() {
		s.health[h.GetUpstream()] = h
	}
	for _, c := range d.GetCrashes() {
		id := crashID{c.GetFingerprint(), c.GetUpstream(), c.GetStamp()}
		if c.GetCleared() {
			id.stamp = 0 // the latest clearance includes the others
		}
		if known := s.crashes[id]; known == nil || c.GetStamp() > known.GetStamp() ||
			c.GetQuarantined() && c.GetProlonged() >= known.GetProlonged() {
			s.crashes[id] = c
		}
	}
}

// digest returns the sum as a digest of the relay whose own digest is given, with the given versions.
func (s *digestSum) digest(own *wire.Digest, scope wire.Scope, rulesVersion, listVersion uint64) *wire.Digest {
	d := &wire.Digest{
		Node: own.GetNode(), Incarnation: own.GetIncarnation(), Sequence: own.GetSequence(), DataCentre: own.GetDataCentre(),
		Questions: own.GetQuestions(), Rules: rulesVersion, List: listVersion, Scope: scope,
		Quarantined: own.GetQuarantined(), Crashes: limitMarks(slices.Collect(maps.Values(s.crashes))),
		Plans: s.planners > 0, Nodes: uint32(s.nodes), Settled: uint32(s.settled),
		Limits: own.GetLimits(),                   // which include the newest of those received
		Doubts: own.GetDoubts(), TakesFacts: true, // likewise
		RulesWord: own.GetRulesWord(), ListWord: own.GetListWord(), ListNews: own.GetListNews(), MadeUs: own.GetMadeUs(),
	}
	for _, c := range s.claims {
		if c.GetRunning() > 0 || c.GetFirst() > 0 {
			d.Claims = append(d.Claims, &wire.Claim{
				Upstream: c.GetUpstream(), Held: c.GetHeld(), Running: c.GetRunning(), First: c.GetFirst(), Reading: c.GetReading(),
			})
		}
	}
	for _, spent := range s.retries {
		d.Spent = append(d.Spent, &wire.Spent{
			Service: spent.GetService(), Firsts: spent.GetFirsts(), Repeats: spent.GetRepeats(),
		})
	}
	for _, c := range s.demand {
		if c.GetOffered()+c.GetUnserved() == 0 {
			continue
		}
		d.Demand = append(d.Demand, &wire.Demand{Class: c.GetClass(), Offered: c.GetOffered(), Unserved: c.GetUnserved()})
	}
	d.Demand = mostDemand(d.Demand)
	d.Resting, d.Refusing = repeatHashes(s.failed), repeatHashes(s.refusing)
	for _, h := range s.health {
		d.Health = append(d.Health, h)
	}
	for hash, n := range s.members {
		if n > 0 {
			d.Members = append(d.Members, hash)
		}
	}
	return d
}

// repeatHashes returns each hash as many times as it was counted.
func repeatHashes(counts map[uint32]int) []uint32 {
	var out []uint32
	for hash, n := range counts {
		for range n {
			out = append(out, hash)
		}
	}
	return out
}
