package crash

import (
	"slices"
	"time"
)

// Bounds of the record of parts in use.
const (
	usagePeriod  = 30 * time.Second // a part is forgotten after one to two periods without use
	maxUsedParts = 4096             // in one period; the IDs of parts come from callers
)

// partUse is how one part was used of late.
type partUse struct {
	requests int
	soundEnd clearance // latest complete answer to a request with the part; zero if there was none
}

// usage counts the latest requests with each part on this node, in two periods of which the older is dropped.
type usage struct {
	current, previous map[Fingerprint]*partUse
	startedAt         time.Time // of the current period
}

// use returns the entry of a part in the current period.
func (u *usage) use(f Fingerprint, now time.Time) *partUse {
	if u.current == nil || now.Sub(u.startedAt) > usagePeriod || len(u.current) >= maxUsedParts {
		u.previous, u.current, u.startedAt = u.current, make(map[Fingerprint]*partUse), now
	}
	p := u.current[f]
	if p == nil {
		p = &partUse{}
		if old := u.previous[f]; old != nil {
			*p = *old
			p.requests /= 2 // so that the count decays
		}
		u.current[f] = p
	}
	return p
}

// get returns how a part was used of late.
func (u *usage) get(f Fingerprint) partUse {
	if p := u.current[f]; p != nil {
		return *p
	}
	if p := u.previous[f]; p != nil {
		return *p
	}
	return partUse{}
}

// answers holds the latest answers on this node, the oldest of which is replaced next.
type answers struct {
	latest [16]answer
	next   int
}

// answer is an answer to a request with some parts.
type answer struct {
	at    time.Time
	parts []Fingerprint
}

func (a *answers) record(parts []Fingerprint, now time.Time) {
	a.latest[a.next] = answer{now, parts}
	a.next = (a.next + 1) % len(a.latest)
}

// hasWithout reports whether there was an answer to a request without a part since a time.
func (a *answers) hasWithout(part Fingerprint, since time.Time) bool {
	return slices.ContainsFunc(a.latest[:], func(x answer) bool {
		return x.at.After(since) && !slices.Contains(x.parts, part)
	})
}
