package fake

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"
)

// The timing and prefix cache of a fake engine.
const (
	batchDelay      = 5 * time.Millisecond // time until a new request joins the running batch
	prefillSpeedup  = 20                   // prompt tokens prefilled in the time that decoding one token takes
	bytesPerToken   = 4                    // prompt bytes that count as one token
	cacheKeyBytes   = 256                  // length of the prompt prefix that the cache stores and looks up
	maxCacheEntries = 64
)

// PoisonMark crashes an engine that runs a prompt containing it.
const PoisonMark = "\x01poison"

// ErrRefused reports that the fake rejected a request and did not run it.
var ErrRefused = errors.New("refused, not run")

// EngineConfig describes a fake engine.
type EngineConfig struct {
	Name          string
	Model         string
	Slots         int
	Rate          float64       // tokens/s of one slot
	ReportLag     time.Duration // age at which Load replaces its snapshot
	ChecksFencing bool          // the engine rejects orders with an outdated fencing token
	FirstLayer    int           // first layer that the engine holds of a split model
	EndLayer      int           // end of the held layers, exclusive
	ModelLayers   int           // layers of the whole model, or zero if the engine holds the whole model
}

// GenerateRequest asks a fake engine to generate the tokens after the accepted ones.
type GenerateRequest struct {
	Attempt   string   `json:"attempt"`
	Request   string   `json:"request"`
	Model     string   `json:"model"`
	Prompt    string   `json:"prompt"`
	Accepted  []string `json:"accepted"`
	MaxTokens int      `json:"max-tokens"`
	Priority  int      `json:"priority"`
}

// Message is one message of a streamed answer: a token, or the end of the answer.
type Message struct {
	Attempt  string `json:"attempt"`
	Position int    `json:"position"`
	Text     string `json:"text"`
	Last     bool   `json:"last"`
	Reason   string `json:"reason"`
}

// Load is the load report of an engine or service.
type Load struct {
	Slots   int      `json:"slots"`
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
	Rate    float64  `json:"tokens-per-second"`
	Leaving bool     `json:"leaving"`
	Models  []string `json:"models"`
}

// Progress is an engine's report on an attempt.
type Progress struct {
	Known    bool `json:"known"`
	Queued   bool `json:"queued"`
	Position int  `json:"position"`
}

// Engine is a fake model engine that holds a whole model.
type Engine struct {
	config EngineConfig
	state  *faultState
	slots  *slots

	mu               sync.Mutex
	models           []string
	highestToken     uint64 // highest fencing token of an order
	attempts         map[string]*Progress
	lastAttempt      string // ID of the latest attempt, which the cross-answers fault sends to other attempts
	snapshot         Load   // load that Load returns next
	snapshotAt       time.Time
	cache            []string // prompt prefixes, least recently used first
	cacheHits        int
	cacheablePrompts int
	generatedTokens  int
	busyTime         time.Duration
	admitted         int
	arrivals         int
}

// NewEngine returns a running engine.
func NewEngine(c EngineConfig) *Engine {
	return &Engine{
		config:   c,
		state:    newFaultState(),
		slots:    newSlots(c.Slots),
		models:   []string{c.Model},
		attempts: make(map[string]*Progress),
	}
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.config.Name }

// Set injects or ends a fault, and reports whether the engine supports this kind.
func (e *Engine) Set(kind string) bool { return e.state.set(kind) }

// Faults returns the active faults.
func (e *Engine) Faults() []string { return e.state.active() }

// SetRate changes the tokens per second of one slot, for benchmarks; call it before any request.
func (e *Engine) SetRate(rate float64) { e.config.Rate = rate }

// Capacity returns the tokens per second of all slots together.
func (e *Engine) Capacity() float64 { return float64(e.config.Slots) * e.config.Rate }

// Arrivals returns how many requests reached the engine, including those that it refused or failed.
func (e *Engine) Arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

// recordArrival counts a request, and returns whether the fail fault is active.
func (e *Engine) recordArrival() (failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	return e.state.has(Fail)
}

// Generate runs a request and passes each message to emit.
func (e *Engine) Generate(ctx context.Context, r GenerateRequest, emit func(Message) error) error {
	if err := e.admit(r); err != nil {
		return err
	}
	ctx, cancel := e.state.processContext(ctx)
	defer cancel(nil)
	p := e.track(r)
	defer e.untrack(r.Attempt)
	if err := e.slots.acquire(ctx, r.Priority); err != nil {
		return err
	}
	defer e.slots.release()
	e.setProgress(p, len(r.Accepted), false)
	start := time.Now()
	defer func() { e.addBusyTime(time.Since(start)) }()
	if err := e.state.work(ctx, batchDelay+e.prefill(r)); err != nil {
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
	e.admitted++
	return nil
}

func (e *Engine) decode(ctx context.Context, r GenerateRequest, p *Progress, emit func(Message) error) error {
	// Each due time follows from the one before, so that late timers do not lower the rate.
	due := time.Now()
	for i := len(r.Accepted); i < r.MaxTokens; i++ {
		due = due.Add(e.state.slowed(time.Duration(float64(time.Second) / e.config.Rate)))
		if err := sleep(ctx, time.Until(due)); err != nil {
			return err
		}
		if e.state.has(Pause) {
			if err := e.state.awaitResume(ctx); err != nil {
				return err
			}
			due = time.Now()
		}
		e.setProgress(p, i+1, false)
		e.emitMisdirected(r, i, emit)
		if err := emit(Message{Attempt: r.Attempt, Position: i, Text: Token(r.Prompt, i)}); err != nil {
			return err
		}
		e.countToken()
	}
	if e.state.has(LoseAnswer) {
		return errAnswerLost
	}
	return emit(Message{Attempt: r.Attempt, Position: r.MaxTokens, Last: true, Reason: "length"})
}

// emitMisdirected sends messages that no caller may receive, if the cross-answers fault is active: a token of another
// attempt, and tokens of wrong positions.
func (e *Engine) emitMisdirected(r GenerateRequest, i int, emit func(Message) error) {
	if !e.state.has(CrossAnswers) {
		return
	}
	e.mu.Lock()
	other := e.lastAttempt
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
	e.lastAttempt = r.Attempt
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

// Attempt returns the progress of an attempt.
func (e *Engine) Attempt(id string) Progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.attempts[id]; p != nil {
		return *p
	}
	return Progress{}
}

// prefill returns the time to prefill the prompt and the accepted tokens. A prefix cache hit saves the whole prompt.
func (e *Engine) prefill(r GenerateRequest) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := float64(len(r.Prompt))/bytesPerToken + float64(len(r.Accepted))
	if len(r.Prompt) >= cacheKeyBytes {
		e.cacheablePrompts++
		key := r.Prompt[:cacheKeyBytes]
		if i := slices.Index(e.cache, key); i >= 0 {
			e.cacheHits++
			tokens = float64(len(r.Accepted))
			e.cache = slices.Delete(e.cache, i, i+1)
		}
		e.cache = append(e.cache, key)
		if len(e.cache) > maxCacheEntries {
			e.cache = e.cache[1:]
		}
	}
	return time.Duration(tokens / prefillSpeedup / e.config.Rate * float64(time.Second))
}

func (e *Engine) countToken() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generatedTokens++
}

func (e *Engine) addBusyTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busyTime += d
}

// EngineStats counts the work of an engine.
type EngineStats struct {
	Tokens   int
	Admitted int           // requests admitted, whatever their outcome
	Busy     time.Duration // time that requests occupied slots, summed over slots
	Prompts  int           // prompts long enough for the prefix cache
	Hits     int           // those of them that hit the prefix cache
}

// Stats returns the counts so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineStats{
		Tokens: e.generatedTokens, Admitted: e.admitted, Busy: e.busyTime, Prompts: e.cacheablePrompts, Hits: e.cacheHits,
	}
}

// Load returns the load snapshot that an earlier call took, or an idle one on the first call, and replaces it when it
// is ReportLag old. The models and whether the engine is leaving are current.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	running, queued := e.slots.load()
	current := Load{Slots: e.config.Slots, Running: running, Queued: queued, Rate: e.config.Rate, Models: e.models}
	out := e.snapshot
	if e.snapshotAt.IsZero() {
		out = current
		out.Running, out.Queued = 0, 0
	}
	if e.snapshotAt.IsZero() || time.Since(e.snapshotAt) >= e.config.ReportLag {
		e.snapshot = current
		e.snapshotAt = time.Now()
	}
	out.Leaving = e.state.has(Leave)
	out.Models = slices.Clone(e.models)
	return out
}

// Running returns the number of requests that occupy a slot now.
func (e *Engine) Running() int {
	running, _ := e.slots.load()
	return running
}

// Order makes the engine hold exactly these models; an engine that checks fencing rejects an outdated fencing token.
func (e *Engine) Order(token uint64, models []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && token < e.highestToken {
		return ErrRefused
	}
	e.highestToken = max(e.highestToken, token)
	e.models = slices.Clone(models)
	return nil
}
