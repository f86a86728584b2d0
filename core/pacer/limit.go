package pacer

import "time"

const (
	// burstTime is for how long a node's unused part of a limit accumulates. All nodes together then send at most one
	// second's requests beyond the limit.
	burstTime = time.Second
	// minPerSecond is sent to an upstream whatever it names, since only another answer can tell that the limit is lifted.
	minPerSecond = 0.2
	// liftedTTL is for how long a lifted limit is told to other nodes.
	liftedTTL = 10 * time.Second
)

// Statement is what an upstream said of its limit.
type Statement struct {
	PerSecond float64 // requests a second from all nodes together
	IsLifted  bool    // it names no limit any more
	Age       time.Duration
}

// Limit is what one node knows of the limit of one upstream, and its part of it as a token bucket. The zero value is no
// limit. It is not safe for concurrent use.
type Limit struct {
	latest     Statement
	statedAt   time.Time // zero if the upstream never named a limit
	tokens     float64   // requests that this node may send now
	refilledAt time.Time
	share      float64  // this node's part of the limit
	shareOf    *Sharers // for which share was computed, or nil
}

// State records a limit that an upstream named at a time, and reports whether it changed what is known. A node begins
// with an empty bucket: what it sent before counts as well.
func (l *Limit) State(perSecond float64, at, now time.Time) bool {
	if !at.After(l.statedAt) {
		return false
	}
	changed := !l.isLimited() || l.latest.PerSecond != perSecond
	if !l.isLimited() {
		l.tokens, l.refilledAt = 0, now
	}
	l.latest, l.statedAt = Statement{PerSecond: perSecond}, at
	if changed {
		l.shareOf = nil
	}
	return changed
}

// Lift records that an answer named no limit, and reports whether that changed what is known. It has to be the answer to
// a request that was sent after the limit was named, as an earlier answer may arrive later.
func (l *Limit) Lift(at time.Time) bool {
	if l.statedAt.IsZero() || !at.After(l.statedAt) {
		return false
	}
	changed := l.isLimited()
	l.latest, l.statedAt = Statement{IsLifted: true}, at
	return changed
}

// Apply records what another node knows, if it is newer, and reports whether it changed what is known.
func (l *Limit) Apply(s Statement, now time.Time) bool {
	at := now.Add(-s.Age)
	if s.IsLifted {
		return l.Lift(at)
	}
	return l.State(s.PerSecond, at, now)
}

// Latest returns what is known for the other nodes, and false if there is nothing to tell.
func (l *Limit) Latest(now time.Time) (Statement, bool) {
	if l.statedAt.IsZero() || l.latest.IsLifted && now.Sub(l.statedAt) > liftedTTL {
		return Statement{}, false
	}
	s := l.latest
	s.Age = max(0, now.Sub(l.statedAt))
	return s, true
}

func (l *Limit) isLimited() bool { return !l.statedAt.IsZero() && !l.latest.IsLifted }

// Wait returns how long this node, with its share of the limit, has to wait before it may send a request; it returns
// false if it may send none.
func (l *Limit) Wait(s *Sharers, upstream uint32, now time.Time) (time.Duration, bool) {
	if !l.isLimited() {
		return 0, true
	}
	rate := l.refill(s, upstream, now)
	switch {
	case l.tokens >= 1:
		return 0, true
	case rate == 0:
		return 0, false
	}
	return time.Duration((1 - l.tokens) / rate * float64(time.Second)), true
}

// refill adds the tokens since the last refill, and returns this node's rate in requests a second.
func (l *Limit) refill(s *Sharers, upstream uint32, now time.Time) float64 {
	if l.shareOf != s {
		l.share, l.shareOf = s.Share(upstream, l.latest.PerSecond), s
	}
	rate := max(minPerSecond, l.latest.PerSecond) * l.share
	most := max(1, rate*burstTime.Seconds())
	l.tokens = min(most, l.tokens+rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	return rate
}

// Spend takes the token of a request that will be sent.
func (l *Limit) Spend() {
	if l.isLimited() {
		l.tokens--
	}
}

// Refund returns the token of a request that was not sent.
func (l *Limit) Refund() {
	if l.isLimited() {
		l.tokens++
	}
}
