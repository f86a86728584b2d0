package place

import (
	"cmp"
	"slices"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
)

// Member is an upstream in its current state, or in the state that a pending order leads to.
type Member struct {
	ID         string
	DataCentre string
	Card       rules.Card
	Layers     fleet.Range // layers that it holds or loads
	Available  bool        // may be given an order: it is not loading and was not moved recently
}

// Move gives an upstream a range of layers.
type Move struct {
	ID     string
	Layers fleet.Range
}

// Parameters of a plan.
const (
	usualLayerShare = 0.66 // share of a card's memory for layers; the rest is KV cache
	maxLayerShare   = 0.9  // the same in a data centre that could not hold the whole model otherwise
	dataCentreGain  = 2.0  // weight of a copy within a data centre relative to a copy anywhere
	copyOffset      = 0.05 // added to a layer's copies; bounds the gain of a layer that no upstream holds
)

// layerCoverage counts the copies of each layer, each weighted by the throughput of its holder.
type layerCoverage struct {
	total        []float64
	byDataCentre map[string][]float64
	layers       int
}

func newLayerCoverage(layers int) *layerCoverage {
	return &layerCoverage{total: make([]float64, layers), byDataCentre: make(map[string][]float64), layers: layers}
}

// inDataCentre returns the copies of each layer in a data centre.
func (c *layerCoverage) inDataCentre(dataCentre string) []float64 {
	copies := c.byDataCentre[dataCentre]
	if copies == nil {
		copies = make([]float64, c.layers)
		c.byDataCentre[dataCentre] = copies
	}
	return copies
}

// add adds a weight, which may be negative, to the layers of a range.
func (c *layerCoverage) add(dataCentre string, r fleet.Range, weight float64) {
	inOwn := c.inDataCentre(dataCentre)
	for i := max(0, r.From); i < min(c.layers, r.To); i++ {
		c.total[i] += weight
		inOwn[i] += weight
	}
}

// value returns the value of the coverage. It is lower the fewer copies a layer has, above all within a data centre.
func (c *layerCoverage) value() float64 {
	sum := 0.0
	for i, total := range c.total {
		sum += coverageValue(total)
		for _, inOwn := range c.byDataCentre {
			sum += dataCentreGain * coverageValue(inOwn[i])
		}
	}
	return sum
}

// gain returns the marginal value of one more holder of a range. It is higher the fewer copies its layers have.
func (c *layerCoverage) gain(dataCentre string, r fleet.Range) float64 {
	inOwn := c.inDataCentre(dataCentre)
	sum := 0.0
	for i := r.From; i < r.To; i++ {
		sum += dataCentreGain*marginalValue(inOwn[i]) + marginalValue(c.total[i])
	}
	return sum
}

// coverageValue returns the value of a layer's copies.
func coverageValue(copies float64) float64 { return -1 / (max(0, copies) + copyOffset) }

// marginalValue returns the derivative of coverageValue.
func marginalValue(copies float64) float64 {
	d := copies + copyOffset
	return 1 / (d * d)
}

// layersPerCard returns how many layers a card should hold if they may occupy a share of its memory.
func layersPerCard(e *rules.Engine, c rules.Card, share float64) int {
	return max(1, min(e.MaxLayers(c), int(share*c.SizeMB/e.LayerMB)))
}

// Option changes how a plan is made.
type Option func(*options)

type options struct {
	balances bool
	demand   serviceDemand
}

// WithBalancedRanges lets the ranges of a plan differ in length where the engine's cards differ much in memory. It raises the room
// of the narrowest layers for the price of paths with more stages, which pays where requests compete for room.
func WithBalancedRanges() Option { return func(o *options) { o.balances = true } }

func newOptions(opts []Option) options {
	var o options
	for _, set := range opts {
		set(&o)
	}
	return o
}

// Plan returns moves for empty upstreams. They first complete the model within each data centre where its cards
// suffice, and then add copies of the layers that have the fewest.
func Plan(e *rules.Engine, members []Member, opts ...Option) []Move {
	o := newOptions(opts)
	coverage := coverageOf(e, members)
	shares := layerShares(e, members)
	var empty []Member
	for _, m := range members {
		if m.Available && m.Layers.Len() == 0 && e.MaxLayers(m.Card) > 0 {
			empty = append(empty, m)
		}
	}
	slices.SortFunc(empty, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Card.SizeMB, a.Card.SizeMB), cmp.Compare(a.ID, b.ID))
	})
	var moves []Move
	for _, m := range empty {
		r := coverage.bestRange(m.DataCentre, layersPerCard(e, m.Card, shares[m.DataCentre]))
		coverage.add(m.DataCentre, r, copyWeight(e, m.Card, r.Len()))
		moves = append(moves, Move{m.ID, r})
	}
	if o.balances && e.HasUnevenCards() {
		balance(e, members, moves)
	}
	return moves
}

// coverageOf returns the coverage of a model by members.
func coverageOf(e *rules.Engine, members []Member) *layerCoverage {
	c := newLayerCoverage(e.Layers)
	for _, m := range members {
		c.add(m.DataCentre, m.Layers, copyWeight(e, m.Card, m.Layers.Len()))
	}
	return c
}

// Parameters of the weight of a copy.
const (
	referenceSequences   = 60     // decoding sequences at which prefill rates are compared
	referencePrefillRate = 60_000 // prompt tokens per second of a holder that counts as one copy
	minCopyWeight        = 0.3    // of a slow holder, which still makes a layer available
)

// copyWeight returns how many copies a holder of a number of layers counts as.
func copyWeight(e *rules.Engine, c rules.Card, layers int) float64 {
	if layers == 0 {
		return 0
	}
	rate := e.PrefillRate(c, layers, referenceSequences, e.MeanPromptTokens+e.MeanOutputTokens/2)
	return min(1, max(minCopyWeight, rate/referencePrefillRate))
}

// bestRange returns the range of a number of layers for an upstream of a data centre. It starts or ends at an end of
// the first gap there, so that no fragments remain between ranges; without a gap it is the range with the highest gain,
// the first of equals.
func (c *layerCoverage) bestRange(dataCentre string, layers int) fleet.Range {
	gap := c.firstGap(dataCentre)
	if gap.Len() > 0 {
		leftmost := min(gap.From, c.layers-layers)
		rightmost := max(0, gap.To-layers)
		if gap.Len() >= layers ||
			c.gain(dataCentre, fleet.Range{From: leftmost, To: leftmost + layers}) >=
				c.gain(dataCentre, fleet.Range{From: rightmost, To: rightmost + layers}) {
			return fleet.Range{From: leftmost, To: leftmost + layers}
		}
		return fleet.Range{From: rightmost, To: rightmost + layers}
	}
	best, bestGain := fleet.Range{}, -1.0
	for from := 0; from+layers <= c.layers; from++ {
		r := fleet.Range{From: from, To: from + layers}
		if g := c.gain(dataCentre, r); g > bestGain*(1+1e-9) {
			best, bestGain = r, g
		}
	}
	return best
}

// firstGap returns the first range of layers that a data centre does not hold, or an empty one if it holds all.
func (c *layerCoverage) firstGap(dataCentre string) fleet.Range {
	inOwn := c.inDataCentre(dataCentre)
	for i, copies := range inOwn {
		if copies > 0 {
			continue
		}
		end := i
		for end < c.layers && inOwn[end] == 0 {
			end++
		}
		return fleet.Range{From: i, To: end}
	}
	return fleet.Range{}
}

// layerShares returns the share of memory for layers in each data centre. It is raised above the usual one where the
// cards could not hold the whole model otherwise.
func layerShares(e *rules.Engine, members []Member) map[string]float64 {
	memoryMB := make(map[string]float64)
	for _, m := range members {
		memoryMB[m.DataCentre] += m.Card.SizeMB
	}
	shares := make(map[string]float64, len(memoryMB))
	modelMB := float64(e.Layers) * e.LayerMB
	for dataCentre, total := range memoryMB {
		shares[dataCentre] = min(maxLayerShare, max(usualLayerShare, modelMB*requiredCopies/total))
	}
	return shares
}

// requiredCopies is how many copies of the model a data centre's cards are sized for. It exceeds 1 as cards hold whole
// layers only.
const requiredCopies = 1.1
