package rules

import (
	"fmt"
	"math"
	"time"

	"rhubarbspread/core/fleet"
)

// Engine describes a service's model engines and their cards: memory, speeds and the links between data centres.
type Engine struct {
	Layers                 int
	LayerMB                float64       // memory of one layer's weights
	TokenBytes             float64       // KV cache memory of one token over all layers
	ActivationBytes        float64       // sent to the next stage, per token
	DecodeStep             time.Duration // time of one decode step over all layers, on a card with factor 1
	PerSequence            time.Duration // added to a step for each decoding request
	PerContextK            time.Duration // added to a step per 1,000 tokens of context of each decoding request
	PrefillTokensPerSecond float64       // over all layers, on a card with factor 1; 0 if unknown
	AttentionTime          time.Duration // prefill time per million pairs of a token and an earlier one (attention)
	StepsPerPass           int           // decode steps per pass, and so tokens per event
	PrefillChunk           float64       // prompt tokens that a pass prefills at most
	LoadTime               time.Duration // time to load the weights of all layers
	ParallelLoads          int           // concurrent loads that do not slow each other down
	LinkMbps               float64       // between two data centres, shared by all streams; 0 if unknown
	LinkDelay              time.Duration // one-way latency between data centres
	MeanPromptTokens       float64
	MeanOutputTokens       float64
	Cards                  map[string]Card // by name of the card
}

// Card is a kind of accelerator.
type Card struct {
	SizeMB        float64
	DecodeFactor  float64 // factor on the times of decode steps, above 1 is slower
	PrefillFactor float64 // factor on prefill times, above 1 is slower
}

// unevenSizeRatio is the memory of the largest card relative to the smallest from which on cards are uneven: the smallest then
// hold a few layers, and paths have many stages.
const unevenSizeRatio = 4

// HasUnevenCards reports whether the cards differ so much in memory that paths over small ones have many stages.
func (e *Engine) HasUnevenCards() bool {
	smallest, largest := math.Inf(1), 0.0
	for _, c := range e.Cards {
		smallest, largest = min(smallest, c.SizeMB), max(largest, c.SizeMB)
	}
	return largest >= unevenSizeRatio*smallest
}

// CheckLayers returns an error if a range goes beyond the model.
func (e *Engine) CheckLayers(r fleet.Range) error {
	if r.From < 0 || r.To < r.From || r.To > e.Layers {
		return fmt.Errorf("layers from %d to %d of %d", r.From, r.To, e.Layers)
	}
	return nil
}

// MaxLayers returns how many layers fit into a card's memory if nothing is left for the KV cache.
func (e *Engine) MaxLayers(c Card) int {
	return min(e.Layers, int(c.SizeMB/e.LayerMB))
}

// tokensPerContextK is the number of context tokens that PerContextK is given for.
const tokensPerContextK = 1000

// PassTime returns how long a card takes for one pass over a number of layers, with a number of decoding sequences;
// context is their mean length in tokens.
func (e *Engine) PassTime(c Card, layers int, sequences, context float64) time.Duration {
	step := float64(e.DecodeStep) + sequences*(float64(e.PerSequence)+float64(e.PerContextK)*context/tokensPerContextK)
	return time.Duration(float64(e.StepsPerPass) * step * c.DecodeFactor * e.layerShare(layers))
}

// PrefillRate returns how many prompt tokens per second a card prefills through a number of layers, between the passes
// of decoding sequences.
func (e *Engine) PrefillRate(c Card, layers int, sequences, context float64) float64 {
	if e.PrefillTokensPerSecond <= 0 {
		return math.MaxFloat64 // unknown: prefill is not taken into account
	}
	chunkSeconds := e.prefillSeconds(c, layers, e.PrefillChunk)
	passSeconds := 0.0
	if sequences >= 1 {
		passSeconds = e.PassTime(c, layers, sequences, context).Seconds()
	}
	return e.PrefillChunk / (chunkSeconds + passSeconds)
}

// PrefillTime returns how long a card takes to prefill prompt tokens through a number of layers, without passes
// between.
func (e *Engine) PrefillTime(c Card, layers int, tokens float64) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0 // unknown: prefill is not taken into account
	}
	return time.Duration(e.prefillSeconds(c, layers, tokens) * float64(time.Second))
}

// prefillSeconds returns how long a card takes to prefill tokens through a number of layers, without attention.
func (e *Engine) prefillSeconds(c Card, layers int, tokens float64) float64 {
	return tokens / e.PrefillTokensPerSecond * c.PrefillFactor * e.layerShare(layers)
}

// layerShare returns a number of layers as a share of the model.
func (e *Engine) layerShare(layers int) float64 { return float64(layers) / float64(e.Layers) }

const bytesPerMB = 1e6

// KVCapacity returns how many tokens x layers of KV cache fit into a card's memory beside the weights of a number of
// layers.
func (e *Engine) KVCapacity(c Card, layers int) float64 {
	free := (c.SizeMB - float64(layers)*e.LayerMB) * bytesPerMB
	return max(0, free/(e.TokenBytes/float64(e.Layers)))
}
