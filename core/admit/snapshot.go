package admit

import (
	"maps"
	"time"
)

// Snapshot returns a copy of the controller that shares no state with it and records no demand. Its clock is ahead by what the
// function returns.
func (c *Controller) Snapshot(ahead func() time.Duration) *Controller {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now
	s := &Controller{
		service: c.service, now: func() time.Time { return now().Add(ahead()) }, peers: maps.Clone(c.peers), floors: c.floors.clone(),
		startTime: c.startTime, pace: c.pace, unservedAt: c.unservedAt,
	}
	for _, class := range c.classes {
		copied := *class
		copied.waiting = nil
		for _, t := range class.waiting {
			ticket := *t
			ticket.controller = s
			copied.waiting = append(copied.waiting, &ticket)
		}
		s.classes = append(s.classes, &copied)
	}
	return s
}

// clone returns a copy that shares no state.
func (f *floors) clone() floors {
	return floors{all: f.all, classes: cloneShares(f.classes), large: cloneShares(f.large), teams: cloneShares(f.teams), sweptAt: f.sweptAt}
}

func cloneShares[K comparable](m map[K]*share) map[K]*share {
	c := make(map[K]*share, len(m))
	for key, s := range m {
		copied := *s
		c[key] = &copied
	}
	return c
}
