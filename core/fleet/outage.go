package fleet

import "time"

// Outage tracks failures to read the upstream list and tells whether an expired entry may reappear: entries that
// expire while the platform's store is unavailable are rewritten soon after it recovers.
type Outage struct {
	minOutage    time.Duration // shortest outage in which entries may expire
	gracePeriod  time.Duration // after a recovery until an expired entry counts as removed
	isFailing    bool
	failingSince time.Time
	recoveredAt  time.Time // end of the latest outage of at least minOutage
}

// NewOutage returns the state of an available store; minOutage is the interval at which upstreams renew their entries.
func NewOutage(minOutage, gracePeriod time.Duration) *Outage {
	return &Outage{minOutage: minOutage, gracePeriod: gracePeriod}
}

// ReadFailed records a failure to read the list of upstreams.
func (o *Outage) ReadFailed(now time.Time) {
	if !o.isFailing {
		o.isFailing, o.failingSince = true, now
	}
}

// ReadSucceeded records a successful read of the list of upstreams.
func (o *Outage) ReadSucceeded(now time.Time) {
	if o.isFailing && now.Sub(o.failingSince) >= o.minOutage {
		o.recoveredAt = now
	}
	o.isFailing = false
}

// GraceEnd returns the time until which an entry that expires now may reappear.
func (o *Outage) GraceEnd(now time.Time) time.Time {
	if o.isFailing {
		// Another node saw it expire, perhaps in a list read just after the store recovered.
		return now.Add(o.gracePeriod)
	}
	if o.recoveredAt.IsZero() {
		return time.Time{}
	}
	return o.recoveredAt.Add(o.gracePeriod)
}
