package mesh

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/retry"
	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh/wire"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
)

// group is nodes whose datagrams a test carries.
type group struct {
	t     *testing.T
	nodes []*member
	list  []*fleet.Upstream
	bytes int
	sent  map[string]int // datagrams by sender
}

type member struct {
	*Mesh
	address netip.AddrPort
	centre  string
	board   *board.Board
	off     bool
	// unlisted is a node that the store does not name yet to the others.
	unlisted bool
	learnt   []crash.Mark
	budget   *retry.Window
}

// Learn remembers a mark.
func (m *member) Learn(mark crash.Mark) { m.learnt = append(m.learnt, mark) }

func newGroup(t *testing.T, n int, centres ...string) *group {
	g := &group{t: t, sent: make(map[string]int)}
	for i := range 4 {
		g.list = append(g.list, &fleet.Upstream{ID: fmt.Sprintf("u%d", i), DataCentre: centres[0], Slots: 1000})
	}
	for i := range n {
		m := &member{
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
			centre:  centres[i%len(centres)], board: board.New(board.WithSeed(uint64(i))),
		}
		m.budget = retry.NewWindow(0.2, 100, 10*time.Second)
		m.budget.SetNodes(n)
		m.board.SetUpstreams(fleet.NewList(1, g.list))
		name := fmt.Sprintf("node-%d", i)
		m.Mesh = New(Config{Node: name, DataCentre: m.centre, Datagrams: m.address.String()}, m.board, func() Known { return Known{Rules: uint64(i)} },
			func() map[string]Node { return g.others(name) }, m, m.budget, logr.Discard())
		g.nodes = append(g.nodes, m)
	}
	return g
}

func (g *group) others(name string) map[string]Node {
	m := make(map[string]Node)
	for _, n := range g.nodes {
		if n.config.Node != name && !n.unlisted {
			m[n.config.Node] = Node{n.address, n.centre}
		}
	}
	return m
}

// tick carries the datagrams of one period.
func (g *group) tick(sequence uint32) {
	for _, from := range g.nodes {
		if from.off {
			continue
		}
		for _, out := range from.plan(from.Mesh.digest(sequence), from.neighbours()) {
			raw, err := proto.Marshal(out.digest)
			if err != nil {
				g.t.Fatal(err)
			}
			g.bytes += len(raw)
			g.sent[from.config.Node]++
			for _, to := range g.nodes {
				if to.address == out.to && !to.off {
					var d wire.Digest
					if err := proto.Unmarshal(raw, &d); err != nil {
						g.t.Fatal(err)
					}
					to.take(&d)
				}
			}
		}
	}
	time.Sleep(period)
}

// hold makes node i hold i+1 requests on an upstream.
func (g *group) hold() int {
	total := 0
	for i, m := range g.nodes {
		for range i + 1 {
			m.board.ReservePlain(g.list[:1], nil)
			total++
		}
	}
	return total
}

// TestEachNodeLearnsWhatAllOthersHold: exactly, few nodes by telling each other, many through relays.
func TestEachNodeLearnsWhatAllOthersHold(t *testing.T) {
	for _, n := range []int{2, 9, 40, 84} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, "a", "b", "c", "d")
				total := g.hold()
				for i := range 6 {
					g.tick(uint32(i + 1))
				}
				for i, m := range g.nodes {
					if got, want := m.board.PeerClaims(g.list[0]).FirstStage, total-i-1; got != want {
						t.Fatalf("%s believes that the others hold %d, want %d", m.config.Node, got, want)
					}
				}
			})
		})
	}
}

// TestLossOfARelayIsNotFelt: with all first relays of the data centres gone, claims still come through.
func TestLossOfARelayIsNotFelt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 40, "a", "b", "c")
		total := g.hold()
		for i := range 4 {
			g.tick(uint32(i + 1))
		}
		lost := 0
		first := g.nodes[0].relaysOf(g.nodes[0].others())
		for i, m := range g.nodes {
			if first[m.centre][0] == m.config.Node {
				m.off = true
				lost += i + 1
			}
		}
		for i := range 30 {
			g.tick(uint32(i + 10))
		}
		for i, m := range g.nodes {
			if m.off {
				continue
			}
			if got, want := m.board.PeerClaims(g.list[0]).FirstStage, total-lost-i-1; got != want {
				t.Fatalf("%s believes that the others hold %d, want %d without the lost relays", m.config.Node, got, want)
			}
		}
	})
}

// TestMembersSendFew: a node that is no relay sends to the relays alone, however many nodes there are.
func TestMembersSendFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 84, "a", "b", "c", "d")
		g.tick(1)
		busy := 0
		for _, n := range g.sent {
			if n > relays {
				busy++
			}
		}
		if busy > 4*relays {
			t.Errorf("%d nodes send more than %d datagrams a period, want the relays alone", busy, relays)
		}
	})
}

func TestMarksReachAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 40, "a", "b", "c")
		g.nodes[7].Spread(crash.Mark{Fingerprint: "f", Upstream: "u0", Stamp: 3})
		for i := range 6 {
			g.tick(uint32(i + 1))
		}
		for _, m := range g.nodes {
			if m.config.Node != "node-7" && (len(m.learnt) == 0 || m.learnt[0].Fingerprint != "f") {
				t.Errorf("%s learnt %v", m.config.Node, m.learnt)
			}
		}
	})
}

func TestOldDatagramsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, "a")
		tag := board.KeyOf(g.list[0]).Hash()
		digest := func(incarnation uint64, sequence, first uint32) *wire.Digest {
			return &wire.Digest{Node: "x", Incarnation: incarnation, Sequence: sequence, Claims: []*wire.Claim{{Upstream: tag, First: first}}}
		}
		m := g.nodes[0]
		for _, d := range []*wire.Digest{digest(5, 9, 3), digest(5, 8, 99), digest(4, 20, 99), digest(5, 9, 99)} {
			m.take(d)
		}
		if got := m.board.PeerClaims(g.list[0]).FirstStage; got != 3 {
			t.Errorf("claims %d, want 3 of the newest datagram", got)
		}
		m.take(digest(6, 1, 4))
		if got := m.board.PeerClaims(g.list[0]).FirstStage; got != 4 {
			t.Errorf("claims %d after the node's restart, want 4", got)
		}
	})
}

func TestAheadNamesTheNewest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 5, "a")
		g.tick(1)
		if p, ok := g.nodes[0].Ahead(3, 0); !ok || p.Rules != 4 {
			t.Errorf("ahead of 3: %+v, %v", p, ok)
		}
		if p, ok := g.nodes[0].Ahead(4, 0); ok {
			t.Errorf("ahead of the newest: %+v", p)
		}
		time.Sleep(freshTime + time.Millisecond)
		if p, ok := g.nodes[0].Ahead(0, 0); ok {
			t.Errorf("a silent node is asked: %+v", p)
		}
	})
}

func TestNewsHasOnlyWhatIsNewer(t *testing.T) {
	m := New(Config{Node: "n"}, board.New(), func() Known {
		return Known{Rules: 7, List: 9, Raw: []byte("config"), Items: []store.FeedRow{{Key: "u", Value: []byte("entry")}}}
	}, nil, nil, nil, logr.Discard())
	tests := []struct {
		rules, list uint64
		config      bool
		entries     int
	}{{6, 8, true, 1}, {7, 8, false, 1}, {6, 9, true, 0}, {7, 9, false, 0}}
	for _, tc := range tests {
		reply, err := (&server{mesh: m}).News(context.Background(), &wire.NewsRequest{Rules: tc.rules, List: tc.list})
		if err != nil || (len(reply.GetConfiguration()) > 0) != tc.config || len(reply.GetEntries()) != tc.entries {
			t.Errorf("%+v: %v, %v", tc, reply, err)
		}
	}
}

// TestEachNodeLearnsWhatAllRepeated holds that one node's counts and refusals reach all others, few or many.
func TestEachNodeLearnsWhatAllRepeated(t *testing.T) {
	for _, n := range []int{3, 60} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, "a", "b", "c")
				for _, m := range g.nodes {
					m.budget.RecordFirstAttempt("s")
				}
				last := g.nodes[n-1]
				for sequence := range uint32(4) {
					g.tick(sequence + 1)
				}
				for sequence := range uint32(3) {
					for _, m := range g.nodes[:2] {
						m.board.RecordRefusal(g.list[0])
					}
					g.tick(sequence + 5)
				}
				for range 10 {
					if tk := last.board.ReservePlain(g.list[:2], nil); tk.Upstream != g.list[1] {
						t.Fatal("the last node does not leave out the upstream that refused two others")
					}
				}
				if got := last.budget.Totals("s"); got != (retry.Count{FirstAttempts: n}) {
					t.Errorf("node %d knows of %+v, wanted the first attempts of %d nodes", n-1, got, n)
				}
			})
		})
	}
}

// TestNodeThatTheStoreDoesNotNameYet holds that a new node and the others learn of each other's claims before its row
// has reached them: the list of nodes is fetched seldom.
func TestNodeThatTheStoreDoesNotNameYet(t *testing.T) {
	for _, n := range []int{4, 40} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, "a", "b", "c")
				g.nodes[n-1].unlisted = true
				total := g.hold()
				for i := range 8 {
					g.tick(uint32(i + 1))
				}
				for i, m := range g.nodes {
					if got, want := m.board.PeerClaims(g.list[0]).FirstStage, total-i-1; got != want {
						t.Errorf("%s believes that the others hold %d, want %d", m.config.Node, got, want)
					}
				}
			})
		})
	}
}
