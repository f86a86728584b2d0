package board

import (
	"fmt"
	"testing"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"

	"pgregory.net/rapid"
)

// clock is a time that tests move.
type clock struct{ at time.Time }

func (c *clock) now() time.Time        { return c.at }
func (c *clock) sleep(d time.Duration) { c.at = c.at.Add(d) }
func newClock() *clock                 { return &clock{time.Unix(1000, 0)} }
func newBoard(c *clock, seed int) *Board {
	return New(WithClock(c.now), WithSeed(uint64(seed)), WithDataCentre("a"))
}

func engine() *rules.Engine {
	return &rules.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 918_000, ActivationBytes: 45_900, Step: 1020 * time.Microsecond,
		PerWriter: 7140 * time.Nanosecond, PerContext: 9560 * time.Nanosecond, ReadPerSecond: 105_000, Stride: 3, Chunk: 512,
		Pipe: 26_000, Delay: 750 * time.Microsecond, Prompt: 774, Answer: 200,
		Kinds: map[string]rules.Card{
			"big": {SizeMB: 250_000, Pace: 2.4, Read: 3.2}, "small": {SizeMB: 21_600, Pace: 16, Read: 8.2},
		},
	}
}

func upstream(id, centre, card string, from, to int) *fleet.Upstream {
	return &fleet.Upstream{ID: id, Service: "s", DataCentre: centre, Card: card, Slots: 192, Layers: fleet.Range{From: from, To: to}}
}

func need() *Need { return &Need{Engine: engine(), DataCentre: "a", Prompt: 800, Output: 200} }

// checkPath fails unless each layer is run once and in order, by upstreams that hold it, each named once.
func checkPath(t interface{ Fatalf(string, ...any) }, hops []Hop, layers int) {
	at := 0
	seen := make(map[string]bool)
	for _, h := range hops {
		if h.Layers.From != at || h.Layers.Len() == 0 {
			t.Fatalf("a part begins at layer %d, want %d: %s", h.Layers.From, at, Describe(hops))
		}
		if !h.Upstream.Layers.Holds(h.Layers) {
			t.Fatalf("%s does not hold %v", h.Upstream.ID, h.Layers)
		}
		if seen[h.Upstream.ID] {
			t.Fatalf("%s is named twice: %s", h.Upstream.ID, Describe(hops))
		}
		seen[h.Upstream.ID] = true
		at = h.Layers.To
	}
	if at != layers {
		t.Fatalf("the path ends at layer %d: %s", at, Describe(hops))
	}
}

// TestPathsOfAnyFleet draws fleets and loads: a path, if there is one, runs each layer once and in order on
// upstreams that take part, and reservations come back to nothing.
func TestPathsOfAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		b := newBoard(c, rapid.Int().Draw(t, "seed"))
		var list []*fleet.Upstream
		for i := range rapid.IntRange(1, 24).Draw(t, "upstreams") {
			from := rapid.IntRange(0, 79).Draw(t, "from")
			u := upstream(fmt.Sprintf("u%d", i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre"),
				rapid.SampledFrom([]string{"big", "small"}).Draw(t, "card"), from, rapid.IntRange(from, 80).Draw(t, "to"))
			u.Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 0
			list = append(list, u)
		}
		var tickets []*Ticket
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			tk := b.Path(list, need())
			if tk == nil {
				continue
			}
			checkPath(t, tk.Hops(), 80)
			for _, h := range tk.Hops() {
				if h.Upstream.Draining {
					t.Fatalf("%s is leaving", h.Upstream.ID)
				}
				room := engine().Room(engine().Kinds[h.Upstream.Card], h.Upstream.Layers.Len())
				if held := b.states[KeyOf(h.Upstream)].held; held > room {
					t.Fatalf("%s holds %v of %v", h.Upstream.ID, held, room)
				}
			}
			failed := tk.Hops()[rapid.IntRange(0, len(tk.Hops())-1).Draw(t, "failed")].Upstream
			before, ok := tk.Bypass(list, need(), []string{failed.ID})
			if ok {
				checkPath(t, tk.Hops(), 80)
				if rapid.Bool().Draw(t, "restore") {
					tk.Restore(engine(), before)
				}
			}
			tickets = append(tickets, tk)
			c.sleep(time.Millisecond)
		}
		for _, tk := range tickets {
			tk.Release()
			// A stream's watch may look at a path when the stream is over.
			last := tk.Hops()[len(tk.Hops())-1].Upstream.ID
			if before, ok := tk.Bypass(list, need(), []string{last}); ok {
				tk.Restore(engine(), before)
			}
		}
		for k, s := range b.states {
			if s.held > 1e-3 || s.running != 0 || s.first != 0 || s.reading > 1e-3 {
				t.Fatalf("%v still holds %+v", k, *s)
			}
		}
	})
}

// pair is two upstreams that each hold all layers, as far as a search cares.
func pair() []*fleet.Upstream {
	return []*fleet.Upstream{upstream("u", "a", "big", 0, 40), upstream("v", "a", "big", 40, 80), upstream("w", "a", "big", 40, 80)}
}

func uses(tk *Ticket, id string) bool {
	if tk == nil {
		return false
	}
	for _, h := range tk.Hops() {
		if h.Upstream.ID == id {
			return true
		}
	}
	return false
}

// TestRestingUpstreamIsTriedByOneRequest: after a rest one request tries an upstream; the others go elsewhere until
// it has told. Without that a dead part was chosen by every request, 190 times in two seconds.
func TestRestingUpstreamIsTriedByOneRequest(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := pair()
	v := list[1]
	for range 6 {
		b.Full(v)
		c.sleep(fullLimit + time.Millisecond)
	}
	tried := 0
	for range 40 {
		tk := b.Path(list, need())
		if uses(tk, "v") {
			tried++
		}
	}
	if tried != 1 {
		t.Errorf("%d requests tried the upstream that refused, want 1", tried)
	}
	c.sleep(trialTime)
	if tk := b.Path(list, need()); !uses(tk, "v") && !uses(b.Path(list, need()), "v") {
		t.Error("nobody tries it again")
	}
}

func TestRestsGrowAndEndWithASignOfLife(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	v := pair()[1]
	var rests []time.Duration
	for range 5 {
		rests = append(rests, b.Strike(v))
		c.sleep(restLimit)
	}
	for i := 1; i < len(rests); i++ {
		if rests[i] < rests[i-1] || rests[i] > restLimit {
			t.Errorf("rests %v do not grow up to %v", rests, restLimit)
		}
	}
	if !b.Silent(v) {
		t.Error("an upstream that was struck five times does not count as silent")
	}
	b.Alive(v, false, 0)
	if b.Silent(v) || b.isOut(v, b.state(KeyOf(v)), c.now()) {
		t.Error("an upstream that answered is still left out")
	}
	if got := b.Strike(v); got != strikeTime {
		t.Errorf("rest after a sign of life %v, want %v", got, strikeTime)
	}
}

func TestOneLossSeenByManyIsOneStrike(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	v := pair()[1]
	first := b.Strike(v)
	c.sleep(10 * time.Millisecond)
	if got := b.Strike(v); got != first-10*time.Millisecond {
		t.Errorf("the second request that saw the loss sets a rest of %v, want what is left, %v", got, first-10*time.Millisecond)
	}
}

func TestCutDataCentreIsLeftOut(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := []*fleet.Upstream{upstream("u", "a", "big", 0, 40), upstream("v", "a", "big", 40, 80)}
	for i := range 4 {
		list = append(list, upstream(fmt.Sprintf("b%d", i), "b", "big", 40, 80))
	}
	for i := range cutStrikes {
		b.Strike(list[2+i])
	}
	for range 20 {
		if tk := b.Path(list, need()); uses(tk, "b3") {
			t.Fatal("a path leads to a data centre of which three upstreams fell silent")
		}
	}
	b.Alive(list[5], false, 0)
	if b.isCut("b", c.now()) {
		t.Error("a sign of life from the data centre does not end its being left out")
	}
	for i := range cutStrikes + 1 {
		b.Strike(upstream(fmt.Sprintf("own%d", i), "a", "big", 0, 80))
	}
	if b.isCut("a", c.now()) {
		t.Error("the node's own data centre counts as cut off")
	}
}

func TestOtherNodesClaimsTakeRoom(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := pair()
	b.Keep(fleet.NewList(1, list))
	room := engine().Room(engine().Kinds["big"], 40)
	b.Hear(News{Node: "n", Claims: map[uint32]Claim{KeyOf(list[1]).Tag(): {Held: room}}})
	for range 10 {
		if tk := b.Path(list, need()); uses(tk, "v") {
			t.Fatal("a path leads to an upstream that other nodes have filled")
		}
	}
	c.sleep(claimLife + time.Millisecond)
	b.Hear(News{Node: "other"})
	found := false
	for range 10 {
		found = found || uses(b.Path(list, need()), "v")
	}
	if !found {
		t.Error("claims of a node that fell silent still count")
	}
}

func TestDoubtsOfOthersNeedASecondOrItsOwnDataCentre(t *testing.T) {
	v := pair()[1]
	tests := []struct {
		name string
		news []News
		want bool
	}{
		{"one node elsewhere", []News{{Node: "m", DataCentre: "b"}}, false},
		{"two nodes elsewhere", []News{{Node: "m", DataCentre: "b"}, {Node: "n", DataCentre: "c"}}, true},
		{"one node of its data centre", []News{{Node: "m", DataCentre: "a"}}, true},
	}
	for _, tc := range tests {
		b := newBoard(newClock(), 1)
		b.Keep(fleet.NewList(1, pair()))
		for _, n := range tc.news {
			n.Resting = []uint32{KeyOf(v).Tag()}
			b.Hear(n)
		}
		if got := b.Silent(v); got != tc.want {
			t.Errorf("%s: silent %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestSlowUpstreamIsAvoided(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := pair()
	b.Reported(list[1], 12)
	for range 10 {
		if tk := b.Path(list, need()); uses(tk, "v") {
			t.Fatal("a path leads to an upstream that reports to be 12 times as slow")
		}
	}
	c.sleep(paceLife + time.Millisecond)
	found := false
	for range 30 {
		found = found || uses(b.Path(list, need()), "v")
	}
	if !found {
		t.Error("a report counts for ever")
	}
}

func TestHopelessPathIsNoPath(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := pair()[:2]
	n := need()
	n.Patience = 1500 * time.Millisecond
	b.Hear(News{Node: "m"})
	b.Keep(fleet.NewList(1, list))
	b.Hear(News{Node: "m", Claims: map[uint32]Claim{KeyOf(list[1]).Tag(): {Reading: 40 * 400_000}}})
	if tk := b.Path(list, n); tk != nil {
		t.Errorf("a request starts though its first event is %v away", tk.Expected.First)
	}
}

// TestEngineThatTellsLittle: figures that a configuration leaves out decide nothing, and paths are found all the same.
func TestEngineThatTellsLittle(t *testing.T) {
	b := newBoard(newClock(), 1)
	n := need()
	n.Engine = &rules.Engine{Layers: 80, LayerMB: 1750, TokenBytes: 918_000, Stride: 1, Chunk: 1, Kinds: engine().Kinds}
	n.Patience = time.Second
	list := pair()
	list[1].DataCentre, list[2].DataCentre = "b", "b"
	tk := b.Path(list, n)
	if tk == nil {
		t.Fatal("no path")
	}
	checkPath(t, tk.Hops(), 80)
}

// TestBypassKeepsTheOtherParts: the memory of the parts that stay is kept, so that they must stay as they are.
func TestBypassKeepsTheOtherParts(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := pair()
	tk := b.Path(list, need())
	failed := tk.Hops()[1].Upstream
	if _, ok := tk.Bypass(list, need(), []string{failed.ID}); !ok {
		t.Fatal("no way round though another upstream has the layers")
	}
	if got := tk.Hops()[0].Upstream.ID; got != "u" {
		t.Errorf("the first part moved to %s", got)
	}
	if uses(tk, failed.ID) {
		t.Error("the failed part is still on the path")
	}
	for _, u := range list[1:] {
		if u != failed && b.state(KeyOf(u)).reading == 0 {
			t.Error("the new part does not count as reading")
		}
	}
	if _, ok := tk.Bypass(list, need(), []string{"u"}); ok && !uses(tk, "u") {
		t.Error("the first part was bypassed")
	}
}

func TestPlainPicksTheShortestWait(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := []*fleet.Upstream{{ID: "p", Slots: 6}, {ID: "q", Slots: 6}, {ID: "r", Slots: 6, Draining: true}}
	counts := make(map[string]int)
	for range 12 {
		counts[b.Plain(list, nil).Upstream.ID]++
	}
	if counts["p"] != 6 || counts["q"] != 6 {
		t.Errorf("requests by upstream: %v, want 6 each and none to the one that leaves", counts)
	}
	for range 20 {
		b.Alive(list[0], true, 0)
	}
	if got := b.Plain(list, nil).Upstream.ID; got != "q" {
		t.Errorf("%s is picked though it fails all", got)
	}
	if tk := b.Plain(list, []string{"p", "q"}); tk != nil {
		t.Errorf("%s is picked though it is excluded or leaves", tk.Upstream.ID)
	}
}

// TestToldLoadCounts: an upstream that says it is busy with others' requests is passed over for a while.
func TestToldLoadCounts(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := []*fleet.Upstream{{ID: "p", Slots: 6}, {ID: "q", Slots: 6}}
	b.Told(list[0], 9)
	for range 4 {
		if got := b.Plain(list, nil).Upstream.ID; got != "q" {
			t.Errorf("%s is picked though it told of nine requests", got)
		}
	}
	c.sleep(toldLife)
	if got := b.Plain(list, nil).Upstream.ID; got != "p" {
		t.Errorf("%s is picked, though what the other told is old", got)
	}
}
