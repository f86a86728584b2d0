package board

import (
	"testing"
	"time"

	"rhubarbspread/core/fleet"
)

// TestRefusingUpstreamIsExcluded checks that an upstream that refuses several nodes is excluded even where no other
// holds its layers, as it would refuse this request too.
func TestRefusingUpstreamIsExcluded(t *testing.T) {
	u := upstream("u", "a", "big", 0, 80)
	gossipRefusal := func(b *Board, node string) {
		b.ApplyGossip(Gossip{Node: node, Refusing: []uint32{KeyOf(u).Hash()}})
	}
	for _, test := range []struct {
		name  string
		setup func(b *Board, c *fakeClock)
		path  bool
	}{
		{"no refusal", func(*Board, *fakeClock) {}, true},
		{"refused this node, no other holds its layers", func(b *Board, _ *fakeClock) { b.RecordRefusal(u, "") }, true},
		{"refused this node, ejection over",
			func(b *Board, c *fakeClock) { b.RecordRefusal(u, ""); c.advance(baseRefusalEjection) }, true},
		{"refused one other node", func(b *Board, _ *fakeClock) { gossipRefusal(b, "x") }, true},
		{"refused two other nodes",
			func(b *Board, _ *fakeClock) { gossipRefusal(b, "x"); gossipRefusal(b, "y") }, false},
		{"refused two other nodes, refusals expired",
			func(b *Board, c *fakeClock) { gossipRefusal(b, "x"); gossipRefusal(b, "y"); c.advance(refusedPeersTTL) }, true},
		{"refused two other nodes, one withdraws", func(b *Board, _ *fakeClock) {
			gossipRefusal(b, "x")
			gossipRefusal(b, "y")
			b.ApplyGossip(Gossip{Node: "x"})
		}, true},
		{"failed, no other holds its layers", func(b *Board, _ *fakeClock) { b.RecordFailure(u) }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newClock()
			b := newBoard(c, 1)
			list := []*fleet.Upstream{u}
			b.SetUpstreams(fleet.NewList(1, list))
			test.setup(b, c)
			if got := b.ReservePath(list, need()) != nil; got != test.path {
				t.Errorf("a path is found: %v, want %v", got, test.path)
			}
			if b.RefusingHashes() != nil && b.FailedHashes() != nil {
				t.Error("one upstream is gossiped both as refusing and as failed")
			}
		})
	}
}

// TestRefusalIsGossipedDuringEjection checks that an upstream is gossiped as refusing only while a refusal ejects it.
func TestRefusalIsGossipedDuringEjection(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	u := upstream("u", "a", "big", 0, 80)
	b.RecordRefusal(u, "")
	if got := b.RefusingHashes(); len(got) != 1 || got[0] != KeyOf(u).Hash() {
		t.Errorf("gossiped as refusing: %v", got)
	}
	c.advance(baseRefusalEjection + time.Millisecond)
	if got := b.RefusingHashes(); got != nil {
		t.Errorf("still gossiped as refusing: %v", got)
	}
}
