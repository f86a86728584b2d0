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

// Stage is an upstream and the part of its layers that a chain uses.
type Stage struct {
	Upstream *route.Upstream
	Range    Range
}

// Plan is a chain of stages whose ranges join without gap or overlap.
type Plan []Stage

// Covers reports whether the plan runs each layer of a range once and in order.
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

// Option is an upstream that a plan may use, with what it costs.
type Option struct {
	Upstream *route.Upstream
	Rate     float64       // layers a second of one slot
	Slots    int           // steps that run at once
	Price    float64       // of load: how much more than its own time a token costs here
	Link     time.Duration // round trip
}

func (o *Option) capacity() float64 { return max(o.Rate, 1e-9) * float64(max(o.Slots, 1)) }

// cost returns seconds that a token spends at an upstream for a number of layers, with the price of load.
// It is linear in the layers: the best chain then breaks only where some upstream's range begins or ends.
func (o *Option) cost(layers int) float64 {
	return o.Link.Seconds() + float64(layers)/max(o.Rate, 1e-9)*(1+o.Price)
}

// best is the cheapest way to have run the layers up to a boundary.
type best struct {
	cost  float64
	via   int // option of the last stage
	start int // boundary index at which that stage begins
}

// Make returns the cheapest plan for a range of layers, or nil where the options don't cover it. Stages
// begin and end where some upstream's range does: a mixture of chains that break at either end of an
// overlap shares load as well as one that breaks inside it.
func Make(options []Option, layers Range) Plan {
	bounds := boundaries(options, layers)
	table := make([]best, len(bounds))
	for i := range table {
		table[i].cost = math.Inf(1)
	}
	table[0].cost = 0
	for i, from := range bounds {
		if !math.IsInf(table[i].cost, 1) {
			extend(options, bounds, table, i, from)
		}
	}
	return trace(options, bounds, table)
}

func boundaries(options []Option, layers Range) []int {
	out := []int{layers.From, layers.To}
	for i := range options {
		first, last := options[i].Upstream.Layers()
		for _, b := range []int{first, last} {
			if b > layers.From && b < layers.To {
				out = append(out, b)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func extend(options []Option, bounds []int, table []best, i, from int) {
	for k := range options {
		first, last := options[k].Upstream.Layers()
		if first > from || last <= from {
			continue
		}
		for j := i + 1; j < len(bounds) && bounds[j] <= last; j++ {
			cost := table[i].cost + options[k].cost(bounds[j]-from)
			if cost < table[j].cost {
				table[j] = best{cost: cost, via: k, start: i}
			}
		}
	}
}

func trace(options []Option, bounds []int, table []best) Plan {
	end := len(bounds) - 1
	if math.IsInf(table[end].cost, 1) {
		return nil
	}
	var plan Plan
	for j := end; j > 0; j = table[j].start {
		b := table[j]
		plan = append(plan, Stage{Upstream: options[b.via].Upstream, Range: Range{From: bounds[b.start], To: bounds[j]}})
	}
	slices.Reverse(plan)
	return merge(plan)
}

// merge joins neighbouring stages of one upstream, which saves a round trip.
func merge(plan Plan) Plan {
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

// Bound returns the most tokens a second that upstreams can give together: over every run of layers,
// the summed capacity of those that hold some of it, over its length. An upstream can't spend more on
// a run than all its capacity, so no routing exceeds it.
func Bound(options []Option, layers Range) float64 {
	bounds := boundaries(options, layers)
	least := math.Inf(1)
	for i := range bounds {
		for j := i + 1; j < len(bounds); j++ {
			sum := 0.0
			for k := range options {
				first, last := options[k].Upstream.Layers()
				if first < bounds[j] && last > bounds[i] {
					sum += options[k].capacity()
				}
			}
			least = min(least, sum/float64(bounds[j]-bounds[i]))
		}
	}
	return least
}
