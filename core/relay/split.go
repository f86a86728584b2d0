package relay

import (
	"context"

	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
)

// Split sends attempts at single upstreams to one engine, and attempts at virtual upstreams, which stand for chains of
// stages, to another.
type Split struct {
	single Engine
	chain  Engine
}

// NewSplit returns an engine that selects single or chain by the attempt's upstream.
func NewSplit(single, chain Engine) *Split { return &Split{single: single, chain: chain} }

func (s *Split) engineFor(u *route.Upstream) Engine {
	if u.Virtual() {
		return s.chain
	}
	return s.single
}

// Generate runs an attempt on the engine that serves its upstream.
func (s *Split) Generate(ctx context.Context, a *Attempt, emit func(Token) error) reply.Outcome {
	return s.engineFor(a.Upstream()).Generate(ctx, a, emit)
}

// Probe asks the engine that serves an upstream for an attempt's progress.
func (s *Split) Probe(ctx context.Context, u *route.Upstream, attempt string) (Progress, error) {
	return s.engineFor(u).Probe(ctx, u, attempt)
}

// Drop closes the connections to an upstream.
func (s *Split) Drop(u *route.Upstream) { s.engineFor(u).Drop(u) }
