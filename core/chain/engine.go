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

// Constants of a chain's life.
const (
	defaultStepTime = time.Second // without an answer, before the stage is probed
	probeTimeout    = 300 * time.Millisecond
	planPause       = 50 * time.Millisecond // before another look for a plan
	planTime        = 5 * time.Second       // without a plan, before the attempt is given up
	maxEpochs       = 32
	defaultRation   = 256 << 20 // bytes of kept activations on a node
)

// Counters count what chains did; all are totals.
type Counters struct {
	Steps    atomic.Int64
	Epochs   atomic.Int64 // begun after a first
	Replays  atomic.Int64 // stages rebuilt from kept activations
	Prefills atomic.Int64 // chains rebuilt from the prompt
	Crossed  atomic.Int64 // answers dropped that did not belong to their step
}

// Engine runs attempts on the stages of split models; it is a relay.Engine for whole chains.
type Engine struct {
	runner   Runner
	crashes  *crash.Registry
	spread   func(crash.Mark)
	ring     *event.Ring
	ration   *Ration
	stepTime atomic.Int64
	counters Counters
	mu       sync.RWMutex
	models   map[string]*Stages
}

// EngineOption sets a part of an Engine.
type EngineOption func(*Engine)

// WithRation bounds the activations kept for rebuilding.
func WithRation(r *Ration) EngineOption { return func(e *Engine) { e.ration = r } }

// WithCrashes sets where the deaths of stages are noted and what tells the other nodes.
func WithCrashes(r *crash.Registry, spread func(crash.Mark)) EngineOption {
	return func(e *Engine) { e.crashes, e.spread = r, spread }
}

// WithRing sets where events are noted.
func WithRing(r *event.Ring) EngineOption { return func(e *Engine) { e.ring = r } }

// NewEngine returns an engine without models.
func NewEngine(runner Runner, opts ...EngineOption) *Engine {
	e := &Engine{
		runner: runner,
		spread: func(crash.Mark) {},
		ration: NewRation(defaultRation),
		models: make(map[string]*Stages),
	}
	e.SetStepTime(defaultStepTime)
	for _, o := range opts {
		o(e)
	}
	return e
}

// SetStepTime sets how long a step may take before its stage is probed.
func (e *Engine) SetStepTime(d time.Duration) { e.stepTime.Store(int64(d)) }

// Counters returns the totals.
func (e *Engine) Counters() *Counters { return &e.counters }

// SetModels replaces the split models.
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

// Probe answers for a chain, which watches its own stages; it is never taken to be stuck.
func (e *Engine) Probe(context.Context, *route.Upstream, string) (relay.Progress, error) {
	return relay.Progress{Known: true, Watched: true}, nil
}

// Drop does nothing: a chain drops the connections of its stages itself.
func (e *Engine) Drop(*route.Upstream) {}

// Generate takes an attempt through a chain to its last token.
func (e *Engine) Generate(ctx context.Context, a *relay.Attempt, emit func(relay.Token) error) reply.Outcome {
	stages := e.stages(a.Model())
	if stages == nil {
		return reply.NewNotSent("no split model " + a.Model())
	}
	r := &ride{
		engine:      e,
		stages:      stages,
		attempt:     a,
		tokens:      append([]string(nil), a.Accepted()...),
		fingerprint: crash.NewFingerprint(a.Model(), []byte(a.Prompt())),
		memory:      newMemory(e.ration),
		avoid:       make(map[string]bool),
		depth:       make(map[Stage]int),
		doubts:      make(map[Stage]int),
	}
	defer r.memory.drop()
	defer func() { stages.Release(r.plan) }()
	for len(r.tokens) < a.MaxTokens() {
		token, o := r.next(ctx)
		if o != nil {
			return o
		}
		position := len(r.tokens)
		r.tokens = append(r.tokens, token)
		if err := emit(relay.Token{Attempt: a.ID(), Position: position, Text: token}); err != nil {
			return reply.NewUnknown(reply.Canceled, err.Error())
		}
	}
	last := relay.Token{Attempt: a.ID(), Position: len(r.tokens), Last: true, Reason: "length"}
	if err := emit(last); err != nil {
		return reply.NewUnknown(reply.Canceled, err.Error())
	}
	return reply.Done{}
}

func (e *Engine) note(r *ride, kind, upstream, text string) {
	if e.ring == nil {
		return
	}
	e.ring.Add(event.Event{
		Kind: kind, Request: r.attempt.Request(), Attempt: r.attempt.ID(), Upstream: upstream,
		Note: fmt.Sprintf("epoch=%d position=%d %s", r.epoch, len(r.tokens), text),
	})
}
