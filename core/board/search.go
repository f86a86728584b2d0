package board

import (
	"math"
	"slices"
	"time"

	"rhubarbspread/core/fleet"
)

// pathSearch finds the stages with the least cost that run the layers of a span. It goes through the layers at which a stage
// may begin or end; all it knows of a way to such a layer is its cost and the data centre of its last stage.
type pathSearch struct {
	need       *Need
	useEjected bool
	span       fleet.Range
	candidates []candidate
	bounds     []int    // layers at which a stage may begin or end, ascending; the span's ends are the first and the last
	centres    []string // data centres; the first is that of the layer before the span, "" for none
	centreOf   []int    // by candidate, index into centres
	links      []linkState
	best       []step // by bound and centre
}

// step is the last stage of the cheapest known way to a bound in a data centre.
type step struct {
	cost      float64 // ms from the start
	candidate int     // -1 at the start
	from      int     // index of the step before
}

// search returns the cheapest stages that run the layers of a span, or nil; dataCentre is where the layer before was run, ""
// for none. Ejected upstreams are candidates only with useEjected, and those that refuse other nodes never.
func (b *Board) search(list []*fleet.Upstream, n *Need, span fleet.Range, dataCentre string, useEjected bool) []Hop {
	return b.newSearch(list, n, span, dataCentre, useEjected).run()
}

func (b *Board) newSearch(
	list []*fleet.Upstream, n *Need, span fleet.Range, dataCentre string, useEjected bool,
) *pathSearch {
	p := &pathSearch{need: n, useEjected: useEjected, span: span, candidates: b.usable(list, n, useEjected), centres: []string{dataCentre}}
	p.bounds = stageBounds(p.candidates, span)
	for _, c := range p.candidates {
		i := slices.Index(p.centres, c.upstream.DataCentre)
		if i < 0 {
			i = len(p.centres)
			p.centres = append(p.centres, c.upstream.DataCentre)
		}
		p.centreOf = append(p.centreOf, i)
	}
	for _, from := range p.centres {
		for _, to := range p.centres {
			p.links = append(p.links, b.linkBetween(n, from, to))
		}
	}
	p.best = make([]step, len(p.bounds)*len(p.centres))
	for i := range p.best {
		p.best[i] = step{cost: math.Inf(1), candidate: -1, from: -1}
	}
	p.best[0].cost = 0
	return p
}

func (p *pathSearch) run() []Hop {
	for i := range p.bounds[:len(p.bounds)-1] {
		p.extend(i)
	}
	return p.path(p.cheapestEnd())
}

// stageBounds returns the ends of a span and the layers in it at which the range of an upstream begins or ends.
func stageBounds(candidates []candidate, span fleet.Range) []int {
	bounds := []int{span.From, span.To}
	for _, c := range candidates {
		for _, layer := range []int{c.upstream.Layers.From, c.upstream.Layers.To} {
			if layer > span.From && layer < span.To {
				bounds = append(bounds, layer)
			}
		}
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// extend continues the ways to a bound by each stage that begins there.
func (p *pathSearch) extend(bound int) {
	at, width := p.bounds[bound], len(p.centres)
	ways := p.best[bound*width : (bound+1)*width]
	for i := range p.candidates {
		c := &p.candidates[i]
		if at < c.upstream.Layers.From || at >= c.upstream.Layers.To || at == 0 && c.slotsFull {
			continue
		}
		for centre := range ways {
			start := ways[centre].cost
			link := &p.links[centre*width+p.centreOf[i]]
			if math.IsInf(start, 1) || link.closed {
				continue
			}
			start += c.jitter * link.cost(p.need)
			for end := bound + 1; end < len(p.bounds) && p.bounds[end] <= c.upstream.Layers.To; end++ {
				cost, ok := c.cost(p.need, fleet.Range{From: at, To: p.bounds[end]})
				if !ok {
					break // longer stages need more room
				}
				to := &p.best[end*width+p.centreOf[i]]
				if start+cost < to.cost && !p.isOnPath(bound*width+centre, i) {
					*to = step{cost: start + cost, candidate: i, from: bound*width + centre}
				}
			}
		}
	}
}

// isOnPath reports whether a candidate runs a stage on the way to a step, other than the last one. Upstreams refuse a path
// that names one of them twice, while adjacent stages on the same upstream are merged.
func (p *pathSearch) isOnPath(at, candidate int) bool {
	last := true
	for s := p.best[at]; s.candidate >= 0; s = p.best[s.from] {
		if s.candidate == candidate && !last {
			return true
		}
		last = last && s.candidate == candidate
	}
	return false
}

// cheapestEnd returns the index of the cheapest step that ends the span; its cost is infinite if there is none.
func (p *pathSearch) cheapestEnd() int {
	first := len(p.best) - len(p.centres)
	least := first
	for i := first; i < len(p.best); i++ {
		if p.best[i].cost < p.best[least].cost {
			least = i
		}
	}
	return least
}

// endCosts returns the least cost of the whole span, and the least of those that end in other data centres, or 0 if there is none.
func (p *pathSearch) endCosts() (least, next float64) {
	end := p.cheapestEnd()
	for i := len(p.best) - len(p.centres); i < len(p.best); i++ {
		if cost := p.best[i].cost; i != end && !math.IsInf(cost, 1) && (next == 0 || cost < next) {
			next = cost
		}
	}
	return p.best[end].cost, next
}

// path returns the stages on the way to a step, or nil if there is none.
func (p *pathSearch) path(end int) []Hop {
	width := len(p.centres)
	var hops []Hop
	for at := end; p.best[at].candidate >= 0; at = p.best[at].from {
		s := p.best[at]
		h := Hop{p.candidates[s.candidate].upstream, fleet.Range{From: p.bounds[s.from/width], To: p.bounds[at/width]}}
		if n := len(hops) - 1; n >= 0 && hops[n].Upstream == h.Upstream {
			hops[n].Layers.From = h.Layers.From
		} else {
			hops = append(hops, h)
		}
	}
	slices.Reverse(hops)
	return hops
}

// cost returns what a step over a link adds to the cost of the stage that follows it, in ms.
func (l *linkState) cost(n *Need) float64 {
	if !l.crosses {
		return 0
	}
	passDelay := time.Duration(n.Engine.StepsPerPass) * n.Engine.LinkDelay
	total := l.queueTime + n.Engine.LinkDelay + transferTime(n.Engine, n.PromptTokens) + crossingCost
	return (float64(total) + (1+n.passes())*float64(passDelay)) / float64(time.Millisecond)
}

// passes returns how many passes generate the expected output.
func (n *Need) passes() float64 { return n.OutputTokens / float64(n.Engine.StepsPerPass) }

// cost returns the cost of a stage in ms without that of the link to it, or false if the upstream lacks capacity. It depends
// on the number of layers alone, except for the first stage, and is kept.
func (c *candidate) cost(n *Need, layers fleet.Range) (float64, bool) {
	if (n.PromptTokens+n.OutputTokens)*float64(layers.Len()) > c.free {
		return 0, false
	}
	if c.costs == nil {
		c.costs = make([]float64, c.upstream.Layers.Len()+1)
	}
	cost := c.costs[layers.Len()]
	if cost == 0 {
		prefill, _, pass := c.times(n, layers, "")
		// Fullness does not depend on the stage's size, so that splitting a stage does not reduce the cost.
		fullness := 1 - c.free/c.capacity
		penalty := (float64(fullnessCost)*fullness*fullness + float64(inFlightCost)*c.decoding) *
			float64(layers.Len()) / float64(n.Engine.Layers)
		cost = c.jitter * (float64(prefill) + n.passes()*float64(pass) + penalty) / float64(time.Millisecond)
		c.costs[layers.Len()] = cost
	}
	if layers.From > 0 {
		return cost, true
	}
	if c.upstream.DataCentre != n.DataCentre {
		cost += c.jitter * float64(remoteFirstStageCost) / float64(time.Millisecond)
	}
	if c.needsConnection {
		cost += c.jitter * float64(newConnectionCost) / float64(time.Millisecond)
	}
	return cost, true
}
