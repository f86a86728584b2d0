package board

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"rhubarbspread/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// Key tells an upstream's lives apart.
type Key struct {
	ID   string
	Born int64
}

// KeyOf returns the key of an upstream's present life.
func KeyOf(u *fleet.Upstream) Key { return Key{u.ID, u.Born} }

// Tag is a short name of an upstream's life in what nodes tell each other.
func (k Key) Tag() uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(k.ID)
	_, _ = d.WriteString(strconv.FormatInt(k.Born, 10))
	return uint32(d.Sum64())
}

// state is what is known of one life of an upstream.
type state struct {
	tag       uint32
	held      float64   // tokens x layers reserved by this node's requests
	running   int       // this node's requests that pass through it
	first     int       // those that were sent to it
	reading   float64   // prompt tokens x layers of those without an event yet
	others    Claim     // of the other nodes together
	fullUntil time.Time // it said that it takes nothing more
	deadUntil time.Time // it fell silent or broke connections
	strikes   int       // such signs in a row
	errors    float64   // share of its latest answers that failed, decayed
	took      float64   // mean time of a plain answer, ms, decayed
}

// Claim is what nodes hold on one upstream.
type Claim struct {
	Held    float64 // tokens x layers
	Running int
	First   int
	Reading float64 // prompt tokens x layers
}

// add adds up the claims of several nodes.
func (c Claim) add(d Claim) Claim {
	return Claim{c.Held + d.Held, c.Running + d.Running, c.First + d.First, c.Reading + d.Reading}
}

// Board is safe for use by several goroutines.
type Board struct {
	mu     sync.Mutex
	now    func() time.Time
	random *rand.Rand
	states map[Key]*state
	peers  map[string]peerClaims
	freed  chan struct{} // closed and replaced when room may have come free
	centre string        // the node's own data centre
	cuts   map[string]*cut
	nodes  int
}

// peerClaims is what another node told last.
type peerClaims struct {
	at     time.Time
	claims map[uint32]Claim // by the upstream's tag
	rest   []uint32         // upstreams that broke or fell silent for it
}

// Option sets a part of a Board.
type Option func(*Board)

// WithClock sets the source of time.
func WithClock(now func() time.Time) Option { return func(b *Board) { b.now = now } }

// WithSeed fixes the choices among equals.
func WithSeed(seed uint64) Option {
	return func(b *Board) { b.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithDataCentre sets the node's own data centre, which is never thought to be cut off.
func WithDataCentre(name string) Option { return func(b *Board) { b.centre = name } }

// New returns an empty board.
func New(opts ...Option) *Board {
	b := &Board{
		now:    time.Now,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		states: make(map[Key]*state),
		peers:  make(map[string]peerClaims),
		freed:  make(chan struct{}),
		cuts:   make(map[string]*cut),
		nodes:  1,
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// SetNodes tells how many nodes share the upstreams' connections.
func (b *Board) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, n)
}

// Keep forgets upstreams that are gone and wakes what waits for room.
func (b *Board) Keep(list *fleet.List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, s := range b.states {
		u := list.Get(k.ID)
		if (u == nil || u.Born != k.Born) && s.running == 0 && s.first == 0 {
			delete(b.states, k)
		}
	}
	for _, u := range list.All() {
		b.state(KeyOf(u))
	}
	b.wake()
}

// Freed returns a channel that is closed when room may have come free.
func (b *Board) Freed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freed
}

func (b *Board) wake() {
	close(b.freed)
	b.freed = make(chan struct{})
}

func (b *Board) state(k Key) *state {
	s := b.states[k]
	if s == nil {
		s = &state{tag: k.Tag()}
		b.states[k] = s
	}
	return s
}

// Times of evidence.
const (
	fullTime   = 150 * time.Millisecond // a refusal for want of room says little about later than a few answers
	strikeTime = 400 * time.Millisecond // first rest of an upstream that broke or fell silent
	restLimit  = 3 * time.Second        // longest rest between two trials of such an upstream
	errorDecay = 0.2                    // weight of the latest answer in the share of failures
	claimLife  = 2 * time.Second        // after which another node's claims no longer count
)

// Full notes that an upstream refused for want of room.
func (b *Board) Full(k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(k).fullUntil = b.now().Add(fullTime)
}

// Strike notes that an upstream broke a connection, fell silent or can't be reached, and returns how long it rests.
func (b *Board) Strike(u *fleet.Upstream) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := KeyOf(u)
	s := b.state(k)
	now := b.now()
	b.noteCut(u, now)
	if now.Before(s.deadUntil) {
		return s.deadUntil.Sub(now) // one loss is seen by many requests
	}
	rest := min(strikeTime<<min(s.strikes, 4), restLimit)
	s.strikes++
	s.deadUntil = now.Add(rest)
	return rest
}

// cut is the evidence that a data centre can't be reached.
type cut struct {
	struck map[Key]time.Time
	until  time.Time
}

// Constants of the evidence that a data centre is cut off.
const (
	cutStrikes = 3               // upstreams of it that break within cutWindow and with no sign of life between them
	cutWindow  = time.Second     //
	cutTime    = 1 * time.Second // that its other upstreams are left out then
)

// noteCut takes a strike as evidence against the upstream's data centre.
func (b *Board) noteCut(u *fleet.Upstream, now time.Time) {
	if u.DataCentre == b.centre {
		return
	}
	c := b.cuts[u.DataCentre]
	if c == nil {
		c = &cut{struck: make(map[Key]time.Time)}
		b.cuts[u.DataCentre] = c
	}
	c.struck[KeyOf(u)] = now
	recent := 0
	for k, at := range c.struck {
		if now.Sub(at) > cutWindow {
			delete(c.struck, k)
			continue
		}
		recent++
	}
	if recent >= cutStrikes {
		c.until = now.Add(cutTime)
	}
}

func (b *Board) isCut(centre string, now time.Time) bool {
	c := b.cuts[centre]
	return c != nil && now.Before(c.until)
}

// Resting reports whether an upstream rests after a strike.
func (b *Board) Resting(k Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[k]
	return s != nil && b.now().Before(s.deadUntil)
}

// Alive notes that an upstream answered; took is the time of a plain answer, or 0.
func (b *Board) Alive(u *fleet.Upstream, failed bool, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.cuts, u.DataCentre)
	s := b.state(KeyOf(u))
	if !failed {
		s.strikes = 0
		s.deadUntil = time.Time{}
	}
	share := 0.0
	if failed {
		share = 1
	}
	s.errors += errorDecay * (share - s.errors)
	if took > 0 {
		ms := float64(took) / float64(time.Millisecond)
		if s.took == 0 {
			s.took = ms
		}
		s.took += errorDecay * (ms - s.took)
	}
}

// Claims returns what this node's requests hold, by the upstream's tag.
func (b *Board) Claims() map[uint32]Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := make(map[uint32]Claim, len(b.states))
	for _, s := range b.states {
		if s.running > 0 || s.first > 0 {
			m[s.tag] = Claim{s.held, s.running, s.first, s.reading}
		}
	}
	return m
}

// RestingTags returns the upstreams that broke or fell silent for this node.
func (b *Board) RestingTags() []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var tags []uint32
	for _, s := range b.states {
		if now.Before(s.deadUntil) {
			tags = append(tags, s.tag)
		}
	}
	return tags
}

// PeerClaims notes what another node holds and which upstreams broke or fell silent for it.
func (b *Board) PeerClaims(node string, claims map[uint32]Claim, resting []uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[node] = peerClaims{at: b.now(), claims: claims, rest: resting}
	b.sumPeers()
}

func (b *Board) sumPeers() {
	byTag := make(map[uint32]*state, len(b.states))
	for _, s := range b.states {
		s.others = Claim{}
		byTag[s.tag] = s
	}
	now := b.now()
	for node, p := range b.peers {
		if now.Sub(p.at) > claimLife {
			delete(b.peers, node)
			continue
		}
		for tag, c := range p.claims {
			if s := byTag[tag]; s != nil {
				s.others = s.others.add(c)
			}
		}
	}
}
