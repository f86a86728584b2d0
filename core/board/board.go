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
	restUntil time.Time // it refused, fell silent or broke connections
	trial     time.Time // until when one request tries it after a rest
	strikes   int       // such signs in a row
	refusals  int       // refusals in a row
	// refusers is how many other nodes it refused just now, as they told at refusersAt.
	refusers   int
	refusersAt time.Time
	alive      time.Time // of the latest sign of life
	doubted    int       // other nodes for which it rests, those of its data centre twice
	pace       float64   // factor on its times as it reports, or 0
	paceAt     time.Time
	paceOwn    bool // this node asked for the report
	centre     string
	errors     float64 // share of its latest answers that failed, decayed
	took       float64 // mean time of a plain answer, ms, decayed
	told       int     // requests that it said it has, at toldAt
	toldAt     time.Time
}

// Board is safe for use by several goroutines.
type Board struct {
	mu     sync.Mutex
	now    func() time.Time
	random *rand.Rand
	states map[Key]*state
	peers  map[string]heard
	freed  chan struct{} // closed and replaced when room may have come free
	centre string        // the node's own data centre
	cuts   map[string]*cut
	nodes  int // that share the pipes between data centres
	// tolls has this node's part of each pipe.
	tolls map[Key]*toll
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
		peers:  make(map[string]heard),
		freed:  make(chan struct{}),
		cuts:   make(map[string]*cut),
		nodes:  1, tolls: make(map[Key]*toll),
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Keep forgets upstreams that are gone and wakes what waits for room.
func (b *Board) Keep(list *fleet.List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, s := range b.states {
		if b.tolls[k] != nil {
			continue
		}
		u := list.Get(k.ID)
		if (u == nil || u.Born != k.Born) && s.running == 0 && s.first == 0 {
			delete(b.states, k)
		}
	}
	for _, u := range list.All() {
		b.state(KeyOf(u)).centre = u.DataCentre
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
	fullTime     = 100 * time.Millisecond  // first rest of an upstream that refused
	strikeTime   = 400 * time.Millisecond  // first rest of an upstream that broke or fell silent
	restLimit    = 3 * time.Second         // longest rest between two trials of such an upstream
	fullLimit    = time.Second             // the same after refusals, which may be for want of room alone
	trialTime    = 700 * time.Millisecond  // in which the one request that tries an upstream should tell of it
	aliveTime    = time.Second             // for which an own sign of life outweighs what other nodes say
	doubters     = 2                       // other nodes for which an upstream must rest to be left out here too
	errorDecay   = 0.2                     // weight of the latest answer in the share of failures
	claimLife    = 2 * time.Second         // after which another node's claims no longer count
	paceLife     = 2500 * time.Millisecond // after which a report no longer counts
	toldLife     = 200 * time.Millisecond  // for which what an upstream told of its load counts
	mostRefusers = 2                       // other nodes whose refusal leaves an upstream out here too: one may have asked for much
	refusersLife = 300 * time.Millisecond  // for which that counts: two periods of what nodes tell each other
	doublings    = 4                       // of a rest
)

// Full notes that an upstream refused, which a dead part of a path does as well as a full one.
func (b *Board) Full(u *fleet.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(KeyOf(u))
	now := b.now()
	if now.Before(s.restUntil) {
		return
	}
	s.restUntil = now.Add(min(fullTime<<min(s.refusals, doublings), fullLimit))
	s.trial = time.Time{}
	s.refusals++
}

// Strike notes that an upstream broke a connection, fell silent or can't be reached, and returns how long it rests.
func (b *Board) Strike(u *fleet.Upstream) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(KeyOf(u))
	now := b.now()
	b.noteCut(u, now)
	if now.Before(s.restUntil) && s.strikes > 0 {
		return s.restUntil.Sub(now) // one loss is seen by many requests
	}
	rest := min(strikeTime<<min(s.strikes, doublings), restLimit)
	s.strikes++
	s.restUntil = now.Add(rest)
	s.trial = time.Time{}
	return rest
}

// Silent reports whether an upstream has been found dead again after a rest, and by no sign alive since.
func (b *Board) Silent(u *fleet.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[KeyOf(u)]
	return s != nil && (s.strikes > 1 || s.doubted >= doubters)
}

// isOut reports whether an upstream is left out of choices now.
func (b *Board) isOut(u *fleet.Upstream, s *state, now time.Time) bool {
	if now.Before(s.restUntil) || b.isCut(u.DataCentre, now) || s.isRefusing(now) {
		return true
	}
	if s.strikes+s.refusals > 0 && now.Before(s.trial) {
		return true // another request tries it
	}
	return s.doubted >= doubters && now.Sub(s.alive) > aliveTime && now.Before(s.trial)
}

// try notes that a request goes to an upstream that rested.
func (s *state) try(now time.Time) {
	if s.strikes+s.refusals > 0 || s.doubted >= doubters {
		s.trial = now.Add(trialTime)
	}
}

// Alive notes that an upstream answered; took is the time of a plain answer, or 0.
func (b *Board) Alive(u *fleet.Upstream, failed bool, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(KeyOf(u))
	if !failed {
		b.lives(u)
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

// Told notes how many requests an upstream says it has.
func (b *Board) Told(u *fleet.Upstream, requests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(KeyOf(u))
	s.told, s.toldAt = requests, b.now()
}

// lives notes a sign of life.
func (b *Board) lives(u *fleet.Upstream) {
	delete(b.cuts, u.DataCentre)
	s := b.state(KeyOf(u))
	s.strikes, s.refusals = 0, 0
	s.restUntil, s.trial = time.Time{}, time.Time{}
	s.alive = b.now()
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

// Reported notes the pace in an upstream's report to this node.
func (b *Board) Reported(u *fleet.Upstream, pace float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(KeyOf(u))
	s.pace, s.paceAt, s.paceOwn = pace, b.now(), true
}

// slowness returns the factor on an upstream's times, 1 if none is known.
func (s *state) slowness(now time.Time) float64 {
	if s.pace <= 1 || now.Sub(s.paceAt) > paceLife {
		return 1
	}
	return s.pace
}
