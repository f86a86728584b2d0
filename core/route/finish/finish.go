package finish

import (
	"rhubarbspread/core/kern"
	"rhubarbspread/core/route"
)

// Doc describes the policy.
var Doc = kern.Doc{
	Name:  "finish",
	Kind:  kern.PolicyKind,
	Title: "Earliest predicted finish",
	Text: `Predicts for each upstream with room when the answer would be complete: link, wait for a slot
(this node's work in flight and the others' by the late report), reading of the prompt unless its
prefix is cached, and tokens over the slot's rate. Takes the earliest.`,
	Since: "0.1",
}

func init() {
	kern.Register(kern.Plugin{Doc: Doc, New: func() route.Policy { return policy{} }})
}

// favor is the advantage, as a share of the prompt's reading time, of the upstream to which a prefix maps.
const favor = 0.5

type policy struct{}

// Windowed reports whether the node limits what it sends each upstream.
func (policy) Windowed() bool { return true }

// Choose returns the index of the upstream to take.
func (policy) Choose(q route.Query, candidates []route.Candidate, random uint64) int {
	// The scan starts at a random place, so that nodes with equal knowledge do not all take the same of equals.
	start := int(random % uint64(len(candidates)))
	best := start
	least := predict(q, &candidates[start])
	for i := 1; i < len(candidates); i++ {
		j := (start + i) % len(candidates)
		if s := predict(q, &candidates[j]); s < least {
			best, least = j, s
		}
	}
	return best
}

// predict returns seconds until the answer is complete.
func predict(q route.Query, c *route.Candidate) float64 {
	rate := max(c.Rate, 1e-3)
	slots := float64(max(c.Slots, 1))
	service := q.Tokens / rate
	waiting := max(0, float64(c.Ours)+c.Others+1-slots)
	prefill := q.Prefill / rate
	switch {
	case c.Cached:
		prefill = 0
	case c.Favored:
		prefill *= 1 - favor
	}
	return c.Link.Seconds() + waiting*service/slots + prefill + service
}
