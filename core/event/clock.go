package event

import (
	"sync"
	"time"
)

// logicalBits is the width of the logical counter in a Stamp, which orders events within one millisecond.
const logicalBits = 16

// Stamp is a hybrid logical timestamp: milliseconds since the Unix epoch in the high bits, a 16-bit counter in
// the low bits.
type Stamp uint64

// Time returns the wall time of a stamp, to the millisecond.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// Clock is a hybrid logical clock: each stamp is greater than all that it issued or received from peers before.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock that reads wall time from now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Next returns a stamp greater than all that were issued or received before.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := Stamp(c.now().UnixMilli()) << logicalBits
	c.last = max(c.last+1, wall)
	return c.last
}

// Observe merges a stamp received from a peer, so that later events here are stamped after it.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}

// StampOf returns the smallest stamp of the millisecond of t.
func StampOf(t time.Time) Stamp { return Stamp(t.UnixMilli()) << logicalBits }
