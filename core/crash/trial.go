package crash

import (
	"slices"
	"time"
)

// Rules for parts that were answered, or whose deaths other suspects may explain. When the whole service dies, the deaths
// cannot tell which part was the cause; requests with such parts are then withheld, but for a few on trial.
const (
	// openCrashes is the number of deaths, with no answer to it that began later, from which on a part may have begun to crash
	// upstreams.
	openCrashes = partCrashesToQuarantine
	// turnTime is how long ago the first of these must be, so that later answers have had time to speak for the part.
	turnTime = 2500 * time.Millisecond
	// A part is condemned when upstreams died under it at turnMoments, turnInterval apart. All but the first have to come after
	// requests without it were answered. Where none were, all have to come after it was withheld, as the whole service may be
	// in trouble.
	turnMoments  = 3
	turnInterval = 400 * time.Millisecond
	// momentWindow is the longest time between deaths that one event may have caused.
	momentWindow = 250 * time.Millisecond
	// companionMoments is how many more are required if another part was at as many deaths, and at all of these, or if other requests
	// may have been the cause of each of them.
	companionMoments = 2
	// trialGrace is for how long after a part is withheld nodes that don't know of it may send on.
	trialGrace = 500 * time.Millisecond
	// sameRequestWindow is the longest time between the begins that the marks of one request name, which are rounded.
	sameRequestWindow = 5 * time.Millisecond
	// trialPause is the time after a death under a withheld part until the next trial.
	trialPause = time.Second
	// noticeTime is how long a node takes to notice the death of an upstream that falls silent, such as a later stage of a path.
	noticeTime = 350 * time.Millisecond
	// trialsPerTurn is the mean number of requests that come while the trial of a turn may begin, at the nodes to which the turn
	// belongs: two at once may cost two upstreams.
	trialsPerTurn = 0.7
	// turnShare is the share of a turn, as a divisor, in which its trial may begin.
	turnShare = 2
	// maxPartGroups is the number of groups of parts that are tried one after the other.
	maxPartGroups = 8
	// singleParts is the number of parts up to which each is tried in turns of its own, if these last at most longestSingleTurn. Trials
	// of several parts in one turn often meet at the upstream with the most room, where the crashing one breaks off the others'
	// answers: nothing then acquits these, and they are at as many deaths on trial.
	singleParts = 3
	// longestSingleTurn keeps three turns below the 8 s after the fifth crash within which sound requests have to be served again.
	longestSingleTurn = 2 * time.Second
	// answerTimeDecay is the number of answers over which their time is averaged.
	answerTimeDecay = 64
	// fewestTTL is for how long it counts that a part was seen in a request with few withheld parts.
	fewestTTL = 5 * time.Second
	// turnCheckInterval is for how long a turn is remembered: a verdict asks for it for each part at each death.
	turnCheckInterval = 50 * time.Millisecond
)

// turn is whether a part has begun to crash upstreams, as found at a time.
type turn struct {
	checkedAt time.Time // zero if it has to be decided anew
	hasTurned bool
	isOpen    bool // not known yet: its requests are withheld
}

// turnOf decides whether a part has begun to crash upstreams.
func (r *Registry) turnOf(f Fingerprint, now time.Time) turn {
	rec := r.records[f]
	if rec == nil || !f.IsPart() || len(rec.deaths) < openCrashes {
		return turn{}
	}
	if rec.turn.checkedAt.IsZero() || now.Sub(rec.turn.checkedAt) >= turnCheckInterval {
		wasOpen := rec.turn.isOpen
		rec.turn = r.checkTurn(f, rec, now)
		if rec.turn.isOpen && !wasOpen {
			r.log.Info("part-withheld", "fingerprint", string(f), "deaths", len(rec.deaths),
				"others-answered", rec.answeredStamp > 0, "trusted", r.cleared[f].stamp > 0, "nodes", r.nodes)
		}
	}
	return rec.turn
}

// checkTurn decides a turn anew.
func (r *Registry) checkTurn(f Fingerprint, rec *record, now time.Time) turn {
	result := turn{checkedAt: now}
	settled := r.settledDeaths(f, rec, now)
	if len(settled) < openCrashes {
		return result
	}
	openAt := settled[0].Add(turnTime)
	if at := settled[openCrashes-1].Add(r.settleTime); at.After(openAt) {
		openAt = at
	}
	if now.Before(openAt) {
		return result
	}
	t := r.tellingDeaths(f, rec, settled, openAt, now)
	result.hasTurned = r.isTold(f, rec, t) && countMoments(settled, turnInterval) >= turnMoments
	result.isOpen = !result.hasTurned
	return result
}

// settledDeaths returns the times of the deaths under a part that have settled and that no other part is condemned for, in order.
func (r *Registry) settledDeaths(f Fingerprint, rec *record, now time.Time) []time.Time {
	var settled []time.Time
	for _, d := range rec.deaths {
		if at := d.marks[f].at; now.Sub(at) >= r.settleTime && !r.isCondemnedFor(f, rec, d, now) {
			settled = append(settled, at)
		}
	}
	slices.SortFunc(settled, time.Time.Compare)
	return settled
}

// tellingDeaths are the deaths under a part that the state of the whole service does not excuse.
type tellingDeaths struct {
	deaths  []*death
	moments int // in which they came
	alone   int // of these, without another request that may have been the cause
}

// tellingDeaths returns the deaths under a part that came after requests without it were answered, or on trial after a time at which
// it was withheld.
func (r *Registry) tellingDeaths(f Fingerprint, rec *record, settled []time.Time, openAt, now time.Time) tellingDeaths {
	var t tellingDeaths
	var times, aloneTimes []time.Time
	mayBeAnswered := now.After(settled[0].Add(turnTime + r.outcomeTime))
	for _, d := range rec.deaths {
		m := d.marks[f]
		isTrial := m.begunAt().After(openAt.Add(trialGrace)) && isAfterPause(settled, m.begunAt())
		isAfterAnswer := mayBeAnswered && rec.answeredStamp > 0 && m.Stamp > rec.answeredStamp
		if now.Sub(m.at) < r.settleTime || !isTrial && !isAfterAnswer || r.isAmongOthers(f, d) {
			continue
		}
		t.deaths, times = append(t.deaths, d), append(times, m.at)
		othersSince := time.Time{}
		if isTrial {
			othersSince = openAt
		}
		if !r.hasOtherSuspect(f, d, othersSince, now) {
			aloneTimes = append(aloneTimes, m.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	slices.SortFunc(aloneTimes, time.Time.Compare)
	t.moments, t.alone = countMoments(times, turnInterval), countMoments(aloneTimes, turnInterval)
	return t
}

// isTold reports whether deaths tell that a part crashes upstreams.
func (r *Registry) isTold(f Fingerprint, rec *record, t tellingDeaths) bool {
	required := turnMoments
	if rec.answeredStamp > 0 {
		required--
	}
	mostDeaths := r.companionDeaths(f, t.deaths)
	if mostDeaths > len(rec.deaths) {
		return false
	}
	if mostDeaths > len(rec.deaths)-rivalMargin {
		required += companionMoments
	}
	switch {
	case t.alone >= required, t.moments >= required && r.standsOut(f, rec, t.deaths):
		return true
	case t.alone > 0:
		return t.moments > required
	}
	return t.moments >= required+companionMoments
}

// hasOtherSuspect reports whether at a death of a part an upstream ran another request, one with a part that is in quarantine, or one
// that was sent after a time and has a part that may be withheld.
func (r *Registry) hasOtherSuspect(f Fingerprint, d *death, since, now time.Time) bool {
	begun := d.marks[f].begunAt()
	for g, m := range d.marks {
		other := r.records[g]
		if g == f || !g.IsPart() || other == nil || m.begunAt().Sub(begun).Abs() <= sameRequestWindow {
			continue
		}
		if other.quarantineEnd.After(now) || len(other.deaths) >= openCrashes && m.begunAt().After(since) {
			return true
		}
	}
	return false
}

// standsOut reports whether a part was at more deaths than all others that were at some of these.
func (r *Registry) standsOut(f Fingerprint, rec *record, deaths []*death) bool {
	for _, d := range deaths {
		for g := range d.marks {
			if g != f && g.IsPart() && len(r.records[g].deaths) > len(rec.deaths)-rivalMargin {
				return false
			}
		}
	}
	return true
}

// isAfterPause reports whether no death came in the time before a request was sent in which trials rest, so that it may be a trial.
func isAfterPause(settled []time.Time, begun time.Time) bool {
	return !slices.ContainsFunc(settled, func(other time.Time) bool {
		before := begun.Sub(other)
		return before > 0 && before < trialPause
	})
}

// isCondemnedFor reports whether another part is in quarantine that was at a death of a part, and at far more.
func (r *Registry) isCondemnedFor(f Fingerprint, rec *record, d *death, now time.Time) bool {
	for g := range d.marks {
		if other := r.records[g]; g != f && g.IsPart() && other.quarantineEnd.After(now) && len(other.deaths) > len(rec.deaths)+rivalMargin {
			return true
		}
	}
	return false
}

// isAmongOthers reports whether upstreams without a part died at the same moment as one with it, which something else did then.
func (r *Registry) isAmongOthers(f Fingerprint, d *death) bool {
	others := 0
	for _, o := range r.deaths {
		if _, ok := o.marks[f]; !ok && len(o.marks) > 0 && o.at.Sub(d.at).Abs() <= momentWindow {
			others++
		}
	}
	return others >= correlatedDeaths
}

// companionDeaths returns how many deaths the other parts were at which were at all of some deaths of a part, the most of them, or
// 0 if there is none. With as many deaths as the part or more they are as likely the cause.
func (r *Registry) companionDeaths(f Fingerprint, deaths []*death) int {
	count := make(map[Fingerprint]int)
	for _, d := range deaths {
		for g := range d.marks {
			if g != f && g.IsPart() {
				count[g]++
			}
		}
	}
	most := 0
	for g, n := range count {
		if n == len(deaths) {
			most = max(most, len(r.records[g].deaths))
		}
	}
	return most
}

// countMoments returns the number of runs in sorted times that begin more than an interval after the one before.
func countMoments(times []time.Time, interval time.Duration) int {
	count := 0
	var latest time.Time
	for _, t := range times {
		if count == 0 || t.Sub(latest) > interval {
			count++
			latest = t
		}
	}
	return count
}

// noteAnswer records an answer that began at a stamp for the parts that its request lacks.
func (r *Registry) noteAnswer(parts []Fingerprint, begun uint64) {
	for f, rec := range r.records {
		if !f.IsPart() || rec.answeredStamp > 0 || slices.Contains(parts, f) {
			continue
		}
		if slices.ContainsFunc(rec.deaths, func(d *death) bool { return d.marks[f].Stamp < begun }) {
			rec.answeredStamp = begun
		}
	}
}

// Admission is whether a request may be sent as far as its suspects are concerned.
type Admission int

// The admissions.
const (
	Admitted Admission = iota
	OnTrial            // one of few requests with parts that may crash upstreams
	Withheld           // upstreams died of a part of its prompt, and it is not known yet whether it was the cause
)

// Admit decides whether a request with some suspects may be sent now. OnTrial uses up a trial of its parts.
func (r *Registry) Admit(suspects []Fingerprint) Admission {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	held := r.withheldParts(suspects, now)
	if len(held) == 0 {
		return Admitted
	}
	if r.isBlocked(held, now) {
		return Withheld
	}
	// The part of the most requests decides, so that the others of a request need not have their trial at the same time.
	broadest := slices.MaxFunc(held, func(a, b Fingerprint) int { return r.usage.get(a).requests - r.usage.get(b).requests })
	rec := r.records[broadest]
	if !r.takeTurn(broadest, rec, now) {
		return Withheld
	}
	return OnTrial
}

// takeTurn reports whether it is this node's turn to let a request with a part run on trial, and uses it up. A turn is so long
// that all nodes know the outcome of its trial before the next. It belongs to some of the parts that are tried alone, so that few of
// them share an upstream that dies, and to as many nodes as have about trialsPerTurn requests with the part between them. All nodes
// count the turns from the latest death, or from the answer that acquitted the broader parts of its requests, which they know of.
func (r *Registry) takeTurn(f Fingerprint, rec *record, now time.Time) bool {
	open := r.openParts(now)
	begin := open.latestDeath.Add(trialPause)
	if rec.aloneSince.After(begin) {
		begin = rec.aloneSince
	}
	length, groups := r.turnLength(len(open.alone))
	number := int(now.Sub(begin) / length)
	begin = begin.Add(time.Duration(number) * length)
	window := length / turnShare
	if i := slices.Index(open.alone, f); now.Sub(begin) > window || i >= 0 && number%groups != i%groups {
		return false
	}
	if !rec.trialAt.Before(begin) || !r.hasTurn(f, number, window, r.usage.rate(f, now)) {
		return false
	}
	rec.trialAt = now
	return true
}

// hasTurn reports whether a turn belongs to this node, at which requests with a suspect come at a rate per second: it belongs to as many
// nodes as have about trialsPerTurn of them between them in a window.
func (r *Registry) hasTurn(f Fingerprint, number int, window time.Duration, rate float64) bool {
	width := r.nodes
	if expected := rate * window.Seconds(); expected*float64(r.nodes) > trialsPerTurn {
		width = max(1, int(trialsPerTurn/expected))
	}
	first := int(f.Key()%uint64(r.nodes)) + number*width
	return (r.index-first%r.nodes+r.nodes)%r.nodes < width
}

// turnLength returns how long a turn is, and among how many groups of parts the turns go round. It is doubled until it covers an
// answer, so that nodes whose answers take about as long agree. With longer turns there are fewer groups, so that no part waits long
// for its turn, but where few parts are left each is one unless turns are very long.
func (r *Registry) turnLength(parts int) (length time.Duration, groups int) {
	length, groups = noticeTime+r.settleTime, min(parts, maxPartGroups)
	for length < r.outcomeTime {
		length *= 2
		groups /= 2
	}
	if parts <= singleParts && length <= longestSingleTurn {
		groups = parts
	}
	return length, max(1, groups)
}

// openParts is what turns depend on, as found at a time.
type openParts struct {
	checkedAt   time.Time
	latestDeath time.Time     // under one of the parts that are withheld
	alone       []Fingerprint // those that are the only withheld ones in some requests, in order
}

// openParts returns the parts that are withheld.
func (r *Registry) openParts(now time.Time) *openParts {
	if !r.open.checkedAt.IsZero() && now.Sub(r.open.checkedAt) < turnCheckInterval {
		return &r.open
	}
	r.open = openParts{checkedAt: now}
	for f, rec := range r.records {
		if !r.turnOf(f, now).isOpen {
			continue
		}
		if at := rec.latestDeath(f); at.After(r.open.latestDeath) {
			r.open.latestDeath = at
		}
		if now.Sub(rec.fewestHeldAt) <= fewestTTL && len(r.withheldParts(rec.fewestHeld, now)) == 1 {
			r.open.alone = append(r.open.alone, f)
		}
	}
	slices.Sort(r.open.alone)
	return &r.open
}

// latestDeath returns the time of the latest death at which a suspect was.
func (r *record) latestDeath(f Fingerprint) time.Time {
	var latest time.Time
	for _, d := range r.deaths {
		if at := d.marks[f].at; at.After(latest) {
			latest = at
		}
	}
	return latest
}

// ReturnTrial gives back a trial of a request with some suspects that could not be sent.
func (r *Registry) ReturnTrial(suspects []Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range suspects {
		if rec := r.records[f]; rec != nil {
			rec.trialAt = time.Time{}
		}
	}
}

// IsWithheld reports whether requests with some suspects are sent on trial only.
func (r *Registry) IsWithheld(suspects []Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.withheldParts(suspects, r.now())) > 0
}

// withheldParts returns those of some suspects whose requests are withheld.
func (r *Registry) withheldParts(suspects []Fingerprint, now time.Time) []Fingerprint {
	var held []Fingerprint
	for _, f := range suspects {
		if r.turnOf(f, now).isOpen {
			held = append(held, f)
		}
	}
	return held
}

// isBlocked reports whether a request with some withheld parts may not run on trial now: an upstream has just died under such a
// part, or other requests with one of them have fewer withheld parts and so tell more.
func (r *Registry) isBlocked(held []Fingerprint, now time.Time) bool {
	isBlocked := false
	for _, f := range held {
		rec := r.records[f]
		fewest := len(r.withheldParts(rec.fewestHeld, now)) // some may have been acquitted since
		if fewest == 0 || len(held) <= fewest || now.Sub(rec.fewestHeldAt) > fewestTTL {
			r.noteAlone(f, rec, now)
			rec.fewestHeld, rec.fewestHeldAt, fewest = held, now, len(held)
		}
		isBlocked = isBlocked || len(held) > fewest
	}
	return isBlocked || now.Sub(r.openParts(now).latestDeath) < trialPause
}

// noteAlone records when the broader parts of its requests were acquitted, which had their trial before a part.
func (r *Registry) noteAlone(f Fingerprint, rec *record, now time.Time) {
	for _, g := range rec.fewestHeld {
		if at := r.cleared[g].at; at.After(rec.aloneSince) && !r.turnOf(g, now).isOpen && r.isNarrower(f, g) {
			rec.aloneSince = at
		}
	}
}

// OpenMarks returns the marks of the parts that are withheld, for nodes that may lack them.
func (r *Registry) OpenMarks() []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out []Mark
	for f, rec := range r.records {
		if r.turnOf(f, now).isOpen && !rec.quarantineEnd.After(now) {
			out = append(out, rec.marks(f, now)...)
		}
	}
	return out
}
