package board

import (
	"slices"
	"time"

	"rhubarbspread/core/rules"
)

// Data centres are connected by links that carry one transfer after the other. The activations of a prompt delay the
// events of all streams that cross the same link (head-of-line blocking), so prompts may use only a share of it.
const (
	// linkPromptShare is the share of a link's capacity that prompts may use. The rest is for rerouted streams, decoded
	// tokens, and claims that have not been gossiped yet.
	linkPromptShare  = 0.5
	linkGapShare     = 0.4 // share of the objective for the time between events that may be spent queued on a link
	linkBurstSeconds = 0.2 // seconds of its share of a link that a node may use in one burst
	linkSteps        = 10  // steps of Need.LinkShare
)

// linkBudget is a token bucket of this node's transfer time on the link between two data centres. Parts of it bound what the
// requests with at most some share of it use together, so that the rest is left to those with a larger one. A part of the bucket
// that is only kept filled would not do: with many nodes the whole bucket holds less than one prompt.
type linkBudget struct {
	// remainingSeconds is the transfer time left, negative after an overdraft, by step of the share; the last is the whole budget.
	remainingSeconds [linkSteps]float64
	refilledAt       time.Time
}

// linkStep returns the step of a share of a link budget, of which 0 is the whole.
func linkStep(share float64) int {
	const rounding = 1e-9
	if share <= 0 || share >= 1 {
		return linkSteps - 1
	}
	return max(0, int(share*linkSteps+rounding)-1)
}

// isOpen reports whether a request with a share may use the budget.
func (l *linkBudget) isOpen(share float64) bool {
	return !slices.ContainsFunc(l.remainingSeconds[linkStep(share):], func(s float64) bool { return s <= 0 })
}

// charge charges a transfer time to the budget of requests with a share.
func (l *linkBudget) charge(share, seconds float64) {
	for i := linkStep(share); i < linkSteps; i++ {
		l.remainingSeconds[i] -= seconds
	}
}

// refill adds a time at a rate, up to a burst.
func (l *linkBudget) refill(rate, seconds float64) {
	for i := range l.remainingSeconds {
		part := rate
		if i < linkSteps-1 {
			part *= float64(i+1) / linkSteps
		}
		l.remainingSeconds[i] = min(linkBurstSeconds*part, l.remainingSeconds[i]+part*seconds)
	}
}

// linkKey returns the key under which the load of the link between two data centres is kept and gossiped.
func linkKey(a, b string) Key {
	if a > b {
		a, b = b, a
	}
	return Key{ID: a + "|" + b}
}

// SetNodes sets how many nodes share the links.
func (b *Board) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, n)
}

// transferTime returns how long the activations of a number of tokens take on a link, or 0 if the engine has no link
// capacity configured.
func transferTime(e *rules.Engine, tokens float64) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(tokens * e.ActivationBytes * bitsPerByte / (e.LinkMbps * bitsPerMegabit) * float64(time.Second))
}

// linkWait returns how long the prompts take that are queued on the link between two data centres.
func (b *Board) linkWait(e *rules.Engine, from, to string) time.Duration {
	s := b.state(linkKey(from, to))
	return transferTime(e, (s.prefill+s.peerClaims.Prefill)/float64(max(1, e.Layers)))
}

// linkState is the state of a link during one search.
type linkState struct {
	crosses   bool          // it leads to another data centre
	closed    bool          // this prompt may not cross now
	queueTime time.Duration // for the prompts that are queued on it
}

// linkBetween returns the state of the link between two data centres.
func (b *Board) linkBetween(n *Need, from, to string) linkState {
	if !crosses(from, to) || to == "" {
		return linkState{}
	}
	return linkState{crosses: true, closed: !n.overLinks && !b.mayCross(n, from, to), queueTime: b.linkWait(n.Engine, from, to)}
}

// crosses reports whether a step of a path leads to another data centre; from is "" for the first stage.
func crosses(from, to string) bool { return from != "" && from != to }

// mayCross reports whether a prompt may cross the link between two data centres now.
func (b *Board) mayCross(n *Need, from, to string) bool {
	transit := transferTime(n.Engine, n.PromptTokens)
	if transit == 0 || n.EventGap <= 0 {
		return true
	}
	budget := b.linkBudgetOf(linkKey(from, to))
	wait := b.linkWait(n.Engine, from, to)
	return budget.isOpen(n.LinkShare) && (wait == 0 || float64(wait+transit) <= linkGapShare*float64(n.EventGap))
}

// linkBudgetOf returns this node's budget on a link after refilling it. An overdraft by a large prompt is refilled
// first.
func (b *Board) linkBudgetOf(k Key) *linkBudget {
	budget, now := b.linkBudgets[k], b.now()
	rate := linkPromptShare / float64(b.nodes)
	if budget == nil {
		budget = &linkBudget{refilledAt: now}
		budget.refill(rate, linkBurstSeconds)
		b.linkBudgets[k] = budget
	}
	budget.refill(rate, now.Sub(budget.refilledAt).Seconds())
	budget.refilledAt = now
	return budget
}

// startCrossing charges the prompt to each link of a path that leads to a stage in prefillHops.
func (r *Reservation) startCrossing(e *rules.Engine, hops, prefillHops []Hop) {
	for i := 1; i < len(hops); i++ {
		from, to := hops[i-1].Upstream.DataCentre, hops[i].Upstream.DataCentre
		if from == to || !slices.Contains(prefillHops, hops[i]) {
			continue
		}
		k := linkKey(from, to)
		r.board.linkBudgetOf(k).charge(r.linkShare, transferTime(e, r.promptTokens).Seconds())
		r.crossedLinks = append(r.crossedLinks, k)
		s := r.board.state(k)
		s.inFlight++
		s.prefill += r.promptTokens * float64(r.modelLayers)
	}
}

// endCrossing removes the prompt from the links that it crossed.
func (r *Reservation) endCrossing() {
	for _, k := range r.crossedLinks {
		s := r.board.state(k)
		s.inFlight--
		s.prefill = max(0, s.prefill-r.promptTokens*float64(r.modelLayers))
	}
	r.crossedLinks = nil
}
