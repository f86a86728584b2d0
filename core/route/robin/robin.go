package robin

import (
	"sync/atomic"

	"rhubarbspread/core/kern"
	"rhubarbspread/core/route"
)

// Doc describes the policy.
var Doc = kern.Doc{
	Name:  "round-robin",
	Kind:  kern.PolicyKind,
	Title: "Upstreams in turn",
	Text:  "Takes upstreams in turn, whatever their speed or load. A baseline for measurements.",
	Since: "0.1",
}

func init() {
	kern.Register(kern.Plugin{Doc: Doc, New: func() route.Policy { return &policy{} }})
}

type policy struct{ turn atomic.Uint64 }

// Windowed reports whether the node limits what it sends each upstream.
func (*policy) Windowed() bool { return false }

// Choose returns the index of the upstream to take.
func (p *policy) Choose(_ route.Query, candidates []route.Candidate, _ uint64) int {
	return int(p.turn.Add(1) % uint64(len(candidates)))
}
