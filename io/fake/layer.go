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

// ErrNoState reports that the engine lacks the positions before a step, and ran nothing.
var ErrNoState = errors.New("the engine lacks earlier positions")

// StepRequest asks a layer engine to run a range of its layers for consecutive positions.
type StepRequest struct {
	Request  string   `json:"request"`
	Epoch    int      `json:"epoch"`
	Position int      `json:"position"` // first position
	From     int      `json:"from"`     // first layer
	To       int      `json:"to"`       // end of the layers, exclusive
	Prompt   string   `json:"prompt"`
	Tokens   []string `json:"tokens"` // token before each position, if the range begins at layer 0
	Inputs   []string `json:"inputs"` // activation of each position, if it begins later
}

// StepAnswer is the result of a step.
type StepAnswer struct {
	Request  string   `json:"request"`
	Epoch    int      `json:"epoch"`
	Position int      `json:"position"`
	From     int      `json:"from"`
	To       int      `json:"to"`
	Outputs  []string `json:"outputs"` // activation of each position, if the model has layers after the range
	Tokens   []string `json:"tokens"`  // token of each position, if it has none
}

// activation stands in for the activation of one position. It holds the position's token and a hash that each layer
// extends, which reveals a layer that was skipped, repeated or run out of order.
type activation struct {
	token     string
	layerHash string
}

const layerHashDigits = 16

func (a activation) encode() string { return a.token + ":" + a.layerHash }

func parseActivation(s string) (activation, bool) {
	token, layerHash, ok := strings.Cut(s, ":")
	return activation{token: token, layerHash: layerHash}, ok
}

// afterLayer returns the activation that a layer outputs for this input.
func (a activation) afterLayer(layer int) activation {
	sum := sha256.Sum256([]byte(a.layerHash + "|" + strconv.Itoa(layer)))
	return activation{token: a.token, layerHash: hex.EncodeToString(sum[:])[:layerHashDigits]}
}

// layerHashAt returns the hash that an activation must have at the input of a layer.
func layerHashAt(token string, layer int) string {
	a := activation{token: token, layerHash: token}
	for l := range layer {
		a = a.afterLayer(l)
	}
	return a.layerHash
}

// sequence is the state (a stand-in for the KV cache) that a layer engine holds for one request and range of layers.
type sequence struct {
	mu        sync.Mutex
	epoch     int
	positions int // number of positions that have run
	prompt    string
	lastUsed  time.Time
}

type sequenceKey struct {
	request  string
	from, to int
}

// LayerEngine is a fake engine that holds a range of the layers of a model.
type LayerEngine struct {
	*Engine
	mu            sync.Mutex
	sequences     map[sequenceKey]*sequence
	layerFaults   int
	layerSteps    int          // one per position and layer
	recentAnswers []StepAnswer // oldest first
}

// sequenceTTL is how long an engine keeps a sequence after its last step.
const sequenceTTL = time.Minute

// NewLayerEngine returns a running engine for the configured layers.
func NewLayerEngine(c EngineConfig) *LayerEngine {
	return &LayerEngine{Engine: NewEngine(c), sequences: make(map[sequenceKey]*sequence)}
}

// LayerFaults returns how often a layer was skipped, repeated or run out of order, or an input token was wrong.
func (e *LayerEngine) LayerFaults() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.layerFaults
}

// Steps returns the number of layer steps that ran, one per position and layer.
func (e *LayerEngine) Steps() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.layerSteps
}

// Set injects or ends a fault like Engine.Set; a crash loses all sequences.
func (e *LayerEngine) Set(kind string) bool {
	if kind == Crash {
		e.mu.Lock()
		clear(e.sequences)
		e.mu.Unlock()
	}
	return e.Engine.Set(kind)
}

// Step runs one step; ErrRefused and ErrNoState report that nothing ran.
func (e *LayerEngine) Step(ctx context.Context, r StepRequest) (StepAnswer, error) {
	if r.From < e.config.FirstLayer || r.To > e.config.EndLayer || r.From >= r.To || r.count() == 0 {
		return StepAnswer{}, ErrRefused
	}
	ctx, cancel := e.state.processContext(ctx)
	defer cancel(nil)
	q := e.sequence(r)
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.Epoch < q.epoch || r.Position > q.positions || (r.Epoch == q.epoch && r.Position != q.positions) {
		return StepAnswer{}, ErrNoState
	}
	if err := e.slots.acquire(ctx, 0); err != nil {
		return StepAnswer{}, err
	}
	defer e.slots.release()
	start := time.Now()
	defer func() { e.addBusyTime(time.Since(start)) }()
	if err := e.state.work(ctx, e.stepTime(r)); err != nil {
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
		return StepAnswer{}, errAnswerLost
	}
	return e.maybeCross(answer), nil
}

// count returns the number of positions of the step.
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
		positions += float64(len(r.Prompt)) / bytesPerToken / prefillSpeedup
	}
	return time.Duration(float64(r.To-r.From) * positions / e.config.Rate * float64(time.Second))
}

func (e *LayerEngine) sequence(r StepRequest) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for key, q := range e.sequences {
		if now.Sub(q.lastUsed) > sequenceTTL {
			delete(e.sequences, key)
		}
	}
	key := sequenceKey{r.Request, r.From, r.To}
	q := e.sequences[key]
	if q == nil {
		q = &sequence{epoch: r.Epoch}
		e.sequences[key] = q
	}
	q.lastUsed = now
	return q
}

// compute checks the inputs of a step and runs its layers.
func (e *LayerEngine) compute(r StepRequest, prompt string) StepAnswer {
	out := StepAnswer{Request: r.Request, Epoch: r.Epoch, Position: r.Position, From: r.From, To: r.To}
	for i := range r.count() {
		a, ok := e.inputAt(r, i, prompt)
		if !ok || a.layerHash != layerHashAt(a.token, r.From) {
			e.countLayerFault()
			a.layerHash = "wrong"
		}
		for l := r.From; l < r.To; l++ {
			a = a.afterLayer(l)
		}
		e.mu.Lock()
		e.layerSteps += r.To - r.From
		e.mu.Unlock()
		if r.To < e.config.ModelLayers {
			out.Outputs = append(out.Outputs, a.encode())
			continue
		}
		token := a.token
		if a.layerHash != layerHashAt(a.token, r.To) {
			token = "wrong!!!"
		}
		e.countToken()
		out.Tokens = append(out.Tokens, token)
	}
	return out
}

// inputAt returns the input of the step's first layer for position i of the step, and whether it is valid.
func (e *LayerEngine) inputAt(r StepRequest, i int, prompt string) (activation, bool) {
	if r.From > 0 {
		return parseActivation(r.Inputs[i])
	}
	position := r.Position + i
	token := Token(prompt, position)
	previous := ""
	if position > 0 {
		previous = Token(prompt, position-1)
	}
	return activation{token: token, layerHash: token}, r.Tokens[i] == previous
}

func (e *LayerEngine) countLayerFault() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.layerFaults++
}

// maybeCross returns an earlier answer instead of this one on some steps while the cross-answers fault is active.
func (e *LayerEngine) maybeCross(a StepAnswer) StepAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recentAnswers = append(e.recentAnswers, a)
	if len(e.recentAnswers) > 4 {
		e.recentAnswers = e.recentAnswers[1:]
	}
	if e.state.has(CrossAnswers) && e.layerSteps%3 == 0 {
		return e.recentAnswers[0]
	}
	return a
}
