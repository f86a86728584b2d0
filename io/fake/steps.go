package fake

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbspread/core/chain"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
)

// Steps reaches stand-in layer engines without sockets, over links with a delay of their own.
type Steps struct {
	mu      sync.Mutex
	engines map[string]*LayerEngine
	links   map[string]time.Duration // one way
}

// NewSteps returns an adapter without engines.
func NewSteps() *Steps {
	return &Steps{engines: make(map[string]*LayerEngine), links: make(map[string]time.Duration)}
}

// Add makes an engine reachable over a link with a one-way delay.
func (s *Steps) Add(e *LayerEngine, link time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[e.Name()] = e
	s.links[e.Name()] = link
}

func (s *Steps) find(name string) (*LayerEngine, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[name], s.links[name]
}

// Step sends one step.
func (s *Steps) Step(ctx context.Context, u *route.Upstream, q *chain.Step) (*chain.StepResult, reply.Outcome) {
	e, link := s.find(u.Name())
	if sleep(ctx, link) != nil {
		return nil, reply.NewNotSent("canceled before it was sent")
	}
	if e == nil || e.state.has(Crash) {
		return nil, reply.NewNotSent("connection refused")
	}
	silent, cut := e.state.wires()
	if e.state.has(Cut) {
		return nil, hang(ctx)
	}
	answer, err := e.Step(ctx, stepOf(q))
	switch {
	case errors.Is(err, ErrNoState), errors.Is(err, ErrRefused):
		return nil, reply.NewRefused(409, err.Error(), 0)
	case err != nil:
		return nil, outcomeOf(err)
	}
	select {
	case <-silent:
		return nil, hang(ctx)
	case <-cut:
		return nil, hang(ctx)
	default:
	}
	if sleep(ctx, link) != nil {
		return nil, reply.NewUnknown(reply.Canceled, "canceled")
	}
	return resultOf(answer), reply.Done{}
}

func stepOf(q *chain.Step) StepRequest {
	r := StepRequest{
		Request: q.Request, Epoch: q.Epoch, Position: q.Position, From: q.Layers.From, To: q.Layers.To,
		Prompt: q.Prompt, Tokens: q.Tokens,
	}
	for _, a := range q.Inputs {
		r.Inputs = append(r.Inputs, string(a))
	}
	return r
}

func resultOf(a StepAnswer) *chain.StepResult {
	r := &chain.StepResult{
		Request: a.Request, Epoch: a.Epoch, Position: a.Position, Layers: chain.Range{From: a.From, To: a.To},
		Tokens: a.Tokens,
	}
	for _, o := range a.Outputs {
		r.Outputs = append(r.Outputs, chain.Activation(o))
	}
	return r
}

// Alive asks whether an engine answers.
func (s *Steps) Alive(ctx context.Context, u *route.Upstream) error {
	e, link := s.find(u.Name())
	if err := sleep(ctx, 2*link); err != nil {
		return err
	}
	if e == nil || e.state.has(Crash) {
		return errCrashed
	}
	if e.state.has(Cut) {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// CloseConnections does nothing: every step has a connection of its own here.
func (s *Steps) CloseConnections(*route.Upstream) {}
