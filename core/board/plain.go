package board

import (
	"fmt"
	"strings"
	"time"

	"rhubarbspread/core/fleet"
)

// Reservation is the capacity that one request reserves until Release.
type Reservation struct {
	board        *Board
	Upstream     *fleet.Upstream // the request is sent to it
	hops         []Hop           // guarded by the board's mutex
	Expected     Estimate
	Evidence     Evidence // of the choice of the path
	tokens       float64  // prompt and expected output
	promptTokens float64
	modelLayers  int
	linkShare    float64          // of the node's link budgets, as of the choice of the path; 0 for all
	crossedLinks []Key            // links that the prompt is crossing
	prefillHops  []Hop            // stages that have not prefilled the prompt yet
	probes       []*upstreamState // that the request probes
	released     bool
}

// Hop is one stage of a path: an upstream and the layers that it runs.
type Hop struct {
	Upstream *fleet.Upstream
	Layers   fleet.Range
}

// Describe formats a path for logs, as upstream IDs with their layers.
func Describe(hops []Hop) string {
	var b strings.Builder
	for i, h := range hops {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s:%d-%d", h.Upstream.ID, h.Layers.From, h.Layers.To)
	}
	return b.String()
}

// queueSlack is how many requests beyond its slots are sent to a plain upstream, to wait in its own queue.
const queueSlack = 4

// errorQueueEquivalent is the number of mean response times that an error rate of 1 adds to the expected wait.
const errorQueueEquivalent = 12

// ReservePlain reserves the upstream of a plain service with the shortest expected wait. If no other could be picked, it
// picks an ejected one; it returns nil if all are full or want rest.
func (b *Board) ReservePlain(list []*fleet.Upstream, exclude []string) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var best, ejected *fleet.Upstream
	least := 0.0
	for _, u := range list {
		if u.Draining || contains(exclude, u.ID) {
			continue
		}
		s := b.state(KeyOf(u))
		if b.isWithheld(s, now) || !b.withinLimit(s, now) {
			continue
		}
		if b.isExcluded(u, s, now) {
			ejected = u
			continue
		}
		inFlight := b.plainLoad(s, now)
		if inFlight >= float64(u.Slots+queueSlack) {
			continue
		}
		load := (inFlight+1)/float64(u.Slots)*max(1, s.latencyMs) +
			s.errorRate*errorQueueEquivalent*max(1, s.latencyMs) + 0.01*b.random.Float64()
		if best == nil || load < least {
			best, least = u, load
		}
	}
	if best == nil {
		best = ejected // with all ejected, an attempt on one is better than none
	}
	if best == nil {
		return nil
	}
	s := b.state(KeyOf(best))
	s.firstStage++
	s.limit.Spend()
	r := &Reservation{board: b, Upstream: best}
	r.startProbe(s, now)
	return r
}

// plainLoad returns how many requests an upstream of a plain service has, as far as is known.
func (b *Board) plainLoad(s *upstreamState, now time.Time) float64 {
	inFlight := float64(s.firstStage + s.peerClaims.FirstStage)
	if now.Sub(s.reportedRequestsAt) < reportedRequestsTTL {
		// The request whose response carried the report has ended.
		inFlight = max(inFlight, float64(s.reportedRequests-1))
	}
	return inFlight
}

func contains(list []string, id string) bool {
	for _, s := range list {
		if s == id {
			return true
		}
	}
	return false
}

// Hops returns the stages of the path in the order of layers, or none for a plain service.
func (r *Reservation) Hops() []Hop {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	return r.hops
}

// PrefillDone records the first event of a generation, which shows that the prompt is prefilled and all stages are
// alive.
func (r *Reservation) PrefillDone() {
	b := r.board
	b.mu.Lock()
	defer b.mu.Unlock()
	r.endPrefill()
	for _, h := range r.hops {
		b.markAlive(h.Upstream)
	}
	b.onFreed()
}

// Cancel returns the reserved capacity of a request that was not sent, as Release does, its part of the limit, and the
// right to probe its upstreams.
func (r *Reservation) Cancel() {
	r.board.mu.Lock()
	if !r.released {
		r.board.state(KeyOf(r.Upstream)).limit.Refund()
		for _, s := range r.probes {
			s.probeUntil = time.Time{}
		}
	}
	r.board.mu.Unlock()
	r.Release()
}

// Release returns the reserved capacity. Further calls do nothing.
func (r *Reservation) Release() {
	b := r.board
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	r.endPrefill()
	b.state(KeyOf(r.Upstream)).firstStage--
	for _, h := range r.hops {
		b.addReservation(r, h, -1)
	}
	b.wakeWaiters()
}
