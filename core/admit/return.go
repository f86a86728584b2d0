package admit

import "time"

// Shares of a caller's remaining time, from which its Retry-After is drawn.
const (
	urgentReturnShare  = 0.05    // earliest return of the most urgent class
	patientReturnShare = 0.15    // earliest return of the least urgent class
	returnSpread       = 0.15    // by which the returns of a class are spread
	maxReturnShare     = 1.0 / 3 // beyond it callers do not wait
	maxReturnSpread    = 0.03    // by which returns at the longest time are spread
	lateReturnShare    = 0.4     // earliest return of callers for whom there is no capacity
	lateReturnSpread   = 0.15    // by which these are spread
)

// returns hands out the times at which refused callers of one class come back.
type returns struct {
	admitted window
	last     time.Time // latest time handed out
	// due is the part of a caller that is still to be called back, of callers who were refused for the first time and of the others.
	due      [2]float64
	hasBegun bool
}

// LongestRetry returns the longest time that a caller waits before it retries; left is its remaining time.
func LongestRetry(left time.Duration) time.Duration {
	return time.Duration(maxReturnShare * float64(left))
}

// RetryAfter returns the delay after which a refused caller may retry; left is its remaining time, and random is uniform in
// [0, 1). While requests are known to go unserved, callers for whom the fleet has capacity come back at the longest time that they wait,
// and the others later. Else times are handed out no faster than requests of the class were admitted lately at this node.
func (t *Ticket) RetryAfter(left time.Duration, random float64) time.Duration {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.classOf(t.request.Rank)
	if left <= 0 || i < 0 { // a configuration may have taken admission out of force since the request arrived
		return time.Duration((urgentReturnShare + returnSpread*random) * float64(max(0, left)))
	}
	now, r := c.now(), &c.classes[i].returns
	latest := now.Add(time.Duration((maxReturnShare - maxReturnSpread*random) * float64(left)))
	switch isCalled, isShort := c.callBack(i, t.isLate, random, now); {
	case !isCalled: // falls with random like the other times and the draw, so that 0 and 1 give the bounds of an explanation
		return time.Duration((lateReturnShare + lateReturnSpread*(1-random)) * float64(left))
	case isShort:
		return latest.Sub(now)
	}
	position := 0.0
	if len(c.classes) > 1 {
		position = float64(i) / float64(len(c.classes)-1)
	}
	spread := returnSpread
	if c.floors.all.admitted < leastAdmitted {
		// After a restart of many nodes the first callers of each come back before any node knows of the others'.
		spread, latest = maxReturnShare-patientReturnShare, now.Add(LongestRetry(left))
	}
	share := urgentReturnShare + position*(patientReturnShare-urgentReturnShare) + spread*random
	at := now.Add(time.Duration(share * float64(left)))
	if next := r.last.Add(countWindow / time.Duration(max(1, r.admitted.count(now)))); next.After(at) {
		at = next
	}
	if at.After(latest) {
		return latest.Sub(now)
	}
	if at.After(r.last) {
		r.last = at
	}
	return at.Sub(now)
}
