package reach

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of the decision.
const (
	minRelayedOnly  = 2                      // distinct upstreams that only relays reached, for a cut
	evidenceTTL     = 2 * time.Second        // within which these must have been found
	settleTime      = 100 * time.Millisecond // for probes of other upstreams to refute it
	minRecovered    = 2                      // distinct upstreams that must be reached directly for the cut to end
	maxRepeats      = 3                      // connections to one upstream that suffice where there is no second one
	failureTTL      = time.Second            // time for which a failed connection counts
	minFailed       = 3                      // least number of unreached upstreams that speak against this node itself
	relaySilenceTTL = 2 * time.Second        // after its last relayed connection, a cut node counts as isolated
)

// Change is a change of the tracker's state.
type Change int

// The changes.
const (
	Unchanged Change = iota
	CutOff
	CutEnded
)

// Tracker collects the outcomes of new connections to upstreams. It is safe for concurrent use.
type Tracker struct {
	now func() time.Time

	mu            sync.Mutex
	random        *rand.Rand
	isCut         bool
	relayedOnly   map[string]time.Time  // upstreams that only a relay reached since the last direct connection
	failed        map[string]time.Time  // upstreams whose direct connections failed since the last one that succeeded
	probedAt      time.Time             // when probes that may refute the evidence began
	recovered     map[string]int        // direct connections during the cut
	relays        map[string]relayState // by the name of the node
	lastRelayedAt time.Time             // of the latest connection through a relay
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithClock sets the source of time.
func WithClock(now func() time.Time) Option { return func(t *Tracker) { t.now = now } }

// WithSeed seeds the random choices, so that they can be repeated.
func WithSeed(seed uint64) Option {
	return func(t *Tracker) { t.random = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a tracker of a node that is not cut off.
func New(opts ...Option) *Tracker {
	t := &Tracker{
		now: time.Now, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		relayedOnly: make(map[string]time.Time), failed: make(map[string]time.Time), recovered: make(map[string]int),
		relays: make(map[string]relayState),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// DirectConnected records that the node itself connected to an upstream.
func (t *Tracker) DirectConnected(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.failed)
	if t.isCut {
		t.recovered[id]++
		return
	}
	clear(t.relayedOnly)
}

// DirectFailed records that the node itself could not connect to an upstream.
func (t *Tracker) DirectFailed(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[id] = t.now()
}

// RelayedOnly records that a relay reached an upstream which the node itself could not reach, or not yet.
func (t *Tracker) RelayedOnly(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.lastRelayedAt = now
	if _, ok := t.relayedOnly[id]; !ok && !t.isCut {
		t.relayedOnly[id] = now
	}
}

// ProbesBegan records that probes of some upstreams have begun, which may refute the evidence of before.
func (t *Tracker) ProbesBegan() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probedAt = t.now()
}

// IsCut reports whether the node is cut off from the upstreams.
func (t *Tracker) IsCut() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isCut
}

// IsSuspected reports whether the node is cut off or recent connections suggest it.
func (t *Tracker) IsSuspected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOld()
	return t.isCut || len(t.relayedOnly) > 0
}

// IsIsolated reports whether the node is cut off and has reached no upstream through a relay lately either.
func (t *Tracker) IsIsolated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isCut && t.now().Sub(t.lastRelayedAt) > relaySilenceTTL
}

// IsAtFault reports whether an upstream that nothing reaches says more about this node than about the upstream: the node
// is cut off, or failed to reach most of the listed upstreams and reached none.
func (t *Tracker) IsAtFault(listed int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOld()
	return t.isCut || len(t.failed) >= minFailed && 2*len(t.failed) > listed
}

// Evidence returns the upstreams that only relays reached, each with the time since then.
func (t *Tracker) Evidence() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ages := make(map[string]time.Duration, len(t.relayedOnly))
	for id, at := range t.relayedOnly {
		ages[id] = t.now().Sub(at)
	}
	return ages
}

// Update applies the evidence and the passage of time, and returns what changed.
func (t *Tracker) Update() Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOld()
	if t.isCut {
		if !t.hasRecovered() {
			return Unchanged
		}
		t.isCut = false
		clear(t.recovered)
		clear(t.relayedOnly)
		clear(t.failed)
		return CutEnded
	}
	now := t.now()
	if len(t.relayedOnly) < minRelayedOnly || now.Sub(t.probedAt) < settleTime || !t.hasOlderEvidence(t.probedAt) {
		return Unchanged
	}
	t.isCut = true
	clear(t.recovered)
	return CutOff
}

// hasOlderEvidence reports whether an upstream was reached by a relay only before a time. The caller holds the lock.
func (t *Tracker) hasOlderEvidence(than time.Time) bool {
	for _, at := range t.relayedOnly {
		if !at.After(than) {
			return true
		}
	}
	return false
}

// hasRecovered reports whether enough direct connections succeeded during the cut. The caller holds the lock.
func (t *Tracker) hasRecovered() bool {
	for _, n := range t.recovered {
		if n >= maxRepeats {
			return true
		}
	}
	return len(t.recovered) >= minRecovered
}

// dropOld drops evidence that has expired. The caller holds the lock.
func (t *Tracker) dropOld() {
	now := t.now()
	for id, at := range t.failed {
		if now.Sub(at) > failureTTL {
			delete(t.failed, id)
		}
	}
	if t.isCut {
		return
	}
	for id, at := range t.relayedOnly {
		if now.Sub(at) > evidenceTTL {
			delete(t.relayedOnly, id)
		}
	}
}
