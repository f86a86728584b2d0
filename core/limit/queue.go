package limit

import (
	"container/heap"
	"time"
)

// waiter is a request that waits for a seat.
type waiter struct {
	demand   Demand
	deadline time.Time
	sequence uint64
	granted  chan *Grant
	index    int
}

// line holds one team's waiters by deadline.
type line []*waiter

func (l line) Len() int { return len(l) }

func (l line) Less(i, j int) bool {
	return earlier(l[i], l[j])
}

func earlier(a, b *waiter) bool {
	if a.deadline.Equal(b.deadline) {
		return a.sequence < b.sequence
	}
	return a.deadline.Before(b.deadline)
}

func (l line) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index, l[j].index = i, j
}

// Push appends a waiter, for container/heap.
func (l *line) Push(x any) {
	w := x.(*waiter)
	w.index = len(*l)
	*l = append(*l, w)
}

// Pop removes the last waiter, for container/heap.
func (l *line) Pop() any {
	old := *l
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	w.index = -1
	return w
}

// account is a team's place in the fair queue.
type account struct {
	team    string
	weight  float64
	virtual float64 // tokens granted over weight
	queued  float64 // tokens that wait
	waiting line
	used    time.Time
	running int // requests of the team in flight from this node
	// admitted counts the tokens of requests let in, of which more are likely to come.
	admitted decaying
	asked    leaky // tokens of all requests, refused ones too, beyond floodShare of the fair rate
	taken    leaky // tokens of requests that got a place, beyond the fair rate
}

// fairQueue shares grants over teams in proportion to their weights (start-time fair queueing).
type fairQueue struct {
	accounts map[string]*account
	virtual  float64 // virtual time of the latest grant
	length   int
	sequence uint64
}

func newFairQueue() *fairQueue { return &fairQueue{accounts: make(map[string]*account)} }

// account returns a team's account; a team that comes back from idleness starts at the present virtual
// time, so that it can't save up shares.
func (q *fairQueue) account(team string, weight float64, now time.Time) *account {
	a := q.accounts[team]
	if a == nil {
		a = &account{team: team}
		q.accounts[team] = a
	}
	a.weight = weight
	a.used = now
	if len(a.waiting) == 0 {
		a.virtual = max(a.virtual, q.virtual)
	}
	return a
}

// admit notes the tokens of a request that was let in.
func (a *account) admit(tokens float64, now time.Time) {
	a.admitted.add(tokens, now)
}

// charge takes a grant's tokens from a team's share.
func (q *fairQueue) charge(a *account, tokens float64) {
	q.virtual = max(q.virtual, a.virtual)
	a.virtual += tokens / a.weight
}

func (q *fairQueue) push(a *account, w *waiter) {
	q.sequence++
	w.sequence = q.sequence
	heap.Push(&a.waiting, w)
	a.queued += w.demand.Tokens
	q.length++
}

func (q *fairQueue) remove(a *account, w *waiter) {
	heap.Remove(&a.waiting, w.index)
	a.queued -= w.demand.Tokens
	q.length--
}

// ahead returns the tokens that go before a request of a team: its own backlog, and of every other team
// what waits or is likely to come within a time, but no more than that team's share gives it before
// this request's turn.
func (q *fairQueue) ahead(a *account, within time.Duration, now time.Time) float64 {
	turn := a.virtual + a.queued/a.weight
	sum := a.queued
	for _, o := range q.accounts {
		if o == a {
			continue
		}
		share := (turn - max(o.virtual, q.virtual)) * o.weight
		sum += max(0, min(o.queued+o.admitted.perSecond(now)*within.Seconds(), share))
	}
	return sum
}

// next returns the waiter to serve first among those of teams that may take a place and that fit, or nil.
func (q *fairQueue) next(may func(*account) bool, fits func(*waiter) bool) (*account, *waiter) {
	var chosen *account
	var first *waiter
	for _, a := range q.accounts {
		if len(a.waiting) == 0 || (chosen != nil && !before(a, chosen)) || !may(a) {
			continue
		}
		if w := a.firstFit(fits); w != nil {
			chosen, first = a, w
		}
	}
	return chosen, first
}

// anyWaiting reports whether a request waits of a team that may take a place.
func (q *fairQueue) anyWaiting(may func(*account) bool) bool {
	if q.length == 0 {
		return false
	}
	for _, a := range q.accounts {
		if len(a.waiting) > 0 && may(a) {
			return true
		}
	}
	return false
}

// mostScanned bounds how many of a team's waiters are looked at behind one that fits nowhere.
const mostScanned = 8

// firstFit returns the team's earliest waiter that fits; one that is bound to a full upstream holds up
// none behind it.
func (a *account) firstFit(fits func(*waiter) bool) *waiter {
	if fits(a.waiting[0]) {
		return a.waiting[0]
	}
	var first *waiter
	for _, w := range a.waiting[1:min(len(a.waiting), mostScanned)] {
		if (first == nil || earlier(w, first)) && fits(w) {
			first = w
		}
	}
	return first
}

func before(a, b *account) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return earlier(a.waiting[0], b.waiting[0])
}

// forget drops the accounts of teams that are idle, which 2,800 teams would otherwise pile up.
func (q *fairQueue) forget(before time.Time) {
	for team, a := range q.accounts {
		if len(a.waiting) == 0 && a.running == 0 && a.used.Before(before) && a.virtual <= q.virtual {
			delete(q.accounts, team)
		}
	}
}

// decaying is a sum that forgets over rateHorizon.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) perSecond(now time.Time) float64 {
	if gone := now.Sub(d.at); gone > 0 {
		d.sum *= max(0, 1-gone.Seconds()/rateHorizon.Seconds())
		d.at = now
	}
	return d.sum / rateHorizon.Seconds()
}

func (d *decaying) add(amount float64, now time.Time) {
	d.perSecond(now)
	d.sum += amount
}
