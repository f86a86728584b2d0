package fake

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbspread/core/relay"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
)

// Memory reaches stand-in engines without sockets, over links with a delay of their own.
type Memory struct {
	mu      sync.Mutex
	engines map[string]*Engine
	links   map[string]time.Duration // one way
}

// NewMemory returns an adapter without engines.
func NewMemory() *Memory {
	return &Memory{engines: make(map[string]*Engine), links: make(map[string]time.Duration)}
}

// Add makes an engine reachable over a link with a one-way delay.
func (m *Memory) Add(e *Engine, link time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engines[e.Name()] = e
	m.links[e.Name()] = link
}

// Link returns the one-way delay to an engine.
func (m *Memory) Link(name string) time.Duration {
	_, link := m.find(name)
	return link
}

func (m *Memory) find(name string) (*Engine, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.engines[name], m.links[name]
}

// wired is a message with its time of arrival.
type wired struct {
	message Message
	at      time.Time
}

// Generate runs an attempt at the engine of the upstream's name.
func (m *Memory) Generate(ctx context.Context, a *relay.Attempt, emit func(relay.Token) error) reply.Outcome {
	e, link := m.find(a.Upstream().Name())
	if err := sleep(ctx, link); err != nil {
		return reply.NewNotSent("canceled before it was sent")
	}
	if e == nil || e.state.has(Crash) {
		return reply.NewNotSent("connection refused")
	}
	silent, cut := e.state.wires()
	if e.state.has(Cut) {
		return hang(ctx)
	}
	if e.arrive() {
		return reply.NewUnknown(reply.Failed, "500")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wire := make(chan wired, 1024)
	ended := make(chan error, 1)
	go func() {
		err := e.Generate(ctx, requestOf(a), func(msg Message) error {
			select {
			case wire <- wired{message: msg, at: time.Now().Add(link)}:
				return nil
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		})
		close(wire)
		ended <- err
	}()
	if o := deliver(ctx, wire, silent, cut, emit); o != nil {
		return o
	}
	return outcomeOf(<-ended)
}

// deliver hands over messages as they arrive; it returns nil when the engine has ended the stream.
func deliver(ctx context.Context, wire <-chan wired, silent, cut <-chan struct{}, emit func(relay.Token) error) reply.Outcome {
	for {
		select {
		case w, ok := <-wire:
			if !ok {
				return nil
			}
			if err := sleep(ctx, time.Until(w.at)); err != nil && ctx.Err() != nil {
				return reply.NewUnknown(reply.Canceled, "canceled")
			}
			select {
			case <-silent:
				return hang(ctx)
			case <-cut:
				return hang(ctx)
			default:
			}
			t := w.message
			if emit(relay.Token{Attempt: t.Attempt, Position: t.Position, Text: t.Text, Last: t.Last, Reason: t.Reason}) != nil {
				return reply.NewUnknown(reply.Canceled, "canceled")
			}
		case <-silent:
			return hang(ctx)
		case <-cut:
			return hang(ctx)
		case <-ctx.Done():
			return reply.NewUnknown(reply.Canceled, "canceled")
		}
	}
}

func hang(ctx context.Context) reply.Outcome {
	<-ctx.Done()
	return reply.NewUnknown(reply.Silent, "the connection carries nothing")
}

func outcomeOf(err error) reply.Outcome {
	switch {
	case err == nil:
		return reply.Done{}
	case errors.Is(err, ErrRefused):
		return reply.NewRefused(503, err.Error(), 0)
	case errors.Is(err, errCrashed), errors.Is(err, errCut):
		return reply.NewUnknown(reply.Broken, err.Error())
	}
	return reply.NewUnknown(reply.Canceled, err.Error())
}

func requestOf(a *relay.Attempt) GenerateRequest {
	return GenerateRequest{
		Attempt: a.ID(), Request: a.Request(), Model: a.Model(), Prompt: a.Prompt(),
		Accepted: a.Accepted(), MaxTokens: a.MaxTokens(), Priority: a.Priority(),
	}
}

// Probe asks an engine how far an attempt is.
func (m *Memory) Probe(ctx context.Context, u *route.Upstream, attempt string) (relay.Progress, error) {
	e, link := m.find(u.Name())
	if err := sleep(ctx, 2*link); err != nil {
		return relay.Progress{}, err
	}
	if e == nil || e.state.has(Crash) {
		return relay.Progress{}, errCrashed
	}
	if e.state.has(Cut) {
		<-ctx.Done()
		return relay.Progress{}, ctx.Err()
	}
	p := e.Attempt(attempt)
	return relay.Progress{Known: p.Known, Queued: p.Queued, Position: p.Position}, nil
}

// CloseConnections does nothing: every attempt has a connection of its own here.
func (m *Memory) CloseConnections(*route.Upstream) {}
