package place

import (
	"rhubarbspread/core/rules"
)

// Summary says how well a model's layers are held.
type Summary struct {
	LeastCopies  int     // of any layer
	LeastRoom    float64 // tokens that all holders of a layer have room for, of the layer with least
	WholeCentres int     // data centres that hold all layers
}

// Summarize returns how well members hold a model's layers.
func Summarize(e *rules.Engine, members []Member) Summary {
	copies := make([]int, e.Layers)
	room := make([]float64, e.Layers)
	centres := make(map[string][]bool)
	for _, m := range members {
		if centres[m.DataCentre] == nil {
			centres[m.DataCentre] = make([]bool, e.Layers)
		}
		if m.Layers.Len() == 0 {
			continue
		}
		each := e.Room(m.Card, m.Layers.Len()) / float64(m.Layers.Len())
		for i := max(0, m.Layers.From); i < min(e.Layers, m.Layers.To); i++ {
			copies[i]++
			room[i] += each
			centres[m.DataCentre][i] = true
		}
	}
	s := Summary{LeastCopies: copies[0], LeastRoom: room[0]}
	for i := range e.Layers {
		s.LeastCopies = min(s.LeastCopies, copies[i])
		s.LeastRoom = min(s.LeastRoom, room[i])
	}
	for _, held := range centres {
		whole := true
		for _, h := range held {
			whole = whole && h
		}
		if whole {
			s.WholeCentres++
		}
	}
	return s
}
