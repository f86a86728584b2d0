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
	before := c.value()
	var best Move
	most := 0.0
	shares := sharesOf(e, members)
	for _, m := range members {
		if !m.Free || m.Layers.Len() == 0 {
			continue
		}
		old := weigh(e, m.Card, m.Layers.Len())
		c.add(m.DataCentre, m.Layers, -old)
		for _, r := range rangesFor(e, m, shares[m.DataCentre]) {
			load := r.Len() - overlap(r, m.Layers)
			if load == 0 {
				continue
			}
			w := weigh(e, m.Card, r.Len())
			c.add(m.DataCentre, r, w)
			if gain := (c.value() - before) / float64(load); gain > max(most, mendGain) {
				best, most = Move{m.ID, r}, gain
			}
			c.add(m.DataCentre, r, -w)
		}
		c.add(m.DataCentre, m.Layers, old)
	}
	return best, most > 0
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
