package chain

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/event"
	"rhubarbspread/core/relay"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
)

// Limits of a chain.
const (
	defaultStepTimeout     = time.Second // for the answer to a step, before the stage is probed
	probeTimeout           = 300 * time.Millisecond
	planInterval           = 50 * time.Millisecond // between attempts to find a plan
	planTimeout            = 5 * time.Second       // for finding a plan, before the attempt fails
	maxEpochs              = 32
	defaultActivationBytes = 256 << 20 // bytes of stored activations per node
)

// Counters are the totals of an engine over all its chains.
type Counters struct {
	Steps      atomic.Int64
	Epochs     atomic.Int64 // not counting the first of each attempt
	Replays    atomic.Int64 // stages replaced while the rest of the chain was kept
	Prefills   atomic.Int64 // chains rebuilt from the prompt
	Mismatched atomic.Int64 // answers dropped because they didn't match their step
}

// Engine is the relay.Engine for split models: it runs each attempt on a chain of stages.
type Engine struct {
	runner           Runner
	crashes          *crash.Registry
	sendMark         func(crash.Mark)
	ring             *event.Ring
	activationBudget *ActivationBudget
	stepTimeout      atomic.Int64 // nanoseconds
	counters         Counters
	mu               sync.RWMutex
	models           map[string]*Stages // by name
}

// EngineOption configures an Engine.
type EngineOption func(*Engine)

// WithActivationBudget sets the budget for activations that are stored to rebuild lost stages.
func WithActivationBudget(b *ActivationBudget) EngineOption {
	return func(e *Engine) { e.activationBudget = b }
}

// WithCrashRegistry sets the registry that records the deaths of stages and the function that sends its marks to the
// other nodes.
func WithCrashRegistry(r *crash.Registry, sendMark func(crash.Mark)) EngineOption {
	return func(e *Engine) { e.crashes, e.sendMark = r, sendMark }
}

// WithRing sets the ring that records events.
func WithRing(r *event.Ring) EngineOption { return func(e *Engine) { e.ring = r } }

// NewEngine returns an engine that has no models yet.
func NewEngine(runner Runner, opts ...EngineOption) *Engine {
	e := &Engine{
		runner:           runner,
		sendMark:         func(crash.Mark) {},
		activationBudget: NewActivationBudget(defaultActivationBytes),
		models:           make(map[string]*Stages),
	}
	e.SetStepTimeout(defaultStepTimeout)
	for _, o := range opts {
		o(e)
	}
	return e
}

// SetStepTimeout sets how long a step may take before its stage is probed.
func (e *Engine) SetStepTimeout(d time.Duration) { e.stepTimeout.Store(int64(d)) }

// Counters returns the totals.
func (e *Engine) Counters() *Counters { return &e.counters }

// SetModels replaces the split models, which are keyed by name.
func (e *Engine) SetModels(models map[string]*Stages) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = maps.Clone(models)
}

func (e *Engine) stages(model string) *Stages {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.models[model]
}

// Probe reports a chain's attempt as known and self-monitoring, so that the relay never treats it as stuck: a chain
// probes its stages itself.
func (e *Engine) Probe(context.Context, *route.Upstream, string) (relay.Progress, error) {
	return relay.Progress{Known: true, SelfMonitored: true}, nil
}

// CloseConnections does nothing: a chain closes the connections to its stages itself.
func (e *Engine) CloseConnections(*route.Upstream) {}

// Generate runs an attempt through a chain until its last token.
func (e *Engine) Generate(ctx context.Context, a *relay.Attempt, emit func(relay.Token) error) reply.Outcome {
	stages := e.stages(a.Model())
	if stages == nil {
		return reply.NewNotSent("no split model " + a.Model())
	}
	c := &chainAttempt{
		engine:          e,
		stages:          stages,
		attempt:         a,
		tokens:          append([]string(nil), a.Accepted()...),
		suspects:        a.Suspects(),
		activations:     newActivationStore(e.activationBudget),
		excluded:        make(map[string]bool),
		heldPositions:   make(map[Stage]int),
		unansweredSteps: make(map[Stage]int),
	}
	defer c.activations.release()
	defer func() { stages.Release(c.plan) }()
	for len(c.tokens) < a.MaxTokens() {
		token, o := c.nextToken(ctx)
		if o != nil {
			return o
		}
		position := len(c.tokens)
		c.tokens = append(c.tokens, token)
		if err := emit(relay.Token{Attempt: a.ID(), Position: position, Text: token}); err != nil {
			return reply.NewUnknown(reply.Canceled, err.Error())
		}
	}
	last := relay.Token{Attempt: a.ID(), Position: len(c.tokens), Last: true, Reason: "length"}
	if err := emit(last); err != nil {
		return reply.NewUnknown(reply.Canceled, err.Error())
	}
	return reply.Done{}
}

func (e *Engine) note(c *chainAttempt, kind, upstream, text string) {
	if e.ring == nil {
		return
	}
	e.ring.Append(event.Event{
		Kind: kind, Request: c.attempt.Request(), Attempt: c.attempt.ID(), Upstream: upstream,
		Note: fmt.Sprintf("epoch=%d position=%d %s", c.epoch, len(c.tokens), text),
	})
}
