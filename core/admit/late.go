package admit

import "time"

// Parameters of the recognition of callers who come back. Nothing in a request says that it is a retry, but the time that its caller
// has left does, where it is less than callers begin with.
const (
	// leastTimeShare is the share of requests whose callers begin with less time than the estimate.
	leastTimeShare = 0.05
	leastTimeStep  = 0.02 // relative step of the estimate for each request
	// enoughTimes is how many requests an estimate needs; it begins with the least time among them.
	enoughTimes = 16
)

// startTime estimates the least time that callers begin with. Callers' deadlines differ, by some seconds of 20 in one fleet, so that no
// single time is the usual one.
type startTime struct {
	least time.Duration
	count int
}

func (s *startTime) add(left time.Duration) {
	switch {
	case s.count < enoughTimes:
		if s.count == 0 || left < s.least {
			s.least = left
		}
		s.count++
	case left < s.least:
		s.least -= time.Duration(leastTimeStep * (1 - leastTimeShare) * float64(s.least))
	default:
		s.least += time.Duration(leastTimeStep * leastTimeShare * float64(s.least))
	}
}

// isUnder reports whether a caller has less time left than callers begin with, by more than an objective.
func (s *startTime) isUnder(left, objective time.Duration) bool {
	return s.count >= enoughTimes && left < s.least-objective
}

// isLate reports whether a request of a class must have missed its objective before it arrived. A class whose callers begin with less time
// than others is recognized once it has had enough requests.
func (c *Controller) isLate(s *classState, left time.Duration) bool {
	if s.FirstEvent <= 0 || left <= 0 || !c.startTime.isUnder(left, s.FirstEvent) {
		return false
	}
	return s.startTime.count < enoughTimes || s.startTime.isUnder(left, s.FirstEvent)
}

// addStart records the time that a caller begins with, unless it may be one who was refused and comes back.
func (c *Controller) addStart(s *classState, left time.Duration, now time.Time) {
	if left > 0 && now.Sub(c.unservedAt) > time.Duration(maxReturnShare*float64(left)) {
		c.startTime.add(left)
		s.startTime.add(left)
	}
}
