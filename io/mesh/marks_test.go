package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/crash"
)

func TestMarksReachAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 40, "a", "b", "c")
		const ran = 1500 * time.Millisecond
		g.nodes[7].BroadcastMark(crash.Mark{Fingerprint: "f", Upstream: "u0", Stamp: 3, Ran: ran})
		for i := range 6 {
			g.deliver(uint32(i + 1))
		}
		for _, m := range g.nodes {
			if m.config.Node != "node-7" && (len(m.receivedMarks) == 0 || m.receivedMarks[0].Fingerprint != "f" || m.receivedMarks[0].Ran != ran) {
				t.Errorf("%s received the marks %v", m.config.Node, m.receivedMarks)
			}
		}
	})
}

// TestNodesThatLackAQuarantineGetItsMarks checks that a node that was cut off while marks were repeated gets those of a
// quarantined request when it is back, with their age, and that they are not sent once all nodes have them.
func TestNodesThatLackAQuarantineGetItsMarks(t *testing.T) {
	for _, n := range []int{3, 40} {
		t.Run(fmt.Sprint(n, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const cutPeriods = 40 // longer than marks are repeated
				g := newGroup(t, n, "a", "b", "c")
				first, cut := g.nodes[0], g.nodes[n-1]
				cut.isStopped = true
				for i := range 2 {
					mark, _ := first.crashes.RecordDeath("f", fmt.Sprint("u", i), "a", crash.BrokeBeforeFirstToken)
					first.BroadcastMark(mark)
				}
				for i := range uint32(cutPeriods) {
					g.deliver(i + 1)
				}
				cut.isStopped = false
				for i := range uint32(10) {
					g.deliver(cutPeriods + i + 1)
				}
				verdict, ok := cut.crashes.Verdict("f").(crash.Quarantined)
				if !ok {
					t.Fatal("the node that was cut off does not have the request in quarantine")
				}
				want := first.crashes.Verdict("f").(crash.Quarantined).Remaining()
				if got := verdict.Remaining(); got < want-gossipPeriod || got > want+gossipPeriod {
					t.Errorf("its quarantine lasts for %v, that of the first node for %v", got, want)
				}
				for _, m := range g.nodes {
					m.receivedMarks = nil
				}
				for i := range uint32(10) {
					g.deliver(cutPeriods + i + 11)
				}
				for _, m := range g.nodes {
					if len(m.receivedMarks) > 0 {
						t.Errorf("%s still receives %d marks", m.config.Node, len(m.receivedMarks))
					}
				}
			})
		})
	}
}

// TestMarksOfManyDeathsFitDatagrams guards against datagrams that grow beyond what UDP carries when many upstreams die, so
// that no gossip arrives at all.
func TestMarksOfManyDeathsFitDatagrams(t *testing.T) {
	const largestDatagram = 65507 // bytes of payload over IPv4
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 84, "a", "b", "c", "d")
		for i, m := range g.nodes {
			for j := range 20 {
				m.BroadcastMark(crash.Mark{
					Fingerprint: crash.NewFingerprint("s", []byte{byte(i), byte(j)}), Upstream: fmt.Sprintf("i-%010x", j),
					DataCentre: "a", Stamp: uint64(1000 + i*20 + j),
				})
			}
		}
		for i := range uint32(8) {
			g.deliver(i + 1)
		}
		if g.mostBytes > largestDatagram {
			t.Errorf("a datagram of %d bytes, at most %d can be sent", g.mostBytes, largestDatagram)
		}
		if last := g.nodes[len(g.nodes)-1]; len(last.receivedMarks) == 0 {
			t.Error("the last node received no marks")
		}
	})
}
