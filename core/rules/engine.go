package rules

import (
	"math"
	"time"
)

// Engine is what the configuration says of a service's model engines and of the cards that they run on.
type Engine struct {
	Layers          int
	LayerMB         float64       // memory of one layer's weights
	TokenBytes      float64       // memory of one token over all layers
	ActivationBytes float64       // sent to the next part, per token
	Step            time.Duration // of one token step over all layers at pace 1
	PerWriter       time.Duration // added for each request that is writing
	PerContext      time.Duration // added per 1,000 tokens of context of each of them
	ReadPerSecond   float64       // prompt tokens read a second over all layers at factor 1
	Pairs           time.Duration // per million pairs of a token and an earlier one
	Stride          int           // steps of a pass, and so tokens of an event
	Chunk           float64       // prompt tokens that a pass reads at most
	Load            time.Duration // of all layers' weights
	Loads           int           // loads at a time that do not slow each other
	Pipe            float64       // megabits a second between two data centres, which all share
	Delay           time.Duration // one way between data centres
	Prompt          float64       // mean tokens
	Answer          float64       // mean tokens
	Kinds           map[string]Card
}

// Card is a kind of upstream.
type Card struct {
	SizeMB float64
	Pace   float64 // factor on steps and context
	Read   float64 // factor on reading
}

// MostLayers returns how many layers a card's memory holds with no room for requests.
func (e *Engine) MostLayers(c Card) int {
	return min(e.Layers, int(c.SizeMB/e.LayerMB))
}

// perContext is the unit of PerContext in tokens.
const perContext = 1000

// Pass returns how long a card takes for one pass over a number of layers, with a number of requests writing at a
// mean context in tokens.
func (e *Engine) Pass(c Card, layers int, writers, context float64) time.Duration {
	step := float64(e.Step) + writers*(float64(e.PerWriter)+float64(e.PerContext)*context/perContext)
	return time.Duration(float64(e.Stride) * step * c.Pace * e.part(layers))
}

// ReadRate returns how many prompt tokens a second a card reads through a number of layers, between the passes of
// requests that write.
func (e *Engine) ReadRate(c Card, layers int, writers, context float64) float64 {
	if e.ReadPerSecond <= 0 {
		return math.MaxFloat64 // not told: reading decides nothing
	}
	chunk := e.reading(c, layers, e.Chunk)
	pass := 0.0
	if writers >= 1 {
		pass = e.Pass(c, layers, writers, context).Seconds()
	}
	return e.Chunk / (chunk + pass)
}

// Read returns how long a card takes to read prompt tokens through a number of layers, with no passes between.
func (e *Engine) Read(c Card, layers int, tokens float64) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0 // not told: reading decides nothing
	}
	return time.Duration(e.reading(c, layers, tokens) * float64(time.Second))
}

// reading returns the seconds that a card reads tokens through a number of layers.
func (e *Engine) reading(c Card, layers int, tokens float64) float64 {
	return tokens / e.ReadPerSecond * c.Read * e.part(layers)
}

func (e *Engine) part(layers int) float64 { return float64(layers) / float64(e.Layers) }

// bytesPerMB is the unit of card sizes.
const bytesPerMB = 1e6

// Room returns the tokens x layers that a card's memory takes beside a number of layers.
func (e *Engine) Room(c Card, layers int) float64 {
	free := (c.SizeMB - float64(layers)*e.LayerMB) * bytesPerMB
	return max(0, free/(e.TokenBytes/float64(e.Layers)))
}
