package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Window is a retry budget that all nodes share: in any window of time, their retries of a service's requests stay
// within a share of the requests plus a fixed extra. Each node has its own part of the budget, which it may spend
// without contact to the others; beyond it, it borrows retries that the others leave unused by their latest counts.
type Window struct {
	mu     sync.Mutex
	share  float64 // retries that a request earns
	extra  float64 // retries in a window beyond the earned ones
	window time.Duration
	nodes  int
	now    func() time.Time
	// startedAt is when this node started: it does not know what its previous incarnation has spent since a window ago.
	startedAt time.Time
	services  map[uint32]*serviceBudget // by ServiceHash
	peers     map[string]peerCounts     // by node
}

// Count holds the requests and retries of one service in the latest window.
type Count struct {
	FirstAttempts int // requests, each counted at its first attempt
	Retries       int
}

// Coverage is how many nodes counts cover.
type Coverage struct {
	Nodes   int
	Settled int // of these, the nodes that have run for a whole window; what the others spent before is unknown
}

// peerCounts holds the latest counts received from one node, or from a relay for several nodes.
type peerCounts struct {
	counts     map[uint32]Count // by ServiceHash
	nodes      Coverage
	receivedAt time.Time
}

// serviceBudget is the state of the budget for one service.
type serviceBudget struct {
	balance       float64 // retries of the node's own part
	refilledAt    time.Time
	firstAttempts rollingCount
	retries       rollingCount
	credit        float64 // retries that may be borrowed from other nodes
}

// Constants of the shared budget.
const (
	defaultNodes    = 32  // until the number of nodes is known
	borrowableShare = 0.6 // of the budget; nodes may borrow while all retries together are below it
	// cutoffShare is the share of the budget beyond which no node retries: the rest covers retries not reported yet.
	cutoffShare        = 0.85
	propagationPeriods = 4               // exchange periods until every node knows of a retry, relays included
	peerCountsTTL      = 2 * time.Second // after which counts from another node are dropped
)

// NewWindow returns a budget of share x requests + extra retries in any window, for all nodes together.
func NewWindow(share, extra float64, window time.Duration) *Window {
	return &Window{
		share: share, extra: extra, window: window, nodes: defaultNodes, now: time.Now, startedAt: time.Now(),
		services: make(map[uint32]*serviceBudget), peers: make(map[string]peerCounts),
	}
}

// SetBounds changes the share, the extra and the window.
func (w *Window) SetBounds(share, extra float64, window time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.share, w.extra, w.window = share, extra, window
}

// SetNodes sets how many nodes share the extra.
func (w *Window) SetNodes(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = max(1, n)
}

// Counts returns this node's counts for the latest window, by ServiceHash, to be sent to the other nodes.
func (w *Window) Counts() map[uint32]Count {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	m := make(map[uint32]Count, len(w.services))
	for hash, sb := range w.services {
		m[hash] = Count{sb.firstAttempts.lowerCount(now, w.window), sb.retries.upperCount(now, w.window)}
	}
	return m
}

// MergeCounts stores the counts that another node, or a relay for several nodes, reported for the latest window, and
// adjusts the credit by this node's portion of the unused budget.
func (w *Window) MergeCounts(node string, nodes Coverage, counts map[uint32]Count) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.peers[node] = peerCounts{counts, nodes, now}
	portion := float64(nodes.Nodes) / float64(w.nodes) // a report counts in proportion to the nodes that it covers
	for hash, sb := range w.services {
		step := portion * w.remaining(borrowableShare, hash, sb, now) / float64(propagationPeriods*w.nodes)
		sb.credit = max(0, min(max(1, step), sb.credit+step))
	}
}

// remaining returns the unused rest of a part of the budget, as far as this node knows the counts of the others.
func (w *Window) remaining(share float64, hash uint32, sb *serviceBudget, now time.Time) float64 {
	count, settledNodes := w.totals(hash, sb, now)
	// Nodes out of contact may be spending the rest of the extra, and nodes that restarted may have spent theirs before.
	coverage := min(1, float64(settledNodes)/float64(w.nodes))
	return share*(w.share*float64(count.FirstAttempts)+w.extra*coverage) - float64(count.Retries)
}

// totals adds up the counts of this node and those received from others, and the number of settled nodes among them.
func (w *Window) totals(hash uint32, sb *serviceBudget, now time.Time) (Count, int) {
	count := Count{sb.firstAttempts.lowerCount(now, w.window), sb.retries.upperCount(now, w.window)}
	settledNodes := w.settled(now)
	for node, p := range w.peers {
		if now.Sub(p.receivedAt) > peerCountsTTL {
			delete(w.peers, node)
			continue
		}
		count.FirstAttempts += p.counts[hash].FirstAttempts
		count.Retries += p.counts[hash].Retries
		settledNodes += p.nodes.Settled
	}
	return count, settledNodes
}

// Coverage returns what this node's own counts cover.
func (w *Window) Coverage() Coverage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Coverage{Nodes: 1, Settled: w.settled(w.now())}
}

// settled returns 1 if this node has run for a whole window, else 0.
func (w *Window) settled(now time.Time) int {
	if now.Sub(w.startedAt) < w.window {
		return 0
	}
	return 1
}

// Totals returns the counts of all nodes together for a service in the latest window, as far as this node knows them.
func (w *Window) Totals(service string) Count {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, _ := w.totals(ServiceHash(service), w.serviceBudget(service), w.now())
	return count
}

// Rate returns how many requests for a service a second arrive at all nodes together, as far as this node knows.
func (w *Window) Rate(service string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	count, _ := w.totals(ServiceHash(service), w.serviceBudget(service), now)
	return float64(count.FirstAttempts) / min(w.window, max(minRateTime, now.Sub(w.startedAt))).Seconds()
}

// minRateTime is the shortest time after a node's start that its counts are divided by.
const minRateTime = time.Second

// nodeBurst returns how many retries of its share of the extra a node may spend at once: half of it. The other half
// accrues over one window. A node starts with none, since its previous incarnation may have spent them.
func (w *Window) nodeBurst() float64 { return w.extra / float64(w.nodes) / 2 }

// serviceBudget returns a service's budget, refilled for the time since its last use.
func (w *Window) serviceBudget(service string) *serviceBudget {
	now := w.now()
	hash := ServiceHash(service)
	sb := w.services[hash]
	if sb == nil {
		sb = &serviceBudget{refilledAt: w.startedAt}
		w.services[hash] = sb
	}
	sb.balance = min(max(w.nodeBurst(), 1), sb.balance+w.nodeBurst()*float64(now.Sub(sb.refilledAt))/float64(w.window))
	sb.refilledAt = now
	return sb
}

// ServiceHash returns the hash by which nodes name a service in the counts that they exchange.
func ServiceHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// RecordFirstAttempt records a first attempt.
func (w *Window) RecordFirstAttempt(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sb := w.serviceBudget(service)
	sb.firstAttempts.add(w.now(), w.window)
	sb.balance = min(max(w.nodeBurst(), 1), sb.balance+w.share)
}

// Take spends one retry and reports whether the budget held one.
func (w *Window) Take(service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	sb, now := w.serviceBudget(service), w.now()
	if w.remaining(cutoffShare, ServiceHash(service), sb, now) < 1 {
		return false
	}
	switch {
	case sb.balance >= 1:
		sb.balance--
	case sb.credit >= 1:
		sb.credit--
	default:
		return false
	}
	sb.retries.add(now, w.window)
	return true
}

// Refund returns the retry that was taken at a time for an attempt that reached no upstream. One that has left the window since
// needs no refund.
func (w *Window) Refund(service string, takenAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sb, now := w.serviceBudget(service), w.now()
	if sb.retries.remove(takenAt, now, w.window) {
		sb.balance = min(max(w.nodeBurst(), 1), sb.balance+1)
	}
}

// slotsPerWindow is the resolution of a rolling count.
const slotsPerWindow = 10

// rollingCount counts the events of the latest window in slots, including the slot that the window's start falls in.
type rollingCount struct {
	counts [slotsPerWindow + 1]int
	slot   int64 // number of the latest slot since the Unix epoch
}

// upperCount returns the events of the window and of up to one slot before it.
func (r *rollingCount) upperCount(now time.Time, window time.Duration) int {
	r.advance(now, window)
	sum := 0
	for _, n := range r.counts {
		sum += n
	}
	return sum
}

// lowerCount returns the events of the window without those of up to one slot at its start.
func (r *rollingCount) lowerCount(now time.Time, window time.Duration) int {
	return r.upperCount(now, window) - r.counts[(r.slot+1)%int64(len(r.counts))]
}

func (r *rollingCount) add(now time.Time, window time.Duration) {
	r.advance(now, window)
	r.counts[r.slot%int64(len(r.counts))]++
}

// remove removes an event that was added at a time, and reports whether it was still counted.
func (r *rollingCount) remove(at, now time.Time, window time.Duration) bool {
	r.advance(now, window)
	slot := at.UnixNano() / int64(window/slotsPerWindow)
	if slot > r.slot || r.slot-slot >= int64(len(r.counts)) || r.counts[slot%int64(len(r.counts))] == 0 {
		return false
	}
	r.counts[slot%int64(len(r.counts))]--
	return true
}

// advance empties the slots that have left the window.
func (r *rollingCount) advance(now time.Time, window time.Duration) {
	slot := now.UnixNano() / int64(window/slotsPerWindow)
	for range min(slot-r.slot, int64(len(r.counts))) {
		r.slot++
		r.counts[r.slot%int64(len(r.counts))] = 0
	}
	r.slot = slot
}
