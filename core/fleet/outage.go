package fleet

import "time"

// Outage tells whether an entry that lapsed may still come back: those that ran out while the platform's store was
// away are written again soon after its return.
type Outage struct {
	least  time.Duration // an outage that is shorter lets no entry run out
	grace  time.Duration // after the return until a lapsed entry counts as gone
	isLost bool
	lostAt time.Time
	back   time.Time // of the latest return after an outage that was long enough
}

// NewOutage returns the state of a store that answers; least is the time between two entries of an upstream.
func NewOutage(least, grace time.Duration) *Outage {
	return &Outage{least: least, grace: grace}
}

// Lost notes that the list of upstreams could not be read.
func (o *Outage) Lost(now time.Time) {
	if !o.isLost {
		o.isLost, o.lostAt = true, now
	}
}

// Back notes that the list of upstreams could be read.
func (o *Outage) Back(now time.Time) {
	if o.isLost && now.Sub(o.lostAt) >= o.least {
		o.back = now
	}
	o.isLost = false
}

// Until returns until when an entry that lapses now may come back.
func (o *Outage) Until(now time.Time) time.Time {
	if o.isLost {
		return now.Add(o.grace) // another node told of it, which may itself be back since a moment
	}
	if o.back.IsZero() {
		return time.Time{}
	}
	return o.back.Add(o.grace)
}
