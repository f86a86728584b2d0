package board

import (
	"testing"
	"time"

	"rhubarbspread/core/fleet"
)

// doubtingNode returns a node's board in a fleet of some nodes.
func doubtingNode(c *fakeClock, hash uint32, nodes int, list []*fleet.Upstream) *Board {
	b := New(WithClock(c.now), WithSeed(1), WithNode(hash), WithDataCentre("a"))
	b.SetNodes(nodes)
	b.SetViewAge(200 * time.Millisecond)
	b.SetUpstreams(fleet.NewList(1, list))
	c.advance(time.Second)
	return b
}

// refuseAndPassOn lets an upstream refuse nodes that pass this on to another one.
func refuseAndPassOn(u *fleet.Upstream, to *Board, refused ...*Board) {
	for _, b := range refused {
		b.RecordRefusal(u, "")
		to.ApplyDoubts(b.Doubts())
	}
}

// change lets a node read that the layers of an upstream have changed and changed back.
func change(b *Board, u *fleet.Upstream) {
	changed := *u
	changed.Layers.To--
	b.SetUpstreams(fleet.NewList(2, []*fleet.Upstream{&changed}))
	b.SetUpstreams(fleet.NewList(3, []*fleet.Upstream{u}))
}

// TestRefusedNodesWarnOthers checks what two nodes that were refused mean for a third one, and what ends that.
func TestRefusedNodesWarnOthers(t *testing.T) {
	u := upstream("u", "a", "big", 0, 80)
	for _, test := range []struct {
		name  string
		setup func(c *fakeClock, first, second, third *Board)
		path  bool // the third node sends requests to the upstream
	}{
		{"one node was refused", func(_ *fakeClock, first, _, third *Board) {
			first.RecordRefusal(u, "a")
			third.ApplyDoubts(first.Doubts())
		}, true},
		{"two nodes were refused", func(_ *fakeClock, first, second, third *Board) {
			first.RecordRefusal(u, "a")
			second.RecordRefusal(u, "")
			third.ApplyDoubts(first.Doubts())
			third.ApplyDoubts(second.Doubts())
		}, false},
		{"the second one passes both on", func(c *fakeClock, first, second, third *Board) {
			first.RecordRefusal(u, "a")
			c.advance(100 * time.Millisecond)
			second.ApplyDoubts(first.Doubts())
			second.RecordRefusal(u, "a")
			third.ApplyDoubts(second.Doubts())
		}, false},
		{"across data centres", func(_ *fakeClock, first, second, third *Board) {
			first.RecordRefusal(u, "b")
			second.RecordRefusal(u, "c")
			third.ApplyDoubts(first.Doubts())
			third.ApplyDoubts(second.Doubts())
		}, true},
		{"one answered meanwhile", func(c *fakeClock, first, second, third *Board) {
			refuseAndPassOn(u, third, first, second)
			c.advance(50 * time.Millisecond)
			second.RecordResponse(u, false, 0)
			third.ApplyDoubts(second.Doubts())
		}, true},
		{"its layers have changed", func(_ *fakeClock, first, second, third *Board) {
			refuseAndPassOn(u, third, first, second)
			change(third, u)
		}, true},
		{"the refusals are older than its layers", func(c *fakeClock, first, second, third *Board) {
			first.RecordRefusal(u, "")
			second.RecordRefusal(u, "")
			c.advance(50 * time.Millisecond)
			change(third, u)
			third.ApplyDoubts(first.Doubts())
			third.ApplyDoubts(second.Doubts())
		}, true},
		{"long ago", func(c *fakeClock, first, second, third *Board) {
			refuseAndPassOn(u, third, first, second)
			c.advance(doubtTTL + time.Millisecond)
		}, true},
		{"ages that can't be", func(_ *fakeClock, _, _, third *Board) {
			for _, age := range []time.Duration{-time.Second, 1 << 40 * time.Millisecond} {
				third.ApplyDoubts(map[uint32]Doubt{KeyOf(u).Hash(): {age, -1, 9, []uint32{1, 2}}})
			}
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newClock()
			list := []*fleet.Upstream{u}
			third := doubtingNode(c, 3, 3, list)
			test.setup(c, doubtingNode(c, 1, 3, list), doubtingNode(c, 2, 3, list), third)
			if got := third.ReservePath(list, need()) != nil; got != test.path {
				t.Errorf("the third node finds a path: %v, want %v", got, test.path)
			}
		})
	}
}

// TestFewNodesTryADoubtedUpstream guards against a return of all nodes in one moment to an upstream that refused them.
func TestFewNodesTryADoubtedUpstream(t *testing.T) {
	u := upstream("u", "a", "big", 0, 80)
	list := []*fleet.Upstream{u}
	for _, nodes := range []int{8, 60, 300} {
		for count := 1; count <= 4; count++ {
			tries := 0
			for i := range nodes {
				c := newClock()
				b := doubtingNode(c, uint32(i)+1, nodes, list)
				b.ApplyDoubts(map[uint32]Doubt{KeyOf(u).Hash(): {0, -1, count, []uint32{1, 2}}})
				c.advance(baseHold<<(count-1) + b.learnTime())
				if b.ReservePath(list, need()) != nil {
					tries++
				}
			}
			if tries > 4 {
				t.Errorf("%d nodes, refusal %d: %d nodes try in the time in which all learn of the outcome", nodes, count, tries)
			}
		}
	}
}

// TestCrashOfManyUpstreamsCostsFewRefusals guards against nodes that each learn by refusals of their own, again and again, that
// upstreams are gone: of 300 nodes 227 had to be refused by one of seven that crashed together, 541 times in all.
func TestCrashOfManyUpstreamsCostsFewRefusals(t *testing.T) {
	for _, size := range staleSizes {
		t.Run(size.name, func(t *testing.T) {
			t.Parallel()
			c := size.staleCase
			c.duration = lossTime + 2*time.Second
			c.lost = min(7, c.cards["large"]/2)
			r := newStaleFleet(c, 1).play()
			t.Log(r)
			for id, n := range r.lateRefusals {
				if f := c.cards["large"]; n > 4 {
					t.Errorf("%s of %d fast upstreams refused %d requests from %v after the crash on, want at most 4",
						id, f, n, learnDelay)
				}
			}
		})
	}
}
