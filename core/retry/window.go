package retry

import (
	"sync"
	"time"
)

// Window allows repeats of a service's requests within what all nodes together may make in any window of time:
// a share of the requests and an extra. A node uses its part of the extra, half of it at once and half over time.
type Window struct {
	mu     sync.Mutex
	share  float64
	extra  float64
	window time.Duration
	nodes  int
	now    func() time.Time
	by     map[string]*purse
}

type purse struct {
	balance float64
	at      time.Time
}

// unknownNodes is assumed until the number of nodes is known.
const unknownNodes = 32

// NewWindow returns a budget of share x requests + extra in any window, for all nodes together.
func NewWindow(share, extra float64, window time.Duration) *Window {
	return &Window{share: share, extra: extra, window: window, nodes: unknownNodes, now: time.Now, by: make(map[string]*purse)}
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

// part is a node's part of the extra of which half may be spent at once.
func (w *Window) part() float64 { return w.extra / float64(w.nodes) / 2 }

func (w *Window) purse(service string) *purse {
	now := w.now()
	p := w.by[service]
	if p == nil {
		p = &purse{balance: w.part(), at: now}
		w.by[service] = p
	}
	p.balance = min(max(w.part(), 1), p.balance+w.part()*float64(now.Sub(p.at))/float64(w.window))
	p.at = now
	return p
}

// First notes a first attempt.
func (w *Window) First(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.purse(service)
	p.balance = min(max(w.part(), 1), p.balance+w.share)
}

// Take spends one repeat and reports whether there was one.
func (w *Window) Take(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.purse(service)
	if p.balance < 1 {
		return false
	}
	p.balance--
	return true
}
