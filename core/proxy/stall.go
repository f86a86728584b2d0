package proxy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/place"
	"rhubarbspread/core/rules"
)

// Limits on the silence of a stream. Callers leave after two seconds or more without an event.
const (
	silenceFactor         = 3                      // multiple of the predicted time after which a silent stream is checked
	minSilenceBeforeFirst = 350 * time.Millisecond // least silence before the first event that is checked
	minSilenceBetween     = 200 * time.Millisecond // least silence between events that is checked
	maxSilence            = 600 * time.Millisecond
	recheckInterval       = 150 * time.Millisecond  // between checks; reports lag by some hundred milliseconds
	reportLag             = 500 * time.Millisecond  // for which reports may still describe the path before a change
	slowStreamShare       = 0.6                     // of maxCallerWait, after which a slow stream may move elsewhere
	maxSoundSilence       = 1500 * time.Millisecond // sound upstreams may be silent for a second or so
	reportTimeout         = 250 * time.Millisecond  // after which an upstream that does not report counts as dead
	reportTTL             = 100 * time.Millisecond  // for which one report is reused
	rerouteTimeout        = 300 * time.Millisecond
)

// stallWatcher detects that the current attempt is silent, and then changes its path or makes another attempt beside it.
type stallWatcher struct {
	attempt       *attempt
	run           *run
	reservation   *board.Reservation
	mu            sync.Mutex  // guards the fields below
	timer         *time.Timer // runs check; nil if the attempt is not watched
	lastEventAt   time.Time   // of the latest event, or the start of the attempt
	firstEventAt  time.Time   // or zero
	stalledOn     []string    // IDs of the stages that have stalled the attempt
	pathChangedAt time.Time   // of the latest change of path
	awaitsPrefill bool        // the path has changed since the latest event
	isWriting     bool        // an event is being written to the caller, who may be slow
	hasFailed     bool        // the first upstream's silence counts as a failure since the latest event
	stopped       bool
}

// newStallWatcher watches an attempt at a stream, or at a plain request that may be repeated.
func newStallWatcher(a *attempt) *stallWatcher {
	w := &stallWatcher{attempt: a, run: a.run, reservation: a.reservation, lastEventAt: a.startedAt}
	route := a.run.request.Route
	w.mu.Lock() // a check that runs at once waits until the timer is set
	defer w.mu.Unlock()
	switch {
	case route.Kind == rules.Streaming:
		w.timer = time.AfterFunc(a.allowedSilence(false), w.check)
	case route.Repeatable() && route.LatencyObjective > 0:
		w.timer = time.AfterFunc(a.allowedSilence(false), w.checkPlain)
	}
	return w
}

// allowedSilence returns how long an attempt may be silent before it is checked.
func (a *attempt) allowedSilence(hasEvents bool) time.Duration {
	expected := a.reservation.Expected
	switch route := a.run.request.Route; {
	case route.Kind != rules.Streaming:
		return route.LatencyObjective
	case hasEvents:
		return min(maxSilence, max(minSilenceBetween, silenceFactor*expected.EventGap))
	}
	return min(maxSilence, max(minSilenceBeforeFirst, silenceFactor*expected.FirstEvent))
}

// progress records an event, which is about to be written to the caller. Attempts beside this one are no longer needed.
func (w *stallWatcher) progress() {
	if w.run.hasReplacement() {
		w.run.abandonReplacements(true)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.firstEventAt.IsZero() {
		w.firstEventAt = time.Now()
	}
	if w.awaitsPrefill || w.hasFailed {
		w.awaitsPrefill, w.hasFailed = false, false
		w.reservation.PrefillDone()
	}
	w.isWriting = true
}

// written records that an event has been written, and restarts the timer: the time that the caller took for it is no
// silence of the upstream.
func (w *stallWatcher) written() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isWriting = false
	w.lastEventAt = time.Now()
	if !w.stopped {
		w.timer.Reset(w.attempt.allowedSilence(true))
	}
}

func (w *stallWatcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// silence returns the time since the latest event, and whether the attempt still runs and waits for its upstream.
func (w *stallWatcher) silence() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastEventAt), !w.stopped && !w.isWriting && w.attempt.ctx.Err() == nil
}

// checkPlain makes another attempt beside a plain request without an answer within its objective.
func (w *stallWatcher) checkPlain() {
	if _, running := w.silence(); !running {
		return
	}
	if w.run.mayTryAnother() && w.noteFailure() {
		w.run.executor.board.RecordResponse(w.reservation.Upstream, true, 0)
	}
	w.run.replace(w.attempt, w.reservation.Upstream, "no answer within the objective")
	w.scheduleCheck()
}

// check fetches a report to find out why the stream is silent, and acts on the cause.
func (w *stallWatcher) check() {
	silent, running := w.silence()
	if !running {
		return
	}
	r, res := w.run, w.reservation
	var report place.Report
	var err error
	if !r.executor.board.IsResting(res.Upstream) {
		report, err = r.executor.reports.get(w.attempt.ctx, res.Upstream)
	}
	if now, running := w.silence(); !running || now < silent {
		return // an event arrived meanwhile and restarted the timer
	}
	stalled := r.stalledStage(res, report)
	switch {
	case silent > maxSoundSilence && r.supersedeByEnd():
	case err != nil:
		w.handleUnresponsive(res.Upstream, err)
	case stalled != nil:
		w.handleStalledStage(stalled)
	case !w.isAwaitingPrefill() && silent > time.Duration(slowStreamShare*float64(maxCallerWait(r.request.Route))):
		w.replace(res.Upstream, "the stream is slow")
	default:
		w.scheduleCheck()
	}
}

// isAwaitingPrefill reports whether the path has changed since the latest event, so that its new stages still prefill.
func (w *stallWatcher) isAwaitingPrefill() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.awaitsPrefill
}

func (w *stallWatcher) scheduleCheck() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(recheckInterval)
	}
}

// handleUnresponsive handles a first stage that does not report.
func (w *stallWatcher) handleUnresponsive(u *fleet.Upstream, err error) {
	if w.attempt.ctx.Err() != nil {
		return
	}
	if w.noteFailure() {
		ejectedFor := w.run.executor.board.RecordReportError(u, err)
		w.run.executor.log.Info("upstream-silent", "request", w.run.request.ID, "upstream", u.ID,
			"cause", err.Error(), "rest-ms", ejectedFor.Milliseconds())
	}
	w.replace(u, "its first upstream is silent")
}

// noteFailure reports whether the silence counts as a failure of the first upstream for the first time.
func (w *stallWatcher) noteFailure() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	isFirst := !w.hasFailed
	w.hasFailed = true
	return isFirst
}

// replace makes another attempt beside this one if it may, and goes on watching.
func (w *stallWatcher) replace(faulty *fleet.Upstream, cause string) {
	w.run.replace(w.attempt, faulty, cause)
	w.scheduleCheck()
}

// handleStalledStage handles a stage that the first stage waits for: it is bypassed, or a new attempt is made on
// another path.
func (w *stallWatcher) handleStalledStage(u *fleet.Upstream) {
	r, res := w.run, w.reservation
	ejectedFor := r.executor.board.RecordFailure(u)
	if firstEventAt, isNew := w.noteStalled(u); isNew {
		r.recordDeath(w.attempt, u, firstEventAt)
	}
	if !w.beginPathChange() {
		w.scheduleCheck() // the report may describe the path before its change
		return
	}
	before := board.Describe(res.Hops())
	if err := r.bypass(w.attempt.ctx, res, u); err != nil {
		r.executor.log.Info("path-kept", "request", r.request.ID, "failed", u.ID, "path", before,
			"cause", err.Error(), "rest-ms", ejectedFor.Milliseconds())
		w.replace(u, "a part of its path is silent")
		return
	}
	r.executor.meter.Count("paths-changed")
	r.executor.log.Info("path-changed", "request", r.request.ID, "failed", u.ID, "before", before,
		"after", board.Describe(res.Hops()), "rest-ms", ejectedFor.Milliseconds())
	w.scheduleCheck()
}

// noteStalled records that a stage stalls the attempt. It returns when the first event arrived, or zero, and whether the stage had
// not stalled it before.
func (w *stallWatcher) noteStalled(u *fleet.Upstream) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	isNew := !slices.Contains(w.stalledOn, u.ID)
	if isNew {
		w.stalledOn = append(w.stalledOn, u.ID)
	}
	return w.firstEventAt, isNew
}

// beginPathChange reports whether the path may be changed now, and if so records the change. New stages first prefill
// all tokens; waiting for them is better than a new attempt.
func (w *stallWatcher) beginPathChange() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.pathChangedAt) < reportLag {
		return false
	}
	w.pathChangedAt, w.awaitsPrefill = time.Now(), true
	return true
}

// maxBypassAttempts is how many bypasses of a failed stage are tried: the replacement may have failed as well.
const maxBypassAttempts = 3

// bypass moves a running request to a path without a failed stage.
func (r *run) bypass(ctx context.Context, res *board.Reservation, u *fleet.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, rerouteTimeout)
	defer cancel()
	failed := []string{u.ID}
	if r.executor.board.IsResting(res.Upstream) {
		return errFirstStageRests
	}
	for range maxBypassAttempts {
		before, ok := res.Bypass(r.executor.fleet.Upstreams(r.request.Service.Name), r.need(r.excluded()), failed)
		if !ok {
			return errNoBypass
		}
		failedAddress, err := r.executor.engines.Reroute(ctx, res.Upstream, r.request.ID, res.Hops())
		if err == nil {
			return nil
		}
		failedStage := stageAt(res.Hops(), failedAddress)
		res.Restore(r.request.Service.Engine, before)
		if failedStage == nil || failedStage == res.Upstream {
			return err
		}
		r.executor.board.RecordFailure(failedStage)
		failed = append(failed, failedStage.ID)
	}
	return errNoBypass
}

// stageAt returns the upstream of the stage at an address, or nil if the path has none.
func stageAt(hops []board.Hop, address string) *fleet.Upstream {
	for _, h := range hops {
		if h.Upstream.Address == address {
			return h.Upstream
		}
	}
	return nil
}

var (
	errNoBypass        = errors.New("no other upstream has the layers and room")
	errFirstStageRests = errors.New("the first stage wants no requests now")
)

// stalledStage returns the stage that the request waits for according to a report, or nil.
func (r *run) stalledStage(res *board.Reservation, report place.Report) *fleet.Upstream {
	address, ok := report.StalledOn[r.request.ID]
	if !ok {
		return nil
	}
	return stageAt(res.Hops(), address)
}

// reportCache fetches reports of upstreams. All streams that wait for the same upstream share one fetch.
type reportCache struct {
	engines Engines
	mu      sync.Mutex
	fetches map[board.Key]*reportFetch
}

// reportFetch is one fetch of a report, in flight or done.
type reportFetch struct {
	done   chan struct{} // closed when the fetch is done
	doneAt time.Time     // zero while the fetch is in flight
	report place.Report
	err    error
}

// get returns a report of an upstream that is at most reportTTL old.
func (rc *reportCache) get(ctx context.Context, u *fleet.Upstream) (place.Report, error) {
	key := board.KeyOf(u)
	rc.mu.Lock()
	if rc.fetches == nil {
		rc.fetches = make(map[board.Key]*reportFetch)
	}
	fetch := rc.fetches[key]
	if fetch == nil || !fetch.doneAt.IsZero() && time.Since(fetch.doneAt) > reportTTL {
		fetch = &reportFetch{done: make(chan struct{})}
		rc.fetches[key] = fetch
		go rc.run(u, fetch)
	}
	rc.mu.Unlock()
	select {
	case <-fetch.done:
		return fetch.report, fetch.err
	case <-ctx.Done():
		return place.Report{}, ctx.Err()
	}
}

// run fetches a report and wakes those that wait for it.
func (rc *reportCache) run(u *fleet.Upstream, fetch *reportFetch) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report, err := rc.engines.Report(ctx, u)
	rc.mu.Lock()
	fetch.report, fetch.err, fetch.doneAt = report, err, time.Now()
	rc.mu.Unlock()
	close(fetch.done)
}
