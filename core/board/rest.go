package board

import (
	"cmp"
	"slices"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
)

// RecordRest records that an upstream wants no requests from this node for some time. Nothing ends that earlier.
func (b *Board) RecordRest(u *fleet.Upstream, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := b.state(KeyOf(u)), b.now()
	isNew := !s.isResting(now)
	s.restUntil = later(s.restUntil, now.Add(d))
	if isNew {
		b.log.Info("upstream-rest", "upstream", u.ID, "for-ms", d.Milliseconds())
	}
}

// IsResting reports whether an upstream wants no requests from this node now.
func (b *Board) IsResting(u *fleet.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[KeyOf(u)]
	return s != nil && s.isResting(b.now())
}

// RestingUpstreams returns how many upstreams want no requests from this node now.
func (b *Board) RestingUpstreams() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count, now := 0, b.now()
	for _, s := range b.states {
		if s.isResting(now) {
			count++
		}
	}
	return count
}

func (s *upstreamState) isResting(now time.Time) bool { return now.Before(s.restUntil) }

// isWithheld reports whether an upstream wants no requests from this node now. The requests that wait for capacity are woken
// when that ends.
func (b *Board) isWithheld(s *upstreamState, now time.Time) bool {
	if !s.isResting(now) {
		return false
	}
	b.wakeIn(s.restUntil.Sub(now))
	return true
}

// RestWait returns after how long the listed upstreams can serve a request again, if they can't now because some want rest;
// otherwise 0. The engine is nil for a plain service. Upstreams that are excluded don't count unless they rest.
func (b *Board) RestWait(list []*fleet.Upstream, e *rules.Engine, exclude []string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var usable, resting []*fleet.Upstream
	for _, u := range list {
		switch {
		case u.Draining:
		case b.state(KeyOf(u)).isResting(now):
			resting = append(resting, u)
		case !contains(exclude, u.ID):
			usable = append(usable, u)
		}
	}
	if canServe(usable, e) {
		return 0
	}
	remaining := func(u *fleet.Upstream) time.Duration { return b.state(KeyOf(u)).restUntil.Sub(now) }
	slices.SortFunc(resting, func(u, v *fleet.Upstream) int { return cmp.Compare(remaining(u), remaining(v)) })
	for _, u := range resting {
		if usable = append(usable, u); canServe(usable, e) {
			return remaining(u)
		}
	}
	return 0
}

// canServe reports whether there is an upstream, or for a model whether upstreams hold each of its layers.
func canServe(list []*fleet.Upstream, e *rules.Engine) bool {
	if e == nil {
		return len(list) > 0
	}
	held := make([]bool, e.Layers)
	for _, u := range list {
		if _, ok := e.Cards[u.Card]; !ok || e.CheckLayers(u.Layers) != nil {
			continue
		}
		for i := u.Layers.From; i < u.Layers.To; i++ {
			held[i] = true
		}
	}
	return !slices.Contains(held, false)
}
