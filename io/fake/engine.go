package fake

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"
)

// Constants of a stand-in engine.
const (
	batchDelay     = 5 * time.Millisecond // until a new request joins the running batch
	prefillSpeedup = 20                   // prompt tokens read in the time of one generated
	tokenBytes     = 4                    // bytes of a prompt counted as one token
	cacheBlock     = 256                  // bytes of a prompt's start that the prefix cache knows
	cacheEntries   = 64
)

// PoisonMark in a prompt crashes the engine that runs it.
const PoisonMark = "\x01poison"

// ErrRefused is an engine's word that it did not run a request.
var ErrRefused = errors.New("refused, not run")

// EngineConfig describes a stand-in engine.
type EngineConfig struct {
	Name      string
	Model     string
	Slots     int
	Rate      float64       // tokens/s of one slot
	ReportLag time.Duration // age of what Load tells
	Fencing   bool          // orders with an old number are refused
	First     int           // layers of a split model, [First, Last)
	Last      int
	Layers    int // of the whole model, zero for an engine that holds it all
}

// GenerateRequest asks a stand-in engine for an answer from a position on.
type GenerateRequest struct {
	Attempt   string   `json:"attempt"`
	Request   string   `json:"request"`
	Model     string   `json:"model"`
	Prompt    string   `json:"prompt"`
	Accepted  []string `json:"accepted"`
	MaxTokens int      `json:"max-tokens"`
	Priority  int      `json:"priority"`
}

// Message is one message of an answer.
type Message struct {
	Attempt  string `json:"attempt"`
	Position int    `json:"position"`
	Text     string `json:"text"`
	Last     bool   `json:"last"`
	Reason   string `json:"reason"`
}

// Load is what an engine or service tells of its load.
type Load struct {
	Slots   int      `json:"slots"`
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Rate    float64  `json:"tokens-per-second"`
	Leaving bool     `json:"leaving"`
	Models  []string `json:"models"`
}

// Progress is what an engine knows of an attempt.
type Progress struct {
	Known    bool `json:"known"`
	Queued   bool `json:"queued"`
	Position int  `json:"position"`
}

// Engine is a stand-in model engine that holds a whole model.
type Engine struct {
	config EngineConfig
	state  *state
	slots  *slots

	mu        sync.Mutex
	models    []string
	order     uint64
	attempts  map[string]*Progress
	latest    string // an attempt to mix up answers with
	snapshot  Load
	snapshotT time.Time
	cache     []string
	hits      int
	prompts   int
	tokens    int
	busy      time.Duration
	starts    int
	arrivals  int
}

// NewEngine returns a running engine.
func NewEngine(c EngineConfig) *Engine {
	return &Engine{
		config:   c,
		state:    newState(),
		slots:    newSlots(c.Slots),
		models:   []string{c.Model},
		attempts: make(map[string]*Progress),
	}
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.config.Name }

// Set brings a fault about and reports whether the engine knows it.
func (e *Engine) Set(kind string) bool { return e.state.set(kind) }

// Faults returns the faults in force.
func (e *Engine) Faults() []string { return e.state.inForce() }

// SetRate changes the tokens a second of one slot, for benchmarks; call it before any request.
func (e *Engine) SetRate(rate float64) { e.config.Rate = rate }

// Capacity returns the tokens a second of all slots.
func (e *Engine) Capacity() float64 { return float64(e.config.Slots) * e.config.Rate }

// Arrivals returns how many requests reached the engine, those that it refused or failed included.
func (e *Engine) Arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

// arrive counts a request, and says whether the engine fails it.
func (e *Engine) arrive() (failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	return e.state.has(Fail)
}

// Generate runs a request and hands each message to emit.
func (e *Engine) Generate(ctx context.Context, r GenerateRequest, emit func(Message) error) error {
	if err := e.admit(r); err != nil {
		return err
	}
	ctx, cancel := e.state.lifetime(ctx)
	defer cancel(nil)
	p := e.track(r)
	defer e.untrack(r.Attempt)
	if err := e.slots.take(ctx, r.Priority); err != nil {
		return err
	}
	defer e.slots.give()
	e.setProgress(p, len(r.Accepted), false)
	start := time.Now()
	defer func() { e.account(time.Since(start)) }()
	if err := sleep(ctx, e.state.stretch(batchDelay+e.prefill(r))); err != nil {
		return err
	}
	if strings.Contains(r.Prompt, PoisonMark) {
		e.Set(Crash)
		return errCrashed
	}
	return e.decode(ctx, r, p, emit)
}

func (e *Engine) admit(r GenerateRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.has(Leave) || !slices.Contains(e.models, r.Model) {
		return ErrRefused
	}
	e.starts++
	return nil
}

func (e *Engine) decode(ctx context.Context, r GenerateRequest, p *Progress, emit func(Message) error) error {
	// Due times keep a constant rate however late each timer fires.
	due := time.Now()
	for i := len(r.Accepted); i < r.MaxTokens; i++ {
		due = due.Add(e.state.stretch(time.Duration(float64(time.Second) / e.config.Rate)))
		if err := sleep(ctx, time.Until(due)); err != nil {
			return err
		}
		e.setProgress(p, i+1, false)
		e.mixUp(r, i, emit)
		if err := emit(Message{Attempt: r.Attempt, Position: i, Text: Token(r.Prompt, i)}); err != nil {
			return err
		}
		e.countToken()
	}
	if e.state.has(LoseAnswer) {
		return errCut
	}
	return emit(Message{Attempt: r.Attempt, Position: r.MaxTokens, Last: true, Reason: "length"})
}

// mixUp sends what no caller may get: a token of another attempt, and one of a wrong position.
func (e *Engine) mixUp(r GenerateRequest, i int, emit func(Message) error) {
	if !e.state.has(CrossAnswers) {
		return
	}
	e.mu.Lock()
	other := e.latest
	e.mu.Unlock()
	if other != r.Attempt {
		_ = emit(Message{Attempt: other, Position: i, Text: "crossed!"})
	}
	_ = emit(Message{Attempt: r.Attempt, Position: i + 1, Text: "tooearly"})
	if i > 0 {
		_ = emit(Message{Attempt: r.Attempt, Position: i - 1, Text: "too-late"})
	}
}

func (e *Engine) track(r GenerateRequest) *Progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &Progress{Known: true, Queued: true, Position: len(r.Accepted)}
	e.attempts[r.Attempt] = p
	e.latest = r.Attempt
	return p
}

func (e *Engine) untrack(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.attempts, attempt)
}

func (e *Engine) setProgress(p *Progress, position int, queued bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.Position = position
	p.Queued = queued
}

// Attempt returns how far an attempt is.
func (e *Engine) Attempt(id string) Progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.attempts[id]; p != nil {
		return *p
	}
	return Progress{}
}

// prefill returns the time to read the prompt and the accepted tokens, less what the cache holds.
func (e *Engine) prefill(r GenerateRequest) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := float64(len(r.Prompt))/tokenBytes + float64(len(r.Accepted))
	if len(r.Prompt) >= cacheBlock {
		e.prompts++
		key := r.Prompt[:cacheBlock]
		if i := slices.Index(e.cache, key); i >= 0 {
			e.hits++
			tokens = float64(len(r.Accepted))
			e.cache = slices.Delete(e.cache, i, i+1)
		}
		e.cache = append(e.cache, key)
		if len(e.cache) > cacheEntries {
			e.cache = e.cache[1:]
		}
	}
	return time.Duration(tokens / prefillSpeedup / e.config.Rate * float64(time.Second))
}

func (e *Engine) countToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens++
}

func (e *Engine) account(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy += d
}

// EngineStats counts what an engine did.
type EngineStats struct {
	Tokens  int
	Starts  int           // requests taken, whatever became of them
	Busy    time.Duration // summed over slots
	Prompts int           // prompts long enough for the cache
	Hits    int           // of these, found in it
}

// Stats returns the counts so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineStats{Tokens: e.tokens, Starts: e.starts, Busy: e.busy, Prompts: e.prompts, Hits: e.hits}
}

// Load returns the engine's load as it was some time ago; that it is leaving it tells at once.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, queued := e.slots.load()
	current := Load{Slots: e.config.Slots, Running: running, Queued: queued, Rate: e.config.Rate, Models: e.models}
	out := e.snapshot
	if e.snapshotT.IsZero() {
		out = current
		out.Running, out.Queued = 0, 0
	}
	if e.snapshotT.IsZero() || time.Since(e.snapshotT) >= e.config.ReportLag {
		e.snapshot = current
		e.snapshotT = time.Now()
	}
	out.Leaving = e.state.has(Leave)
	out.Models = slices.Clone(e.models)
	return out
}

// Running returns the requests in slots at this moment.
func (e *Engine) Running() int {
	running, _ := e.slots.load()
	return running
}

// Order makes the engine hold just these models; an engine with fencing refuses an old number.
func (e *Engine) Order(number uint64, models []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.Fencing && number < e.order {
		return ErrRefused
	}
	e.order = max(e.order, number)
	e.models = slices.Clone(models)
	return nil
}
