package board

import (
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/pacer"
)

// SetSharers sets the nodes that share the limits of upstreams.
func (b *Board) SetSharers(s *pacer.Sharers) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharers = s
}

// RecordLimit records the limit that an upstream's answer names, in requests a second from all nodes together.
func (b *Board) RecordLimit(u *fleet.Upstream, perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if s := b.state(KeyOf(u)); s.limit.State(perSecond, now, now) {
		b.logLimit(u.ID, s, "answer")
	}
}

// RecordNoLimit records that an upstream's answer to a request that was sent at a time names no limit.
func (b *Board) RecordNoLimit(u *fleet.Upstream, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.state(KeyOf(u)); s.limit.Lift(sentAt) {
		b.logLimit(u.ID, s, "answer")
	}
}

// ApplyLimits applies what another node knows of the upstreams' limits, by the hashes of their keys.
func (b *Board) ApplyLimits(limits map[uint32]pacer.Statement) {
	if len(limits) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for k, s := range b.states {
		if statement, ok := limits[s.hash]; ok && s.limit.Apply(statement, now) {
			b.logLimit(k.ID, s, "gossip")
		}
	}
}

// Limits returns what is known of the upstreams' limits, by the hashes of their keys.
func (b *Board) Limits() map[uint32]pacer.Statement {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	m := make(map[uint32]pacer.Statement)
	for _, s := range b.states {
		if statement, ok := s.limit.Latest(now); ok {
			m[s.hash] = statement
		}
	}
	return m
}

// LimitedUpstreams returns how many upstreams name a limit.
func (b *Board) LimitedUpstreams() int {
	count := 0
	for _, s := range b.Limits() {
		if !s.IsLifted {
			count++
		}
	}
	return count
}

// logLimit logs a changed limit and where it comes from.
func (b *Board) logLimit(id string, s *upstreamState, source string) {
	latest, _ := s.limit.Latest(b.now())
	b.log.Info("upstream-limit", "upstream", id, "limited", !latest.IsLifted, "per-second", latest.PerSecond,
		"source", source, "age-ms", latest.Age.Milliseconds(), "share", b.sharers.Share(s.hash, latest.PerSecond))
}

// withinLimit reports whether this node may send a request to an upstream now. If it may do so later, the requests that
// wait for capacity are woken then.
func (b *Board) withinLimit(s *upstreamState, now time.Time) bool {
	wait, ok := s.limit.Wait(b.sharers, s.hash, now)
	if ok && wait > 0 {
		b.wakeIn(wait)
	}
	return ok && wait == 0
}

// minWake is the shortest time after which requests that wait for capacity are woken by a timer.
const minWake = 5 * time.Millisecond

// wakeIn wakes the requests that wait for capacity after some time, unless a timer will wake them before.
func (b *Board) wakeIn(wait time.Duration) {
	if b.isSnapshot {
		return
	}
	wait = max(wait, minWake)
	at := b.now().Add(wait)
	if b.wakeTimer != nil {
		if !at.Before(b.wakeAt) {
			return
		}
		b.wakeTimer.Stop()
	}
	b.wakeAt = at
	var timer *time.Timer
	timer = time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.wakeTimer == timer {
			b.wakeTimer = nil
		}
		b.wakeWaiters()
	})
	b.wakeTimer = timer
}
