package fake

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ErrNoState is an engine's word that it lacks the positions before a step, and ran nothing.
var ErrNoState = errors.New("the engine lacks earlier positions")

// StepRequest asks a layer engine to run its layers for consecutive positions.
type StepRequest struct {
	Request  string   `json:"request"`
	Epoch    int      `json:"epoch"`
	Position int      `json:"position"`
	From     int      `json:"from"`
	To       int      `json:"to"`
	Prompt   string   `json:"prompt"`
	Tokens   []string `json:"tokens"`
	Inputs   []string `json:"inputs"`
}

// StepAnswer is what a layer engine answers.
type StepAnswer struct {
	Request  string   `json:"request"`
	Epoch    int      `json:"epoch"`
	Position int      `json:"position"`
	From     int      `json:"from"`
	To       int      `json:"to"`
	Outputs  []string `json:"outputs"`
	Tokens   []string `json:"tokens"`
}

// activation is the token of its position and a trail that each layer extends, so that a layer that is
// skipped, doubled or out of order shows.
type activation struct {
	token string
	trail string
}

const trailDigits = 16

func (a activation) encode() string { return a.token + ":" + a.trail }

func parseActivation(s string) (activation, bool) {
	token, trail, ok := strings.Cut(s, ":")
	return activation{token: token, trail: trail}, ok
}

// through returns the activation behind a layer.
func (a activation) through(layer int) activation {
	sum := sha256.Sum256([]byte(a.trail + "|" + strconv.Itoa(layer)))
	return activation{token: a.token, trail: hex.EncodeToString(sum[:])[:trailDigits]}
}

// trailAt returns the trail that an activation must have before a layer.
func trailAt(token string, layer int) string {
	a := activation{token: token, trail: token}
	for l := range layer {
		a = a.through(l)
	}
	return a.trail
}

// sequence is the state that a layer engine holds for one request and range of layers.
type sequence struct {
	mu        sync.Mutex
	epoch     int
	positions int
	prompt    string
	used      time.Time
}

type sequenceKey struct {
	request  string
	from, to int
}

// LayerEngine is a stand-in engine that holds a range of layers of a model.
type LayerEngine struct {
	*Engine
	mu        sync.Mutex
	sequences map[sequenceKey]*sequence
	faults    int
	steps     int
	late      []StepAnswer
}

// sequenceMemory is how long an engine keeps a sequence that nobody steps.
const sequenceMemory = time.Minute

// NewLayerEngine returns a running engine for the layers of its configuration.
func NewLayerEngine(c EngineConfig) *LayerEngine {
	return &LayerEngine{Engine: NewEngine(c), sequences: make(map[sequenceKey]*sequence)}
}

// LayerFaults returns how often a layer was skipped, doubled or out of order, or a token was wrong.
func (e *LayerEngine) LayerFaults() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Steps returns how many layer steps, one a position and layer, were run.
func (e *LayerEngine) Steps() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.steps
}

// Set brings a fault about; a crash loses all sequences.
func (e *LayerEngine) Set(kind string) bool {
	if kind == Crash {
		e.mu.Lock()
		clear(e.sequences)
		e.mu.Unlock()
	}
	return e.Engine.Set(kind)
}

// Step runs one step.
func (e *LayerEngine) Step(ctx context.Context, r StepRequest) (StepAnswer, error) {
	if r.From < e.config.First || r.To > e.config.Last || r.From >= r.To || r.count() == 0 {
		return StepAnswer{}, ErrRefused
	}
	ctx, cancel := e.state.lifetime(ctx)
	defer cancel(nil)
	q := e.sequence(r)
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.Epoch < q.epoch || r.Position > q.positions || (r.Epoch == q.epoch && r.Position != q.positions) {
		return StepAnswer{}, ErrNoState
	}
	if err := e.slots.take(ctx, 0); err != nil {
		return StepAnswer{}, err
	}
	defer e.slots.give()
	start := time.Now()
	defer func() { e.account(time.Since(start)) }()
	if err := sleep(ctx, e.state.stretch(e.stepTime(r))); err != nil {
		return StepAnswer{}, err
	}
	if strings.Contains(r.Prompt, PoisonMark) {
		e.Set(Crash)
		return StepAnswer{}, errCrashed
	}
	if r.From == 0 && r.Position == 0 {
		q.prompt = r.Prompt
	}
	q.epoch = r.Epoch
	q.positions = r.Position + r.count()
	answer := e.compute(r, q.prompt)
	if e.state.has(LoseAnswer) {
		return StepAnswer{}, errCut
	}
	return e.cross(answer), nil
}

func (r StepRequest) count() int {
	if r.From == 0 {
		return len(r.Tokens)
	}
	return len(r.Inputs)
}

func (e *LayerEngine) stepTime(r StepRequest) time.Duration {
	positions := float64(r.count())
	if r.count() > 1 {
		positions = 1 + (positions-1)/prefillSpeedup
	}
	if r.From == 0 && r.Position == 0 {
		positions += float64(len(r.Prompt)) / tokenBytes / prefillSpeedup
	}
	return time.Duration(float64(r.To-r.From) * positions / e.config.Rate * float64(time.Second))
}

func (e *LayerEngine) sequence(r StepRequest) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for key, q := range e.sequences {
		if now.Sub(q.used) > sequenceMemory {
			delete(e.sequences, key)
		}
	}
	key := sequenceKey{r.Request, r.From, r.To}
	q := e.sequences[key]
	if q == nil {
		q = &sequence{epoch: r.Epoch}
		e.sequences[key] = q
	}
	q.used = now
	return q
}

// compute runs the layers and checks what came in.
func (e *LayerEngine) compute(r StepRequest, prompt string) StepAnswer {
	out := StepAnswer{Request: r.Request, Epoch: r.Epoch, Position: r.Position, From: r.From, To: r.To}
	for i := range r.count() {
		a, ok := e.input(r, i, prompt)
		if !ok || a.trail != trailAt(a.token, r.From) {
			e.fault()
			a.trail = "wrong"
		}
		for l := r.From; l < r.To; l++ {
			a = a.through(l)
		}
		e.mu.Lock()
		e.steps += r.To - r.From
		e.mu.Unlock()
		if r.To < e.config.Layers {
			out.Outputs = append(out.Outputs, a.encode())
			continue
		}
		token := a.token
		if a.trail != trailAt(a.token, r.To) {
			token = "wrong!!!"
		}
		e.countToken()
		out.Tokens = append(out.Tokens, token)
	}
	return out
}

// input returns what enters the engine's first layer for position i of a step.
func (e *LayerEngine) input(r StepRequest, i int, prompt string) (activation, bool) {
	if r.From > 0 {
		return parseActivation(r.Inputs[i])
	}
	position := r.Position + i
	token := Token(prompt, position)
	before := ""
	if position > 0 {
		before = Token(prompt, position-1)
	}
	return activation{token: token, trail: token}, r.Tokens[i] == before
}

func (e *LayerEngine) fault() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults++
}

// cross swaps an answer with an earlier one where answers are to be crossed.
func (e *LayerEngine) cross(a StepAnswer) StepAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.late = append(e.late, a)
	if len(e.late) > 4 {
		e.late = e.late[1:]
	}
	if e.state.has(CrossAnswers) && e.steps%3 == 0 {
		return e.late[0]
	}
	return a
}
