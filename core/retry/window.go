package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Window allows repeats of a service's requests within what all nodes together may make in any window of time:
// a share of the requests and an extra. A node has a purse of its own, which works without the others, and draws on
// what they leave, as they tell it.
type Window struct {
	mu     sync.Mutex
	share  float64
	extra  float64
	window time.Duration
	nodes  int
	now    func() time.Time
	by     map[uint32]*purse
	others map[string]told
}

// Count is what nodes did in the latest window.
type Count struct {
	Firsts  int // requests
	Repeats int
}

// told is what another node, or all others together, told last.
type told struct {
	counts map[uint32]Count // by the service's tag
	nodes  int
	at     time.Time
}

type purse struct {
	balance float64
	at      time.Time
	firsts  rolling
	repeats rolling
	credit  float64 // repeats that may be drawn on the common part
}

// Constants of the parts of a budget.
const (
	unknownNodes = 32              // assumed until the number of nodes is known
	commonPart   = 0.6             // of the budget: until all repeats together reach it, a node may draw on what the others leave
	knownPart    = 0.85            // of the budget: when all repeats together reach it, purses are shut; the rest is for those not heard of yet
	lagPeriods   = 4               // times that nodes hear of each other until all know of a repeat, relays included
	toldLife     = 2 * time.Second // after which another node's counts no longer count
)

// NewWindow returns a budget of share x requests + extra in any window, for all nodes together.
func NewWindow(share, extra float64, window time.Duration) *Window {
	return &Window{
		share: share, extra: extra, window: window, nodes: unknownNodes, now: time.Now,
		by: make(map[uint32]*purse), others: make(map[string]told),
	}
}

// SetBounds changes the share, the extra and the window.
func (w *Window) SetBounds(share, extra float64, window time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share, w.extra, w.window = share, extra, window
}

// SetNodes tells how many nodes share the extra.
func (w *Window) SetNodes(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = max(1, n)
}

// Counts returns what this node did in the latest window, by the service's tag, for the other nodes.
func (w *Window) Counts() map[uint32]Count {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	m := make(map[uint32]Count, len(w.by))
	for tag, p := range w.by {
		m[tag] = Count{p.firsts.least(now, w.window), p.repeats.most(now, w.window)}
	}
	return m
}

// Hear takes in what another node, or several together, did in the latest window, and gives credit on what is left.
func (w *Window) Hear(node string, nodes int, counts map[uint32]Count) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.others[node] = told{counts, nodes, now}
	part := float64(nodes) / float64(w.nodes) // each of several nodes that tell brings its part of the credit
	for tag, p := range w.by {
		step := part * w.left(commonPart, tag, p, now) / float64(lagPeriods*w.nodes)
		p.credit = max(0, min(max(1, step), p.credit+step))
	}
}

// left returns what is left of a part of the budget, as far as this node heard of the others.
func (w *Window) left(part float64, tag uint32, p *purse, now time.Time) float64 {
	c, heard := w.known(tag, p, now)
	reach := min(1, float64(heard)/float64(w.nodes)) // those out of reach may count on the rest of the extra
	return part*(w.share*float64(c.Firsts)+w.extra*reach) - float64(c.Repeats)
}

// known adds up what this node did and heard of the others, and how many nodes that is.
func (w *Window) known(tag uint32, p *purse, now time.Time) (Count, int) {
	c, heard := Count{p.firsts.least(now, w.window), p.repeats.most(now, w.window)}, 1
	for node, t := range w.others {
		if now.Sub(t.at) > toldLife {
			delete(w.others, node)
			continue
		}
		c.Firsts += t.counts[tag].Firsts
		c.Repeats += t.counts[tag].Repeats
		heard += t.nodes
	}
	return c, heard
}

// Known returns what all nodes together did to a service in the latest window, as far as this node heard of it.
func (w *Window) Known(service string) Count {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, _ := w.known(Tag(service), w.purse(service), w.now())
	return c
}

// part is a node's part of the extra, of which half may be spent at once and half over time.
func (w *Window) part() float64 { return w.extra / float64(w.nodes) / 2 }

func (w *Window) purse(service string) *purse {
	now := w.now()
	tag := Tag(service)
	p := w.by[tag]
	if p == nil {
		p = &purse{balance: w.part(), at: now}
		w.by[tag] = p
	}
	p.balance = min(max(w.part(), 1), p.balance+w.part()*float64(now.Sub(p.at))/float64(w.window))
	p.at = now
	return p
}

// Tag is a short name of a service in what nodes tell each other.
func Tag(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// First notes a first attempt.
func (w *Window) First(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.purse(service)
	p.firsts.add(w.now(), w.window)
	p.balance = min(max(w.part(), 1), p.balance+w.share)
}

// Take spends one repeat and reports whether there was one.
func (w *Window) Take(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, now := w.purse(service), w.now()
	if w.left(knownPart, Tag(service), p, now) < 1 {
		return false
	}
	switch {
	case p.balance >= 1:
		p.balance--
	case p.credit >= 1:
		p.credit--
	default:
		return false
	}
	p.repeats.add(now, w.window)
	return true
}

// slots divide a window for counting.
const slots = 10

// rolling counts events of the latest window, the slot that it cuts in two included.
type rolling struct {
	counts [slots + 1]int
	turn   int64 // number of the latest slot since 1970
}

// most returns the events of the window and up to a slot more.
func (r *rolling) most(now time.Time, window time.Duration) int {
	r.roll(now, window)
	sum := 0
	for _, n := range r.counts {
		sum += n
	}
	return sum
}

// least returns the events of the window less up to a slot.
func (r *rolling) least(now time.Time, window time.Duration) int {
	return r.most(now, window) - r.counts[(r.turn+1)%int64(len(r.counts))]
}

func (r *rolling) add(now time.Time, window time.Duration) {
	r.roll(now, window)
	r.counts[r.turn%int64(len(r.counts))]++
}

// roll empties the slots that time has passed.
func (r *rolling) roll(now time.Time, window time.Duration) {
	turn := now.UnixNano() / int64(window/slots)
	for range min(turn-r.turn, int64(len(r.counts))) {
		r.turn++
		r.counts[r.turn%int64(len(r.counts))] = 0
	}
	r.turn = turn
}
