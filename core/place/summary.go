package place

import (
	"rhubarbspread/core/rules"
)

// Summary describes how well upstreams cover a model's layers.
type Summary struct {
	MinCopies           int     // fewest copies of any layer
	MinKVCapacity       float64 // tokens that fit into the KV caches of a layer's holders, for the layer with the least
	CompleteDataCentres int     // data centres that hold all layers
}

// Summarize returns how well members cover a model's layers.
func Summarize(e *rules.Engine, members []Member) Summary {
	copies := make([]int, e.Layers)
	capacity := make([]float64, e.Layers)
	layersHeld := make(map[string][]bool)
	for _, m := range members {
		if layersHeld[m.DataCentre] == nil {
			layersHeld[m.DataCentre] = make([]bool, e.Layers)
		}
		if m.Layers.Len() == 0 {
			continue
		}
		capacityPerLayer := e.KVCapacity(m.Card, m.Layers.Len()) / float64(m.Layers.Len())
		for i := max(0, m.Layers.From); i < min(e.Layers, m.Layers.To); i++ {
			copies[i]++
			capacity[i] += capacityPerLayer
			layersHeld[m.DataCentre][i] = true
		}
	}
	s := Summary{MinCopies: copies[0], MinKVCapacity: capacity[0]}
	for i := range e.Layers {
		s.MinCopies = min(s.MinCopies, copies[i])
		s.MinKVCapacity = min(s.MinKVCapacity, capacity[i])
	}
	for _, layers := range layersHeld {
		complete := true
		for _, h := range layers {
			complete = complete && h
		}
		if complete {
			s.CompleteDataCentres++
		}
	}
	return s
}
