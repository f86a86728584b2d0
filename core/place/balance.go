package place

import (
	"math"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
)

// WithBalancedRanges: where cards differ much in memory, ranges of one share of the memory meet at odd layers: some layers get half of the room that
// others have, and all requests of a data centre wait for that room. Balanced ranges differ in length instead.
const (
	// boundaryCount is how many parts of the model ranges are made of. Each boundary costs every search for a path.
	boundaryCount = 20
	// Shares of a card's memory that layers may occupy. Shorter ranges leave more room for requests, but make more stages.
	minBalancedShare = 0.5
	maxBalancedShare = 0.8
	balanceRounds    = 20  // after which the search for better ranges ends; it mostly finds none after five
	speedWeight      = 0.5 // of the speed of a layer's holders relative to their room
	leastPart        = 0.01
)

// layerRoom is what the holders of one layer in a data centre offer together.
type layerRoom struct {
	tokens float64 // that fit into their KV caches
	speed  float64 // of prefill, relative to a card with factor 1 that holds all layers
}

// balancer improves the ranges of one data centre.
type balancer struct {
	engine *rules.Engine
	layers []layerRoom
	usual  layerRoom // mean over the layers at the start
	bounds []int     // layers at which ranges may begin and end
}

// balance replaces the ranges of moves by ones that raise the room of the narrowest layers of each data centre. Upstreams that hold
// layers keep theirs. A data centre that would not hold the whole model keeps its moves.
func balance(e *rules.Engine, members []Member, moves []Move) {
	moved := make(map[string]int, len(moves)) // index of the move by the upstream's ID
	for i, m := range moves {
		moved[m.ID] = i
	}
	byDataCentre := make(map[string][]Member)
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	for _, list := range byDataCentre {
		b := newBalancer(e)
		var free []Member
		for _, m := range list {
			if i, ok := moved[m.ID]; ok {
				m.Layers = moves[i].Layers
				free = append(free, m)
			}
			b.add(m, 1)
		}
		if !b.isComplete() {
			continue
		}
		b.run(free)
		for _, m := range free {
			moves[moved[m.ID]].Layers = m.Layers
		}
	}
}

func newBalancer(e *rules.Engine) *balancer {
	b := &balancer{engine: e, layers: make([]layerRoom, e.Layers)}
	part := max(1, e.Layers/boundaryCount)
	for at := 0; at < e.Layers; at += part {
		b.bounds = append(b.bounds, at)
	}
	b.bounds = append(b.bounds, e.Layers)
	return b
}

// offer returns what an upstream offers to each layer of a range of some length.
func (b *balancer) offer(c rules.Card, layers int) layerRoom {
	if layers == 0 || c.PrefillFactor <= 0 {
		return layerRoom{}
	}
	return layerRoom{
		tokens: b.engine.KVCapacity(c, layers) / float64(layers),
		speed:  float64(b.engine.Layers) / float64(layers) / c.PrefillFactor,
	}
}

// add adds an upstream's offer to its layers if sign is 1, and takes it away if sign is -1.
func (b *balancer) add(m Member, sign float64) {
	o := b.offer(m.Card, m.Layers.Len())
	for i := max(0, m.Layers.From); i < min(len(b.layers), m.Layers.To); i++ {
		b.layers[i].tokens += sign * o.tokens
		b.layers[i].speed += sign * o.speed
	}
}

// isComplete reports whether all layers have a holder, and sets the usual room.
func (b *balancer) isComplete() bool {
	complete := true
	for _, l := range b.layers {
		complete = complete && l.tokens > 0
		b.usual.tokens += l.tokens / float64(len(b.layers))
		b.usual.speed += l.speed / float64(len(b.layers))
	}
	return complete && b.usual.speed > 0
}

// value returns the value of a layer's room. It falls steeply below the usual room, so that the narrowest layers decide.
func (b *balancer) value(l layerRoom) float64 {
	return -square(1/(leastPart+l.tokens/b.usual.tokens)) - speedWeight*square(1/(leastPart+l.speed/b.usual.speed))
}

func square(x float64) float64 { return x * x }

// run gives each upstream in turn the best range beside those of the others, until none changes.
func (b *balancer) run(free []Member) {
	for range balanceRounds {
		changed := false
		for i := range free {
			m := &free[i]
			b.add(*m, -1)
			if r := b.best(*m); r != m.Layers {
				m.Layers, changed = r, true
			}
			b.add(*m, 1)
		}
		if !changed {
			return
		}
	}
}

// best returns the range with the highest gain for an upstream, or the one that it has if none fits its memory.
func (b *balancer) best(m Member) fleet.Range {
	best, bestGain := m.Layers, math.Inf(-1)
	shortest := int(minBalancedShare * m.Card.SizeMB / b.engine.LayerMB)
	longest := min(b.engine.MaxLayers(m.Card), int(maxBalancedShare*m.Card.SizeMB/b.engine.LayerMB))
	gains := make(map[int][]float64) // prefix sums by the length of the range
	for i, from := range b.bounds {
		for _, to := range b.bounds[i+1:] {
			layers := to - from
			if layers > longest {
				break
			}
			if layers < shortest {
				continue
			}
			if gains[layers] == nil {
				gains[layers] = b.gains(b.offer(m.Card, layers))
			}
			if gain := gains[layers][to] - gains[layers][from]; gain > bestGain*(1+1e-9) || math.IsInf(bestGain, -1) {
				best, bestGain = fleet.Range{From: from, To: to}, gain
			}
		}
	}
	return best
}

// gains returns, for each layer, the sum over the layers before it of the value that an offer adds.
func (b *balancer) gains(o layerRoom) []float64 {
	sums := make([]float64, len(b.layers)+1)
	for i, l := range b.layers {
		sums[i+1] = sums[i] + b.value(layerRoom{l.tokens + o.tokens, l.speed + o.speed}) - b.value(l)
	}
	return sums
}
