package board

import (
	"fmt"
	"strings"

	"rhubarbspread/core/fleet"
)

// Ticket is a reservation that ends with Release.
type Ticket struct {
	board    *Board
	Upstream *fleet.Upstream // to which the request is sent
	hops     []Hop           // under the board's lock
	Expected Estimate
	tokens   float64
	prompt   float64
	layers   int   // of the model
	pipes    []Key // that the prompt crosses now
	reading  []Hop // parts that have the prompt before them
	released bool
}

// Hop is one part of a path.
type Hop struct {
	Upstream *fleet.Upstream
	Layers   fleet.Range
}

// Describe writes a path for logs, as IDs with their layers.
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

// queueSlack is how many requests beyond a plain upstream's slots are sent to it, to wait in its own queue.
const queueSlack = 4

// errorWeight is how many waiting requests an upstream that fails all its answers is thought to have.
const errorWeight = 12

// Plain picks the upstream of a plain service with the shortest expected wait, or returns nil if all are full.
func (b *Board) Plain(list []*fleet.Upstream, exclude []string) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var best, resting *fleet.Upstream
	least := 0.0
	for _, u := range list {
		if u.Draining || contains(exclude, u.ID) {
			continue
		}
		s := b.state(KeyOf(u))
		if b.isOut(u, s, now) {
			resting = u
			continue
		}
		running := float64(s.first + s.others.First)
		if now.Sub(s.toldAt) < toldLife {
			running = max(running, float64(s.told-1)) // the answer's own request has ended
		}
		if running >= float64(u.Slots+queueSlack) {
			continue
		}
		load := (running+1)/float64(u.Slots)*max(1, s.took) + s.errors*errorWeight*max(1, s.took) + 0.01*b.random.Float64()
		if best == nil || load < least {
			best, least = u, load
		}
	}
	if best == nil {
		best = resting // evidence against all of them is no better than none
	}
	if best == nil {
		return nil
	}
	s := b.state(KeyOf(best))
	s.first++
	s.try(now)
	return &Ticket{board: b, Upstream: best}
}

func contains(list []string, id string) bool {
	for _, s := range list {
		if s == id {
			return true
		}
	}
	return false
}

// Hops returns the path's parts in the order of layers; none for a plain service.
func (t *Ticket) Hops() []Hop {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	return t.hops
}

// Reading notes that a path's first event came, so that the prompt has been read and all parts are alive.
func (t *Ticket) Reading() {
	b := t.board
	b.mu.Lock()
	defer b.mu.Unlock()
	t.endReading()
	for _, h := range t.hops {
		b.lives(h.Upstream)
	}
}

// Release gives the room back.
func (t *Ticket) Release() {
	b := t.board
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.released {
		return
	}
	t.released = true
	t.endReading()
	b.state(KeyOf(t.Upstream)).first--
	for _, h := range t.hops {
		b.hold(t, h, -1)
	}
	b.wake()
}
