package finish

import (
	"rhubarbspread/core/kern"
	"rhubarbspread/core/route"
)

// Doc is the description of the policy that the explain command prints.
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

// ownerPrefillDiscount is the fraction of the prefill time by which the owner of a prefix is preferred.
const ownerPrefillDiscount = 0.9

type policy struct{}

// Windowed reports that upstreams with a full window are left out.
func (policy) Windowed() bool { return true }

// tieTolerance is the fraction by which a predicted completion may be later than the earliest and still be tied.
const tieTolerance = 0.03

// urgentTieTolerance is the tolerance for urgent requests. When an upstream is lost, many arrive at once from all
// nodes, and must not all go to the upstream that had the least load.
const urgentTieTolerance = 0.3

// Choose returns the index of the chosen upstream. Ties are broken by the request's hash, so that duplicates of a
// request at several nodes go to the same upstream while different requests spread.
func (policy) Choose(q route.Query, candidates []route.Candidate, _ uint64) int {
	least := predict(q, &candidates[0])
	for i := 1; i < len(candidates); i++ {
		least = min(least, predict(q, &candidates[i]))
	}
	tolerance := tieTolerance
	if q.Urgent {
		tolerance = urgentTieTolerance
	}
	best := -1
	for i := range candidates {
		if predict(q, &candidates[i]) > least*(1+tolerance) {
			continue
		}
		if best < 0 || candidates[i].TieBreak > candidates[best].TieBreak {
			best = i
		}
	}
	return best
}

// urgentFirstTokenWeight is the weight of the time to first token if a caller is stalled until it arrives.
const urgentFirstTokenWeight = 5

// predict returns the seconds until the response is complete, with the time to first token weighted if urgent.
func predict(q route.Query, c *route.Candidate) float64 {
	rate := max(c.Rate, 1e-3)
	slots := float64(max(c.Slots, 1))
	service := q.Tokens / rate
	queued := max(0, float64(c.InFlight)+c.OtherInFlight+1-slots)
	prefill := q.Prefill / rate
	switch {
	case c.PrefixCached:
		prefill = 0
	case c.PrefixOwner:
		prefill *= 1 - ownerPrefillDiscount
	}
	firstToken := c.RTT.Seconds() + max(queued*service/slots, c.QueueDelay.Seconds()) + prefill
	if q.Urgent {
		firstToken *= urgentFirstTokenWeight
	}
	return firstToken + service
}
