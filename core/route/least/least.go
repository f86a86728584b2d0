package least

import (
	"rhubarbspread/core/kern"
	"rhubarbspread/core/route"
)

// Doc is the description of the policy that the explain command prints.
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

// Windowed reports that upstreams with a full window are not left out.
func (policy) Windowed() bool { return false }

// Choose returns the index of the chosen upstream.
func (policy) Choose(_ route.Query, candidates []route.Candidate, random uint64) int {
	start := int(random % uint64(len(candidates)))
	best := start
	for i := range candidates {
		j := (start + i) % len(candidates)
		if candidates[j].InFlight < candidates[best].InFlight {
			best = j
		}
	}
	return best
}
