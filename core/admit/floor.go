package admit

import (
	"math"
	"time"
)

// Floors: shares of the usual rate of admission below which requests are raised. Callers are starved at a quarter for a class or
// team and at half for large requests; the floors lie above these, as a share is known only once requests have ended.
const (
	classFloor  = 0.3
	teamFloor   = 0.3
	largeFloor  = 0.6
	floorTime   = 10 * time.Second // in which what was counted loses its weight, by a factor of e
	floorSample = 5.0              // requests from which on a share is compared
	maxTeams    = 4096             // teams with counts
	// sweepInterval is the least time between two searches for teams without requests, which visit all of maxTeams.
	sweepInterval = time.Second
)

// share counts how many of the requests that ended were admitted, with exponentially falling weights.
type share struct {
	ended, admitted float64
	at              time.Time
}

func (s *share) decay(now time.Time) {
	if d := now.Sub(s.at); d > 0 {
		f := math.Exp(-float64(d) / float64(floorTime))
		s.ended, s.admitted, s.at = s.ended*f, s.admitted*f, now
	}
}

func (s *share) add(admitted bool, now time.Time) {
	s.decay(now)
	s.ended++
	if admitted {
		s.admitted++
	}
}

// isBelow reports whether the share is below a factor of another one.
func (s *share) isBelow(factor float64, o *share, now time.Time) bool {
	if s == nil || o == nil {
		return false
	}
	s.decay(now)
	o.decay(now)
	return s.ended >= floorSample && s.admitted*o.ended < factor*o.admitted*s.ended
}

// floors keeps the shares of requests that are admitted.
type floors struct {
	all     share
	classes map[Rank]*share
	large   map[Rank]*share
	teams   map[string]*share
	sweptAt time.Time // when teams without requests were last dropped
}

func (f *floors) init() {
	f.classes, f.large, f.teams = make(map[Rank]*share), make(map[Rank]*share), make(map[string]*share)
}

// offer makes room for the counts of a request's team.
func (f *floors) offer(t *Ticket, now time.Time) {
	if len(f.teams) < maxTeams || f.teams[t.request.Team] != nil || now.Sub(f.sweptAt) < sweepInterval {
		return
	}
	f.sweptAt = now
	for team, s := range f.teams {
		if now.Sub(s.at) > floorTime {
			delete(f.teams, team)
		}
	}
}

// end records a request that was admitted or refused; one that was abandoned says nothing.
func (f *floors) end(t *Ticket, admitted, refused bool, now time.Time) {
	if !admitted && !refused {
		return
	}
	f.all.add(admitted, now)
	shareOf(f.classes, t.request.Rank).add(admitted, now)
	if t.isLarge {
		shareOf(f.large, t.request.Rank).add(admitted, now)
	}
	if f.teams[t.request.Team] != nil || len(f.teams) < maxTeams {
		shareOf(f.teams, t.request.Team).add(admitted, now)
	}
}

func shareOf[K comparable](m map[K]*share, key K) *share {
	s := m[key]
	if s == nil {
		s = &share{}
		m[key] = s
	}
	return s
}

// isBelow reports whether a request's class, team or size has been admitted too seldom.
func (f *floors) isBelow(t *Ticket, now time.Time) bool {
	class := f.classes[t.request.Rank]
	return class.isBelow(classFloor, &f.all, now) || f.teams[t.request.Team].isBelow(teamFloor, &f.all, now) ||
		t.isLarge && f.large[t.request.Rank].isBelow(largeFloor, class, now)
}

// largeShare is the share of a class's requests that count as large.
const largeShare = 0.1

// sizeStep is the relative step of a size estimate for each request.
const sizeStep = 0.05

// sizeEstimate follows the size that a tenth of the requests exceed.
type sizeEstimate struct{ threshold float64 }

// add records a size and reports whether it is among the largest tenth.
func (e *sizeEstimate) add(size float64) bool {
	if e.threshold == 0 {
		e.threshold = size
	}
	if size > e.threshold {
		e.threshold *= 1 + sizeStep*(1-largeShare)
		return true
	}
	e.threshold *= 1 - sizeStep*largeShare
	return false
}
