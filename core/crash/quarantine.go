package crash

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Rules of a quarantine.
const (
	crashesToQuarantine = 2 // deaths for a request; one more if an upstream went silent instead of breaking the connection
	// partCrashesToQuarantine is the number of deaths for a part. It is higher, as a quarantine of a part concerns all
	// requests that share it, and several of them run on the same upstream as a request that crashes it.
	partCrashesToQuarantine = 4
	// trustTime is for how long after an answer a part counts as sound when the first upstream dies under it. It then explains
	// no deaths, and is not condemned unless it has begun to crash upstreams since.
	trustTime = time.Minute
	// narrowerFactor is the ratio from which on one part counts as used by fewer requests than another, of which this node had
	// comparableUses at least.
	narrowerFactor = 2
	comparableUses = 8
)

// updateQuarantine quarantines a suspect if its deaths suffice, and reports whether it is in quarantine. Deaths before the
// end of a quarantine no longer count, whenever that end is noticed. Deaths of other suspects may lift it earlier.
func (r *Registry) updateQuarantine(f Fingerprint, rec *record, now time.Time) bool {
	for {
		if rec.quarantineEnd.IsZero() {
			since, ok := r.judge(f, rec, now)
			if !ok {
				return false
			}
			// Not from now on, since the deaths may be old: a restarted node's quarantine ends when those of the others do.
			rec.quarantineEnd = since.Add(r.quarantine * time.Duration(1+rec.prolonged))
			if rec.quarantineEnd.After(now) {
				r.log.Info("quarantine", "fingerprint", string(f), "upstreams", strings.Join(rec.upstreams(), " "),
					"for-ms", r.quarantine.Milliseconds(), "answered-before", r.cleared[f].stamp > 0)
			}
		}
		if r.isStillAskedFor(rec, now) {
			r.prolong(f, rec, rec.prolonged+1)
		}
		if !rec.quarantineEnd.After(now) {
			r.endQuarantine(f, rec)
			continue
		}
		if !r.isAllExplained(f, rec) {
			return true
		}
		r.log.Info("quarantine-lifted", "fingerprint", string(f), "cause", "other suspects explain all of its deaths")
		rec.quarantineEnd = time.Time{}
		return false
	}
}

// isAllExplained reports whether other suspects are the more likely cause of all deaths of a suspect.
func (r *Registry) isAllExplained(f Fingerprint, rec *record) bool {
	return !r.turnOf(f, r.now()).hasTurned && !slices.ContainsFunc(rec.deaths, func(d *death) bool { return !r.isExplained(f, rec, d) })
}

// A quarantine is prolonged by its length if in the second half of that such requests were still refused. That is decided
// before its end, so that the nodes without such requests learn of it in time.
const (
	prolongShare = 2  // the share of its length, as a divisor, at the end of which refusals count
	decideShare  = 10 // the share of its length, as a divisor, that is left when it is prolonged
)

// isStillAskedFor reports whether a quarantine has to be prolonged now.
func (r *Registry) isStillAskedFor(rec *record, now time.Time) bool {
	return !now.Before(rec.quarantineEnd.Add(-r.quarantine/decideShare)) &&
		rec.refusedAt.After(rec.quarantineEnd.Add(-r.quarantine/prolongShare))
}

// prolong records that a quarantine was prolonged a number of times.
func (r *Registry) prolong(f Fingerprint, rec *record, times int) {
	if times <= rec.prolonged {
		return
	}
	if !rec.quarantineEnd.IsZero() {
		rec.quarantineEnd = rec.quarantineEnd.Add(r.quarantine * time.Duration(times-rec.prolonged))
		r.log.Info("quarantine-prolonged", "fingerprint", string(f), "times", times)
	}
	rec.prolonged = times
}

// endQuarantine ends a quarantine and drops the deaths before its end.
func (r *Registry) endQuarantine(f Fingerprint, rec *record) {
	end := rec.quarantineEnd
	r.ended[f] = quarantineEnd{end, rec.prolonged}
	rec.quarantineEnd, rec.prolonged, rec.refusedAt = time.Time{}, 0, time.Time{}
	r.dropMarks(f, rec, func(m deathMark) bool { return !m.at.After(end) })
}

// judge returns since when the deaths of a suspect suffice for a quarantine, and false if they don't.
func (r *Registry) judge(f Fingerprint, rec *record, now time.Time) (time.Time, bool) {
	required := rec.requiredDeaths(f)
	if len(rec.deaths) < required {
		return time.Time{}, false
	}
	hasTurned := r.turnOf(f, now).hasTurned
	var times []time.Time // of the deaths that nothing else explains
	for _, d := range rec.deaths {
		m := d.marks[f]
		if now.Sub(m.at) < r.settleTime || r.isCorrelatedFailure(f, d) || r.isOneFailure(f, rec, d) {
			continue
		}
		if hasTurned || !r.isExplained(f, rec, d) && !r.hasCondemned(f, d, now) {
			times = append(times, m.at)
		}
	}
	isTrusted, rival := r.isTrusted(f, now), Fingerprint("")
	if !hasTurned {
		rival = r.rivalOf(f, rec, now)
	}
	if len(times) < required || isTrusted || rival != "" || !hasTurned && r.usage.isCommon(f) {
		r.logOpen(f, rec, len(times), isTrusted, rival)
		return time.Time{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[required-1].Add(r.settleTime), true
}

// hasCondemned reports whether an upstream ran another part at its death that is in quarantine. Such a death says little about
// a part: only answers or trials tell.
func (r *Registry) hasCondemned(f Fingerprint, d *death, now time.Time) bool {
	if !f.IsPart() {
		return false
	}
	for g := range d.marks {
		if other := r.records[g]; g != f && g.IsPart() && other != nil && other.quarantineEnd.After(now) {
			return true
		}
	}
	return false
}

// rivalMargin is the number of deaths by which a part must exceed others of about as many requests to be told from them.
const rivalMargin = 2

// rivalOf returns another part that shares deaths with a part and is as likely the cause of them, so that their number doesn't tell
// which of the two it is, or "" if there is none.
func (r *Registry) rivalOf(f Fingerprint, rec *record, now time.Time) Fingerprint {
	if !f.IsPart() {
		return ""
	}
	for _, d := range rec.deaths {
		for g := range d.marks {
			if g != f && g.IsPart() && r.isRival(g, f, rec, now) {
				return g
			}
		}
	}
	return ""
}

// isRival reports whether a part is as likely the cause of the deaths of another.
func (r *Registry) isRival(g, f Fingerprint, rec *record, now time.Time) bool {
	deaths := len(r.records[g].deaths)
	switch {
	case r.isNarrower(f, g) && r.usage.areTogether(f, g):
		return false // it is at these deaths because of the other
	case r.isTrusted(g, now):
		return deaths > len(rec.deaths)
	}
	return deaths > len(rec.deaths)-rivalMargin
}

// openLogInterval is the least time between two log lines on why a part with enough deaths is not in quarantine.
const openLogInterval = time.Second

// logOpen logs why a part with enough deaths is not in quarantine.
func (r *Registry) logOpen(f Fingerprint, rec *record, unexplained int, isTrusted bool, rival Fingerprint) {
	now := r.now()
	if !f.IsPart() || now.Sub(rec.openLoggedAt) < openLogInterval {
		return
	}
	rec.openLoggedAt = now
	answeredAge := int64(-1)
	if c, ok := r.cleared[f]; ok {
		answeredAge = now.Sub(c.at).Milliseconds()
	}
	r.log.Info("quarantine-open", "fingerprint", string(f), "deaths", len(rec.deaths), "unexplained", unexplained,
		"required", rec.requiredDeaths(f), "trusted", isTrusted, "answered-age-ms", answeredAge, "rival", string(rival))
}

// isTrusted reports whether a part was answered shortly before upstreams began to die under it, and has not begun to crash
// them since.
func (r *Registry) isTrusted(f Fingerprint, now time.Time) bool {
	c, ok := r.cleared[f]
	return ok && f.IsPart() && r.isRecent(c, f, now) && !r.turnOf(f, now).hasTurned
}

// isRecent reports whether a clearance is at most trustTime older than the first death that counts against its part. Time in
// which nothing is answered takes no trust away.
func (r *Registry) isRecent(c clearance, f Fingerprint, now time.Time) bool {
	if rec := r.records[f]; rec != nil {
		for _, d := range rec.deaths {
			now = earliest(now, d.marks[f].at)
		}
	}
	return now.Sub(c.at) < trustTime
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// isExplained reports whether another suspect of the same death is the more likely cause of it.
func (r *Registry) isExplained(f Fingerprint, rec *record, d *death) bool {
	now := r.now()
	for g := range d.marks {
		if other := r.records[g]; g != f && other != nil && !r.isTrusted(g, now) && r.outranks(g, other, f, rec) {
			return true
		}
	}
	return false
}

// outranks reports whether g is a more likely cause of a death than f: upstreams died more often while they ran it, or as
// often and fewer requests would be refused because of it.
func (r *Registry) outranks(g Fingerprint, other *record, f Fingerprint, rec *record) bool {
	switch {
	case f.IsPart() && g.IsPart():
		return r.partOutranks(g, other, f, rec)
	case f.IsPart() || g.IsPart():
		if len(other.deaths) != len(rec.deaths) {
			return len(other.deaths) > len(rec.deaths)
		}
	case other.weight != rec.weight:
		return other.weight > rec.weight
	}
	// Of two requests with the same deaths neither is blamed, until there is one more.
	return f.IsPart() || len(rec.deaths) == rec.requiredDeaths(f)
}

// partOutranks is outranks for two parts. A part that is in most requests is there at most deaths, so that its number of
// deaths says little beside a part of few requests, unless it is far higher.
func (r *Registry) partOutranks(g Fingerprint, other *record, f Fingerprint, rec *record) bool {
	more := len(other.deaths) - len(rec.deaths)
	switch {
	case r.isNarrower(g, f):
		return more >= -rivalMargin
	case r.isNarrower(f, g):
		return more > rivalMargin
	}
	return more > 0
}

// isNarrower reports whether a part is in far fewer requests than another.
func (r *Registry) isNarrower(f, than Fingerprint) bool {
	uses := r.usage.get(than).requests
	return uses >= comparableUses && narrowerFactor*r.usage.get(f).requests <= uses
}

// weigh updates what follows from the deaths of a suspect. An answer that had begun speaks less against it.
func (r *record) weigh(f Fingerprint) {
	const earlyWeight, lateWeight = 2, 1
	r.weight, r.wentSilent, r.brokeLate = 0, false, false
	for _, d := range r.deaths {
		switch d.marks[f].Symptom {
		case BrokeBeforeFirstToken:
			r.weight += earlyWeight
		case WentSilent:
			r.wentSilent = true
			r.weight += lateWeight
		default:
			r.brokeLate = true
			r.weight += lateWeight
		}
	}
}

// requiredDeaths returns how many deaths a quarantine requires.
func (r *record) requiredDeaths(f Fingerprint) int {
	required := crashesToQuarantine
	if f.IsPart() {
		required = partCrashesToQuarantine
	}
	if r.wentSilent || r.brokeLate && !f.IsPart() {
		required++
	}
	return required
}

// isStrong reports whether the suspicion is strong enough for all nodes to run the request at one upstream only.
func (r *Registry) isStrong(f Fingerprint, rec *record) bool {
	count := 0
	for _, d := range rec.deaths {
		if r.isCorrelatedFailure(f, d) {
			continue
		}
		count++
		if d.marks[f].Symptom == BrokeBeforeFirstToken {
			return true
		}
	}
	return count >= crashesToQuarantine
}

// upstreams returns the IDs of the upstreams that died, in order and each once.
func (r *record) upstreams() []string {
	ids := make(map[string]bool)
	for _, d := range r.deaths {
		ids[d.upstream] = true
	}
	return slices.Sorted(maps.Keys(ids))
}

// isCorrelatedFailure reports whether other upstreams of the data centre died at the same time as one that ran a suspect,
// without the suspect and without another suspect that upstreams die of. One other is not enough: two nodes may each have
// lost an upstream to copies of one request. Parts are not excused: where upstreams flap, some always die at the same time.
func (r *Registry) isCorrelatedFailure(f Fingerprint, d *death) bool {
	if d.marks[f].Quarantined || f.IsPart() {
		return false // another node has judged it, or answers acquit an innocent part
	}
	others := 0
	for _, o := range r.deaths {
		if o.upstream == d.upstream || o.dataCentre != d.dataCentre || o.at.Sub(d.at).Abs() > correlationWindow {
			continue
		}
		if _, ok := o.marks[f]; !ok && !r.hasLikelyCause(o) {
			others++
		}
	}
	return others >= correlatedDeaths
}

// hasLikelyCause reports whether an upstream ran a suspect at its death during which others died as well.
func (r *Registry) hasLikelyCause(d *death) bool {
	now := r.now()
	for f := range d.marks {
		if rec := r.records[f]; rec != nil && len(rec.deaths) >= crashesToQuarantine && !r.isTrusted(f, now) {
			return true
		}
	}
	return false
}
