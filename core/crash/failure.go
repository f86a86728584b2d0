package crash

import "slices"

// failureDeaths is the number of other upstreams, of any data centre, that die at one moment in the failure of a service. Three
// requests that begin to crash upstreams at one moment leave four others to each.
const failureDeaths = 5

// isOneFailure reports whether all deaths of a request came at one moment, at which several upstreams died that ran no suspect of
// deaths at other moments. A request that is sent again during a failure loses a second upstream to the same failure,
// and so do others beside it: with two deaths each they would pass for the cause of each other's.
func (r *Registry) isOneFailure(f Fingerprint, rec *record, d *death) bool {
	if f.IsPart() || d.marks[f].Quarantined || hasDeathElsewhere(rec, d) {
		return false
	}
	near, all := 0, 0
	for _, o := range r.deaths {
		if _, ok := o.marks[f]; ok || o.upstream == d.upstream || !isSameMoment(o, d) || r.hasCauseElsewhere(o) {
			continue
		}
		all++
		if o.dataCentre == d.dataCentre {
			near++
		}
		// At once, as each period of gossip judges all suspects, of which an outage leaves hundreds.
		if near >= correlatedDeaths || all >= failureDeaths {
			return true
		}
	}
	return false
}

// hasCauseElsewhere reports whether an upstream ran a suspect at its death, not a trusted one, during which others died at another moment.
func (r *Registry) hasCauseElsewhere(d *death) bool {
	now := r.now()
	for f := range d.marks {
		if rec := r.records[f]; rec != nil && hasDeathElsewhere(rec, d) && !r.isTrusted(f, now) {
			return true
		}
	}
	return false
}

// hasDeathElsewhere reports whether a suspect was at a death at another moment than that of d.
func hasDeathElsewhere(rec *record, d *death) bool {
	return slices.ContainsFunc(rec.deaths, func(o *death) bool { return !isSameMoment(o, d) })
}

// isSameMoment reports whether one event may have caused two deaths.
func isSameMoment(a, b *death) bool { return a.at.Sub(b.at).Abs() <= momentWindow }
