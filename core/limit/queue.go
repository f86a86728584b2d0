package limit

import (
	"container/heap"
	"time"
)

// waiter is a queued request.
type waiter struct {
	demand   Demand
	deadline time.Time
	sequence uint64      // order of arrival
	granted  chan *Grant // receives the grant
	index    int         // position in the heap, or -1 once removed
}

// waiterHeap is a min-heap of one team's waiters by deadline.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	return earlierDeadline(h[i], h[j])
}

func earlierDeadline(a, b *waiter) bool {
	if a.deadline.Equal(b.deadline) {
		return a.sequence < b.sequence
	}
	return a.deadline.Before(b.deadline)
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a waiter, for container/heap.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter, for container/heap.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}

// account is a team's state in the fair queue.
type account struct {
	team         string
	weight       float64
	virtualTime  float64 // granted tokens divided by weight
	queuedTokens float64 // tokens of queued requests
	waiters      waiterHeap
	lastUsed     time.Time
	running      int // requests of the team in flight from this node
	// admittedTokens counts the tokens of admitted requests, to predict how many more arrive.
	admittedTokens decayingSum
	excessDemand   leakyBucket // tokens of all requests, including refused ones, beyond floodFactor times the fair rate
	excessGrants   leakyBucket // tokens of granted requests beyond the fair rate
}

// fairQueue divides grants among teams in proportion to their weights, by start-time fair queueing.
type fairQueue struct {
	accounts    map[string]*account
	virtualTime float64 // of the latest grant
	length      int
	sequence    uint64
}

func newFairQueue() *fairQueue { return &fairQueue{accounts: make(map[string]*account)} }

// account returns a team's account. A team without queued requests starts at the current virtual time, so that an
// idle team does not accumulate a claim to later grants.
func (q *fairQueue) account(team string, weight float64, now time.Time) *account {
	a := q.accounts[team]
	if a == nil {
		a = &account{team: team}
		q.accounts[team] = a
	}
	a.weight = weight
	a.lastUsed = now
	if len(a.waiters) == 0 {
		a.virtualTime = max(a.virtualTime, q.virtualTime)
	}
	return a
}

// recordAdmission counts the tokens of an admitted request.
func (a *account) recordAdmission(tokens float64, now time.Time) {
	a.admittedTokens.add(tokens, now)
}

// charge advances a team's virtual time by the tokens of a grant.
func (q *fairQueue) charge(a *account, tokens float64) {
	q.virtualTime = max(q.virtualTime, a.virtualTime)
	a.virtualTime += tokens / a.weight
}

func (q *fairQueue) push(a *account, w *waiter) {
	q.sequence++
	w.sequence = q.sequence
	heap.Push(&a.waiters, w)
	a.queuedTokens += w.demand.Tokens
	q.length++
}

func (q *fairQueue) remove(a *account, w *waiter) {
	heap.Remove(&a.waiters, w.index)
	a.queuedTokens -= w.demand.Tokens
	q.length--
}

// tokensAhead predicts the tokens that are served before a new request of a team: the team's own backlog, and from
// every other team the tokens that are queued or expected to arrive within a duration, capped at what that team's
// share grants it before this request's turn.
func (q *fairQueue) tokensAhead(a *account, within time.Duration, now time.Time) float64 {
	turn := a.virtualTime + a.queuedTokens/a.weight
	sum := a.queuedTokens
	for _, o := range q.accounts {
		if o == a {
			continue
		}
		share := (turn - max(o.virtualTime, q.virtualTime)) * o.weight
		sum += max(0, min(o.queuedTokens+o.admittedTokens.perSecond(now)*within.Seconds(), share))
	}
	return sum
}

// next returns the next waiter to serve and its account: one that fits, of the eligible team with the lowest virtual
// time. It returns nil if there is none.
func (q *fairQueue) next(eligible func(*account) bool, fits func(*waiter) bool) (*account, *waiter) {
	var chosen *account
	var found *waiter
	for _, a := range q.accounts {
		if len(a.waiters) == 0 || (chosen != nil && !servedBefore(a, chosen)) || !eligible(a) {
			continue
		}
		if w := a.firstFit(fits); w != nil {
			chosen, found = a, w
		}
	}
	return chosen, found
}

// anyWaiting reports whether an eligible team has queued requests.
func (q *fairQueue) anyWaiting(eligible func(*account) bool) bool {
	if q.length == 0 {
		return false
	}
	for _, a := range q.accounts {
		if len(a.waiters) > 0 && eligible(a) {
			return true
		}
	}
	return false
}

// maxScanned limits how many of a team's waiters are tried when its earliest does not fit.
const maxScanned = 8

// firstFit returns the earliest waiter that fits among the first maxScanned of the team, or nil. It looks past the
// earliest because a request bound to a full upstream would otherwise cause head-of-line blocking.
func (a *account) firstFit(fits func(*waiter) bool) *waiter {
	if fits(a.waiters[0]) {
		return a.waiters[0]
	}
	var earliest *waiter
	for _, w := range a.waiters[1:min(len(a.waiters), maxScanned)] {
		if (earliest == nil || earlierDeadline(w, earliest)) && fits(w) {
			earliest = w
		}
	}
	return earliest
}

func servedBefore(a, b *account) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return earlierDeadline(a.waiters[0], b.waiters[0])
}

// pruneIdle drops the accounts of idle teams; with 2,800 teams they would accumulate.
func (q *fairQueue) pruneIdle(before time.Time) {
	for team, a := range q.accounts {
		if len(a.waiters) == 0 && a.running == 0 && a.lastUsed.Before(before) && a.virtualTime <= q.virtualTime {
			delete(q.accounts, team)
		}
	}
}

// decayingSum is a sum that decays over rateWindow.
type decayingSum struct {
	sum       float64
	updatedAt time.Time
}

func (d *decayingSum) perSecond(now time.Time) float64 {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.sum *= max(0, 1-elapsed.Seconds()/rateWindow.Seconds())
		d.updatedAt = now
	}
	return d.sum / rateWindow.Seconds()
}

func (d *decayingSum) add(amount float64, now time.Time) {
	d.perSecond(now)
	d.sum += amount
}
