package chain

import (
	"context"

	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
)

// Activation is what passes between two layers for one position; its form is the engines' affair.
type Activation []byte

// Step asks one stage to run its layers for consecutive positions.
type Step struct {
	Request  string
	Epoch    int
	Position int      // the first position; the upstream must hold all before it
	Layers   Range    // layers to run
	Prompt   string   // for layer 0 and position 0
	Tokens   []string // for layer 0: the token before each position, "" for position 0
	Inputs   []Activation
}

// Count returns the number of positions.
func (s *Step) Count() int {
	if s.Layers.From == 0 {
		return len(s.Tokens)
	}
	return len(s.Inputs)
}

// StepResult is what a stage answers, with the identity that it has to match.
type StepResult struct {
	Request  string
	Epoch    int
	Position int
	Layers   Range
	Outputs  []Activation
	Tokens   []string // behind the last layer: the token of each position
}

// Answers reports whether a result belongs to a step and is whole.
func (r *StepResult) Answers(s *Step, lastLayer int) bool {
	if r.Request != s.Request || r.Epoch != s.Epoch || r.Position != s.Position || r.Layers != s.Layers {
		return false
	}
	if s.Layers.To == lastLayer {
		return len(r.Tokens) == s.Count()
	}
	return len(r.Outputs) == s.Count()
}

// Runner runs steps on upstreams.
type Runner interface {
	// Step sends one step; the result counts only with Done.
	Step(ctx context.Context, u *route.Upstream, s *Step) (*StepResult, reply.Outcome)
	// Alive asks over a new connection whether an upstream answers.
	Alive(ctx context.Context, u *route.Upstream) error
	// Drop closes the connections to an upstream.
	Drop(u *route.Upstream)
}
