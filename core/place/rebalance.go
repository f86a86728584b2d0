package place

import (
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
)

// Parameters of rebalancing.
const (
	minGainPerLayer         = 1.5 // least gain of a move for each layer that it loads
	maxRebalancing          = 2   // concurrent moves of upstreams that already hold layers
	maxLayerShareRebalanced = 0.7 // share of a card's memory that layers may occupy after a range is extended
)

// Rebalance returns the best move of an upstream that already holds layers, or false if no move gains enough. Gains are
// compared per layer to load; of a range that overlaps the current one only the rest is loaded.
func Rebalance(e *rules.Engine, members []Member) (Move, bool) {
	coverage := coverageOf(e, members)
	var best Move
	bestGain := 0.0
	shares := layerShares(e, members)
	for _, m := range members {
		if !m.Available || m.Layers.Len() == 0 {
			continue
		}
		oldWeight := copyWeight(e, m.Card, m.Layers.Len())
		coverage.add(m.DataCentre, m.Layers, -oldWeight)
		gains := newCoverageGains(coverage, m.DataCentre)
		for _, r := range candidateRanges(e, m, shares[m.DataCentre]) {
			layersToLoad := r.Len() - overlap(r, m.Layers)
			if layersToLoad == 0 {
				continue
			}
			gain := gains.sum(r, copyWeight(e, m.Card, r.Len())) - gains.sum(m.Layers, oldWeight)
			if gain /= float64(layersToLoad); gain > max(bestGain, minGainPerLayer) {
				best, bestGain = Move{m.ID, r}, gain
			}
		}
		coverage.add(m.DataCentre, m.Layers, oldWeight)
	}
	return best, bestGain > 0
}

// coverageGains computes what one more holder adds to the value of a coverage. For each weight of a holder it keeps the
// prefix sums of the gain over the layers.
type coverageGains struct {
	coverage   *layerCoverage
	dataCentre string
	prefixSums map[float64][]float64 // by weight
}

func newCoverageGains(c *layerCoverage, dataCentre string) *coverageGains {
	return &coverageGains{coverage: c, dataCentre: dataCentre, prefixSums: make(map[float64][]float64)}
}

// sum returns the gain of a range at a holder of a weight.
func (g *coverageGains) sum(r fleet.Range, weight float64) float64 {
	sums := g.prefixSums[weight]
	if sums == nil {
		inOwn := g.coverage.inDataCentre(g.dataCentre)
		sums = make([]float64, g.coverage.layers+1)
		for i := range g.coverage.layers {
			sums[i+1] = sums[i] + coverageValue(g.coverage.total[i]+weight) - coverageValue(g.coverage.total[i]) +
				dataCentreGain*(coverageValue(inOwn[i]+weight)-coverageValue(inOwn[i]))
		}
		g.prefixSums[weight] = sums
	}
	return sums[r.To] - sums[r.From]
}

// candidateRanges returns the ranges that an upstream may hold instead: any of its usual length, and the current one
// extended on either side.
func candidateRanges(e *rules.Engine, m Member, share float64) []fleet.Range {
	layers := layersPerCard(e, m.Card, share)
	var list []fleet.Range
	for from := 0; from+layers <= e.Layers; from++ {
		list = append(list, fleet.Range{From: from, To: from + layers})
	}
	for extra := 1; m.Layers.Len()+extra <= layersPerCard(e, m.Card, maxLayerShareRebalanced); extra++ {
		if from := m.Layers.From - extra; from >= 0 {
			list = append(list, fleet.Range{From: from, To: m.Layers.To})
		}
		if to := m.Layers.To + extra; to <= e.Layers {
			list = append(list, fleet.Range{From: m.Layers.From, To: to})
		}
	}
	return list
}

func overlap(a, b fleet.Range) int {
	return max(0, min(a.To, b.To)-max(a.From, b.From))
}
