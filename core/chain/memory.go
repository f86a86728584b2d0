package chain

import "sync/atomic"

// Ration bounds the bytes of activations that a node keeps for rebuilding chains.
type Ration struct {
	limit int64
	used  atomic.Int64
}

// NewRation returns a ration of a number of bytes.
func NewRation(limit int64) *Ration { return &Ration{limit: limit} }

// Used returns the bytes kept.
func (r *Ration) Used() int64 { return r.used.Load() }

func (r *Ration) take(n int) bool {
	if r.used.Add(int64(n)) > r.limit {
		r.used.Add(-int64(n))
		return false
	}
	return true
}

// memory keeps the activations that entered each stage but the first, so that a stage that is lost can
// be rebuilt without running the others again.
type memory struct {
	ration  *Ration
	bytes   int
	inputs  map[int][]Activation // by the layer before which they were seen
	partial bool                 // the ration was used up
}

func newMemory(r *Ration) *memory {
	return &memory{ration: r, inputs: make(map[int][]Activation)}
}

// keep notes the input of a layer for a position; it reports nothing, for a lost input only costs time.
func (m *memory) keep(layer, position int, a Activation) {
	if m.partial || len(m.inputs[layer]) != position {
		return
	}
	if !m.ration.take(len(a)) {
		m.drop()
		m.partial = true
		return
	}
	m.bytes += len(a)
	m.inputs[layer] = append(m.inputs[layer], a)
}

// have returns the inputs of a layer for the positions before one, or nil where some are missing.
func (m *memory) have(layer, positions int) []Activation {
	if len(m.inputs[layer]) < positions {
		return nil
	}
	return m.inputs[layer][:positions]
}

// drop gives all bytes back to the ration.
func (m *memory) drop() {
	m.ration.used.Add(-int64(m.bytes))
	m.bytes = 0
	clear(m.inputs)
}
