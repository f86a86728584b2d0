package carry

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/place"
)

// Times of a stream's silence. Callers leave after two seconds or more without an event.
const (
	quietFactor  = 3                      // of the predicted time after which a silent stream is looked at
	quietFirst   = 350 * time.Millisecond // least silence before the first event
	quietBetween = 200 * time.Millisecond // least silence between events
	quietMost    = 600 * time.Millisecond
	lookAgain    = 150 * time.Millisecond // between looks; reports lag by some hundred milliseconds
	reportLag    = 500 * time.Millisecond // by which a report may be older than a change of path
	giveUpShare  = 0.6                    // of the caller's patience after which a slow stream goes to another path, if one is free
	reportLimit  = 250 * time.Millisecond // after which an upstream that does not report counts as dead
	reportAge    = 100 * time.Millisecond // for which one report serves all that ask
	repathLimit  = 300 * time.Millisecond
)

// watch looks after one attempt's silence.
type watch struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	run       *run
	ticket    *board.Ticket
	mu        sync.Mutex
	timer     *time.Timer
	last      time.Time // of the latest event, or of the start
	begun     bool
	changed   time.Time // when the path was changed last
	isChanged bool      // during this silence
	stopped   bool
}

func newWatch(ctx context.Context, cancel context.CancelCauseFunc, r *run, t *board.Ticket) *watch {
	w := &watch{ctx: ctx, cancel: cancel, run: r, ticket: t, last: time.Now()}
	w.timer = time.AfterFunc(w.quiet(), w.look)
	return w
}

// quiet returns how long the stream may be silent before it is looked at.
func (w *watch) quiet() time.Duration {
	if w.begun {
		return min(quietMost, max(quietBetween, quietFactor*w.ticket.Expected.Pause))
	}
	return min(quietMost, max(quietFirst, quietFactor*w.ticket.Expected.First))
}

// progress notes an event.
func (w *watch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun = true
	if w.isChanged {
		w.isChanged = false
		w.ticket.Reading()
	}
	w.last = time.Now()
	w.timer.Reset(w.quiet())
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// silence returns how long the stream has been silent, and whether it still runs.
func (w *watch) silence() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.last), !w.stopped && w.ctx.Err() == nil
}

// look finds out why the stream is silent and acts on it.
func (w *watch) look() {
	silent, runs := w.silence()
	if !runs {
		return
	}
	r, t := w.run, w.ticket
	report, err := r.c.doctor.report(w.ctx, t.Upstream)
	if now, runs := w.silence(); !runs || now < silent {
		return // an event came meanwhile, and the timer runs again
	}
	failed := r.stalledPart(t, report)
	switch {
	case err != nil:
		w.lost(t.Upstream, err)
	case failed != nil:
		w.stalled(failed)
	case !w.waitsForParts() && silent > time.Duration(giveUpShare*float64(patience(r.q.Route))) && r.mayTryOther() && r.hasOther(t):
		r.excludeOne(t.Upstream.ID)
		w.giveUp("the stream is slow")
	default:
		w.again()
	}
}

// waitsForParts reports whether parts that are new on the path still read.
func (w *watch) waitsForParts() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isChanged
}

func (w *watch) again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(lookAgain)
	}
}

// lost acts on a first part that does not report.
func (w *watch) lost(u *fleet.Upstream, err error) {
	if w.ctx.Err() != nil {
		return
	}
	rest := w.run.c.board.Strike(u)
	w.run.c.log.Info("upstream-silent", "request", w.run.q.ID, "upstream", u.ID, "cause", err.Error(), "rest-ms", rest.Milliseconds())
	if w.run.mayTryOther() {
		w.run.excludeOne(u.ID)
		w.giveUp("its first upstream is silent")
		return
	}
	w.again()
}

// stalled acts on a part that the first one waits for: another takes its layers over, or the request is sent
// along another path.
func (w *watch) stalled(u *fleet.Upstream) {
	r, t := w.run, w.ticket
	rest := r.c.board.Strike(u)
	if !w.mayChange() {
		w.again() // the report may be older than the change of path
		return
	}
	before := board.Describe(t.Hops())
	if err := r.bypass(w.ctx, t, u); err != nil {
		r.c.log.Info("path-kept", "request", r.q.ID, "failed", u.ID, "path", before, "cause", err.Error(), "rest-ms", rest.Milliseconds())
		if r.mayTryOther() {
			r.excludeOne(u.ID)
			w.giveUp("a part of its path is silent")
			return
		}
		w.again()
		return
	}
	r.c.meter.Count("paths-changed")
	r.c.log.Info("path-changed", "request", r.q.ID, "failed", u.ID, "before", before, "after", board.Describe(t.Hops()), "rest-ms", rest.Milliseconds())
	w.again()
}

// mayChange reports whether the path may be changed now, and notes that it is: new parts read all tokens, for which the
// caller had better wait.
func (w *watch) mayChange() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.changed) < reportLag {
		return false
	}
	w.changed, w.isChanged = time.Now(), true
	return true
}

// bypassTries is how many ways round a failed part are tried: one may lead to another part that is lost as well.
const bypassTries = 3

// bypass leads a running request past a part that failed.
func (r *run) bypass(ctx context.Context, t *board.Ticket, u *fleet.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, repathLimit)
	defer cancel()
	failed := []string{u.ID}
	for range bypassTries {
		before, ok := t.Bypass(r.c.world.Upstreams(r.q.Service.Name), r.need(r.excluded()), failed)
		if !ok {
			return errNoWay
		}
		culprit, err := r.c.engines.Repath(ctx, t.Upstream, r.q.ID, t.Hops())
		if err == nil {
			return nil
		}
		other := partAt(t.Hops(), culprit)
		t.Restore(r.q.Service.Engine, before)
		if other == nil || other == t.Upstream {
			return err
		}
		r.c.board.Strike(other)
		failed = append(failed, other.ID)
	}
	return errNoWay
}

// partAt returns the part of a path at an address, or nil.
func partAt(hops []board.Hop, address string) *fleet.Upstream {
	for _, h := range hops {
		if h.Upstream.Address == address {
			return h.Upstream
		}
	}
	return nil
}

var errNoWay = errors.New("no other upstream has the layers and room")

// giveUp ends the attempt if the budget allows another; else it may still come to an end by itself.
func (w *watch) giveUp(cause string) {
	if !w.run.c.budget.Take(w.run.q.Service.Name) {
		w.again()
		return
	}
	w.mu.Lock()
	stopped := w.stopped
	if !stopped {
		w.run.paid.Store(true)
	}
	w.mu.Unlock()
	if stopped {
		return
	}
	w.run.c.log.Info("attempt-given-up", "request", w.run.q.ID, "upstream", w.ticket.Upstream.ID, "cause", cause)
	w.cancel(errSilent)
}

// stalledPart returns the part that a report says the request waits for, or nil.
func (r *run) stalledPart(t *board.Ticket, report place.Report) *fleet.Upstream {
	address, ok := report.Stalled[r.q.ID]
	if !ok {
		return nil
	}
	return partAt(t.Hops(), address)
}

// hasOther reports whether another path than a ticket's has room now.
func (r *run) hasOther(t *board.Ticket) bool {
	other := r.pick(append(r.excluded(), t.Upstream.ID))
	if other == nil {
		return false
	}
	other.Release()
	return true
}

// doctor asks upstreams for reports, one at a time for all streams that wait for the same upstream.
type doctor struct {
	engines Engines
	mu      sync.Mutex
	by      map[board.Key]*examination
}

type examination struct {
	done   chan struct{}
	at     time.Time // when it was done
	report place.Report
	err    error
}

func (d *doctor) report(ctx context.Context, u *fleet.Upstream) (place.Report, error) {
	k := board.KeyOf(u)
	d.mu.Lock()
	if d.by == nil {
		d.by = make(map[board.Key]*examination)
	}
	x := d.by[k]
	if x == nil || !x.at.IsZero() && time.Since(x.at) > reportAge {
		x = &examination{done: make(chan struct{})}
		d.by[k] = x
		go d.examine(u, x)
	}
	d.mu.Unlock()
	select {
	case <-x.done:
		return x.report, x.err
	case <-ctx.Done():
		return place.Report{}, ctx.Err()
	}
}

func (d *doctor) examine(u *fleet.Upstream, x *examination) {
	ctx, cancel := context.WithTimeout(context.Background(), reportLimit)
	defer cancel()
	report, err := d.engines.Report(ctx, u)
	d.mu.Lock()
	x.report, x.err, x.at = report, err, time.Now()
	d.mu.Unlock()
	close(x.done)
}
