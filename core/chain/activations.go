package chain

import "sync/atomic"

// ActivationBudget bounds the bytes of activations that a node stores to rebuild chains.
type ActivationBudget struct {
	limit int64
	used  atomic.Int64
}

// NewActivationBudget returns a budget of a number of bytes.
func NewActivationBudget(limit int64) *ActivationBudget { return &ActivationBudget{limit: limit} }

// Used returns the stored bytes.
func (b *ActivationBudget) Used() int64 { return b.used.Load() }

// reserve reports whether n more bytes fit the budget, and takes them if so.
func (b *ActivationBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(-int64(n))
		return false
	}
	return true
}

// activationStore stores the input activations of each stage of an attempt but the first, so that a lost stage can be
// rebuilt without running the others again.
type activationStore struct {
	budget     *ActivationBudget
	bytes      int
	inputs     map[int][]Activation // by the first layer of the stage, then position
	incomplete bool                 // the budget ran out, so that nothing is stored
}

func newActivationStore(b *ActivationBudget) *activationStore {
	return &activationStore{budget: b, inputs: make(map[int][]Activation)}
}

// add stores the input of a layer at a position. It returns no error: without the input, a rebuild only takes longer.
func (s *activationStore) add(layer, position int, a Activation) {
	if s.incomplete || len(s.inputs[layer]) != position {
		return
	}
	if !s.budget.reserve(len(a)) {
		s.release()
		s.incomplete = true
		return
	}
	s.bytes += len(a)
	s.inputs[layer] = append(s.inputs[layer], a)
}

// inputsBefore returns the inputs of a layer at the first positions, or nil if some are missing.
func (s *activationStore) inputsBefore(layer, positions int) []Activation {
	if len(s.inputs[layer]) < positions {
		return nil
	}
	return s.inputs[layer][:positions]
}

// release discards all activations and returns their bytes to the budget.
func (s *activationStore) release() {
	s.budget.used.Add(-int64(s.bytes))
	s.bytes = 0
	clear(s.inputs)
}
