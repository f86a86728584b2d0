package board

import (
	"fmt"
	"math"
	"testing"

	"rhubarbspread/core/fleet"

	"pgregory.net/rapid"
)

// exhaustiveSearch tries all sequences of stages from a layer on. It returns the least cost and those stages.
func (p *pathSearch) exhaustiveSearch(b *Board, at int, from string) (float64, []int) {
	if at == p.span.To {
		return 0, nil
	}
	least, stages := math.Inf(1), []int(nil)
	for i := range p.candidates {
		c := &p.candidates[i]
		if at < c.upstream.Layers.From || at == 0 && c.slotsFull {
			continue
		}
		link := b.linkBetween(p.need, from, c.upstream.DataCentre)
		for _, end := range p.bounds {
			if end <= at || end > c.upstream.Layers.To || link.closed {
				continue
			}
			cost, ok := c.cost(p.need, fleet.Range{From: at, To: end})
			if !ok {
				continue
			}
			rest, others := p.exhaustiveSearch(b, end, c.upstream.DataCentre)
			if cost += c.jitter*link.cost(p.need) + rest; cost < least {
				least, stages = cost, append([]int{i}, others...)
			}
		}
	}
	return least, stages
}

// hasReturn reports whether a path leaves an upstream and returns to it.
func hasReturn(stages []int) bool {
	seen := make(map[int]bool)
	for i, s := range stages {
		if i > 0 && stages[i-1] == s {
			continue
		}
		if seen[s] {
			return true
		}
		seen[s] = true
	}
	return false
}

// TestSearchFindsTheCheapestPath guards against a search that returns a path that is not the cheapest, or none where there is
// one.
func TestSearchFindsTheCheapestPath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBoard(newClock(), rapid.Int().Draw(t, "seed"))
		n := need()
		n.EventGap = eventGapAim
		span := fleet.Range{From: 0, To: n.Engine.Layers}
		var list []*fleet.Upstream
		for i := range rapid.IntRange(1, 7).Draw(t, "upstreams") {
			from := rapid.SampledFrom([]int{0, 20, 30, 50}).Draw(t, "from")
			to := rapid.SampledFrom([]int{30, 50, 60, 80}).Draw(t, "to")
			u := upstream(fmt.Sprint("u", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "centre"), "big", from, to)
			u.Slots = rapid.IntRange(0, 1).Draw(t, "slots")
			list = append(list, u)
		}
		b.SetUpstreams(fleet.NewList(1, list))
		p := b.newSearch(list, n, span, "", false)
		hops := p.run()
		least, stages := p.exhaustiveSearch(b, 0, "")
		if hasReturn(stages) {
			t.Skip("the cheapest path returns to an upstream, which the search avoids")
		}
		if (hops == nil) != (stages == nil) {
			t.Fatalf("found %s, the cheapest path is %v", Describe(hops), stages)
		}
		if hops == nil {
			return
		}
		if got := p.best[p.cheapestEnd()].cost; math.Abs(got-least) > 1e-6 {
			t.Fatalf("%s costs %v, the cheapest path %v", Describe(hops), got, least)
		}
	})
}

// BenchmarkReservePath measures the choice of a path among all upstreams of a model.
func BenchmarkReservePath(b *testing.B) {
	for _, size := range staleSizes {
		f := newStaleFleet(size.staleCase, 1)
		n := &Need{Engine: f.engine, DataCentre: f.centres[0], PromptTokens: 740, OutputTokens: 220,
			FirstEventLimit: streamAim, EventGap: eventGapAim}
		b.Run(fmt.Sprint(len(f.list), " upstreams"), func(b *testing.B) {
			for b.Loop() {
				f.boards[0].ReservePath(f.list, n).Release()
			}
		})
	}
}
