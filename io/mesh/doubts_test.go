package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"

	"rhubarbspread/core/board"
	"rhubarbspread/io/mesh/wire"

	"google.golang.org/protobuf/proto"
)

// isReserved reports whether a node would send a request to the upstream u.
func (m *member) isReserved(g *group) bool {
	r := m.board.ReservePlain(g.upstreams[:2], nil)
	defer r.Release()
	return r.Upstream == g.upstreams[0]
}

// deliverFacts passes on new doubts until no node has any, and returns how many datagrams that took.
func (g *group) deliverFacts() int {
	sent := 0
	for {
		isQuiet := true
		for _, from := range g.nodes {
			isOwn := false
			select {
			case <-from.board.DoubtsChanged():
				isOwn = true
			case <-from.news:
			default:
				continue
			}
			isQuiet = false
			raw, err := proto.Marshal(from.facts())
			if err != nil {
				g.t.Fatal(err)
			}
			for _, address := range from.factsReceivers(from.knownNodes(), isOwn) {
				sent++
				var d wire.Digest
				if err := proto.Unmarshal(raw, &d); err != nil {
					g.t.Fatal(err)
				}
				g.at(address).handleDigest(&d)
			}
		}
		if isQuiet {
			return sent
		}
	}
}

// TestRefusalsReachAllNodesAtOnce guards against nodes that each send requests to an upstream of which two others have just
// learnt that it refuses them.
func TestRefusalsReachAllNodesAtOnce(t *testing.T) {
	for _, n := range []int{5, 24, 84, 300} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, "a", "b", "c", "d", "e")
				g.exchange(4)
				g.nodes[n-1].board.RecordRefusal(g.upstreams[0], "")
				g.nodes[n-2].board.RecordRefusal(g.upstreams[0], "")
				sent := g.deliverFacts()
				for _, m := range g.nodes[:n-2] {
					if m.isReserved(g) {
						t.Fatalf("%s sends a request to the upstream that refused two others", m.config.Node)
					}
				}
				if most := 8 * n; sent > most {
					t.Errorf("%d datagrams were sent, want at most %d", sent, most)
				}
			})
		})
	}
}

// TestFactsAreNotSentToNodesThatDoNotKnowThem guards against datagrams with facts alone that a node of an older build takes for
// the whole state of the sender.
func TestFactsAreNotSentToNodesThatDoNotKnowThem(t *testing.T) {
	for _, n := range []int{3, 40} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, "a", "b", "c")
				g.exchange(4)
				for _, m := range g.nodes {
					for _, s := range m.peers {
						s.latest.TakesFacts = false
					}
				}
				g.nodes[0].board.RecordRefusal(g.upstreams[0], "")
				if sent := g.deliverFacts(); sent > 0 {
					t.Errorf("%d datagrams were sent to nodes of an older build", sent)
				}
			})
		})
	}
}

// TestDoubtsReachNodesThatFactsMissed guards against doubts that are sent once only, and may be lost.
func TestDoubtsReachNodesThatFactsMissed(t *testing.T) {
	for _, n := range []int{3, 60} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, "a", "b", "c")
				g.exchange(4)
				g.nodes[0].board.RecordRefusal(g.upstreams[0], "")
				g.nodes[1].board.RecordRefusal(g.upstreams[0], "")
				g.exchange(3)
				doubt := g.nodes[n-1].board.Doubts()[board.KeyOf(g.upstreams[0]).Hash()]
				if len(doubt.Sources) != 2 || doubt.Count != 1 {
					t.Errorf("the last node knows %+v, want one refusal of two nodes", doubt)
				}
			})
		})
	}
}
