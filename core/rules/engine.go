package rules

import (
	"math"
	"time"
)

// Engine describes a service's model engines and their cards: memory, speeds and the links between data centres.
type Engine struct {
	Layers          int
	LayerMB         float64         // memory of one layer's weights
	TokenBytes      float64         // KV cache memory of one token over all layers
	ActivationBytes float64         // sent to the next stage, per token
	Step            time.Duration   // time of one decode step over all layers, on a card with factor 1
	PerWriter       time.Duration   // added to a step for each decoding request
	PerContext      time.Duration   // added to a step per 1,000 tokens of context of each decoding request
	ReadPerSecond   float64         // prefill rate over all layers on a card with factor 1, in tokens; 0 if unknown
	Pairs           time.Duration   // prefill time per million pairs of a token and an earlier one (attention)
	Stride          int             // decode steps per pass, and so tokens per event
	Chunk           float64         // prompt tokens that a pass prefills at most
	Load            time.Duration   // time to load the weights of all layers
	Loads           int             // concurrent loads that do not slow each other down
	Pipe            float64         // megabits per second between two data centres, shared by all streams; 0 if unknown
	Delay           time.Duration   // one-way latency between data centres
	Prompt          float64         // mean prompt tokens
	Answer          float64         // mean output tokens
	Kinds           map[string]Card // by name of the card
}

// Card is a kind of accelerator.
type Card struct {
	SizeMB float64
	Pace   float64 // factor on the times of decode steps, above 1 is slower
	Read   float64 // factor on prefill times, above 1 is slower
}

// MostLayers returns how many layers fit into a card's memory if nothing is left for the KV cache.
func (e *Engine) MostLayers(c Card) int {
	return min(e.Layers, int(c.SizeMB/e.LayerMB))
}

// tokensPerContextK is the number of context tokens that an engine's time per context is given for.
const tokensPerContextK = 1000

// Pass returns how long a card takes for one pass over a number of layers, with a number of decoding sequences; context
// is their mean length in tokens.
func (e *Engine) Pass(c Card, layers int, sequences, context float64) time.Duration {
	step := float64(e.Step) + sequences*(float64(e.PerWriter)+float64(e.PerContext)*context/tokensPerContextK)
	return time.Duration(float64(e.Stride) * step * c.Pace * e.layerShare(layers))
}

// ReadRate returns how many prompt tokens per second a card prefills through a number of layers, between the passes of
// decoding sequences.
func (e *Engine) ReadRate(c Card, layers int, sequences, context float64) float64 {
	if e.ReadPerSecond <= 0 {
		return math.MaxFloat64 // unknown: prefill is not taken into account
	}
	chunkSeconds := e.prefillSeconds(c, layers, e.Chunk)
	passSeconds := 0.0
	if sequences >= 1 {
		passSeconds = e.Pass(c, layers, sequences, context).Seconds()
	}
	return e.Chunk / (chunkSeconds + passSeconds)
}

// Read returns how long a card takes to prefill prompt tokens through a number of layers without passes between.
func (e *Engine) Read(c Card, layers int, tokens float64) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0 // unknown: prefill is not taken into account
	}
	return time.Duration(e.prefillSeconds(c, layers, tokens) * float64(time.Second))
}

// prefillSeconds returns how long a card takes to prefill tokens through a number of layers, without attention.
func (e *Engine) prefillSeconds(c Card, layers int, tokens float64) float64 {
	return tokens / e.ReadPerSecond * c.Read * e.layerShare(layers)
}

// layerShare returns a number of layers as a share of the model.
func (e *Engine) layerShare(layers int) float64 { return float64(layers) / float64(e.Layers) }

const bytesPerMB = 1e6

// Room returns how many tokens x layers of KV cache fit into a card's memory beside the weights of a number of layers.
func (e *Engine) Room(c Card, layers int) float64 {
	free := (c.SizeMB - float64(layers)*e.LayerMB) * bytesPerMB
	return max(0, free/(e.TokenBytes/float64(e.Layers)))
}
