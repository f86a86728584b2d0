package crash

import (
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Constants of crash detection.
const (
	crashesToQuarantine = 2                // one more if an upstream went silent instead of breaking the connection
	suspicionTime       = 10 * time.Minute // for which a mark makes its request a suspect
	// More than correlatedDeaths upstreams of one data centre that die within correlationWindow of each other and with
	// no request in common point to a failure of a rack, a switch or the data centre, not to a request.
	correlatedDeaths  = 2
	correlationWindow = time.Second
)

// record holds the suspicion against one request.
type record struct {
	marks         map[string]deathMark // by upstream
	quarantineEnd time.Time            // zero if the request was never quarantined
}

// deathMark is the death of one upstream that ran a request.
type deathMark struct {
	Mark
	at time.Time
}

// count returns the number of deaths with a symptom.
func (r *record) count(s Symptom) int {
	n := 0
	for _, m := range r.marks {
		if m.Symptom == s {
			n++
		}
	}
	return n
}

// runningRequest is a request that this node has in flight.
type runningRequest struct {
	upstream  string
	count     int           // attempts in flight with the same fingerprint
	suspected chan struct{} // closed when another upstream died while it ran the request
}

// Registry holds one node's view of which requests crash upstreams.
type Registry struct {
	mu         sync.Mutex
	now        func() time.Time
	stamp      func() uint64
	quarantine time.Duration // length of a quarantine
	records    map[Fingerprint]*record
	running    map[Fingerprint]*runningRequest
	deaths     map[string]death // by upstream, the latest
	cleared    map[Fingerprint]clearance
	seen       map[deathID]seenMark
	log        logr.Logger
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

// clearance withdraws all marks with a lower stamp, which a node that was out of contact may still send.
type clearance struct {
	stamp uint64
	at    time.Time
}

// death is the latest death of an upstream.
type death struct {
	at         time.Time
	dataCentre string
	requests   []Fingerprint // that ran on the upstream
}

// NewRegistry returns an empty registry; stamp returns increasing values that order marks across nodes.
func NewRegistry(
	now func() time.Time, stamp func() uint64, quarantine time.Duration, opts ...Option,
) *Registry {
	r := &Registry{
		log:        logr.Discard(),
		now:        now,
		stamp:      stamp,
		cleared:    make(map[Fingerprint]clearance),
		quarantine: quarantine,
		records:    make(map[Fingerprint]*record),
		running:    make(map[Fingerprint]*runningRequest),
		deaths:     make(map[string]death),
		seen:       make(map[deathID]seenMark),
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
		return Quarantined{remaining: rec.quarantineEnd.Sub(now)}
	}
	if rec = r.records[f]; rec == nil {
		return Clear{duplicateAt: duplicateAt}
	}
	var avoid []string
	latestAge := time.Duration(suspicionTime)
	for upstream, m := range rec.marks {
		if age := now.Sub(m.at); age < suspicionTime {
			avoid = append(avoid, upstream)
			latestAge = min(latestAge, age)
		}
	}
	if len(avoid) == 0 {
		delete(r.records, f)
		return Clear{duplicateAt: duplicateAt}
	}
	slices.Sort(avoid)
	return Suspect{duplicateAt: duplicateAt, avoid: avoid, strong: rec.isStrong(), age: latestAge}
}

// StrongSuspects returns the strongly suspected requests, each of which all nodes run at one upstream only.
func (r *Registry) StrongSuspects() []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out []Fingerprint
	for f, rec := range r.records {
		if rec.isStrong() && !rec.quarantineEnd.After(now) {
			out = append(out, f)
		}
	}
	return out
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

// Completed clears the suspicion of a request that an upstream completed. It returns the mark to send to the other
// nodes, and false if the request was not suspected or is in quarantine.
func (r *Registry) Completed(f Fingerprint) (Mark, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[f]
	if rec == nil || rec.quarantineEnd.After(r.now()) {
		return Mark{}, false
	}
	return r.clear(f), true
}

// Clear removes all suspicion of a request at an operator's request, and returns the mark to send to the other nodes.
func (r *Registry) Clear(f Fingerprint) Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clear(f)
}

func (r *Registry) clear(f Fingerprint) Mark {
	m := Mark{Fingerprint: f, Stamp: r.stamp(), Cleared: true}
	r.applyClearance(m)
	return m
}

func (r *Registry) applyClearance(m Mark) {
	now := r.now()
	for f, c := range r.cleared {
		if now.Sub(c.at) > suspicionTime {
			delete(r.cleared, f)
		}
	}
	if r.cleared[m.Fingerprint].stamp >= m.Stamp {
		return
	}
	r.log.Info("crash-cleared", "fingerprint", string(m.Fingerprint), "stamp", m.Stamp)
	r.cleared[m.Fingerprint] = clearance{stamp: m.Stamp, at: now}
	delete(r.records, m.Fingerprint)
}

// RecordDeath marks a request that ran on an upstream when the upstream died. It returns the mark to send to the other
// nodes, and false if the death is part of a correlated failure.
func (r *Registry) RecordDeath(f Fingerprint, upstream, dataCentre string, symptom Symptom) (Mark, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := Mark{Fingerprint: f, Upstream: upstream, DataCentre: dataCentre, Stamp: r.stamp(), Symptom: symptom}
	return m, r.mark(m, "own")
}

// ApplyMark applies a mark from another node.
func (r *Registry) ApplyMark(m Mark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Cleared {
		r.applyClearance(m)
		return
	}
	if m.Stamp <= r.cleared[m.Fingerprint].stamp || r.isRepeated(m) {
		return
	}
	r.mark(m, "gossip")
}

// isRepeated reports whether a mark or a later one of the same death was seen before. A mark that was not applied counts
// as new once another node has the request in quarantine.
func (r *Registry) isRepeated(m Mark) bool {
	if m.Stamp > r.seen[deathID{m.Fingerprint, m.Upstream}].stamp {
		return false
	}
	if rec := r.records[m.Fingerprint]; m.Quarantined && rec != nil {
		_, ok := rec.marks[m.Upstream]
		return ok
	}
	return !m.Quarantined
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
		for _, m := range rec.marks {
			mark := m.Mark
			mark.Age, mark.Quarantined = now.Sub(m.at), true
			out = append(out, mark)
		}
	}
	return out
}

// mark applies m unless the death is part of a correlated failure, and reports whether it did. The source of the mark is
// logged.
func (r *Registry) mark(m Mark, source string) bool {
	now := r.now()
	at := now.Add(-m.Age)
	r.remember(m, now)
	if !m.Quarantined && r.isCorrelatedFailure(m, now) {
		r.logMark(m, source, "correlated-failure")
		return false
	}
	d := r.deaths[m.Upstream]
	if at.Sub(d.at) > correlationWindow {
		d = death{at: at, dataCentre: m.DataCentre}
	}
	d.requests = append(d.requests, m.Fingerprint)
	r.deaths[m.Upstream] = d
	rec := r.records[m.Fingerprint]
	if rec == nil {
		rec = &record{marks: make(map[string]deathMark)}
		r.records[m.Fingerprint] = rec
	}
	r.notifyRunning(m)
	if _, ok := rec.marks[m.Upstream]; !ok {
		r.logMark(m, source, "marked")
	}
	rec.marks[m.Upstream] = deathMark{m, at}
	return true
}

// remember records a mark as seen and forgets those that no node sends any more.
func (r *Registry) remember(m Mark, now time.Time) {
	for id, s := range r.seen {
		if now.Sub(s.at) > suspicionTime {
			delete(r.seen, id)
		}
	}
	r.seen[deathID{m.Fingerprint, m.Upstream}] = seenMark{m.Stamp, now}
}

func (r *Registry) logMark(m Mark, source, outcome string) {
	r.log.Info("crash-mark", "fingerprint", string(m.Fingerprint), "upstream", m.Upstream, "source", source,
		"stamp", m.Stamp, "symptom", m.Symptom.String(), "outcome", outcome)
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
		for upstream := range rec.marks {
			e.Upstreams = append(e.Upstreams, upstream)
		}
		slices.Sort(e.Upstreams)
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return int(a.Remaining - b.Remaining) })
	return out
}
