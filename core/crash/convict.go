package crash

import (
	"slices"
	"time"
)

// convictionDelay is how old the latest mark must be before a quarantine: marks of other requests, which
// may explain the same deaths better, are to come from other nodes first.
const convictionDelay = 100 * time.Millisecond

// convict quarantines a request whose marks suffice, and reports whether it is in quarantine.
func (r *Registry) convict(f Fingerprint, rec *record, now time.Time) bool {
	if rec.until.After(now) {
		return true
	}
	if !rec.until.IsZero() {
		return false
	}
	for _, t := range rec.marks {
		if now.Sub(t.at) < convictionDelay {
			return false
		}
	}
	if r.isCulprit(f, rec) {
		rec.until = now.Add(r.quarantine)
	}
	return rec.until.After(now)
}

// isStrong reports whether all nodes have to take care with a request together.
func (r *record) isStrong() bool {
	return r.count(BrokeAtOnce) > 0 || len(r.marks) >= crashesToQuarantine
}

// isCulprit reports whether enough upstreams died of a request, and no other request explains the same
// deaths better. One that explains them as well leaves it open until the next death.
func (r *Registry) isCulprit(f Fingerprint, rec *record) bool {
	needed := crashesToQuarantine
	if rec.count(FellSilent) > 0 {
		needed++
	}
	if len(rec.marks) < needed {
		return false
	}
	for other, o := range r.records {
		if other == f || !o.explains(rec) {
			continue
		}
		better := o.count(BrokeAtOnce) - rec.count(BrokeAtOnce)
		if better > 0 || (better == 0 && len(rec.marks) == needed) {
			return false
		}
	}
	return true
}

// explains reports whether a request was there at every death that another was there at.
func (r *record) explains(other *record) bool {
	for upstream := range other.marks {
		if _, ok := r.marks[upstream]; !ok {
			return false
		}
	}
	return true
}

// isMassDeath reports whether others of the data centre died just now of something else. One other is not
// enough: two nodes may each have lost an upstream to copies of one request.
func (r *Registry) isMassDeath(m Mark, now time.Time) bool {
	others := 0
	for upstream, d := range r.deaths {
		if now.Sub(d.at) > suspicionTime {
			delete(r.deaths, upstream)
			continue
		}
		if upstream == m.Upstream || d.dataCentre != m.DataCentre || now.Sub(d.at) > massWindow {
			continue
		}
		if !slices.Contains(d.marked, m.Fingerprint) {
			others++
		}
	}
	return others >= massDeaths
}
