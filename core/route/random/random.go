package random

import (
	"rhubarbspread/core/kern"
	"rhubarbspread/core/route"
)

// Doc is the description of the policy that the explain command prints.
var Doc = kern.Doc{
	Name:  "random",
	Kind:  kern.PolicyKind,
	Title: "Any upstream",
	Text:  "Takes any upstream with equal probability. A baseline for measurements.",
	Since: "0.1",
}

func init() {
	kern.Register(kern.Plugin{Doc: Doc, New: func() route.Policy { return policy{} }})
}

type policy struct{}

// Windowed reports that upstreams with a full window are not left out.
func (policy) Windowed() bool { return false }

// Choose returns the index of the chosen upstream.
func (policy) Choose(_ route.Query, candidates []route.Candidate, random uint64) int {
	return int(random % uint64(len(candidates)))
}
