package queue

import (
	"maps"
	"slices"
	"time"
)

// Snapshot returns a copy of the queue that shares no state with it. Nobody takes the turns of its waiters, so that a request that
// joins the copy finds the queue as it stood.
func (q *Queue) Snapshot() *Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := &Queue{
		now: q.now, wakeInterval: q.wakeInterval, arrived: q.arrived, virtual: q.virtual, tags: maps.Clone(q.tags), wakes: q.wakes,
		wokeAt: q.wokeAt, turnsLeft: q.turnsLeft, admitted: slices.Clone(q.admitted),
	}
	for _, w := range q.waiters {
		copied := &Waiter{
			queue: c, entry: w.entry, startTag: w.startTag, leastTag: w.leastTag, number: w.number, turn: make(chan struct{}, 1),
			turnWake: w.turnWake, passed: w.passed, turnedDown: w.turnedDown,
		}
		if q.holder == w {
			c.holder = copied
			if len(w.turn) > 0 {
				copied.turn <- struct{}{}
			}
		}
		c.waiters = append(c.waiters, copied)
	}
	if q.wakeTimer != nil { // Join looks at whether a wake is due, and stops its timer
		c.wakeTimer = time.AfterFunc(time.Hour, func() {})
		c.wakeTimer.Stop()
	}
	return c
}
