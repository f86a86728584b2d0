package random

import (
	"rhubarbspread/core/kern"
	"rhubarbspread/core/route"
)

// Doc describes the policy.
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

// Windowed reports whether the node limits what it sends each upstream.
func (policy) Windowed() bool { return false }

// Choose returns the index of the upstream to take.
func (policy) Choose(_ route.Query, candidates []route.Candidate, random uint64) int {
	return int(random % uint64(len(candidates)))
}
