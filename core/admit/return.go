package admit

import "time"

// Shares of a caller's remaining time, from which its Retry-After is drawn.
const (
	urgentReturnShare  = 0.05    // earliest return of the most urgent class
	patientReturnShare = 0.15    // earliest return of the least urgent class
	returnSpread       = 0.15    // by which the returns of a class are spread
	maxReturnShare     = 1.0 / 3 // beyond it callers do not wait
	maxReturnSpread    = 0.03    // by which returns at the longest time are spread
)

// returns hands out the times at which refused callers of one class come back.
type returns struct {
	admitted window
	last     time.Time // latest time handed out
}

// RetryAfter returns the delay after which a refused caller may retry; left is its remaining time, and random is uniform in
// [0, 1). Times are handed out no faster than requests of the class were admitted lately, as far as the callers' time allows.
func (t *Ticket) RetryAfter(left time.Duration, random float64) time.Duration {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.classOf(t.request.Rank)
	if left <= 0 || i < 0 { // a configuration may have taken admission out of force since the request arrived
		return time.Duration((urgentReturnShare + returnSpread*random) * float64(max(0, left)))
	}
	now, r := c.now(), &c.classes[i].returns
	position := 0.0
	if len(c.classes) > 1 {
		position = float64(i) / float64(len(c.classes)-1)
	}
	share := urgentReturnShare + position*(patientReturnShare-urgentReturnShare) + returnSpread*random
	at := now.Add(time.Duration(share * float64(left)))
	if next := r.last.Add(countWindow / time.Duration(max(1, r.admitted.count(now)))); next.After(at) {
		at = next
	}
	latest := now.Add(time.Duration((maxReturnShare - maxReturnSpread*random) * float64(left)))
	if at.After(latest) {
		return latest.Sub(now)
	}
	if at.After(r.last) {
		r.last = at
	}
	return at.Sub(now)
}
