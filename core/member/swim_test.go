package member_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/member"
)

// net is nodes in memory, of which some are dead or can't reach others.
type net struct {
	nodes []*member.Swim
	dead  []bool
	cut   func(from, to int) bool
}

func nameOf(i int) string { return fmt.Sprintf("node-%03d", i) }

func newNet(n int) *net {
	w := &net{dead: make([]bool, n), cut: func(int, int) bool { return false }}
	var all []member.Node
	for i := range n {
		all = append(all, member.Node{Name: nameOf(i), Address: nameOf(i), Incarnation: 1})
	}
	for i := range n {
		s := member.New(all[i], member.WithSeed(uint64(i)+1))
		s.Seed(all)
		w.nodes = append(w.nodes, s)
	}
	return w
}

func (w *net) index(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "node-%d", &i)
	return i
}

func (w *net) reach(from, to int) bool { return !w.dead[to] && !w.cut(from, to) && !w.cut(to, from) }

func (w *net) exchange(from, to int) bool {
	if !w.reach(from, to) {
		return false
	}
	a, b := w.nodes[from], w.nodes[to]
	b.Receive(a.Packet(1))
	_, differs := a.Receive(b.Packet(1))
	if differs {
		b.Receive(a.WholePacket(1))
		a.Receive(b.WholePacket(1))
	}
	return true
}

// period lets every living node probe once.
func (w *net) period(count int) {
	for i, s := range w.nodes {
		if w.dead[i] {
			continue
		}
		s.Tick()
		n, ok := s.Next()
		if ok && !w.exchange(i, w.index(n.Name)) && !w.indirect(i, w.index(n.Name)) {
			s.Missed(n)
		}
		if lost, ok := s.Lost(); ok && count%10 == 0 {
			w.exchange(i, w.index(lost.Name))
		}
	}
	time.Sleep(member.Period)
}

func (w *net) indirect(from, to int) bool {
	for _, o := range w.nodes[from].Others(3, nameOf(to)) {
		if k := w.index(o.Name); w.reach(from, k) && w.exchange(k, to) {
			return true
		}
	}
	return false
}

func (w *net) alive(i int) map[string]bool {
	out := make(map[string]bool)
	for _, n := range w.nodes[i].Alive() {
		out[n.Name] = true
	}
	return out
}

// periodsUntil counts periods until a condition holds at all living nodes, up to a bound.
func (w *net) periodsUntil(bound int, holds func(i int) bool) int {
	for count := range bound {
		all := true
		for i := range w.nodes {
			all = all && (w.dead[i] || holds(i))
		}
		if all {
			return count
		}
		w.period(count)
	}
	return bound
}

func TestDeathIsKnown(t *testing.T) {
	for _, n := range []int{9, 30, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newNet(n)
				for k := range 5 {
					w.period(k)
				}
				w.dead[3] = true
				const bound = 60
				periods := w.periodsUntil(bound, func(i int) bool { return !w.alive(i)[nameOf(3)] })
				t.Logf("measure=death nodes=%d seconds-until-all-know=%d", n, periods)
				if periods == bound {
					t.Errorf("not known everywhere after %d s", bound)
				}
				for i := range w.nodes {
					if got := len(w.alive(i)); !w.dead[i] && got != n-1 {
						t.Errorf("%s knows %d living nodes, want %d", nameOf(i), got, n-1)
						break
					}
				}
			})
		})
	}
}

// TestPartitionHeals cuts three of nine nodes off for 40 s, in which both sides state facts.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNet(9)
		for k := range 5 {
			w.period(k)
		}
		w.cut = func(from, to int) bool { return (from < 3) != (to < 3) }
		for k := range 40 {
			w.period(k)
		}
		if got := len(w.alive(0)); got != 3 {
			t.Errorf("the small side knows %d nodes, want its own 3", got)
		}
		// Both sides state facts meanwhile; the higher version counts.
		w.nodes[0].Publish(member.Fact{Kind: "document", Key: "production", Version: 7})
		w.nodes[8].Publish(member.Fact{Kind: "document", Key: "production", Version: 8})
		w.cut = func(int, int) bool { return false }
		periods := w.periodsUntil(200, func(i int) bool {
			f, _ := w.nodes[i].Fact("document", "production")
			return len(w.alive(i)) == 9 && f.Version == 8
		})
		t.Logf("measure=heal nodes=9 seconds-until-whole=%d", periods)
		if periods == 200 {
			t.Error("the halves did not find each other again")
		}
	})
}

func TestRestartOutranksDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNet(5)
		for k := range 5 {
			w.period(k)
		}
		w.dead[2] = true
		w.periodsUntil(60, func(i int) bool { return !w.alive(i)[nameOf(2)] })
		w.dead[2] = false
		w.nodes[2] = member.New(member.Node{Name: nameOf(2), Address: nameOf(2), Incarnation: 99}, member.WithSeed(7))
		w.nodes[2].Seed([]member.Node{{Name: nameOf(0), Address: nameOf(0)}})
		if got := w.periodsUntil(60, func(i int) bool { return len(w.alive(i)) == 5 }); got == 60 {
			t.Error("the restarted node is not known everywhere")
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
			t.Errorf("version %d taken: %v", test.version, got)
		}
	}
}

// BenchmarkPacket measures one exchange's work by the number of nodes.
func BenchmarkPacket(b *testing.B) {
	for _, n := range []int{9, 37, 370, 3700} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			w := newNet(1)
			var all []member.Node
			for i := range n {
				all = append(all, member.Node{Name: nameOf(i), Address: nameOf(i), Incarnation: 1})
			}
			w.nodes[0].Seed(all)
			p := w.nodes[0].WholePacket(1)
			b.ReportAllocs()
			for b.Loop() {
				w.nodes[0].Receive(p)
				w.nodes[0].Packet(1)
			}
		})
	}
}
