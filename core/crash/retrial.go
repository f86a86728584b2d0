package crash

import "time"

// Times of trials of requests in quarantine: the upstreams may have died of something else, which only an answer tells.
const (
	retrialPause   = 2 * time.Second // after the latest death until the first trial
	retrialBackoff = 30              // factor on the pause for each death on trial, which costs an upstream
)

// retrials is when a request in quarantine may be tried: one after the other in turns that begin at a time and last for a time, so
// long that all nodes know the outcome of one before the next.
type retrials struct {
	begin  time.Time
	length time.Duration
}

// retrialsOf returns when a request in quarantine may be tried, and false if it may not.
func (r *Registry) retrialsOf(f Fingerprint, rec *record, now time.Time) (retrials, bool) {
	if f.IsPart() || !rec.quarantineEnd.After(now) {
		return retrials{}, false
	}
	quarantinedAt := rec.quarantineEnd.Add(-r.quarantine * time.Duration(1+rec.prolonged))
	pause, longest := retrialPause, time.Duration(0)
	for _, d := range rec.deaths {
		m := d.marks[f]
		if m.begunAt().After(quarantinedAt.Add(trialGrace)) {
			pause = min(pause*retrialBackoff, suspicionTime)
		}
		longest = max(longest, m.Ran.Truncate(time.Millisecond)) // as nodes tell it each other
	}
	return retrials{rec.latestDeath(f).Add(pause), noticeTime + r.settleTime + longest}, true
}

// TakeTrial reports whether a copy of a request in quarantine may be sent to one upstream on trial now, and uses up this node's turn.
// A complete answer to it ends the quarantine.
func (r *Registry) TakeTrial(f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	rec := r.records[f]
	if rec == nil {
		return false
	}
	t, ok := r.retrialsOf(f, rec, now)
	if !ok || now.Before(t.begin) {
		return false
	}
	if !rec.askedSince.Equal(t.begin) {
		rec.asked, rec.askedSince = 0, t.begin
	}
	rec.asked++
	number := int(now.Sub(t.begin) / t.length)
	begin, window := t.begin.Add(time.Duration(number)*t.length), t.length/turnShare
	rate := float64(rec.asked) / max(t.length, now.Sub(t.begin)).Seconds()
	if now.Sub(begin) > window || !rec.trialAt.Before(begin) || !r.hasTurn(f, number, window, rate) {
		return false
	}
	rec.trialAt = now
	return true
}

// untilRetrial returns after how long a request in quarantine may be tried, or for how long it is in quarantine.
func (r *Registry) untilRetrial(f Fingerprint, rec *record, now time.Time) time.Duration {
	remaining := rec.quarantineEnd.Sub(now)
	if t, ok := r.retrialsOf(f, rec, now); ok {
		return min(remaining, max(0, t.begin.Sub(now))+t.length)
	}
	return remaining
}

// isAnswered reports whether an answer that began at a stamp speaks against all deaths of a suspect.
func (r *record) isAnswered(f Fingerprint, begun uint64) bool {
	for _, d := range r.deaths {
		if d.marks[f].Stamp >= begun {
			return false
		}
	}
	return true
}
