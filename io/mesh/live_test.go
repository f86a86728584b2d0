package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestSilentNodesAreNotLive checks which nodes one may ask to connect for it: among few nodes those that it hears, among many
// all that are known, as most send their datagrams to others.
func TestSilentNodesAreNotLive(t *testing.T) {
	for _, test := range []struct{ nodes, want, wantAfterStop int }{{5, 4, 3}, {40, 39, 39}} {
		t.Run(fmt.Sprint(test.nodes, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, test.nodes, "a", "b")
				g.deliver(1)
				first := g.nodes[0]
				if n := len(first.LiveNodes()); n != test.want {
					t.Errorf("%d live nodes, want %d", n, test.want)
				}
				g.nodes[1].isStopped = true
				for i := range int(peerTTL/gossipPeriod) + 2 {
					g.deliver(uint32(i + 2))
				}
				live := first.LiveNodes()
				if n := len(live); n != test.wantAfterStop {
					t.Errorf("%d live nodes after one has stopped, want %d", n, test.wantAfterStop)
				}
				for name, node := range live {
					if !node.Address.IsValid() || node.DataCentre == "" {
						t.Errorf("node %s at %v in %q", name, node.Address, node.DataCentre)
					}
				}
				time.Sleep(peerTTL + time.Millisecond)
				if n := len(first.LiveNodes()); test.nodes < RelayThreshold && n != 0 {
					t.Errorf("%d live nodes after all have fallen silent, want none", n)
				}
			})
		})
	}
}
