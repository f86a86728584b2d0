package relay

import (
	"context"

	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
)

// EngineSelector sends attempts at single upstreams to one engine, and attempts at virtual upstreams, which stand for
// chains of stages, to another.
type EngineSelector struct {
	single Engine
	chain  Engine
}

// NewEngineSelector returns an engine that selects single or chain by the attempt's upstream.
func NewEngineSelector(single, chain Engine) *EngineSelector {
	return &EngineSelector{single: single, chain: chain}
}

func (s *EngineSelector) engineFor(u *route.Upstream) Engine {
	if u.Virtual() {
		return s.chain
	}
	return s.single
}

// Generate runs an attempt on the engine that serves its upstream.
func (s *EngineSelector) Generate(ctx context.Context, a *Attempt, emit func(Token) error) reply.Outcome {
	return s.engineFor(a.Upstream()).Generate(ctx, a, emit)
}

// Probe asks the engine that serves an upstream for an attempt's progress.
func (s *EngineSelector) Probe(ctx context.Context, u *route.Upstream, attempt string) (Progress, error) {
	return s.engineFor(u).Probe(ctx, u, attempt)
}

// CloseConnections closes the connections to an upstream.
func (s *EngineSelector) CloseConnections(u *route.Upstream) { s.engineFor(u).CloseConnections(u) }
