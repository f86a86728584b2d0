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

// InMemoryEngines is a relay.Engine that calls fake engines in memory, without sockets. Each engine has a link with its
// own delay.
type InMemoryEngines struct {
	mu         sync.Mutex
	engines    map[string]*Engine
	linkDelays map[string]time.Duration // one way, by engine name
}

// NewInMemoryEngines returns an adapter without engines.
func NewInMemoryEngines() *InMemoryEngines {
	return &InMemoryEngines{engines: make(map[string]*Engine), linkDelays: make(map[string]time.Duration)}
}

// Add makes an engine reachable over a link with a one-way delay.
func (m *InMemoryEngines) Add(e *Engine, linkDelay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engines[e.Name()] = e
	m.linkDelays[e.Name()] = linkDelay
}

// LinkDelay returns the one-way delay to an engine.
func (m *InMemoryEngines) LinkDelay(name string) time.Duration {
	_, linkDelay := m.find(name)
	return linkDelay
}

func (m *InMemoryEngines) find(name string) (*Engine, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.engines[name], m.linkDelays[name]
}

// delayedMessage is a message with the time when the caller receives it.
type delayedMessage struct {
	message   Message
	arrivesAt time.Time
}

// Generate runs an attempt on the engine that has the upstream's name.
func (m *InMemoryEngines) Generate(ctx context.Context, a *relay.Attempt, emit func(relay.Token) error) reply.Outcome {
	e, linkDelay := m.find(a.Upstream().Name())
	if err := sleep(ctx, linkDelay); err != nil {
		return reply.NewNotSent("canceled before it was sent")
	}
	if e == nil || e.state.has(Crash) {
		return reply.NewNotSent("connection refused")
	}
	silent, cut := e.state.connFaults()
	if e.state.has(Cut) {
		return hangUntilCanceled(ctx)
	}
	if e.state.awaitResume(ctx) != nil {
		return reply.NewUnknown(reply.Canceled, "canceled")
	}
	if e.recordArrival() {
		return reply.NewUnknown(reply.Failed, "500")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	inTransit := make(chan delayedMessage, 1024)
	ended := make(chan error, 1)
	go func() {
		err := e.Generate(ctx, requestOf(a), func(msg Message) error {
			select {
			case inTransit <- delayedMessage{message: msg, arrivesAt: time.Now().Add(linkDelay)}:
				return nil
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		})
		close(inTransit)
		ended <- err
	}()
	if o := e.state.deliver(ctx, inTransit, silent, cut, emit); o != nil {
		return o
	}
	return outcomeOf(<-ended)
}

// deliver passes messages to emit as they arrive; it returns nil when the engine has ended the stream.
func (s *faultState) deliver(
	ctx context.Context, inTransit <-chan delayedMessage, silent, cut <-chan struct{}, emit func(relay.Token) error,
) reply.Outcome {
	for {
		select {
		case d, ok := <-inTransit:
			if !ok {
				return nil
			}
			if err := errors.Join(sleep(ctx, time.Until(d.arrivesAt)), s.awaitResume(ctx)); err != nil && ctx.Err() != nil {
				return reply.NewUnknown(reply.Canceled, "canceled")
			}
			select {
			case <-silent:
				return hangUntilCanceled(ctx)
			case <-cut:
				return hangUntilCanceled(ctx)
			default:
			}
			m := d.message
			if emit(relay.Token{Attempt: m.Attempt, Position: m.Position, Text: m.Text, Last: m.Last, Reason: m.Reason}) != nil {
				return reply.NewUnknown(reply.Canceled, "canceled")
			}
		case <-silent:
			return hangUntilCanceled(ctx)
		case <-cut:
			return hangUntilCanceled(ctx)
		case <-ctx.Done():
			return reply.NewUnknown(reply.Canceled, "canceled")
		}
	}
}

// hangUntilCanceled returns the outcome of a connection that carries no data until the caller gives up.
func hangUntilCanceled(ctx context.Context) reply.Outcome {
	<-ctx.Done()
	return reply.NewUnknown(reply.Silent, "the connection carries nothing")
}

func outcomeOf(err error) reply.Outcome {
	switch {
	case err == nil:
		return reply.Done{}
	case errors.Is(err, ErrRefused):
		return reply.NewRefused(503, err.Error(), 0)
	case errors.Is(err, errCrashed), errors.Is(err, errAnswerLost):
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

// Probe asks an engine for an attempt's progress.
func (m *InMemoryEngines) Probe(ctx context.Context, u *route.Upstream, attempt string) (relay.Progress, error) {
	e, linkDelay := m.find(u.Name())
	if err := sleep(ctx, 2*linkDelay); err != nil {
		return relay.Progress{}, err
	}
	if e == nil || e.state.has(Crash) {
		return relay.Progress{}, errCrashed
	}
	if e.state.has(Cut) {
		<-ctx.Done()
		return relay.Progress{}, ctx.Err()
	}
	if err := e.state.awaitResume(ctx); err != nil {
		return relay.Progress{}, err
	}
	p := e.Attempt(attempt)
	return relay.Progress{Known: p.Known, Queued: p.Queued, Position: p.Position}, nil
}

// CloseConnections does nothing, because every attempt has a connection of its own.
func (m *InMemoryEngines) CloseConnections(*route.Upstream) {}
