package board

import (
	"testing"
	"time"

	"rhubarbspread/core/fleet"
)

// TestRefusingUpstreamTakesNoPart holds when an upstream that refuses several nodes is left out, also where no
// other could take its part: the request would be refused there once more.
func TestRefusingUpstreamTakesNoPart(t *testing.T) {
	u := upstream("u", "a", "big", 0, 80)
	tell := func(b *Board, node string) { b.Hear(News{Node: node, Refusing: []uint32{KeyOf(u).Tag()}}) }
	for _, test := range []struct {
		name string
		play func(b *Board, c *clock)
		path bool
	}{
		{"nobody was refused", func(*Board, *clock) {}, true},
		{"it refused this node alone, and nobody else holds its part", func(b *Board, _ *clock) { b.Full(u) }, true},
		{"it refused this node a while ago", func(b *Board, c *clock) { b.Full(u); c.sleep(fullTime) }, true},
		{"it refused one other, who may have asked for much", func(b *Board, _ *clock) { tell(b, "x") }, true},
		{"it refused two others", func(b *Board, _ *clock) { tell(b, "x"); tell(b, "y") }, false},
		{"it refused two others a while ago", func(b *Board, c *clock) { tell(b, "x"); tell(b, "y"); c.sleep(refusersLife) }, true},
		{"it refused two others, who say so no longer", func(b *Board, _ *clock) {
			tell(b, "x")
			tell(b, "y")
			b.Hear(News{Node: "x"})
		}, true},
		{"it broke, and nobody else holds its part", func(b *Board, _ *clock) { b.Strike(u) }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newClock()
			b := newBoard(c, 1)
			list := []*fleet.Upstream{u}
			b.Keep(fleet.NewList(1, list))
			test.play(b, c)
			if got := b.Path(list, need()) != nil; got != test.path {
				t.Errorf("a path is found: %v, wanted %v", got, test.path)
			}
			if b.RefusingTags() != nil && b.RestingTags() != nil {
				t.Error("one upstream is told as refusing and as broken")
			}
		})
	}
}

// TestRefusalIsTold holds that an upstream is told as refusing just while it rests for a refusal.
func TestRefusalIsTold(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	u := upstream("u", "a", "big", 0, 80)
	b.Full(u)
	if got := b.RefusingTags(); len(got) != 1 || got[0] != KeyOf(u).Tag() {
		t.Errorf("told as refusing: %v", got)
	}
	c.sleep(fullTime + time.Millisecond)
	if got := b.RefusingTags(); got != nil {
		t.Errorf("still told as refusing: %v", got)
	}
}
