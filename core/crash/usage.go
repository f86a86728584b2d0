package crash

import (
	"slices"
	"time"
)

// Bounds of the record of parts in use.
const (
	usagePeriod   = 30 * time.Second // a part is forgotten after one to two periods without use
	maxUsedParts  = 4096             // in one period; the IDs of parts come from callers
	maxCompanions = maxSuspectParts  // of one part that are remembered
	commonShare   = 2                // the share of all requests, as a divisor, from which on a part is in most of them
)

// partUse is how one part was used of late.
type partUse struct {
	requests   int
	soundEnd   clearance     // latest complete answer to a request with the part; zero if there was none
	companions []Fingerprint // other parts of its requests, the first ones
}

// usage counts the latest requests with each part on this node, in two periods of which the older is dropped.
type usage struct {
	current, previous map[Fingerprint]*partUse
	startedAt         time.Time // of the current period
	requests          int       // that had parts; those of earlier periods count by half
}

// use returns the entry of a part in the current period.
func (u *usage) use(f Fingerprint, now time.Time) *partUse {
	if u.current == nil || now.Sub(u.startedAt) > usagePeriod || len(u.current) >= maxUsedParts {
		u.previous, u.current, u.startedAt = u.current, make(map[Fingerprint]*partUse), now
		u.requests /= 2
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

// rate returns about how many requests with a part came in a second.
func (u *usage) rate(f Fingerprint, now time.Time) float64 {
	covered := now.Sub(u.startedAt) // by the current period, and by the half of the one before that counts
	if u.previous != nil {
		covered += usagePeriod / 2
	}
	return float64(u.get(f).requests) / max(time.Second, covered).Seconds()
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

// record counts a request with some parts.
func (u *usage) record(parts []Fingerprint, now time.Time) {
	for _, f := range parts {
		p := u.use(f, now)
		p.requests++
		for _, g := range parts {
			if g != f && len(p.companions) < maxCompanions && !slices.Contains(p.companions, g) {
				p.companions = append(p.companions, g)
			}
		}
	}
	if len(parts) > 0 {
		u.requests++
	}
}

// isCommon reports whether a part is in most requests, so that it is at most deaths whatever their cause.
func (u *usage) isCommon(f Fingerprint) bool {
	return u.requests >= comparableUses && commonShare*u.get(f).requests > u.requests
}

// areTogether reports whether requests are known that have both of two parts.
func (u *usage) areTogether(f, g Fingerprint) bool {
	return slices.Contains(u.get(f).companions, g) || slices.Contains(u.get(g).companions, f)
}
