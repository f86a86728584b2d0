package chain

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"rhubarbspread/core/route"

	"pgregory.net/rapid"
)

func drawCandidates(rt *rapid.T, layers int) []CandidateUpstream {
	n := rapid.IntRange(1, 6).Draw(rt, "upstreams")
	out := make([]CandidateUpstream, n)
	for i := range out {
		first := rapid.IntRange(0, layers-1).Draw(rt, "first")
		last := rapid.IntRange(first+1, layers).Draw(rt, "last")
		out[i] = CandidateUpstream{
			Upstream: route.NewUpstream(fmt.Sprintf("u-%d", i), "127.0.0.1:1", "dc", "m", route.WithLayers(first, last)),
			Rate:     float64(rapid.IntRange(1, 8).Draw(rt, "rate")) * 100,
			Slots:    rapid.IntRange(1, 4).Draw(rt, "slots"),
			RTT:      time.Duration(rapid.IntRange(0, 100).Draw(rt, "rtt")) * time.Millisecond,
		}
	}
	return out
}

// exhaustiveCost returns the cost of the optimal chain by trying every stage at every layer.
func exhaustiveCost(candidates []CandidateUpstream, from, to int) float64 {
	if from == to {
		return 0
	}
	least := math.Inf(1)
	for i := range candidates {
		first, last := candidates[i].Upstream.Layers()
		if first > from || last <= from {
			continue
		}
		for end := from + 1; end <= min(last, to); end++ {
			least = min(least, candidates[i].cost(end-from)+exhaustiveCost(candidates, end, to))
		}
	}
	return least
}

func costOf(candidates []CandidateUpstream, p Plan) float64 {
	sum := 0.0
	for _, s := range p {
		for i := range candidates {
			if candidates[i].Upstream == s.Upstream {
				sum += candidates[i].cost(s.Range.Len())
			}
		}
	}
	return sum
}

// TestPlanAgainstExhaustiveSearch checks that every plan costs at most 5% more than the optimal chain, whose stages may
// also begin or end inside the upstreams' ranges.
func TestPlanAgainstExhaustiveSearch(t *testing.T) {
	const layers = 8
	worstRatio := 1.0
	rapid.Check(t, func(rt *rapid.T) {
		candidates := drawCandidates(rt, layers)
		plan := CheapestPlan(candidates, Range{0, layers})
		optimum := exhaustiveCost(candidates, 0, layers)
		if math.IsInf(optimum, 1) != (plan == nil) {
			rt.Fatalf("plan %v, but the optimum costs %v", plan, optimum)
		}
		if plan == nil {
			return
		}
		if !plan.Covers(Range{0, layers}) {
			rt.Fatalf("%v does not run each layer once and in order", plan)
		}
		ratio := costOf(candidates, plan) / optimum
		worstRatio = max(worstRatio, ratio)
		if ratio > 1.05 {
			rt.Fatalf("plan costs %.3f times the optimum", ratio)
		}
	})
	t.Logf("measure=plan worst-over-optimum=%.4f", worstRatio)
}

// TestPlanKeepsAStageWhole guards against a load penalty that grows with a stage's own layers. In this case, such a
// penalty made one stage cost 1.625 times as much as the same layers split into several stages.
func TestPlanKeepsAStageWhole(t *testing.T) {
	var candidates []CandidateUpstream
	for i, r := range []Range{{0, 1}, {0, 1}, {0, 1}, {0, 2}, {2, 8}} {
		candidates = append(candidates, CandidateUpstream{
			Upstream: route.NewUpstream(fmt.Sprintf("u-%d", i), "127.0.0.1:1", "dc", "m", route.WithLayers(r.From, r.To)),
			Rate:     100, Slots: 1,
		})
	}
	plan := CheapestPlan(candidates, Range{0, 8})
	if ratio := costOf(candidates, plan) / exhaustiveCost(candidates, 0, 8); ratio > 1.05 {
		t.Errorf("plan costs %.3f times the optimum", ratio)
	}
}

func BenchmarkCheapestPlan(b *testing.B) {
	for _, upstreams := range []int{4, 40, 400} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			const layers = 80
			random := rand.New(rand.NewPCG(1, 2))
			candidates := make([]CandidateUpstream, upstreams)
			for i := range candidates {
				first := (i * 8) % layers
				candidates[i] = CandidateUpstream{
					Upstream: route.NewUpstream(fmt.Sprint(i), "127.0.0.1:1", "dc", "m",
						route.WithLayers(first, min(layers, first+16))),
					Rate: 100 * (1 + random.Float64()), Slots: 8,
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				CheapestPlan(candidates, Range{0, layers})
			}
		})
	}
}
