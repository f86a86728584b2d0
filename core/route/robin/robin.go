package robin

import (
	"sync/atomic"

	"rhubarbspread/core/kern"
	"rhubarbspread/core/route"
)

// Doc is the description of the policy that the explain command prints.
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

type policy struct{ calls atomic.Uint64 }

// Windowed reports that upstreams with a full window are not left out.
func (*policy) Windowed() bool { return false }

// Choose returns the index of the chosen upstream.
func (p *policy) Choose(_ route.Query, candidates []route.Candidate, _ uint64) int {
	return int(p.calls.Add(1) % uint64(len(candidates)))
}
