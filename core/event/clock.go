package event

import (
	"sync"
	"time"
)

// logicalBits is the low part of a Stamp, which counts events within one millisecond.
const logicalBits = 16

// Stamp is a hybrid logical time: milliseconds since 1970 above a 16-bit counter.
type Stamp uint64

// Wall returns the physical part of a stamp.
func (s Stamp) Wall() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// Clock issues stamps that grow with every event and pass every stamp seen from a peer.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock over a source of wall time.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Next returns a stamp greater than all issued or seen before.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := Stamp(c.now().UnixMilli()) << logicalBits
	c.last = max(c.last+1, wall)
	return c.last
}

// Saw notes a stamp that came from a peer, so that what follows here is stamped after it.
func (c *Clock) Saw(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}

// StampOf returns the least stamp of a time.
func StampOf(t time.Time) Stamp { return Stamp(t.UnixMilli()) << logicalBits }
