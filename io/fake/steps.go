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

// InMemoryRunner is a chain.Runner that calls fake layer engines in memory, without sockets. Each engine has a link
// with its own delay.
type InMemoryRunner struct {
	mu         sync.Mutex
	engines    map[string]*LayerEngine
	linkDelays map[string]time.Duration // one way, by engine name
}

// NewInMemoryRunner returns a runner without engines.
func NewInMemoryRunner() *InMemoryRunner {
	return &InMemoryRunner{engines: make(map[string]*LayerEngine), linkDelays: make(map[string]time.Duration)}
}

// Add makes an engine reachable over a link with a one-way delay.
func (r *InMemoryRunner) Add(e *LayerEngine, linkDelay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engines[e.Name()] = e
	r.linkDelays[e.Name()] = linkDelay
}

func (r *InMemoryRunner) find(name string) (*LayerEngine, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engines[name], r.linkDelays[name]
}

// Step runs one step on the engine that has the upstream's name.
func (r *InMemoryRunner) Step(
	ctx context.Context, u *route.Upstream, q *chain.Step,
) (*chain.StepResult, reply.Outcome) {
	e, linkDelay := r.find(u.Name())
	if sleep(ctx, linkDelay) != nil {
		return nil, reply.NewNotSent("canceled before it was sent")
	}
	if e == nil || e.state.has(Crash) {
		return nil, reply.NewNotSent("connection refused")
	}
	silent, cut := e.state.connFaults()
	if e.state.has(Cut) {
		return nil, hangUntilCanceled(ctx)
	}
	if e.state.awaitResume(ctx) != nil {
		return nil, reply.NewUnknown(reply.Canceled, "canceled")
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
		return nil, hangUntilCanceled(ctx)
	case <-cut:
		return nil, hangUntilCanceled(ctx)
	default:
	}
	if sleep(ctx, linkDelay) != nil {
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

// Alive returns an error if the engine does not answer.
func (r *InMemoryRunner) Alive(ctx context.Context, u *route.Upstream) error {
	e, linkDelay := r.find(u.Name())
	if err := sleep(ctx, 2*linkDelay); err != nil {
		return err
	}
	if e == nil || e.state.has(Crash) {
		return errCrashed
	}
	if e.state.has(Cut) {
		<-ctx.Done()
		return ctx.Err()
	}
	return e.state.awaitResume(ctx)
}

// CloseConnections does nothing, because every step has a connection of its own.
func (r *InMemoryRunner) CloseConnections(*route.Upstream) {}
