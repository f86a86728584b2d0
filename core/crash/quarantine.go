package crash

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// quarantineDelay is the age from which a mark counts for a quarantine. It leaves time for marks of other requests,
// which may explain the same deaths better, to arrive from other nodes.
const quarantineDelay = 100 * time.Millisecond

// updateQuarantine quarantines a request if its marks suffice, and reports whether it is in quarantine. The end of a
// quarantine withdraws its marks, so that further crashes quarantine the request again.
func (r *Registry) updateQuarantine(f Fingerprint, rec *record, now time.Time) bool {
	if rec.quarantineEnd.IsZero() {
		if len(rec.marks) < crashesToQuarantine {
			return false
		}
		settled := rec.settled(now)
		if !r.isLikelyCause(f, settled) {
			return false
		}
		// Not from now on, since the marks may be old: a restarted node's quarantine ends when those of the others do.
		rec.quarantineEnd = settled.sufficientAt().Add(r.quarantine)
		r.log.Info("quarantine", "fingerprint", string(f),
			"upstreams", strings.Join(slices.Sorted(maps.Keys(rec.marks)), " "), "for-ms", r.quarantine.Milliseconds())
	}
	if !rec.quarantineEnd.After(now) {
		r.applyClearance(Mark{Fingerprint: f, Stamp: rec.latestStamp(), Cleared: true})
		return false
	}
	return true
}

// isStrong reports whether the suspicion is strong enough for all nodes to run the request at one upstream only.
func (r *record) isStrong() bool {
	return r.count(BrokeBeforeFirstToken) > 0 || len(r.marks) >= crashesToQuarantine
}

// settled returns a record of the marks that count for a quarantine. Later marks don't postpone it.
func (r *record) settled(now time.Time) *record {
	out := &record{marks: make(map[string]deathMark, len(r.marks))}
	for upstream, m := range r.marks {
		if now.Sub(m.at) >= quarantineDelay {
			out.marks[upstream] = m
		}
	}
	return out
}

// requiredDeaths returns how many deaths a quarantine requires.
func (r *record) requiredDeaths() int {
	if r.count(WentSilent) > 0 {
		return crashesToQuarantine + 1
	}
	return crashesToQuarantine
}

// sufficientAt returns when the marks of a record that has enough of them began to suffice.
func (r *record) sufficientAt() time.Time {
	marks := slices.SortedFunc(maps.Values(r.marks), func(a, b deathMark) int { return a.at.Compare(b.at) })
	return marks[r.requiredDeaths()-1].at.Add(quarantineDelay)
}

// isLikelyCause reports whether enough upstreams died while they ran a request, and no other request explains the same
// deaths better. If another explains them equally well, one more death is required.
func (r *Registry) isLikelyCause(f Fingerprint, rec *record) bool {
	required := rec.requiredDeaths()
	if len(rec.marks) < required {
		return false
	}
	for other, o := range r.records {
		if other == f || !o.presentAtAllDeathsOf(rec) {
			continue
		}
		moreEarlyBreaks := o.count(BrokeBeforeFirstToken) - rec.count(BrokeBeforeFirstToken)
		if moreEarlyBreaks > 0 || (moreEarlyBreaks == 0 && len(rec.marks) == required) {
			return false
		}
	}
	return true
}

// latestStamp returns the highest stamp of the marks.
func (r *record) latestStamp() uint64 {
	latest := uint64(0)
	for _, m := range r.marks {
		latest = max(latest, m.Stamp)
	}
	return latest
}

// sameDeathWindow is the longest time between the marks of one death. An upstream that is back dies later.
const sameDeathWindow = time.Second

// presentAtAllDeathsOf reports whether a request ran on every upstream at the death that is a mark of another request.
func (r *record) presentAtAllDeathsOf(other *record) bool {
	for upstream, m := range other.marks {
		own, ok := r.marks[upstream]
		if !ok || own.at.Sub(m.at).Abs() > sameDeathWindow {
			return false
		}
	}
	return true
}

// isCorrelatedFailure reports whether other upstreams of the data centre died at the same time without the request of a
// mark, and without another request that upstreams die of. One other is not enough: two nodes may each have lost an
// upstream to copies of one request.
func (r *Registry) isCorrelatedFailure(m Mark, now time.Time) bool {
	others := 0
	for upstream, d := range r.deaths {
		if now.Sub(d.at) > suspicionTime {
			delete(r.deaths, upstream)
			continue
		}
		if upstream == m.Upstream || d.dataCentre != m.DataCentre || now.Sub(d.at) > correlationWindow {
			continue
		}
		if !slices.Contains(d.requests, m.Fingerprint) && !slices.ContainsFunc(d.requests, r.hasSeveralDeaths) {
			others++
		}
	}
	return others >= correlatedDeaths
}

// hasSeveralDeaths reports whether enough upstreams for a quarantine died while they ran a request.
func (r *Registry) hasSeveralDeaths(f Fingerprint) bool {
	rec := r.records[f]
	return rec != nil && len(rec.marks) >= crashesToQuarantine
}
