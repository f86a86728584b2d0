package least

import (
	"rhubarbspread/core/kern"
	"rhubarbspread/core/route"
)

// Doc describes the policy.
var Doc = kern.Doc{
	Name:  "least-outstanding",
	Kind:  kern.PolicyKind,
	Title: "Fewest requests in flight",
	Text:  "Takes the upstream with the fewest requests of this node in flight. A baseline for measurements.",
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
	start := int(random % uint64(len(candidates)))
	best := start
	for i := range candidates {
		j := (start + i) % len(candidates)
		if candidates[j].Ours < candidates[best].Ours {
			best = j
		}
	}
	return best
}
