package board

import (
	"fmt"
	"testing"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"

	"pgregory.net/rapid"
)

// fakeClock is a clock that tests advance.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time          { return c.at }
func (c *fakeClock) advance(d time.Duration) { c.at = c.at.Add(d) }
func newClock() *fakeClock                   { return &fakeClock{time.Unix(1000, 0)} }
func newBoard(c *fakeClock, seed int) *Board {
	return New(WithClock(c.now), WithSeed(uint64(seed)), WithDataCentre("a"))
}

func engine() *rules.Engine {
	return &rules.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 918_000, ActivationBytes: 45_900, DecodeStep: 1020 * time.Microsecond,
		PerSequence: 7140 * time.Nanosecond, PerContextK: 9560 * time.Nanosecond,
		PrefillTokensPerSecond: 105_000, StepsPerPass: 3, PrefillChunk: 512,
		LinkMbps: 26_000, LinkDelay: 750 * time.Microsecond, MeanPromptTokens: 774, MeanOutputTokens: 200,
		Cards: map[string]rules.Card{
			"big":   {SizeMB: 250_000, DecodeFactor: 2.4, PrefillFactor: 3.2},
			"small": {SizeMB: 21_600, DecodeFactor: 16, PrefillFactor: 8.2},
		},
	}
}

func upstream(id, dataCentre, card string, from, to int) *fleet.Upstream {
	return &fleet.Upstream{ID: id, Service: "s", DataCentre: dataCentre, Card: card, Slots: 192,
		Layers: fleet.Range{From: from, To: to}}
}

func need() *Need {
	return &Need{Engine: engine(), DataCentre: "a", PromptTokens: 800, OutputTokens: 200}
}

// checkPath fails unless the stages run each layer once and in order, on distinct upstreams that hold the layers.
func checkPath(t interface{ Fatalf(string, ...any) }, hops []Hop, layers int) {
	at := 0
	seen := make(map[string]bool)
	for _, h := range hops {
		if h.Layers.From != at || h.Layers.Len() == 0 {
			t.Fatalf("a stage begins at layer %d, want %d: %s", h.Layers.From, at, Describe(hops))
		}
		if !h.Upstream.Layers.Holds(h.Layers) {
			t.Fatalf("%s does not hold %v", h.Upstream.ID, h.Layers)
		}
		if seen[h.Upstream.ID] {
			t.Fatalf("%s runs two stages: %s", h.Upstream.ID, Describe(hops))
		}
		seen[h.Upstream.ID] = true
		at = h.Layers.To
	}
	if at != layers {
		t.Fatalf("the path ends at layer %d: %s", at, Describe(hops))
	}
}

// TestPathsOfAnyFleet draws fleets and loads and checks that each path runs every layer once and in order on upstreams
// that are not draining, that no upstream is over-reserved, and that releases leave nothing reserved.
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
		var reservations []*Reservation
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			r := b.ReservePath(list, need())
			if r == nil {
				continue
			}
			checkPath(t, r.Hops(), 80)
			for _, h := range r.Hops() {
				if h.Upstream.Draining {
					t.Fatalf("%s is draining", h.Upstream.ID)
				}
				capacity := engine().KVCapacity(engine().Cards[h.Upstream.Card], h.Upstream.Layers.Len())
				if reserved := b.states[KeyOf(h.Upstream)].reserved; reserved > capacity {
					t.Fatalf("%s has %v reserved of %v", h.Upstream.ID, reserved, capacity)
				}
			}
			failed := r.Hops()[rapid.IntRange(0, len(r.Hops())-1).Draw(t, "failed")].Upstream
			previous, ok := r.Bypass(list, need(), []string{failed.ID})
			if ok {
				checkPath(t, r.Hops(), 80)
				if rapid.Bool().Draw(t, "restore") {
					r.Restore(engine(), previous)
				}
			}
			reservations = append(reservations, r)
			c.advance(time.Millisecond)
		}
		for _, r := range reservations {
			r.Release()
			// The stall watcher of a stream may use its reservation after the stream has ended.
			last := r.Hops()[len(r.Hops())-1].Upstream.ID
			if previous, ok := r.Bypass(list, need(), []string{last}); ok {
				r.Restore(engine(), previous)
			}
		}
		for k, s := range b.states {
			if s.reserved > 1e-3 || s.inFlight != 0 || s.firstStage != 0 || s.prefill > 1e-3 {
				t.Fatalf("%v still has reservations: %+v", k, *s)
			}
		}
	})
}

// splitModel returns an upstream with the first half of the layers and two with the second half.
func splitModel() []*fleet.Upstream {
	return []*fleet.Upstream{upstream("u", "a", "big", 0, 40), upstream("v", "a", "big", 40, 80),
		upstream("w", "a", "big", 40, 80)}
}

func hasUpstream(r *Reservation, id string) bool {
	if r == nil {
		return false
	}
	for _, h := range r.Hops() {
		if h.Upstream.ID == id {
			return true
		}
	}
	return false
}

// TestEjectedUpstreamIsProbedByOneRequest checks that only one request probes an upstream after its ejection, and that
// the others go elsewhere until the outcome is known. Otherwise every request picks the dead upstream: 190 did so in
// two seconds.
func TestEjectedUpstreamIsProbedByOneRequest(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := splitModel()
	v := list[1]
	for range 6 {
		b.RecordRefusal(v, "")
		c.advance(maxRefusalEjection + time.Millisecond)
	}
	probes := 0
	for range 40 {
		r := b.ReservePath(list, need())
		if hasUpstream(r, "v") {
			probes++
		}
	}
	if probes != 1 {
		t.Errorf("%d requests probed the upstream that refused, want 1", probes)
	}
	c.advance(probeTimeout)
	if r := b.ReservePath(list, need()); !hasUpstream(r, "v") && !hasUpstream(b.ReservePath(list, need()), "v") {
		t.Error("no request probes it again")
	}
}

func TestEjectionsGrowAndEndWithSuccess(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	v := splitModel()[1]
	var ejections []time.Duration
	for range 5 {
		ejections = append(ejections, b.RecordFailure(v))
		c.advance(maxFailureEjection)
	}
	for i := 1; i < len(ejections); i++ {
		if ejections[i] < ejections[i-1] || ejections[i] > maxFailureEjection {
			t.Errorf("ejections %v do not grow up to %v", ejections, maxFailureEjection)
		}
	}
	if !b.IsSuspected(v) {
		t.Error("an upstream is not suspected after five failures")
	}
	b.RecordResponse(v, false, 0)
	if b.IsSuspected(v) || b.isExcluded(v, b.state(KeyOf(v)), c.now()) {
		t.Error("an upstream is still excluded after a success")
	}
	if got := b.RecordFailure(v); got != baseFailureEjection {
		t.Errorf("ejection after a success %v, want %v", got, baseFailureEjection)
	}
}

func TestConcurrentFailuresCountOnce(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	v := splitModel()[1]
	first := b.RecordFailure(v)
	c.advance(10 * time.Millisecond)
	if got := b.RecordFailure(v); got != first-10*time.Millisecond {
		t.Errorf("the second failure ejects for %v, want the remaining %v", got, first-10*time.Millisecond)
	}
}

func TestUnreachableDataCentreIsExcluded(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := []*fleet.Upstream{upstream("u", "a", "big", 0, 40), upstream("v", "a", "big", 40, 80)}
	for i := range 4 {
		list = append(list, upstream(fmt.Sprintf("b%d", i), "b", "big", 40, 80))
	}
	for i := range partitionFailures {
		b.RecordFailure(list[2+i])
	}
	for range 20 {
		if r := b.ReservePath(list, need()); hasUpstream(r, "b3") {
			t.Fatal("a path leads to a data centre of which three upstreams failed")
		}
	}
	b.RecordResponse(list[5], false, 0)
	if b.isPartitioned("b", c.now()) {
		t.Error("a success in the data centre does not end its exclusion")
	}
	for i := range partitionFailures + 1 {
		b.RecordFailure(upstream(fmt.Sprintf("own%d", i), "a", "big", 0, 80))
	}
	if b.isPartitioned("a", c.now()) {
		t.Error("the node's own data centre counts as unreachable")
	}
}

func TestOtherNodesClaimsTakeRoom(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := splitModel()
	b.SetUpstreams(fleet.NewList(1, list))
	capacity := engine().KVCapacity(engine().Cards["big"], 40)
	b.ApplyGossip(Gossip{Node: "n", Claims: map[uint32]Claim{KeyOf(list[1]).Hash(): {Reserved: capacity}}})
	for range 10 {
		if r := b.ReservePath(list, need()); hasUpstream(r, "v") {
			t.Fatal("a path leads to an upstream whose capacity other nodes have reserved")
		}
	}
	c.advance(claimTTL + time.Millisecond)
	b.ApplyGossip(Gossip{Node: "other"})
	found := false
	for range 10 {
		found = found || hasUpstream(b.ReservePath(list, need()), "v")
	}
	if !found {
		t.Error("claims of a node still count after its gossip expired")
	}
}

func TestSuspicionNeedsTwoNodesOrSameDataCentre(t *testing.T) {
	v := splitModel()[1]
	tests := []struct {
		name   string
		gossip []Gossip
		want   bool
	}{
		{"one node of another data centre", []Gossip{{Node: "m", DataCentre: "b"}}, false},
		{"two nodes of other data centres", []Gossip{{Node: "m", DataCentre: "b"}, {Node: "n", DataCentre: "c"}}, true},
		{"one node of its data centre", []Gossip{{Node: "m", DataCentre: "a"}}, true},
	}
	for _, tc := range tests {
		b := newBoard(newClock(), 1)
		b.SetUpstreams(fleet.NewList(1, splitModel()))
		for _, n := range tc.gossip {
			n.Failed = []uint32{KeyOf(v).Hash()}
			b.ApplyGossip(n)
		}
		if got := b.IsSuspected(v); got != tc.want {
			t.Errorf("%s: suspected %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestSlowUpstreamIsAvoided(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := splitModel()
	b.RecordSlowdown(list[1], 12)
	for range 10 {
		if r := b.ReservePath(list, need()); hasUpstream(r, "v") {
			t.Fatal("a path leads to an upstream that reports a slowdown of 12")
		}
	}
	c.advance(slowdownTTL + time.Millisecond)
	found := false
	for range 30 {
		found = found || hasUpstream(b.ReservePath(list, need()), "v")
	}
	if !found {
		t.Error("a reported slowdown does not expire")
	}
}

func TestPathBeyondFirstEventLimitIsRejected(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := splitModel()[:2]
	n := need()
	n.FirstEventLimit = 1500 * time.Millisecond
	b.ApplyGossip(Gossip{Node: "m"})
	b.SetUpstreams(fleet.NewList(1, list))
	b.ApplyGossip(Gossip{Node: "m", Claims: map[uint32]Claim{KeyOf(list[1]).Hash(): {Prefill: 40 * 400_000}}})
	if r := b.ReservePath(list, n); r != nil {
		t.Errorf("a path is reserved though its first event is expected after %v", r.Expected.FirstEvent)
	}
}

// TestEngineWithoutOptionalFigures checks that paths are found when the configuration leaves out optional figures, such
// as those on prefill and links.
func TestEngineWithoutOptionalFigures(t *testing.T) {
	b := newBoard(newClock(), 1)
	n := need()
	n.Engine = &rules.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 918_000, StepsPerPass: 1, PrefillChunk: 1, Cards: engine().Cards,
	}
	n.FirstEventLimit = time.Second
	list := splitModel()
	list[1].DataCentre, list[2].DataCentre = "b", "b"
	r := b.ReservePath(list, n)
	if r == nil {
		t.Fatal("no path")
	}
	checkPath(t, r.Hops(), 80)
}

// TestBypassKeepsTheOtherStages checks that a bypass leaves the other stages as they are, because their upstreams
// keep the request's KV cache.
func TestBypassKeepsTheOtherStages(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := splitModel()
	r := b.ReservePath(list, need())
	failed := r.Hops()[1].Upstream
	if _, ok := r.Bypass(list, need(), []string{failed.ID}); !ok {
		t.Fatal("no detour though another upstream holds the layers")
	}
	if got := r.Hops()[0].Upstream.ID; got != "u" {
		t.Errorf("the first stage moved to %s", got)
	}
	if hasUpstream(r, failed.ID) {
		t.Error("the failed stage is still on the path")
	}
	for _, u := range list[1:] {
		if u != failed && b.state(KeyOf(u)).prefill == 0 {
			t.Error("the new stage has no prefill work")
		}
	}
	if _, ok := r.Bypass(list, need(), []string{"u"}); ok && !hasUpstream(r, "u") {
		t.Error("the first stage was bypassed")
	}
}

func TestPlainPicksTheShortestWait(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := []*fleet.Upstream{{ID: "p", Slots: 6}, {ID: "q", Slots: 6}, {ID: "r", Slots: 6, Draining: true}}
	counts := make(map[string]int)
	for range 12 {
		counts[b.ReservePlain(list, nil).Upstream.ID]++
	}
	if counts["p"] != 6 || counts["q"] != 6 {
		t.Errorf("requests by upstream: %v, want 6 each and none to the draining one", counts)
	}
	for range 20 {
		b.RecordResponse(list[0], true, 0)
	}
	if got := b.ReservePlain(list, nil).Upstream.ID; got != "q" {
		t.Errorf("%s is picked though all its responses failed", got)
	}
	if r := b.ReservePlain(list, []string{"p", "q"}); r != nil {
		t.Errorf("%s is picked though it is excluded or draining", r.Upstream.ID)
	}
}

// TestReportedLoadCounts checks that an upstream that reports requests of other nodes is passed over until the report
// expires.
func TestReportedLoadCounts(t *testing.T) {
	c := newClock()
	b := newBoard(c, 1)
	list := []*fleet.Upstream{{ID: "p", Slots: 6}, {ID: "q", Slots: 6}}
	b.RecordLoad(list[0], 9)
	for range 4 {
		if got := b.ReservePlain(list, nil).Upstream.ID; got != "q" {
			t.Errorf("%s is picked though it reported nine requests", got)
		}
	}
	c.advance(reportedRequestsTTL)
	if got := b.ReservePlain(list, nil).Upstream.ID; got != "p" {
		t.Errorf("%s is picked though the report of the other has expired", got)
	}
}
