package crash

import (
	"slices"
	"sync"
	"time"
)

// Constants of suspicion.
const (
	crashesToQuarantine = 2
	suspicionTime       = 10 * time.Minute
	// More than massDeaths upstreams of one data centre dead within massWindow of each other and with no
	// request in common point to a rack, a switch or the data centre, not to a request.
	massDeaths = 2
	massWindow = time.Second
)

type record struct {
	marks map[string]trace // by upstream
	until time.Time        // end of the quarantine
}

// trace is what one death says of a request.
type trace struct {
	at   time.Time
	sign Sign
}

// count returns how many deaths showed a sign.
func (r *record) count(s Sign) int {
	n := 0
	for _, t := range r.marks {
		if t.sign == s {
			n++
		}
	}
	return n
}

type running struct {
	upstream string
	count    int
	suspect  chan struct{} // closed when another upstream died of the request
}

// Registry holds what one node knows of crashes.
type Registry struct {
	mu         sync.Mutex
	now        func() time.Time
	stamp      func() uint64
	quarantine time.Duration
	records    map[Fingerprint]*record
	running    map[Fingerprint]*running
	deaths     map[string]death // by upstream, the latest
	cleared    map[Fingerprint]clearing
}

// clearing outranks the marks before it, which a node that was away may still bring.
type clearing struct {
	stamp uint64
	at    time.Time
}

type death struct {
	at         time.Time
	dataCentre string
	marked     []Fingerprint
}

// NewRegistry returns an empty registry; stamp orders its marks with those of other nodes.
func NewRegistry(now func() time.Time, stamp func() uint64, quarantine time.Duration) *Registry {
	return &Registry{
		now:        now,
		stamp:      stamp,
		cleared:    make(map[Fingerprint]clearing),
		quarantine: quarantine,
		records:    make(map[Fingerprint]*record),
		running:    make(map[Fingerprint]*running),
		deaths:     make(map[string]death),
	}
}

// SetQuarantine changes how long a quarantine lasts.
func (r *Registry) SetQuarantine(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine = d
}

// Judge returns how a request may run now.
func (r *Registry) Judge(f Fingerprint) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	twin := ""
	if run := r.running[f]; run != nil {
		twin = run.upstream
	}
	rec := r.records[f]
	if rec == nil {
		return Clear{twin: twin}
	}
	if r.convict(f, rec, now) {
		return Quarantined{remaining: rec.until.Sub(now)}
	}
	var avoid []string
	youngest := time.Duration(suspicionTime)
	for upstream, t := range rec.marks {
		if age := now.Sub(t.at); age < suspicionTime {
			avoid = append(avoid, upstream)
			youngest = min(youngest, age)
		}
	}
	if len(avoid) == 0 {
		delete(r.records, f)
		return Clear{twin: twin}
	}
	slices.Sort(avoid)
	return Suspect{twin: twin, avoid: avoid, strong: rec.isStrong(), age: youngest}
}

// Strong returns the strong suspects, each of which all nodes run at one upstream only.
func (r *Registry) Strong() []Fingerprint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out []Fingerprint
	for f, rec := range r.records {
		if rec.isStrong() && !rec.until.After(now) {
			out = append(out, f)
		}
	}
	return out
}

// Begin notes that a request runs at an upstream. The channel closes when another upstream dies of an
// identical request.
func (r *Registry) Begin(f Fingerprint, upstream string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.running[f]
	if run == nil || run.upstream != upstream {
		run = &running{upstream: upstream, suspect: make(chan struct{})}
		r.running[f] = run
	}
	run.count++
	return run.suspect
}

// warn tells those that run a request of a mark that another upstream made.
func (r *Registry) warn(m Mark) {
	run := r.running[m.Fingerprint]
	if run == nil || run.upstream == m.Upstream || m.Sign != BrokeAtOnce {
		return
	}
	select {
	case <-run.suspect:
	default:
		close(run.suspect)
	}
}

// End notes that a request no longer runs at an upstream.
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

// Completed clears a request that an upstream survived. It returns the mark for the other nodes, and
// false where the request was no suspect.
func (r *Registry) Completed(f Fingerprint) (Mark, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[f]
	if rec == nil || rec.until.After(r.now()) {
		return Mark{}, false
	}
	return r.clear(f), true
}

// Clear takes back all suspicion of a request on an operator's word, and returns the mark for the other nodes.
func (r *Registry) Clear(f Fingerprint) Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clear(f)
}

func (r *Registry) clear(f Fingerprint) Mark {
	m := Mark{Fingerprint: f, Stamp: r.stamp(), Cleared: true}
	r.takeClearing(m)
	return m
}

func (r *Registry) takeClearing(m Mark) {
	now := r.now()
	for f, c := range r.cleared {
		if now.Sub(c.at) > suspicionTime {
			delete(r.cleared, f)
		}
	}
	if r.cleared[m.Fingerprint].stamp >= m.Stamp {
		return
	}
	r.cleared[m.Fingerprint] = clearing{stamp: m.Stamp, at: now}
	delete(r.records, m.Fingerprint)
}

// Died marks a request that ran on an upstream when that died. It returns the mark for the other
// nodes, and false where the death is one of many.
func (r *Registry) Died(f Fingerprint, upstream, dataCentre string, sign Sign) (Mark, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := Mark{Fingerprint: f, Upstream: upstream, DataCentre: dataCentre, Stamp: r.stamp(), Sign: sign}
	return m, r.mark(m)
}

// Learn takes over a mark from another node.
func (r *Registry) Learn(m Mark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Cleared {
		r.takeClearing(m)
		return
	}
	if m.Stamp <= r.cleared[m.Fingerprint].stamp {
		return
	}
	r.mark(m)
}

func (r *Registry) mark(m Mark) bool {
	now := r.now()
	if r.isMassDeath(m, now) {
		return false
	}
	d := r.deaths[m.Upstream]
	if now.Sub(d.at) > massWindow {
		d = death{at: now, dataCentre: m.DataCentre}
	}
	d.marked = append(d.marked, m.Fingerprint)
	r.deaths[m.Upstream] = d
	rec := r.records[m.Fingerprint]
	if rec == nil {
		rec = &record{marks: make(map[string]trace)}
		r.records[m.Fingerprint] = rec
	}
	r.warn(m)
	rec.marks[m.Upstream] = trace{at: now, sign: m.Sign}
	return true
}

// Entry is one quarantined request, for operators.
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
		if !r.convict(f, rec, now) {
			continue
		}
		e := Entry{Fingerprint: f, Remaining: rec.until.Sub(now)}
		for upstream := range rec.marks {
			e.Upstreams = append(e.Upstreams, upstream)
		}
		slices.Sort(e.Upstreams)
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return int(a.Remaining - b.Remaining) })
	return out
}
