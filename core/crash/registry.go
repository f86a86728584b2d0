package crash

import (
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Constants of crash detection.
const (
	suspicionTime     = 10 * time.Minute       // for which a mark makes its request a suspect
	defaultSettleTime = 100 * time.Millisecond // from which age on a mark counts for a quarantine
	// More than correlatedDeaths upstreams of one data centre that die within correlationWindow of each other and with
	// no suspect in common point to a failure of a rack, a switch or the data centre, not to a request.
	correlatedDeaths  = 2
	correlationWindow = time.Second
	// sameDeathWindow is the longest time between the marks of one death, whose ages differ by the delays of gossip. An
	// upstream that is back dies later.
	sameDeathWindow = 2 * time.Second
	contestTime     = 3 * time.Second // for which a clearance is repeated to a node that has the suspect in quarantine
	maxRecords      = 4096            // suspects; the IDs of parts come from callers
	maxDeaths       = 512
	// seenSweepInterval is the time between two searches for marks that no node sends any more.
	seenSweepInterval = time.Second
)

// record holds the suspicion against one request or part.
type record struct {
	deaths        []*death
	weight        int       // how strongly the deaths speak against it
	wentSilent    bool      // at one of them the upstream went silent
	brokeLate     bool      // at one of them the answer had begun
	quarantineEnd time.Time // zero while it is not in quarantine
	prolonged     int       // how often the quarantine was prolonged
	refusedAt     time.Time // latest verdict of quarantine
	turn          turn
	answeredStamp uint64        // of the first answer to a request without it that began after its first death; 0 for none
	trialAt       time.Time     // of this node's latest trial
	fewestHeld    []Fingerprint // withheld parts of a request with it, the fewest of late
	fewestHeldAt  time.Time
	aloneSince    time.Time // when the broader parts of its requests were acquitted
	openLoggedAt  time.Time // of the latest log line on why it is not in quarantine
	asked         int       // copies of a request in quarantine that came since askedSince
	askedSince    time.Time // from which on they may be tried
}

// quarantineEnd is when a quarantine ended, and how often it had been prolonged.
type quarantineEnd struct {
	at        time.Time
	prolonged int
}

// death is the death of one incarnation of an upstream, with the suspects that ran there.
type death struct {
	upstream   string
	dataCentre string
	at         time.Time
	marks      map[Fingerprint]deathMark
}

// deathMark is a mark and the time of the death by it.
type deathMark struct {
	Mark
	at       time.Time
	isStored bool // it is known from a row of the store alone, read at that time
}

// begunAt returns when the request was sent, the last one if there were several.
func (m deathMark) begunAt() time.Time { return m.at.Add(-m.Ran) }

// runningRequest is a request that this node has in flight.
type runningRequest struct {
	upstream  string
	count     int           // attempts in flight with the same fingerprint
	suspected chan struct{} // closed when another upstream died while it ran the request
}

// Registry holds one node's view of which requests, and which parts of prompts, crash upstreams.
type Registry struct {
	mu         sync.Mutex
	now        func() time.Time
	stamp      func() uint64
	quarantine time.Duration // length of a quarantine
	settleTime time.Duration
	records    map[Fingerprint]*record
	running    map[Fingerprint]*runningRequest
	deaths     []*death // the oldest first
	cleared    map[Fingerprint]clearance
	ended      map[Fingerprint]quarantineEnd // of the latest quarantine; earlier deaths don't count
	contested  map[Fingerprint]time.Time     // when another node sent marks that a clearance withdraws
	seen       map[deathID]seenMark
	// seenSweptAt is when old entries of seen were dropped last.
	seenSweptAt time.Time
	usage       usage
	open        openParts
	// outcomeTime is how long it takes to see that a request does not crash its upstream, or does: the mean time of this node's
	// latest complete answers with parts, and no less than the time after which upstreams died since.
	outcomeTime time.Duration
	index       int // of this node among those that share the trials
	nodes       int // that share them
	log         logr.Logger
}

// deathID identifies the death of an upstream that ran a request.
type deathID struct {
	fingerprint Fingerprint
	upstream    string
}

// seenMark is the latest mark of a death. Gossip repeats marks, and a repetition is no new death.
type seenMark struct {
	stamp uint64
	at    time.Time
}

// Option configures a Registry.
type Option func(*Registry)

// WithLogger sets the logger of marks and quarantines; by default they are not logged.
func WithLogger(log logr.Logger) Option { return func(r *Registry) { r.log = log } }

// WithSettleTime sets the age from which a mark counts for a quarantine. It leaves time for the marks of other suspects,
// which may explain the same deaths better, to arrive from other nodes.
func WithSettleTime(d time.Duration) Option { return func(r *Registry) { r.settleTime = d } }

// clearance withdraws all marks with a lower stamp, which a node that was out of contact may still send.
type clearance struct {
	stamp uint64
	at    time.Time
}

// NewRegistry returns an empty registry; stamp returns increasing values that order marks across nodes.
func NewRegistry(
	now func() time.Time, stamp func() uint64, quarantine time.Duration, opts ...Option,
) *Registry {
	r := &Registry{
		log:        logr.Discard(),
		now:        now,
		stamp:      stamp,
		quarantine: quarantine,
		settleTime: defaultSettleTime,
		cleared:    make(map[Fingerprint]clearance),
		records:    make(map[Fingerprint]*record),
		running:    make(map[Fingerprint]*runningRequest),
		ended:      make(map[Fingerprint]quarantineEnd),
		contested:  make(map[Fingerprint]time.Time),
		seen:       make(map[deathID]seenMark),
		nodes:      1,
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// SetQuarantine changes how long a quarantine lasts.
func (r *Registry) SetQuarantine(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine = d
}

// SetNodes sets the nodes that share the trials of parts. All of them have to list these in the same order.
func (r *Registry) SetNodes(self string, nodes []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = max(1, len(nodes))
	r.index = max(0, slices.Index(nodes, self))
}

// Verdict returns whether and where a request may run now.
func (r *Registry) Verdict(f Fingerprint) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	duplicateAt := ""
	if run := r.running[f]; run != nil {
		duplicateAt = run.upstream
	}
	rec := r.records[f]
	if rec != nil && r.updateQuarantine(f, rec, now) {
		rec.refusedAt = now
		return Quarantined{remaining: rec.quarantineEnd.Sub(now), untilTrial: r.untilRetrial(f, rec, now)}
	}
	if rec = r.records[f]; rec == nil {
		return Clear{duplicateAt: duplicateAt}
	}
	var avoid []string
	latestAge := time.Duration(suspicionTime)
	for _, d := range rec.deaths {
		if age := now.Sub(d.marks[f].at); age < suspicionTime && !r.isCorrelatedFailure(f, d) {
			avoid = append(avoid, d.upstream)
			latestAge = min(latestAge, age)
		}
	}
	if len(avoid) == 0 {
		return Clear{duplicateAt: duplicateAt}
	}
	slices.Sort(avoid)
	return Suspect{
		duplicateAt: duplicateAt, avoid: slices.Compact(avoid), strong: r.isStrong(f, rec), age: latestAge,
	}
}

// StrongSuspects returns the strongly suspected requests, each of which all nodes run at one upstream only.
func (r *Registry) StrongSuspects() []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out []Fingerprint
	for f, rec := range r.records {
		if !f.IsPart() && r.isStrong(f, rec) && !rec.quarantineEnd.After(now) {
			out = append(out, f)
		}
	}
	return out
}

// RecordRunTime records how long a request with parts had run when its upstream died.
func (r *Registry) RecordRunTime(ran time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomeTime = max(r.outcomeTime, ran)
}

// Begin records that a request runs at an upstream. The channel closes when another upstream dies while it runs an
// identical request.
func (r *Registry) Begin(f Fingerprint, upstream string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.running[f]
	if run == nil || run.upstream != upstream {
		run = &runningRequest{upstream: upstream, suspected: make(chan struct{})}
		r.running[f] = run
	}
	run.count++
	return run.suspected
}

// notifyRunning closes the channel of a request in flight whose duplicate another upstream broke on before the first
// token.
func (r *Registry) notifyRunning(m Mark) {
	run := r.running[m.Fingerprint]
	if run == nil || run.upstream == m.Upstream || m.Symptom != BrokeBeforeFirstToken {
		return
	}
	select {
	case <-run.suspected:
	default:
		close(run.suspected)
	}
}

// End records that a request no longer runs at an upstream.
func (r *Registry) End(f Fingerprint, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.running[f]
	if run == nil || run.upstream != upstream {
		return
	}
	run.count--
	if run.count == 0 {
		delete(r.running, f)
	}
}

// RecordUse counts a request with some parts.
func (r *Registry) RecordUse(parts []Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usage.record(parts, r.now())
}

// Evidence returns the marks of the requests in quarantine, for nodes that may lack them.
func (r *Registry) Evidence() []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out []Mark
	for f, rec := range r.records {
		if !r.updateQuarantine(f, rec, now) {
			continue
		}
		for _, m := range rec.marks(f, now) {
			m.Quarantined, m.Prolonged = true, rec.prolonged
			out = append(out, m)
		}
	}
	return out
}

// marks returns the marks of a suspect with their ages.
func (r *record) marks(f Fingerprint, now time.Time) []Mark {
	var out []Mark
	for _, d := range r.deaths {
		m := d.marks[f]
		mark := m.Mark
		mark.Age = now.Sub(m.at)
		out = append(out, mark)
	}
	return out
}

// Entry is a quarantined request as operators see it.
type Entry struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Upstreams   []string      `json:"upstreams"`
	Remaining   time.Duration `json:"remaining-ns"`
}

// List returns the quarantined requests.
func (r *Registry) List() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out []Entry
	for f, rec := range r.records {
		if !r.updateQuarantine(f, rec, now) {
			continue
		}
		e := Entry{Fingerprint: f, Remaining: rec.quarantineEnd.Sub(now)}
		e.Upstreams = rec.upstreams()
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return int(a.Remaining - b.Remaining) })
	return out
}
