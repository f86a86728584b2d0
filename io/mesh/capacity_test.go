package mesh

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
)

// TestLargestVMsRelay guards against relays on the smallest VMs of a data centre, whose links the datagrams to all members fill.
func TestLargestVMsRelay(t *testing.T) {
	for _, n := range []int{40, 84} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, "a", "b", "c")
				for i, m := range g.nodes {
					m.config.Capacity = float64(4 + 156*(i%5/4)) // every fifth is large
				}
				total := g.reserve()
				g.exchange(6)
				largest := 0
				for i, m := range g.nodes {
					if got, want := m.board.PeerClaims(g.upstreams[0]).FirstStage, total-i-1; got != want {
						t.Errorf("%s counts %d requests of other nodes, want %d", m.config.Node, got, want)
					}
					if m.config.Capacity < 160 && g.datagramsSent[m.config.Node] > 6*relaysPerDataCentre {
						t.Errorf("%s is small and has sent %d datagrams in 6 periods", m.config.Node, g.datagramsSent[m.config.Node])
					}
					largest = max(largest, g.datagramsSent[m.config.Node])
				}
				if largest <= 6*relaysPerDataCentre {
					t.Error("no node relays")
				}
			})
		})
	}
}

// TestNodesOfOlderBuildsAgreeOnRelays guards against nodes that choose other relays than a node of an older build, which orders
// all by the hashes of their names and states no capacity.
func TestNodesOfOlderBuildsAgreeOnRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 40, "a", "b", "c")
		byHash := g.nodes[0].relaysOf(g.nodes[0].listedNodes())
		for i, m := range g.nodes[1:] {
			m.config.Capacity = float64(i + 1)
		}
		for _, m := range g.nodes {
			for dataCentre, set := range m.relaysOf(m.listedNodes()) {
				isHashed := slices.Equal(set.active, byHash[dataCentre].active)
				if isOld := dataCentre == g.nodes[0].dataCentre; isOld != isHashed {
					t.Errorf("%s takes %v for the relays of %s, by the hash %v; a node of an older build there: %v",
						m.config.Node, set.active, dataCentre, byHash[dataCentre].active, isOld)
				}
			}
		}
	})
}
