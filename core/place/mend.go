package place

import (
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
)

// Constants of mending.
const (
	mendGain  = 1.5 // value that a move must gain for each layer that it loads
	mostMends = 2   // moves of upstreams that hold layers already, under way at a time
	stretch   = 0.7 // of a card's memory that layers may take after a move
)

// Mend returns the move of an upstream that holds layers already that gains most for each layer to load, if any
// gains enough. Ranges that overlap the present one are loaded in part only.
func Mend(e *rules.Engine, members []Member) (Move, bool) {
	c := coverOf(e, members)
	var best Move
	most := 0.0
	shares := sharesOf(e, members)
	for _, m := range members {
		if !m.Free || m.Layers.Len() == 0 {
			continue
		}
		old := weigh(e, m.Card, m.Layers.Len())
		c.add(m.DataCentre, m.Layers, -old)
		gains := newGains(c, m.DataCentre)
		for _, r := range rangesFor(e, m, shares[m.DataCentre]) {
			load := r.Len() - overlap(r, m.Layers)
			if load == 0 {
				continue
			}
			gain := gains.of(r, weigh(e, m.Card, r.Len())) - gains.of(m.Layers, old)
			if gain /= float64(load); gain > max(most, mendGain) {
				best, most = Move{m.ID, r}, gain
			}
		}
		c.add(m.DataCentre, m.Layers, old)
	}
	return best, most > 0
}

// gains are what one more holder adds to the value of a cover, by its weight, as sums over the layers before each.
type gains struct {
	cover  *cover
	centre string
	sums   map[float64][]float64
}

func newGains(c *cover, centre string) *gains {
	return &gains{cover: c, centre: centre, sums: make(map[float64][]float64)}
}

// of returns what a holder of a weight adds with a range.
func (g *gains) of(r fleet.Range, weight float64) float64 {
	sums := g.sums[weight]
	if sums == nil {
		own := g.cover.of(g.centre)
		sums = make([]float64, g.cover.layers+1)
		for i := range g.cover.layers {
			sums[i+1] = sums[i] + worth(g.cover.all[i]+weight) - worth(g.cover.all[i]) +
				centreGain*(worth(own[i]+weight)-worth(own[i]))
		}
		g.sums[weight] = sums
	}
	return sums[r.To] - sums[r.From]
}

// rangesFor returns the ranges that an upstream may hold instead: of its usual width anywhere, and its present one
// with more layers on either side.
func rangesFor(e *rules.Engine, m Member, share float64) []fleet.Range {
	n := width(e, m.Card, share)
	var list []fleet.Range
	for s := 0; s+n <= e.Layers; s++ {
		list = append(list, fleet.Range{From: s, To: s + n})
	}
	for more := 1; m.Layers.Len()+more <= width(e, m.Card, stretch); more++ {
		if from := m.Layers.From - more; from >= 0 {
			list = append(list, fleet.Range{From: from, To: m.Layers.To})
		}
		if to := m.Layers.To + more; to <= e.Layers {
			list = append(list, fleet.Range{From: m.Layers.From, To: to})
		}
	}
	return list
}

func overlap(a, b fleet.Range) int {
	return max(0, min(a.To, b.To)-max(a.From, b.From))
}
