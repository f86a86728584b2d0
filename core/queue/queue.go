package queue

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rhubarbspread/core/admit"
)

// Parameters of turns.
const (
	// turnsPerWake bounds the searches for capacity that one wake starts. A large request at the head is passed by smaller ones,
	// and many waiting requests do not all search at once.
	turnsPerWake = 4
	rateWindow   = time.Second // over which the rate of requests that got capacity is taken
	maxTeams     = 4096        // teams whose start tags are kept
)

// WakeInterval is the least time between two wakes of a node's queue while requests wait. Under shortage some 35 events a second may
// free capacity among 370 nodes and 690 upstreams, each of which would start turnsPerWake searches. It is a tenth of the shortest
// objective for the first event that was seen, 500 ms.
const WakeInterval = 50 * time.Millisecond

// Entry is what the order of a queue depends on.
type Entry struct {
	Rank     admit.Rank
	Raised   bool // has been admitted too seldom, and stands first
	Team     string
	Tokens   float64   // that the request costs its team
	AimUntil time.Time // until which it can still meet its objective if it gets capacity; zero for none
}

// Queue holds the waiting requests of one service. It is safe for concurrent use.
type Queue struct {
	now          func() time.Time
	wakeInterval time.Duration // least time between two wakes; 0 for none

	mu      sync.Mutex
	waiters []*Waiter // in order, as of the latest sort
	arrived uint64    // requests that have joined
	// virtual is the start tag of the latest request that got capacity (start-time fair queueing): a team's tag is that of its
	// last request plus its tokens, and a team that was idle starts here.
	virtual   float64
	tags      map[string]float64 // by team, the start tag of its next request
	wakes     uint64             // number of wakes
	wokeAt    time.Time          // when the latest wake met waiting requests
	wakeTimer *time.Timer        // makes the wake that waits for the end of wakeInterval, or nil
	turnsLeft int                // of the latest wake
	holder    *Waiter            // has the turn, or nil
	admitted  []time.Time        // when requests got capacity, within rateWindow
}

// Option configures a Queue.
type Option func(*Queue)

// WithClock sets the source of time.
func WithClock(now func() time.Time) Option { return func(q *Queue) { q.now = now } }

// WithWakeInterval sets the least time between two wakes while requests wait; calls of Wake between them are joined into the next one.
func WithWakeInterval(d time.Duration) Option { return func(q *Queue) { q.wakeInterval = d } }

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{now: time.Now, tags: make(map[string]float64)}
	for _, o := range opts {
		o(q)
	}
	return q
}

// Waiter is one request in a queue.
type Waiter struct {
	queue      *Queue
	entry      Entry
	startTag   float64
	leastTag   float64 // the start tag that it would have without earlier requests of its team
	number     uint64  // by arrival
	turn       chan struct{}
	turnWake   uint64 // number of the latest wake when it got its latest turn
	passed     bool   // had its turn since the latest wake
	turnedDown bool   // found no capacity in that turn
	left       bool
}

// Join adds a request, which has to Leave. It gets a turn at once unless a request ahead of it has found no capacity since the
// latest wake.
func (q *Queue) Join(e Entry) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.arrived++
	w := &Waiter{queue: q, entry: e, number: q.arrived, turn: make(chan struct{}, 1), leastTag: q.virtual}
	w.startTag = max(w.leastTag, q.tags[e.Team])
	q.setTag(e.Team, w.startTag+e.Tokens)
	q.waiters = append(q.waiters, w)
	q.sort()
	if q.wakeTimer != nil && q.isBlocked(w) {
		q.wake() // capacity may have become free since the latest wake, and a new request is not to wait for the next one
	}
	if !q.isBlocked(w) {
		q.turnsLeft = max(q.turnsLeft, 1)
		q.offer()
	}
	return w
}

// isBlocked reports whether a request ahead of another one has found no capacity since the latest wake.
func (q *Queue) isBlocked(w *Waiter) bool {
	return slices.ContainsFunc(q.waiters[:slices.Index(q.waiters, w)], func(o *Waiter) bool { return o.turnedDown })
}

// setTag sets a team's next start tag. Tags in the past say nothing and are dropped when there are many. Where each of many teams
// sends few requests, all tags lie ahead; then all teams start anew from the latest one.
func (q *Queue) setTag(team string, tag float64) {
	if _, ok := q.tags[team]; !ok && len(q.tags) >= maxTeams {
		latest := q.virtual
		for t, old := range q.tags {
			latest = max(latest, old)
			if old <= q.virtual {
				delete(q.tags, t)
			}
		}
		if len(q.tags) >= maxTeams {
			clear(q.tags)
			q.virtual = latest
		}
	}
	q.tags[team] = tag
}

// refundTag takes the tokens of a request that got no capacity out of the tags of its team's later requests, so that refusals cost
// its team no turns.
func (q *Queue) refundTag(w *Waiter) {
	var later []*Waiter
	for _, o := range q.waiters {
		if o.entry.Team == w.entry.Team && o.number > w.number {
			later = append(later, o)
		}
	}
	slices.SortFunc(later, func(a, b *Waiter) int { return cmp.Compare(a.number, b.number) })
	tokens := w.entry.Tokens
	for _, o := range later {
		tag := min(o.startTag, max(o.leastTag, o.startTag-tokens))
		o.startTag, tokens = tag, o.startTag-tag
	}
	if tag, ok := q.tags[w.entry.Team]; ok {
		q.tags[w.entry.Team] = tag - tokens
	}
}

// sort puts the waiting requests in order. Whether one can still meet its objective changes with time.
func (q *Queue) sort() {
	now := q.now()
	slices.SortFunc(q.waiters, func(a, b *Waiter) int {
		return cmp.Or(
			compareBool(b.entry.Raised, a.entry.Raised),
			a.entry.Rank.Compare(b.entry.Rank),
			compareBool(b.canMeetObjective(now), a.canMeetObjective(now)),
			cmp.Compare(a.startTag, b.startTag),
			cmp.Compare(a.number, b.number),
		)
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (w *Waiter) canMeetObjective(now time.Time) bool {
	return w.entry.AimUntil.IsZero() || now.Before(w.entry.AimUntil)
}

// Wake offers turns, as capacity may have become free. While requests wait, it does so at the end of the wake interval if the latest
// wake was within it.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait := q.wakeInterval - q.now().Sub(q.wokeAt)
	if len(q.waiters) == 0 || wait <= 0 {
		q.wake()
		return
	}
	if q.wakeTimer != nil {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(wait, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.wakeTimer == timer {
			q.wake()
		}
	})
	q.wakeTimer = timer
}

// wake offers turns now, and takes the place of a wake that waits for the end of the interval.
func (q *Queue) wake() {
	if q.wakeTimer != nil {
		q.wakeTimer.Stop()
		q.wakeTimer = nil
	}
	if len(q.waiters) > 0 {
		q.wokeAt = q.now()
	}
	for _, w := range q.waiters {
		w.passed, w.turnedDown = false, false
	}
	q.wakes++
	q.turnsLeft = turnsPerWake
	q.sort()
	q.offer()
}

// offer gives the turn to the first request that has not had it since the latest wake.
func (q *Queue) offer() {
	if q.holder != nil || q.turnsLeft <= 0 {
		return
	}
	for _, w := range q.waiters {
		if !w.passed {
			q.holder = w
			w.turnWake = q.wakes
			q.turnsLeft--
			w.turn <- struct{}{}
			return
		}
	}
}

// Turn returns a channel that receives when the request may look for capacity. Then it has to Pass, Skip or Leave.
func (w *Waiter) Turn() <-chan struct{} { return w.turn }

// Pass gives the turn on, as the request found no capacity. If there was a wake since it got the turn, it may have looked too early
// and can get another one.
func (w *Waiter) Pass() {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.turnWake == q.wakes {
		w.passed, w.turnedDown = true, true
	}
	q.release(w)
	q.offer()
}

// Skip gives the turn on, as the request may not look for capacity now. It does not hold up the requests behind it.
func (w *Waiter) Skip() {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	w.passed, w.turnedDown = true, false
	if q.release(w) {
		q.turnsLeft++
	}
	q.offer()
}

// IsBlocked reports whether a request ahead of this one has found no capacity since the latest wake.
func (w *Waiter) IsBlocked() bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	return !w.left && w.queue.isBlocked(w)
}

// release takes the turn from a request that has it, and reports whether the request had taken it up. A turn that was not is left
// for the next request.
func (q *Queue) release(w *Waiter) bool {
	if q.holder != w {
		return false
	}
	q.holder = nil
	select {
	case <-w.turn:
		q.turnsLeft++
		return false
	default:
		return true
	}
}

// Leave removes the request. One that got capacity gives the others behind it another turn, as there may be more. So does one that
// found none, as it may have held them up for being larger.
func (w *Waiter) Leave(gotCapacity bool) {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.left {
		return
	}
	w.left = true
	q.waiters = slices.DeleteFunc(q.waiters, func(o *Waiter) bool { return o == w })
	if gotCapacity {
		q.virtual = max(q.virtual, w.startTag)
		q.admitted = append(q.recent(), q.now())
		q.turnsLeft = max(q.turnsLeft, 1)
	} else {
		q.refundTag(w)
	}
	if w.turnedDown {
		q.turnsLeft = max(q.turnsLeft, 1)
	}
	q.release(w)
	q.offer()
}

// recent returns the times within rateWindow at which requests got capacity.
func (q *Queue) recent() []time.Time {
	now := q.now()
	i := 0
	for i < len(q.admitted) && now.Sub(q.admitted[i]) > rateWindow {
		i++
	}
	return q.admitted[i:]
}

// Rate returns how many requests got capacity in the last second.
func (q *Queue) Rate() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admitted = q.recent()
	return float64(len(q.admitted)) / rateWindow.Seconds()
}

// Ahead returns how many requests are ahead of this one.
func (w *Waiter) Ahead() int {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	return max(0, slices.Index(w.queue.waiters, w))
}

// Len returns how many requests wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}
