package board

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/pacer"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

// Key identifies one incarnation of an upstream, or a link between two data centres.
type Key struct {
	ID          string
	Incarnation int64
}

// KeyOf returns the key of an upstream's current incarnation.
func KeyOf(u *fleet.Upstream) Key { return Key{u.ID, u.Incarnation} }

// Hash returns a 32-bit hash of the key, which stands for the incarnation in gossip between nodes.
func (k Key) Hash() uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(k.ID)
	_, _ = d.WriteString(strconv.FormatInt(k.Incarnation, 10))
	return uint32(d.Sum64())
}

// upstreamState is the load and health of one incarnation of an upstream, or the load of a link.
type upstreamState struct {
	hash         uint32    // of the key, for gossip
	reserved     float64   // tokens x layers that this node's requests reserve
	inFlight     int       // this node's requests that have a stage on it
	firstStage   int       // this node's requests that are sent to it: plain ones, and those whose first stage it runs
	prefill      float64   // prompt tokens x layers of this node's requests that it has not prefilled yet
	peerClaims   Claim     // sum over the other nodes
	ejectedUntil time.Time // end of the ejection after a refusal, timeout or connection failure
	probeUntil   time.Time // end of the half-open phase, in which one request probes it
	failures     int       // consecutive timeouts and connection failures
	silentSince  time.Time // since when it has not answered in time, or zero
	lastSilentAt time.Time // of the latest silence
	refusals     int       // consecutive refusals
	restUntil    time.Time // until which it wants no requests from this node
	// refusedPeers is how many other nodes reported a refusal by it, the latest at refusedPeersAt.
	refusedPeers       int
	refusedPeersAt     time.Time
	lastAlive          time.Time // time of the latest success
	suspicions         int       // other nodes that eject it after failures; those in its data centre count twice
	slowdown           float64   // factor on its processing times by its own report; 0 if unknown
	slowdownAt         time.Time
	slowdownIsDirect   bool // this node received the report from the upstream itself
	dataCentre         string
	errorRate          float64 // moving average of the share of responses that failed
	latencyMs          float64 // moving average of the response time of plain requests, ms
	reportedRequests   int     // requests that it reported to have, at reportedRequestsAt
	reportedRequestsAt time.Time
	limit              pacer.Limit // on the requests of all nodes that are sent to it
	doubt              doubtState
	layers             fleet.Range // that it holds by the list
	changedAt          time.Time   // when the list last said that these have changed
}

// Board tracks the load and health of upstreams. It is safe for concurrent use.
type Board struct {
	mu            sync.Mutex
	now           func() time.Time
	source        *rand.PCG // of random
	random        *rand.Rand
	states        map[Key]*upstreamState
	peers         map[string]peerGossip
	capacityFreed chan struct{} // closed and replaced when capacity may have become free
	dataCentre    string        // the node's own data centre
	nameHash      uint32        // of the node's name
	doubtsChanged chan struct{} // receives a value when a new doubt should be passed on at once
	partitions    map[string]*partition
	nodes         int            // nodes that share the links between data centres, with this one
	sharers       *pacer.Sharers // of upstreams' limits
	wakeTimer     *time.Timer    // wakes the requests that wait for an upstream's limit or the end of its rest, or nil
	wakeAt        time.Time      // when wakeTimer fires
	log           logr.Logger
	linkBudgets   map[Key]*linkBudget // this node's budget on each link
	viewAge       time.Duration       // of the claims in gossip when it arrives
	gossipAt      time.Time           // when the latest gossip arrived
	isOwnFault    func() bool         // this node, rather than an upstream, may be at fault for a failure
	onFreed       func()              // called when capacity may have become free; b.mu is held
	isSnapshot    bool                // a copy on which a decision is tried: it starts no timers
	onChoice      func(Choice)        // called with each path that is reserved, nil for none; b.mu is held
}

// Option configures a Board.
type Option func(*Board)

// WithClock sets the source of time.
func WithClock(now func() time.Time) Option { return func(b *Board) { b.now = now } }

// WithSeed seeds the random choices, so that they can be repeated.
func WithSeed(seed uint64) Option {
	return func(b *Board) { b.source = rand.NewPCG(seed, seed) }
}

// WithDataCentre sets the node's own data centre, which never counts as unreachable.
func WithDataCentre(name string) Option { return func(b *Board) { b.dataCentre = name } }

// WithNode sets the hash of the node's name.
func WithNode(hash uint32) Option { return func(b *Board) { b.nameHash = hash } }

// WithLogger sets the logger of changed limits and doubts; by default these are not logged.
func WithLogger(log logr.Logger) Option { return func(b *Board) { b.log = log } }

// WithOwnFault sets the function that reports whether failures may be this node's own fault. Such failures are not gossiped,
// and say nothing about a data centre.
func WithOwnFault(f func() bool) Option { return func(b *Board) { b.isOwnFault = f } }

// WithOnFreed sets a function that is called when capacity may have become free, here or by what other nodes report. It must not
// call the board.
func WithOnFreed(f func()) Option { return func(b *Board) { b.onFreed = f } }

// New returns an empty board.
func New(opts ...Option) *Board {
	b := &Board{
		now:           time.Now,
		source:        rand.NewPCG(rand.Uint64(), rand.Uint64()),
		states:        make(map[Key]*upstreamState),
		peers:         make(map[string]peerGossip),
		capacityFreed: make(chan struct{}),
		partitions:    make(map[string]*partition),
		doubtsChanged: make(chan struct{}, 1),
		nodes:         1, linkBudgets: make(map[Key]*linkBudget),
		log: logr.Discard(), sharers: &pacer.Sharers{}, isOwnFault: func() bool { return false }, onFreed: func() {},
	}
	for _, o := range opts {
		o(b)
	}
	b.random = rand.New(b.source)
	return b
}

// SetUpstreams drops the state of incarnations that are no longer listed and hold no reservation, and wakes requests
// that wait for capacity.
func (b *Board) SetUpstreams(list *fleet.List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, s := range b.states {
		if b.linkBudgets[k] != nil {
			continue
		}
		u := list.Get(k.ID)
		if (u == nil || u.Incarnation != k.Incarnation) && s.inFlight == 0 && s.firstStage == 0 && !s.isResting(b.now()) {
			delete(b.states, k)
		}
	}
	for _, u := range list.All() {
		s := b.state(KeyOf(u))
		s.dataCentre = u.DataCentre
		if s.layers != u.Layers {
			s.layers, s.changedAt = u.Layers, b.now()
			s.endDoubt()
		}
	}
	b.wakeWaiters()
}

// CapacityFreed returns a channel that is closed when capacity may have become free.
func (b *Board) CapacityFreed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.capacityFreed
}

// wakeWaiters wakes the requests that wait for capacity.
func (b *Board) wakeWaiters() {
	close(b.capacityFreed)
	b.capacityFreed = make(chan struct{})
	b.onFreed()
}

// state returns the state of a key, which it creates if there is none.
func (b *Board) state(k Key) *upstreamState {
	s := b.states[k]
	if s == nil {
		s = &upstreamState{hash: k.Hash()}
		b.states[k] = s
	}
	return s
}

// Parameters of upstream health. The ejection time doubles with each consecutive refusal or failure.
const (
	baseRefusalEjection = 100 * time.Millisecond  // first ejection after a refusal
	baseFailureEjection = 400 * time.Millisecond  // first ejection after a timeout or connection failure
	maxFailureEjection  = 3 * time.Second         // longest ejection after failures
	maxRefusalEjection  = time.Second             // longest ejection after refusals, which may only mean a lack of room
	probeTimeout        = 700 * time.Millisecond  // time to wait for the outcome of a probing request
	aliveTTL            = time.Second             // time for which a success here outweighs other nodes' suspicions
	minSuspicions       = 2                       // suspicions of other nodes that make an upstream suspected here
	ewmaWeight          = 0.2                     // weight of the latest response in moving averages
	claimTTL            = 2 * time.Second         // time after which the gossip of a node expires
	slowdownTTL         = 2500 * time.Millisecond // time after which a reported slowdown expires
	reportedRequestsTTL = 200 * time.Millisecond  // time after which an upstream's report of its load expires
	minRefusedPeers     = 2                       // refused nodes that exclude an upstream; one may have a large request
	refusedPeersTTL     = 300 * time.Millisecond  // time after which their refusals expire: two gossip periods
	maxDoublings        = 4                       // limit on the doublings of an ejection time
)

// RecordRefusal records that an upstream refused a request: it has no room, or no longer runs its layers. From is the data
// centre of the stage before, or "" for the first stage. Only a refusal within a data centre says to the other nodes that the
// upstream is at fault, as the link to it may be.
func (b *Board) RecordRefusal(u *fleet.Upstream, from string) {
	isOwnFault := b.isOwnFault()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(KeyOf(u))
	now := b.now()
	if !crosses(from, u.DataCentre) && !isOwnFault {
		b.noteRefusal(u.ID, s, now)
	}
	if now.Before(s.ejectedUntil) {
		return
	}
	s.ejectedUntil = now.Add(min(baseRefusalEjection<<min(s.refusals, maxDoublings), maxRefusalEjection))
	s.probeUntil = time.Time{}
	s.refusals++
}

// RecordFailure records that an upstream timed out, broke a connection or can't be reached, and returns how long it
// stays ejected.
func (b *Board) RecordFailure(u *fleet.Upstream) time.Duration {
	isOwnFault := b.isOwnFault()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(KeyOf(u))
	now := b.now()
	if !isOwnFault {
		b.notePartition(u, now)
	}
	if now.Before(s.ejectedUntil) && s.failures > 0 {
		return s.ejectedUntil.Sub(now) // concurrent requests see the same failure
	}
	ejection := min(baseFailureEjection<<min(s.failures, maxDoublings), maxFailureEjection)
	s.failures++
	s.ejectedUntil = now.Add(ejection)
	s.probeUntil = time.Time{}
	return ejection
}

// ForgetFailures drops the failures that this node has recorded and what follows from them, as they were its own fault.
// Refusals and what other nodes report stay.
func (b *Board) ForgetFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.states {
		if s.failures > 0 {
			s.failures = 0
			s.ejectedUntil, s.probeUntil = time.Time{}, time.Time{}
		}
	}
	clear(b.partitions)
	b.wakeWaiters()
}

// IsSuspected reports whether an upstream is suspected to be dead: it failed again after an ejection without a success
// since, or enough other nodes eject it.
func (b *Board) IsSuspected(u *fleet.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[KeyOf(u)]
	return s != nil && (s.failures > 1 || s.suspicions >= minSuspicions)
}

// isExcluded reports whether an upstream may not be picked now.
func (b *Board) isExcluded(u *fleet.Upstream, s *upstreamState, now time.Time) bool {
	if now.Before(s.ejectedUntil) || b.isPartitioned(u.DataCentre, now) || b.isRefusing(s, now) {
		return true
	}
	if s.failures+s.refusals > 0 && now.Before(s.probeUntil) {
		return true // another request is probing it
	}
	return s.suspicions >= minSuspicions && now.Sub(s.lastAlive) > aliveTTL && now.Before(s.probeUntil)
}

// isRefusing reports whether an upstream refuses the requests of several nodes, and would refuse another one as well.
func (b *Board) isRefusing(s *upstreamState, now time.Time) bool {
	return s.isRefusingPeers(now) || b.isDoubted(s, now)
}

// startProbe makes the request of a reservation the only probe of an upstream that was ejected.
func (r *Reservation) startProbe(s *upstreamState, now time.Time) {
	if s.failures+s.refusals > 0 || s.suspicions >= minSuspicions {
		s.probeUntil = now.Add(probeTimeout)
		r.probes = append(r.probes, s)
	}
}

// RecordResponse records a response of an upstream; latency is the response time of a plain request, or 0.
func (b *Board) RecordResponse(u *fleet.Upstream, failed bool, latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(KeyOf(u))
	if !failed {
		b.markAlive(u)
	}
	share := 0.0
	if failed {
		share = 1
	}
	s.errorRate += ewmaWeight * (share - s.errorRate)
	if latency > 0 {
		ms := float64(latency) / float64(time.Millisecond)
		if s.latencyMs == 0 {
			s.latencyMs = ms
		}
		s.latencyMs += ewmaWeight * (ms - s.latencyMs)
	}
}

// RecordLoad records how many requests an upstream reports to have.
func (b *Board) RecordLoad(u *fleet.Upstream, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(KeyOf(u))
	s.reportedRequests, s.reportedRequestsAt = requests, b.now()
}

// markAlive records a success, which ends an upstream's ejection and that of its data centre.
func (b *Board) markAlive(u *fleet.Upstream) {
	delete(b.partitions, u.DataCentre)
	s := b.state(KeyOf(u))
	s.failures, s.refusals = 0, 0
	s.silentSince, s.lastSilentAt = time.Time{}, time.Time{}
	s.ejectedUntil, s.probeUntil = time.Time{}, time.Time{}
	s.lastAlive = b.now()
	b.noteAnswer(u, s, s.lastAlive)
}

// partition is the evidence that a data centre can't be reached.
type partition struct {
	failedAt         map[Key]time.Time // latest failure of each upstream
	unreachableUntil time.Time         // its upstreams are excluded until then
}

// Parameters of the detection of an unreachable data centre.
const (
	partitionFailures = 3 // upstreams of it that fail within partitionWindow without a success between
	partitionWindow   = time.Second
	partitionTTL      = 1 * time.Second // time for which all its upstreams are excluded then
)

// notePartition counts a failure of an upstream as evidence that its data centre can't be reached.
func (b *Board) notePartition(u *fleet.Upstream, now time.Time) {
	if u.DataCentre == b.dataCentre {
		return
	}
	p := b.partitions[u.DataCentre]
	if p == nil {
		p = &partition{failedAt: make(map[Key]time.Time)}
		b.partitions[u.DataCentre] = p
	}
	p.failedAt[KeyOf(u)] = now
	recent := 0
	for k, at := range p.failedAt {
		if now.Sub(at) > partitionWindow {
			delete(p.failedAt, k)
			continue
		}
		recent++
	}
	if recent >= partitionFailures {
		p.unreachableUntil = now.Add(partitionTTL)
	}
}

func (b *Board) isPartitioned(dataCentre string, now time.Time) bool {
	p := b.partitions[dataCentre]
	return p != nil && now.Before(p.unreachableUntil)
}

// RecordSlowdown records the slowdown in an upstream's report to this node.
func (b *Board) RecordSlowdown(u *fleet.Upstream, slowdown float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(KeyOf(u))
	s.slowdown, s.slowdownAt, s.slowdownIsDirect = slowdown, b.now(), true
}

// currentSlowdown returns the factor on an upstream's processing times, 1 if none is known.
func (s *upstreamState) currentSlowdown(now time.Time) float64 {
	if s.slowdown <= 1 || now.Sub(s.slowdownAt) > slowdownTTL {
		return 1
	}
	return s.slowdown
}
