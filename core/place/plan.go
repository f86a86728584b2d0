package place

import (
	"cmp"
	"slices"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
)

// Member is an upstream as the planner believes it to be, or to be soon.
type Member struct {
	ID         string
	DataCentre string
	Card       rules.Card
	Layers     fleet.Range // that it holds or loads
	Free       bool        // takes an order: neither busy nor about to leave
}

// Move gives an upstream a range of layers.
type Move struct {
	ID     string
	Layers fleet.Range
}

// Weights of a plan.
const (
	weightShare = 0.66 // of a card's memory for layers where coverage leaves the choice; the rest holds requests
	mostShare   = 0.9  // the same where a data centre could not hold the model otherwise
	centreGain  = 2.0  // a layer held in the own data centre against one held anywhere
	thinCopies  = 0.05 // copies of a layer under which its gain no longer grows
)

// cover is how often each layer is held, in copies weighted by what their holders can carry.
type cover struct {
	all    []float64
	centre map[string][]float64
	layers int
}

func newCover(layers int) *cover {
	return &cover{all: make([]float64, layers), centre: make(map[string][]float64), layers: layers}
}

func (c *cover) of(centre string) []float64 {
	s := c.centre[centre]
	if s == nil {
		s = make([]float64, c.layers)
		c.centre[centre] = s
	}
	return s
}

// add adds a weight to the layers of a range, or takes it off if it is negative.
func (c *cover) add(centre string, r fleet.Range, weight float64) {
	own := c.of(centre)
	for i := max(0, r.From); i < min(c.layers, r.To); i++ {
		c.all[i] += weight
		own[i] += weight
	}
}

// value returns what the cover is worth: little for layers that few hold, above all in a data centre.
func (c *cover) value() float64 {
	sum := 0.0
	for i, all := range c.all {
		sum += worth(all)
		for _, own := range c.centre {
			sum += centreGain * worth(own[i])
		}
	}
	return sum
}

// gain returns what one more holder of a range is worth: most where few others hold its layers.
func (c *cover) gain(centre string, r fleet.Range) float64 {
	own := c.of(centre)
	sum := 0.0
	for i := r.From; i < r.To; i++ {
		sum += centreGain*rarity(own[i]) + rarity(c.all[i])
	}
	return sum
}

// worth is the value of a layer's copies; rarity is its slope.
func worth(copies float64) float64 { return -1 / (max(0, copies) + thinCopies) }

func rarity(copies float64) float64 {
	d := copies + thinCopies
	return 1 / (d * d)
}

// width returns how many layers an upstream of a card should hold, in a data centre that needs a share of memory.
func width(e *rules.Engine, c rules.Card, share float64) int {
	return max(1, min(e.MostLayers(c), int(share*c.SizeMB/e.LayerMB)))
}

// Plan returns moves for empty upstreams, so that each data centre holds all layers by itself where it can, and
// then the thinnest layers are held once more.
func Plan(e *rules.Engine, members []Member) []Move {
	c := coverOf(e, members)
	shares := sharesOf(e, members)
	var empty []Member
	for _, m := range members {
		if m.Free && m.Layers.Len() == 0 && e.MostLayers(m.Card) > 0 {
			empty = append(empty, m)
		}
	}
	slices.SortFunc(empty, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Card.SizeMB, a.Card.SizeMB), cmp.Compare(a.ID, b.ID))
	})
	var moves []Move
	for _, m := range empty {
		r := c.best(m.DataCentre, width(e, m.Card, shares[m.DataCentre]))
		c.add(m.DataCentre, r, weigh(e, m.Card, r.Len()))
		moves = append(moves, Move{m.ID, r})
	}
	return moves
}

func coverOf(e *rules.Engine, members []Member) *cover {
	c := newCover(e.Layers)
	for _, m := range members {
		c.add(m.DataCentre, m.Layers, weigh(e, m.Card, m.Layers.Len()))
	}
	return c
}

// Load under which holders are compared.
const (
	usualWriters = 60
	usualRate    = 60_000 // prompt tokens a second of a holder that counts as one copy
	leastWeight  = 0.3    // of a slow holder, which still keeps a layer within reach
)

// weigh returns how many copies a holder counts for.
func weigh(e *rules.Engine, c rules.Card, layers int) float64 {
	if layers == 0 {
		return 0
	}
	rate := e.ReadRate(c, layers, usualWriters, e.Prompt+e.Answer/2)
	return min(1, max(leastWeight, rate/usualRate))
}

// best returns the range of a width for an upstream of a data centre: from one end of the first gap there, so that
// ranges leave no odd pieces between them, else the range that gains most, the first of equals.
func (c *cover) best(centre string, n int) fleet.Range {
	gap := c.gap(centre)
	if gap.Len() > 0 {
		left := min(gap.From, c.layers-n)
		right := max(0, gap.To-n)
		if gap.Len() >= n || c.gain(centre, fleet.Range{From: left, To: left + n}) >= c.gain(centre, fleet.Range{From: right, To: right + n}) {
			return fleet.Range{From: left, To: left + n}
		}
		return fleet.Range{From: right, To: right + n}
	}
	best, most := fleet.Range{}, -1.0
	for s := 0; s+n <= c.layers; s++ {
		r := fleet.Range{From: s, To: s + n}
		if g := c.gain(centre, r); g > most*(1+1e-9) {
			best, most = r, g
		}
	}
	return best
}

// gap returns the first layers that a data centre does not hold, empty if it holds all.
func (c *cover) gap(centre string) fleet.Range {
	own := c.of(centre)
	for i, copies := range own {
		if copies > 0 {
			continue
		}
		end := i
		for end < c.layers && own[end] == 0 {
			end++
		}
		return fleet.Range{From: i, To: end}
	}
	return fleet.Range{}
}

// sharesOf returns each data centre's share of memory for layers: more than usual where its cards could not
// hold the model otherwise.
func sharesOf(e *rules.Engine, members []Member) map[string]float64 {
	sizes := make(map[string]float64)
	for _, m := range members {
		sizes[m.DataCentre] += m.Card.SizeMB
	}
	shares := make(map[string]float64, len(sizes))
	model := float64(e.Layers) * e.LayerMB
	for centre, size := range sizes {
		shares[centre] = min(mostShare, max(weightShare, model*wholeCopy/size))
	}
	return shares
}

// wholeCopy is the copies of the model that a data centre's cards must take, with rounding to whole layers.
const wholeCopy = 1.1
