package mesh

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/pacer"
	"rhubarbspread/core/retry"
	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh/wire"

	"github.com/go-logr/logr"
)

// group is a set of nodes whose datagrams the test delivers.
type group struct {
	sequence      uint32 // of the latest period that exchange has played
	t             *testing.T
	nodes         []*member
	upstreams     []*fleet.Upstream
	bytesSent     int
	mostBytes     int            // in one datagram
	cutDataCentre string         // from and to which no datagram arrives
	datagramsSent map[string]int // by sender
	inFlight      []delivery     // of exchangeDelayed
}

// member is one node of a group.
type member struct {
	isCutFromStore bool
	*Mesh
	address    netip.AddrPort
	dataCentre string
	board      *board.Board
	isStopped  bool
	// isUnlisted is set for a node that is not yet in the other nodes' list.
	isUnlisted    bool
	receivedMarks []crash.Mark
	crashes       *crash.Registry
	budget        *retry.Window
}

// ApplyMark records a mark and applies it.
func (m *member) ApplyMark(mark crash.Mark) {
	m.receivedMarks = append(m.receivedMarks, mark)
	m.crashes.ApplyMark(mark)
}

// Evidence returns the marks of the requests in quarantine.
func (m *member) Evidence() []crash.Mark { return m.crashes.Evidence() }

// Acquittals returns the clearances that other nodes may lack.
func (m *member) Acquittals() []crash.Mark { return m.crashes.Acquittals() }

// OpenMarks returns the marks of the parts that are withheld.
func (m *member) OpenMarks() []crash.Mark { return m.crashes.OpenMarks() }

// newGroup returns n nodes spread over data centres, and four upstreams in the first of these.
func newGroup(t *testing.T, n int, dataCentres ...string) *group {
	g := &group{t: t, datagramsSent: make(map[string]int)}
	for i := range 4 {
		g.upstreams = append(g.upstreams, &fleet.Upstream{ID: fmt.Sprintf("u%d", i), DataCentre: dataCentres[0], Slots: 1000})
	}
	for i := range n {
		g.nodes = append(g.nodes, g.newMember(i, n, dataCentres[i%len(dataCentres)]))
	}
	return g
}

// newMember returns node i of n, which knows nothing yet.
func (g *group) newMember(i, n int, dataCentre string) *member {
	m := &member{
		address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		dataCentre: dataCentre, board: board.New(board.WithNode(NameHash(fmt.Sprintf("node-%d", i))), board.WithSeed(uint64(i))),
	}
	m.budget = retry.NewWindow(0.2, 100, 10*time.Second)
	m.budget.SetNodes(n)
	var others []uint32
	for j := range n {
		if j != i {
			others = append(others, NameHash(fmt.Sprintf("node-%d", j)))
		}
	}
	m.board.SetSharers(pacer.NewSharers(NameHash(fmt.Sprintf("node-%d", i)), others))
	m.board.SetUpstreams(fleet.NewList(1, g.upstreams))
	name := fmt.Sprintf("node-%d", i)
	stamp := uint64(0)
	m.crashes = crash.NewRegistry(time.Now, func() uint64 { stamp = max(stamp+1, uint64(time.Now().UnixNano())); return stamp },
		time.Hour, crash.WithSettleTime(3*gossipPeriod))
	var names []string
	for j := range n {
		names = append(names, fmt.Sprintf("node-%d", j))
	}
	m.crashes.SetNodes(names[i], names)
	m.Mesh = New(Config{Node: name, DataCentre: m.dataCentre, DatagramAddress: m.address.String()}, m.board,
		func() StoreState { return StoreState{RulesVersion: uint64(i)} },
		func() map[string]Node { return g.others(name) }, m, m.budget, logr.Discard())
	return m
}

// others returns the nodes that a node's list contains.
func (g *group) others(name string) map[string]Node {
	m := make(map[string]Node)
	for _, n := range g.nodes {
		if n.config.Node != name && !n.isUnlisted {
			m[n.config.Node] = Node{n.address, n.dataCentre, n.config.Capacity}
		}
	}
	return m
}

// deliver sends and delivers the datagrams of one period.
func (g *group) deliver(sequence uint32) {
	for _, from := range g.nodes {
		g.deliverFrom(from, sequence)
	}
	time.Sleep(gossipPeriod)
}

// at returns the node at an address, or nil. Addresses hold the nodes' numbers.
func (g *group) at(address netip.AddrPort) *member {
	bytes := address.Addr().As4()
	if i := int(bytes[2])<<8 + int(bytes[3]); i < len(g.nodes) && g.nodes[i].address == address {
		return g.nodes[i]
	}
	return nil
}

// reserve makes node i reserve capacity for i+1 requests on the first upstream, and returns the number of all requests.
func (g *group) reserve() int {
	total := 0
	for i, m := range g.nodes {
		for range i + 1 {
			m.board.ReservePlain(g.upstreams[:1], nil)
			total++
		}
	}
	return total
}

// TestEachNodeLearnsWhatAllOthersHold checks that each node has the exact sum of the other nodes' claims, by direct
// datagrams between few nodes and through relays between many.
func TestEachNodeLearnsWhatAllOthersHold(t *testing.T) {
	for _, n := range []int{2, 9, 40, 84} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, "a", "b", "c", "d")
				total := g.reserve()
				for i := range 6 {
					g.deliver(uint32(i + 1))
				}
				for i, m := range g.nodes {
					if got, want := m.board.PeerClaims(g.upstreams[0]).FirstStage, total-i-1; got != want {
						t.Fatalf("%s counts %d requests of other nodes, want %d", m.config.Node, got, want)
					}
				}
			})
		})
	}
}

// TestClaimsSurviveLossOfRelays checks that claims still reach all nodes after the first relay of each data centre has
// stopped.
func TestClaimsSurviveLossOfRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 40, "a", "b", "c")
		total := g.reserve()
		for i := range 4 {
			g.deliver(uint32(i + 1))
		}
		stoppedRequests := 0
		relays := g.nodes[0].relaysOf(g.nodes[0].listedNodes())
		for i, m := range g.nodes {
			if relays[m.dataCentre].active[0] == m.config.Node {
				m.isStopped = true
				stoppedRequests += i + 1
			}
		}
		for i := range 30 {
			g.deliver(uint32(i + 10))
		}
		for i, m := range g.nodes {
			if m.isStopped {
				continue
			}
			if got, want := m.board.PeerClaims(g.upstreams[0]).FirstStage, total-stoppedRequests-i-1; got != want {
				t.Fatalf("%s counts %d requests of other nodes, want %d without those of the stopped relays",
					m.config.Node, got, want)
			}
		}
	})
}

// TestMembersSendFew checks that a node that is not a relay sends datagrams to the relays only, also among many nodes.
func TestMembersSendFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 84, "a", "b", "c", "d")
		g.deliver(1)
		senders := 0
		for _, n := range g.datagramsSent {
			if n > relaysPerDataCentre {
				senders++
			}
		}
		if senders > 4*relaysPerDataCentre {
			t.Errorf("%d nodes send more than %d datagrams a period, want the relays only", senders, relaysPerDataCentre)
		}
	})
}

// TestGossipCrossesDataCentresAfterCut guards against data centres that still take each other's relays for silent after
// they could not reach each other for some seconds.
func TestGossipCrossesDataCentresAfterCut(t *testing.T) {
	const periodsBefore, periodsCut, periodsAfter = 6, 40, 20
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 40, "a", "b", "c")
		sequence := uint32(0)
		deliver := func(periods int) {
			for range periods {
				sequence++
				g.deliver(sequence)
			}
		}
		deliver(periodsBefore)
		g.cutDataCentre = "b"
		deliver(periodsCut)
		g.cutDataCentre = ""
		g.nodes[0].BroadcastMark(crash.Mark{Fingerprint: "f", Upstream: "u0", Stamp: 3})
		deliver(periodsAfter)
		lacking := 0
		for _, m := range g.nodes[1:] {
			if len(m.receivedMarks) == 0 {
				lacking++
			}
		}
		if lacking > 0 {
			t.Errorf("%d of %d nodes received no mark in %d periods after the cut", lacking, len(g.nodes)-1, periodsAfter)
		}
	})
}

func TestOldDatagramsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, "a")
		hash := board.KeyOf(g.upstreams[0]).Hash()
		digest := func(incarnation uint64, sequence, first uint32) *wire.Digest {
			return &wire.Digest{
				Node: "x", Incarnation: incarnation, Sequence: sequence,
				Claims: []*wire.Claim{{Upstream: hash, First: first}},
			}
		}
		m := g.nodes[0]
		for _, d := range []*wire.Digest{digest(5, 9, 3), digest(5, 8, 99), digest(4, 20, 99), digest(5, 9, 99)} {
			m.handleDigest(d)
		}
		if got := m.board.PeerClaims(g.upstreams[0]).FirstStage; got != 3 {
			t.Errorf("%d requests in claims, want the 3 of the newest datagram", got)
		}
		m.handleDigest(digest(6, 1, 4))
		if got := m.board.PeerClaims(g.upstreams[0]).FirstStage; got != 4 {
			t.Errorf("%d requests in claims after the node's restart, want 4", got)
		}
	})
}

func TestNewerPeerIsTheNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 5, "a")
		g.deliver(1)
		if p, ok := g.nodes[0].NewerPeer(3, store.Revision{}); !ok || p.RulesVersion != 4 {
			t.Errorf("newer than 3: %+v, %v", p, ok)
		}
		if p, ok := g.nodes[0].NewerPeer(4, store.Revision{}); ok {
			t.Errorf("newer than the newest: %+v", p)
		}
		time.Sleep(peerTTL + time.Millisecond)
		if p, ok := g.nodes[0].NewerPeer(0, store.Revision{}); ok {
			t.Errorf("silent node returned: %+v", p)
		}
	})
}

// TestNewerPeerKnowsOfAChange guards against fetches of the list from a node that has only seen the version of a row which this node
// has not, as it was removed before this node read the list.
func TestNewerPeerKnowsOfAChange(t *testing.T) {
	word := func(era, through, changed uint64) Word {
		return Word{Through: store.Revision{Era: era, Number: through}, Changed: store.Revision{Era: era, Number: changed}}
	}
	own := store.Revision{Era: 1, Number: 20}
	tests := []struct {
		name string
		word Word
		want bool
	}{
		{"an older list with a newer row", word(1, 19, 19), false},
		{"a later confirmation of the same", word(1, 30, 20), false},
		{"a change", word(1, 30, 21), true},
		{"an earlier era", word(0, 99, 99), false},
		{"a later era", word(2, 3, 3), true},
		{"none", Word{}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 2, "a")
				if tc.word != (Word{}) {
					tc.word.ConfirmedAt = time.Now()
				}
				g.nodes[1].storeState = func() StoreState { return StoreState{ListWord: tc.word} }
				g.deliver(1)
				if _, ok := g.nodes[0].NewerPeer(0, own); ok != tc.want {
					t.Errorf("newer: %v, want %v", ok, tc.want)
				}
			})
		})
	}
}

// TestUnreachablePeerIsNotAskedAgainAtOnce guards against fetches from the newest node alone, although it can't be reached.
func TestUnreachablePeerIsNotAskedAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 5, "a")
		for i, m := range g.nodes {
			m.config.RPCAddress = fmt.Sprintf("10.0.0.%d:80", i)
		}
		g.deliver(1)
		m := g.nodes[0]
		newest, _ := m.NewerPeer(0, store.Revision{})
		m.recordFetch(newest.RPCAddress, errors.New("connection refused"))
		if p, ok := m.NewerPeer(0, store.Revision{}); !ok || p.Name == newest.Name {
			t.Errorf("%q after a fetch from it failed, want another node", p.Name)
		}
		if p, ok := m.NewerPeer(newest.RulesVersion-1, store.Revision{}); !ok || p.Name != newest.Name {
			t.Errorf("%q, want the only node with a newer configuration", p.Name)
		}
		time.Sleep(peerTTL + time.Millisecond)
		g.deliver(2)
		if p, _ := m.NewerPeer(0, store.Revision{}); p.Name != newest.Name {
			t.Errorf("%q some time after the failure, want the newest node", p.Name)
		}
	})
}

func TestNewsHasOnlyWhatIsNewer(t *testing.T) {
	m := New(Config{Node: "n"}, board.New(), func() StoreState {
		return StoreState{
			RulesVersion: 7, RawRules: []byte("config"),
			ListWord: Word{Through: store.Revision{Number: 9}, ConfirmedAt: time.Now()},
			Rows:     []store.FeedRow{{Key: "u", Value: []byte("entry")}},
			NodeRows: []store.FeedRow{{Key: "n", Value: []byte("row")}},
		}
	}, nil, nil, nil, logr.Discard())
	tests := []struct {
		rules, list uint64 // version and revision in the request
		lacksNodes  bool
		hasConfig   bool
		entries     int
		nodes       int
	}{{6, 8, true, true, 1, 1}, {7, 8, false, false, 1, 0}, {6, 9, false, true, 0, 0}, {7, 9, true, false, 0, 1}}
	for _, tc := range tests {
		reply, err := (&server{mesh: m}).News(context.Background(), &wire.NewsRequest{
			Rules: tc.rules, List: tc.list, LacksNodes: tc.lacksNodes,
		})
		if err != nil || (len(reply.GetConfiguration()) > 0) != tc.hasConfig || len(reply.GetEntries()) != tc.entries ||
			len(reply.GetNodes()) != tc.nodes {
			t.Errorf("%+v: %v, %v", tc, reply, err)
		}
	}
}

// TestRetryCountsAndRefusalsReachAllNodes checks that one node's retry counts and refusals reach all other nodes, with
// and without relays.
func TestRetryCountsAndRefusalsReachAllNodes(t *testing.T) {
	for _, n := range []int{3, 60} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, "a", "b", "c")
				for _, m := range g.nodes {
					m.budget.RecordFirstAttempt("s")
				}
				last := g.nodes[n-1]
				for sequence := range uint32(4) {
					g.deliver(sequence + 1)
				}
				for sequence := range uint32(3) {
					for _, m := range g.nodes[:2] {
						m.board.RecordRefusal(g.upstreams[0], "")
					}
					g.deliver(sequence + 5)
				}
				for range 10 {
					if reservation := last.board.ReservePlain(g.upstreams[:2], nil); reservation.Upstream != g.upstreams[1] {
						t.Fatal("the last node picked the upstream that refused two other nodes")
					}
				}
				if got := last.budget.Totals("s"); got != (retry.Count{FirstAttempts: n}) {
					t.Errorf("node %d has the totals %+v, want the first attempts of %d nodes", n-1, got, n)
				}
			})
		})
	}
}

// TestNodeThatTheStoreDoesNotNameYet checks that a new node and the others learn of each other's claims before its row
// has reached them, since the list of nodes is fetched rarely.
func TestNodeThatTheStoreDoesNotNameYet(t *testing.T) {
	for _, n := range []int{4, 40} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, "a", "b", "c")
				g.nodes[n-1].isUnlisted = true
				total := g.reserve()
				for i := range 8 {
					g.deliver(uint32(i + 1))
				}
				for i, m := range g.nodes {
					if got, want := m.board.PeerClaims(g.upstreams[0]).FirstStage, total-i-1; got != want {
						t.Errorf("%s counts %d requests of other nodes, want %d", m.config.Node, got, want)
					}
				}
			})
		})
	}
}
