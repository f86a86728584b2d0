package board

import (
	"context"
	"errors"
	"time"

	"rhubarbspread/core/fleet"
)

// maxSoundSilence is how long a sound upstream may not answer: the platform promises a second or so.
const maxSoundSilence = 1500 * time.Millisecond

// RecordSilence records that an upstream did not answer in time, and returns how long it stays ejected. A sound upstream may
// be silent for a second or so, which counts as a failure only when it lasts longer.
func (b *Board) RecordSilence(u *fleet.Upstream) time.Duration {
	b.mu.Lock()
	s := b.state(KeyOf(u))
	now := b.now()
	if now.Sub(s.lastSilentAt) > maxSoundSilence {
		s.silentSince = now
	}
	s.lastSilentAt = now
	if now.Sub(s.silentSince) < maxSoundSilence {
		defer b.mu.Unlock()
		s.ejectedUntil = later(s.ejectedUntil, now.Add(baseFailureEjection))
		return s.ejectedUntil.Sub(now)
	}
	b.mu.Unlock()
	return b.RecordFailure(u)
}

// RecordReportError records the error of fetching an upstream's report: its silence, or a failure. It returns how long the
// upstream stays ejected.
func (b *Board) RecordReportError(u *fleet.Upstream, err error) time.Duration {
	if errors.Is(err, context.DeadlineExceeded) {
		return b.RecordSilence(u)
	}
	return b.RecordFailure(u)
}

// later returns the later of two times.
func later(t, u time.Time) time.Time {
	if t.After(u) {
		return t
	}
	return u
}
