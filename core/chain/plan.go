package chain

import (
	"math"
	"slices"
	"time"

	"rhubarbspread/core/route"
)

// Range is a half-open range of layers.
type Range struct{ From, To int }

// Len returns the number of layers.
func (r Range) Len() int { return r.To - r.From }

// Stage is an upstream with the range of its layers that a chain uses.
type Stage struct {
	Upstream *route.Upstream
	Range    Range
}

// Plan is a chain of stages whose ranges are contiguous, without gap or overlap.
type Plan []Stage

// Covers reports whether the plan runs each layer of a range exactly once and in order.
func (p Plan) Covers(r Range) bool {
	next := r.From
	for _, s := range p {
		first, last := s.Upstream.Layers()
		if s.Range.From != next || s.Range.Len() <= 0 || s.Range.From < first || s.Range.To > last {
			return false
		}
		next = s.Range.To
	}
	return next == r.To
}

// CandidateUpstream is an upstream that a plan may use, with its cost factors.
type CandidateUpstream struct {
	Upstream    *route.Upstream
	Rate        float64 // layers per second of one slot
	Slots       int     // steps that run concurrently
	LoadPenalty float64 // cost of load, as a multiple of the compute time
	RTT         time.Duration
}

// capacity returns layers per second over all slots.
func (c *CandidateUpstream) capacity() float64 { return max(c.Rate, 1e-9) * float64(max(c.Slots, 1)) }

// cost returns the seconds that a token spends at an upstream for a number of layers, including the load penalty. It is
// linear in the layers, so that an optimal chain has its stage boundaries only where some upstream's range begins or
// ends.
func (c *CandidateUpstream) cost(layers int) float64 {
	return c.RTT.Seconds() + float64(layers)/max(c.Rate, 1e-9)*(1+c.LoadPenalty)
}

// partialPlan is the cheapest chain over the layers up to a boundary.
type partialPlan struct {
	cost          float64
	lastCandidate int // index of the last stage's candidate
	startBound    int // index of the boundary at which the last stage begins
}

// CheapestPlan returns the cheapest plan for a range of layers, or nil if the candidates don't cover it. Stages begin
// and end only where some upstream's range does: a mix of chains with boundaries at both ends of an overlap balances
// load as well as chains with a boundary inside it.
func CheapestPlan(candidates []CandidateUpstream, layers Range) Plan {
	bounds := boundaries(candidates, layers)
	table := make([]partialPlan, len(bounds))
	for i := range table {
		table[i].cost = math.Inf(1)
	}
	table[0].cost = 0
	for i, from := range bounds {
		if !math.IsInf(table[i].cost, 1) {
			extendPlans(candidates, bounds, table, i, from)
		}
	}
	return backtrack(candidates, bounds, table)
}

// boundaries returns the sorted layers at which a stage may begin or end.
func boundaries(candidates []CandidateUpstream, layers Range) []int {
	out := []int{layers.From, layers.To}
	for i := range candidates {
		first, last := candidates[i].Upstream.Layers()
		for _, b := range []int{first, last} {
			if b > layers.From && b < layers.To {
				out = append(out, b)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// extendPlans extends the cheapest chain up to boundary i by one stage of each candidate, and updates the table.
func extendPlans(candidates []CandidateUpstream, bounds []int, table []partialPlan, i, from int) {
	for k := range candidates {
		first, last := candidates[k].Upstream.Layers()
		if first > from || last <= from {
			continue
		}
		for j := i + 1; j < len(bounds) && bounds[j] <= last; j++ {
			cost := table[i].cost + candidates[k].cost(bounds[j]-from)
			if cost < table[j].cost {
				table[j] = partialPlan{cost: cost, lastCandidate: k, startBound: i}
			}
		}
	}
}

// backtrack returns the plan that the table holds for the last boundary, or nil if there is none.
func backtrack(candidates []CandidateUpstream, bounds []int, table []partialPlan) Plan {
	end := len(bounds) - 1
	if math.IsInf(table[end].cost, 1) {
		return nil
	}
	var plan Plan
	for j := end; j > 0; j = table[j].startBound {
		p := table[j]
		plan = append(plan, Stage{
			Upstream: candidates[p.lastCandidate].Upstream, Range: Range{From: bounds[p.startBound], To: bounds[j]},
		})
	}
	slices.Reverse(plan)
	return mergeAdjacent(plan)
}

// mergeAdjacent joins adjacent stages of one upstream, which saves a round trip.
func mergeAdjacent(plan Plan) Plan {
	out := plan[:0]
	for _, s := range plan {
		if n := len(out); n > 0 && out[n-1].Upstream == s.Upstream && out[n-1].Range.To == s.Range.From {
			out[n-1].Range.To = s.Range.To
			continue
		}
		out = append(out, s)
	}
	return out
}

// MaxThroughput returns an upper bound of the upstreams' joint throughput in tokens per second. It is the minimum, over
// all contiguous ranges of layers, of the total capacity of the upstreams that hold some of the range, divided by the
// range's length. An upstream can't spend more than its whole capacity on a range, so no routing exceeds the bound.
func MaxThroughput(candidates []CandidateUpstream, layers Range) float64 {
	bounds := boundaries(candidates, layers)
	least := math.Inf(1)
	for i := range bounds {
		for j := i + 1; j < len(bounds); j++ {
			sum := 0.0
			for k := range candidates {
				first, last := candidates[k].Upstream.Layers()
				if first < bounds[j] && last > bounds[i] {
					sum += candidates[k].capacity()
				}
			}
			least = min(least, sum/float64(bounds[j]-bounds[i]))
		}
	}
	return least
}
