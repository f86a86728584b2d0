package member_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/member"
)

// network is a set of nodes that exchange packets in memory; nodes may be dead, and links cut.
type network struct {
	nodes []*member.Swim
	dead  []bool
	cut   func(from, to int) bool // reports whether a link is cut
}

func nameOf(i int) string { return fmt.Sprintf("node-%03d", i) }

func newNetwork(n int) *network {
	nw := &network{dead: make([]bool, n), cut: func(int, int) bool { return false }}
	var all []member.Node
	for i := range n {
		all = append(all, member.Node{Name: nameOf(i), Address: nameOf(i), Incarnation: 1})
	}
	for i := range n {
		s := member.New(all[i], member.WithSeed(uint64(i)+1))
		s.Seed(all)
		nw.nodes = append(nw.nodes, s)
	}
	return nw
}

func (nw *network) index(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "node-%d", &i)
	return i
}

func (nw *network) reachable(from, to int) bool {
	return !nw.dead[to] && !nw.cut(from, to) && !nw.cut(to, from)
}

func (nw *network) exchange(from, to int) bool {
	if !nw.reachable(from, to) {
		return false
	}
	a, b := nw.nodes[from], nw.nodes[to]
	b.Receive(a.Packet(1))
	_, differs := a.Receive(b.Packet(1))
	if differs {
		b.Receive(a.WholePacket(1))
		a.Receive(b.WholePacket(1))
	}
	return true
}

// period runs one protocol period: every live node probes once.
func (nw *network) period(count int) {
	for i, s := range nw.nodes {
		if nw.dead[i] {
			continue
		}
		s.Tick()
		n, ok := s.NextProbe()
		if ok && !nw.exchange(i, nw.index(n.Name)) && !nw.indirect(i, nw.index(n.Name)) {
			s.ProbeFailed(n)
		}
		if dead, ok := s.DeadNode(); ok && count%10 == 0 {
			nw.exchange(i, nw.index(dead.Name))
		}
	}
	time.Sleep(member.ProbeInterval)
}

func (nw *network) indirect(from, to int) bool {
	for _, n := range nw.nodes[from].RandomAlive(3, nameOf(to)) {
		if k := nw.index(n.Name); nw.reachable(from, k) && nw.exchange(k, to) {
			return true
		}
	}
	return false
}

func (nw *network) alive(i int) map[string]bool {
	out := make(map[string]bool)
	for _, n := range nw.nodes[i].Alive() {
		out[n.Name] = true
	}
	return out
}

// periodsUntil runs periods until a condition holds at all live nodes, and returns their number, at most bound.
func (nw *network) periodsUntil(bound int, holds func(i int) bool) int {
	for count := range bound {
		all := true
		for i := range nw.nodes {
			all = all && (nw.dead[i] || holds(i))
		}
		if all {
			return count
		}
		nw.period(count)
	}
	return bound
}

func TestDeathIsKnown(t *testing.T) {
	for _, n := range []int{9, 30, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork(n)
				for k := range 5 {
					nw.period(k)
				}
				nw.dead[3] = true
				const bound = 60
				periods := nw.periodsUntil(bound, func(i int) bool { return !nw.alive(i)[nameOf(3)] })
				t.Logf("measure=death nodes=%d seconds-until-all-know=%d", n, periods)
				if periods == bound {
					t.Errorf("some live node still has it as alive after %d s", bound)
				}
				for i := range nw.nodes {
					if got := len(nw.alive(i)); !nw.dead[i] && got != n-1 {
						t.Errorf("%s knows %d live nodes, want %d", nameOf(i), got, n-1)
						break
					}
				}
			})
		})
	}
}

// TestPartitionHeals partitions three of nine nodes for 40 s, while both sides publish a fact. After the partition
// all nodes must know each other and the fact's higher version.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork(9)
		for k := range 5 {
			nw.period(k)
		}
		nw.cut = func(from, to int) bool { return (from < 3) != (to < 3) }
		for k := range 40 {
			nw.period(k)
		}
		if got := len(nw.alive(0)); got != 3 {
			t.Errorf("the smaller side knows %d live nodes, want its own 3", got)
		}
		// Both sides publish the fact during the partition; the higher version wins.
		nw.nodes[0].Publish(member.Fact{Kind: "document", Key: "production", Version: 7})
		nw.nodes[8].Publish(member.Fact{Kind: "document", Key: "production", Version: 8})
		nw.cut = func(int, int) bool { return false }
		periods := nw.periodsUntil(200, func(i int) bool {
			f, _ := nw.nodes[i].Fact("document", "production")
			return len(nw.alive(i)) == 9 && f.Version == 8
		})
		t.Logf("measure=heal nodes=9 seconds-until-whole=%d", periods)
		if periods == 200 {
			t.Error("the sides have not converged after the partition")
		}
	})
}

func TestRestartOutranksDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork(5)
		for k := range 5 {
			nw.period(k)
		}
		nw.dead[2] = true
		nw.periodsUntil(60, func(i int) bool { return !nw.alive(i)[nameOf(2)] })
		nw.dead[2] = false
		nw.nodes[2] = member.New(member.Node{Name: nameOf(2), Address: nameOf(2), Incarnation: 99}, member.WithSeed(7))
		nw.nodes[2].Seed([]member.Node{{Name: nameOf(0), Address: nameOf(0)}})
		if got := nw.periodsUntil(60, func(i int) bool { return len(nw.alive(i)) == 5 }); got == 60 {
			t.Error("the restarted node is not alive at all nodes")
		}
	})
}

func TestFactsOnlyMoveUp(t *testing.T) {
	s := member.New(member.Node{Name: "a"})
	for _, test := range []struct {
		version uint64
		want    bool
	}{{2, true}, {1, false}, {2, false}, {3, true}} {
		if got := s.Publish(member.Fact{Kind: "k", Key: "x", Version: test.version}); got != test.want {
			t.Errorf("version %d accepted: %v", test.version, got)
		}
	}
}

// BenchmarkPacket measures the cost of one exchange by the number of nodes.
func BenchmarkPacket(b *testing.B) {
	for _, n := range []int{9, 37, 370, 3700} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			nw := newNetwork(1)
			var all []member.Node
			for i := range n {
				all = append(all, member.Node{Name: nameOf(i), Address: nameOf(i), Incarnation: 1})
			}
			nw.nodes[0].Seed(all)
			p := nw.nodes[0].WholePacket(1)
			b.ReportAllocs()
			for b.Loop() {
				nw.nodes[0].Receive(p)
				nw.nodes[0].Packet(1)
			}
		})
	}
}
