package chain

import (
	"context"

	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
)

// Activation is the output of one layer for one position, in a format that only the engines interpret.
type Activation []byte

// Step asks one stage to run its layers for consecutive positions.
type Step struct {
	Request  string // ID
	Epoch    int
	Position int          // the first position; the upstream must hold the state of all earlier ones
	Layers   Range        // layers to run
	Prompt   string       // for layer 0; only position 0 needs it
	Tokens   []string     // for layer 0: the token before each position, "" for position 0
	Inputs   []Activation // for later layers, one per position
}

// Count returns the number of positions.
func (s *Step) Count() int {
	if s.Layers.From == 0 {
		return len(s.Tokens)
	}
	return len(s.Inputs)
}

// StepResult is a stage's answer to a step, with the fields that have to match the step's.
type StepResult struct {
	Request  string
	Epoch    int
	Position int
	Layers   Range
	Outputs  []Activation // one per position, unless the step runs the model's last layer
	Tokens   []string     // after the last layer: the token generated at each position
}

// Matches reports whether a result belongs to a step of a model with a number of layers and is complete.
func (r *StepResult) Matches(s *Step, modelLayers int) bool {
	if r.Request != s.Request || r.Epoch != s.Epoch || r.Position != s.Position || r.Layers != s.Layers {
		return false
	}
	if s.Layers.To == modelLayers {
		return len(r.Tokens) == s.Count()
	}
	return len(r.Outputs) == s.Count()
}

// Runner runs steps on upstreams.
type Runner interface {
	// Step runs one step; the result is valid only if the outcome is Done.
	Step(ctx context.Context, u *route.Upstream, s *Step) (*StepResult, reply.Outcome)
	// Alive checks over a new connection that an upstream answers.
	Alive(ctx context.Context, u *route.Upstream) error
	// CloseConnections closes the connections to an upstream.
	CloseConnections(u *route.Upstream)
}
