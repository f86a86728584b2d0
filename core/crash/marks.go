package crash

import (
	"slices"
	"time"
)

// RecordDeath marks a request, or a part of one, that ran on an upstream when the upstream died just now. It returns the mark to
// send to the other nodes, and false if the death is part of a correlated failure.
func (r *Registry) RecordDeath(f Fingerprint, upstream, dataCentre string, symptom Symptom) (Mark, bool) {
	now := r.now()
	return r.RecordDeathAt(f, upstream, dataCentre, symptom, now, now)
}

// RecordDeathAt is RecordDeath for a request that was sent at a time to an upstream that died at another.
func (r *Registry) RecordDeathAt(
	f Fingerprint, upstream, dataCentre string, symptom Symptom, begun, at time.Time,
) (Mark, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := Mark{
		Fingerprint: f, Upstream: upstream, DataCentre: dataCentre, Stamp: r.stamp(), Symptom: symptom, Age: r.now().Sub(at),
		Ran: max(0, at.Sub(begun)),
	}
	return m, r.mark(m, ownMark)
}

// DeathOf returns when an upstream that has been running since a time died, and false if that is not known.
func (r *Registry) DeathOf(upstream string, since time.Time) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range slices.Backward(r.deaths) {
		if d.upstream == upstream && d.at.After(since) {
			return d.at, true
		}
	}
	return time.Time{}, false
}

// ApplyMark applies a mark from another node.
func (r *Registry) ApplyMark(m Mark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyMark(m, gossipMark)
}

// applyMark applies a mark of a source other than this node. The caller holds the lock.
func (r *Registry) applyMark(m Mark, source string) {
	if m.Cleared {
		r.applyClearance(m)
		return
	}
	if m.Stamp <= r.cleared[m.Fingerprint].stamp {
		if m.Quarantined {
			r.contested[m.Fingerprint] = r.now()
		}
		return
	}
	if r.isRepeated(m) {
		return
	}
	r.mark(m, source)
}

// ApplyStored applies a mark from a row of the store, which tells no age: a death of its upstream under the same suspect that is known
// already is taken for the one that it tells of.
func (r *Registry) ApplyStored(m Mark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[m.Fingerprint]; rec != nil {
		for _, d := range rec.deaths {
			if d.upstream == m.Upstream {
				known := d.marks[m.Fingerprint]
				m.Age, m.Ran = r.now().Sub(known.at), known.Ran
			}
		}
	}
	r.applyMark(m, storedMark)
}

// isRepeated reports whether a mark or a later one of the same death was seen before. A mark that was not applied counts
// as new once another node has the request in quarantine.
func (r *Registry) isRepeated(m Mark) bool {
	if m.Stamp > r.seen[deathID{m.Fingerprint, m.Upstream}].stamp {
		return false
	}
	if !m.Quarantined {
		return true
	}
	d := r.deathOf(m, r.now().Add(-m.Age))
	if d == nil {
		return false
	}
	known, ok := d.marks[m.Fingerprint]
	return ok && known.Quarantined && m.Prolonged <= known.Prolonged
}

// The sources of marks, as logs name them.
const (
	ownMark    = "own"
	gossipMark = "gossip"
	storedMark = "store"
)

// mark applies m and reports whether the death speaks against its suspect, that is, is not part of a correlated failure.
// The source of the mark is logged.
func (r *Registry) mark(m Mark, source string) bool {
	now := r.now()
	at := now.Add(-m.Age)
	r.remember(m, now)
	if ended := r.ended[m.Fingerprint]; !at.After(ended.at) && m.Prolonged <= ended.prolonged {
		return false
	}
	if r.records[m.Fingerprint] == nil && len(r.records) >= maxRecords {
		r.expire(now) // also one death may have any number of suspects
	}
	d := r.deathOf(m, at)
	if d == nil {
		d = &death{upstream: m.Upstream, dataCentre: m.DataCentre, at: at, marks: make(map[Fingerprint]deathMark)}
		r.expire(now)
		r.deaths = append(r.deaths, d)
	}
	rec := r.records[m.Fingerprint]
	if rec == nil {
		rec = &record{}
		r.records[m.Fingerprint] = rec
	}
	known, isKnown := d.marks[m.Fingerprint]
	switch {
	case !isKnown:
		rec.deaths = append(rec.deaths, d)
	case known.isStored:
		d.at = earliest(d.at, at)
	default:
		m.Ran = min(m.Ran, known.Ran) // the request that was sent last tells the most
	}
	d.marks[m.Fingerprint] = deathMark{Mark: m, at: at, isStored: source == storedMark && (!isKnown || known.isStored)}
	rec.weigh(m.Fingerprint)
	r.prolong(m.Fingerprint, rec, m.Prolonged)
	if c := r.usage.get(m.Fingerprint).soundEnd; c.stamp > r.cleared[m.Fingerprint].stamp && now.Sub(c.at) < trustTime {
		r.cleared[m.Fingerprint] = c
	}
	isBlamed := !r.isCorrelatedFailure(m.Fingerprint, d)
	if isBlamed {
		r.notifyRunning(m)
	}
	if !isKnown {
		outcome := "marked"
		if !isBlamed {
			outcome = "correlated-failure"
		}
		r.logMark(m, source, outcome)
	}
	return isBlamed
}

// deathOf returns the death at a time that a mark tells of, or nil if it is not known. One that is known from a row alone, and so not
// when it was, is found by the stamp.
func (r *Registry) deathOf(m Mark, at time.Time) *death {
	for _, d := range r.deaths {
		if known, ok := d.marks[m.Fingerprint]; ok && known.isStored && d.upstream == m.Upstream && known.Stamp == m.Stamp {
			return d
		}
	}
	return r.findDeath(m.Upstream, at)
}

// findDeath returns the death of an upstream at about a time, or nil.
func (r *Registry) findDeath(upstream string, at time.Time) *death {
	for _, d := range r.deaths {
		if d.upstream == upstream && d.at.Sub(at).Abs() <= sameDeathWindow {
			return d
		}
	}
	return nil
}

// expire forgets old deaths, the oldest beyond the bounds, and what is known of suspects without deaths.
func (r *Registry) expire(now time.Time) {
	for len(r.deaths) > 0 && (now.Sub(r.deaths[0].at) > suspicionTime || len(r.deaths) >= maxDeaths ||
		len(r.records) >= maxRecords) {
		oldest := r.deaths[0]
		r.deaths = r.deaths[1:]
		for f := range oldest.marks {
			r.dropDeath(f, oldest)
		}
	}
	for f, end := range r.ended {
		if now.Sub(end.at) > suspicionTime {
			delete(r.ended, f)
		}
	}
}

// dropDeath removes one death from the record of a suspect, unless it is in quarantine for it.
func (r *Registry) dropDeath(f Fingerprint, d *death) {
	rec := r.records[f]
	if rec == nil || rec.quarantineEnd.After(r.now()) {
		return
	}
	r.dropMarks(f, rec, func(m deathMark) bool { return m.Upstream == d.upstream && m.at.Equal(d.marks[f].at) })
}

// remember records a mark as seen and forgets those that no node sends any more.
func (r *Registry) remember(m Mark, now time.Time) {
	if now.Sub(r.seenSweptAt) > seenSweepInterval {
		r.seenSweptAt = now
		for id, s := range r.seen {
			if now.Sub(s.at) > suspicionTime {
				delete(r.seen, id)
			}
		}
	}
	dropOlder(r.seen, maxSeen, func(s seenMark) time.Time { return s.at })
	r.seen[deathID{m.Fingerprint, m.Upstream}] = seenMark{m.Stamp, now}
}

func (r *Registry) logMark(m Mark, source, outcome string) {
	r.log.Info("crash-mark", "fingerprint", string(m.Fingerprint), "upstream", m.Upstream, "source", source,
		"stamp", m.Stamp, "symptom", m.Symptom.String(), "outcome", outcome)
}
