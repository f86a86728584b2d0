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
const favor = 0.9

type policy struct{}

// Windowed reports whether the node limits what it sends each upstream.
func (policy) Windowed() bool { return true }

// equalShare is how much later than the earliest a predicted finish may be and still count as equal.
const equalShare = 0.03

// urgentShare is the same for urgent requests: many come at once when an upstream is lost, from all nodes,
// and must not all go where each node saw the least load.
const urgentShare = 0.3

// Choose returns the index of the upstream to take. Among equals the request's own hash decides: copies
// of one request at several nodes meet at one upstream, and different requests spread.
func (policy) Choose(q route.Query, candidates []route.Candidate, _ uint64) int {
	least := predict(q, &candidates[0])
	for i := 1; i < len(candidates); i++ {
		least = min(least, predict(q, &candidates[i]))
	}
	equal := equalShare
	if q.Urgent {
		equal = urgentShare
	}
	best := -1
	for i := range candidates {
		if predict(q, &candidates[i]) > least*(1+equal) {
			continue
		}
		if best < 0 || candidates[i].Tie > candidates[best].Tie {
			best = i
		}
	}
	return best
}

// urgency is how much more the time to the first token weighs where a caller stalls until it comes.
const urgency = 5

// predict returns seconds until the answer is complete, with the time to its first token weighed.
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
	start := c.Link.Seconds() + max(waiting*service/slots, c.Queueing.Seconds()) + prefill
	if q.Urgent {
		start *= urgency
	}
	return start + service
}
