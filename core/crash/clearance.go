package crash

import (
	"slices"
	"time"
)

// Completed records a complete answer to a request, or to one with a part, that began at a stamp, which clears its suspicion. It returns
// the mark to send to the other nodes, and false if there was no suspicion, or if a request is in quarantine and the answer did not
// begin after all of its deaths.
func (r *Registry) Completed(f Fingerprint, begun uint64) (Mark, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.IsPart() {
		return r.acquit(f, r.stamp())
	}
	rec := r.records[f]
	switch {
	case rec == nil:
		return Mark{}, false
	case !rec.quarantineEnd.After(r.now()):
		return r.clear(f, r.stamp()), true
	case !rec.isAnswered(f, begun):
		return Mark{}, false
	}
	return r.clear(f, begun), true
}

// Stamp returns a stamp of now, which orders the begin of an answer and marks.
func (r *Registry) Stamp() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stamp()
}

// Answered records a complete answer to a request with some parts that began at a stamp and took a time. That withdraws the
// marks that were set on the parts before it began. It returns the marks to send to the other nodes.
func (r *Registry) Answered(parts []Fingerprint, begun uint64, took time.Duration) []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case len(parts) == 0: // of another kind, which may be far quicker
	case r.outcomeTime == 0:
		r.outcomeTime = took
	default:
		r.outcomeTime += (took - r.outcomeTime) / answerTimeDecay
	}
	r.noteAnswer(parts, begun)
	var marks []Mark
	for _, f := range parts {
		if m, ok := r.acquit(f, begun); ok {
			marks = append(marks, m)
		}
	}
	return marks
}

// acquit withdraws the marks of a part that were set before an answer to a request with it began. The caller holds the lock.
func (r *Registry) acquit(f Fingerprint, begun uint64) (Mark, bool) {
	use := r.usage.use(f, r.now())
	use.soundEnd = clearance{stamp: max(begun, use.soundEnd.stamp), at: r.now()}
	if r.records[f] == nil || begun <= r.cleared[f].stamp {
		return Mark{}, false
	}
	return r.clear(f, begun), true
}

// Clear removes all suspicion of a request at an operator's request, and returns the mark to send to the other nodes.
func (r *Registry) Clear(f Fingerprint) Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clear(f, r.stamp())
}

func (r *Registry) clear(f Fingerprint, stamp uint64) Mark {
	m := Mark{Fingerprint: f, Stamp: stamp, Cleared: true}
	r.applyClearance(m)
	return m
}

// applyClearance withdraws the marks of a suspect that are older than its clearance.
func (r *Registry) applyClearance(m Mark) {
	now := r.now()
	for f, c := range r.cleared {
		if now.Sub(c.at) > suspicionTime {
			delete(r.cleared, f)
		}
	}
	if r.cleared[m.Fingerprint].stamp >= m.Stamp {
		return
	}
	r.log.Info("crash-cleared", "fingerprint", string(m.Fingerprint), "stamp", m.Stamp, "age-ms", m.Age.Milliseconds())
	dropOlder(r.cleared, maxCleared, func(c clearance) time.Time { return c.at })
	r.cleared[m.Fingerprint] = clearance{stamp: m.Stamp, at: now.Add(-m.Age)}
	if rec := r.records[m.Fingerprint]; rec != nil {
		r.dropMarks(m.Fingerprint, rec, func(d deathMark) bool { return d.Stamp < m.Stamp })
		rec.quarantineEnd, rec.prolonged = time.Time{}, 0 // the other marks are judged anew
	}
	r.noteAnswer([]Fingerprint{m.Fingerprint}, m.Stamp)
}

// dropMarks removes the marks of a suspect that match, and the suspect if none is left.
func (r *Registry) dropMarks(f Fingerprint, rec *record, matches func(deathMark) bool) {
	rec.deaths = slices.DeleteFunc(rec.deaths, func(d *death) bool {
		if !matches(d.marks[f]) {
			return false
		}
		delete(d.marks, f)
		return true
	})
	rec.weigh(f)
	rec.turn, rec.answeredStamp = turn{}, 0
	if len(rec.deaths) == 0 {
		delete(r.records, f)
	}
}

// Acquittals returns the clearances that other nodes may lack: those of suspected parts that this node had an answer to
// before, and those that a node with the part in quarantine has not applied.
func (r *Registry) Acquittals() []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out []Mark
	for f := range r.records {
		c := r.usage.get(f).soundEnd
		if c.stamp > 0 && c.stamp >= r.cleared[f].stamp && r.isRecent(c, f, now) {
			out = append(out, Mark{Fingerprint: f, Stamp: c.stamp, Cleared: true, Age: now.Sub(c.at)})
		}
	}
	for f, at := range r.contested {
		c := r.cleared[f]
		if now.Sub(at) > contestTime || c.stamp == 0 {
			delete(r.contested, f)
			continue
		}
		out = append(out, Mark{Fingerprint: f, Stamp: c.stamp, Cleared: true, Age: now.Sub(c.at)})
	}
	return out
}
