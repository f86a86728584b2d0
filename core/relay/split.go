package relay

import (
	"context"

	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
)

// Split hands attempts at whole replicas and at chains of stages to an engine each.
type Split struct {
	whole Engine
	chain Engine
}

// NewSplit returns an engine over both.
func NewSplit(whole, chain Engine) *Split { return &Split{whole: whole, chain: chain} }

func (s *Split) of(u *route.Upstream) Engine {
	if u.Virtual() {
		return s.chain
	}
	return s.whole
}

// Generate runs an attempt at the engine for its upstream.
func (s *Split) Generate(ctx context.Context, a *Attempt, emit func(Token) error) reply.Outcome {
	return s.of(a.Upstream()).Generate(ctx, a, emit)
}

// Probe asks the engine for the upstream.
func (s *Split) Probe(ctx context.Context, u *route.Upstream, attempt string) (Progress, error) {
	return s.of(u).Probe(ctx, u, attempt)
}

// Drop closes the connections to an upstream.
func (s *Split) Drop(u *route.Upstream) { s.of(u).Drop(u) }
