package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/rules"
)

// attempt is one attempt at a request. begin may run in any goroutine, all else in that of the request.
type attempt struct {
	run         *run
	ctx         context.Context
	cancel      context.CancelCauseFunc
	reservation *board.Reservation
	startedAt   time.Time
	begun       chan struct{} // closed at the end of begin; nil unless the attempt began beside another

	// begin sets these.
	outcome reply.Outcome // nil if there is an answer to pass on
	answer  *Answer
	events  *eventReader // of a stream
	first   event        // the first event that the caller lacked when the attempt was sent
	readErr error        // of reading the first event
	body    *buffered    // of an answer that is no stream of events
	isAll   bool         // body is all of it

	firstEventAt time.Time // when the first event arrived, or zero
	begunStamp   uint64    // of the crash registry, before the answer began
	isResumed    bool      // the caller had events before the first one of this attempt
	wroteAnswer  bool      // the answer is a success and complete beyond doubt
	paidAt       time.Time // when a retry of the budget was spent on it, or zero

	hasWon      bool // the current attempt has been canceled for it; guarded by run.mu
	isAdopted   bool // it began beside another, and is now the one that the caller is served from; guarded by run.mu
	isAbandoned bool // it began beside another, which goes on; guarded by run.mu
}

// newAttempt returns an attempt on reserved capacity, and logs it. It becomes the current one unless it is made beside a
// silent one; then it returns nil if that is no longer the current one, or the route allows no more attempts.
func (r *run) newAttempt(res *board.Reservation, silent *attempt) *attempt {
	a := &attempt{run: r, reservation: res, startedAt: time.Now(), begunStamp: r.executor.crashes.Stamp()}
	a.ctx, a.cancel = context.WithCancelCause(r.ctx)
	r.mu.Lock()
	if silent != nil && (r.current != silent || r.isAnswered || r.mayHaveRun+r.running >= r.request.Route.MaxAttempts) {
		r.mu.Unlock()
		a.cancel(nil)
		return nil
	}
	number, beside, lastEventID := r.summary.Attempts()+r.running+1, r.running, r.lastEventID
	r.running++
	if silent == nil {
		r.current = a
	} else {
		a.begun = make(chan struct{})
		r.replacements = append(r.replacements, a)
	}
	r.mu.Unlock()
	rulesVersion, listVersion := r.executor.fleet.Versions()
	fields := []any{"request", r.request.ID, "number", number, "beside", beside, "upstream", res.Upstream.ID,
		"path", board.Describe(res.Hops()), "expected-first-ms", res.Expected.FirstEvent.Milliseconds(),
		"expected-pause-ms", res.Expected.EventGap.Milliseconds(), "cost-ms", int(res.Evidence.Cost),
		"next-cost-ms", int(res.Evidence.NextCost), "view-age-ms", res.Evidence.ViewAge.Milliseconds(),
		"unseen", r.unseen(res.Evidence), "last-event", lastEventID,
		"rules-version", rulesVersion, "list-version", listVersion, "waited-ms", a.startedAt.Sub(r.started).Milliseconds()}
	if r.ticket != nil {
		fields = append(fields, "expected-pipelined-ms", res.Expected.Pipelined.Milliseconds())
	}
	r.executor.log.Info("attempt", append(fields, r.admissionFields()...)...)
	return a
}

// begin sends the request and reads the answer to its first event or, unless it is a stream, as far as it is buffered.
func (a *attempt) begin() {
	r := a.run
	answer, err := r.exchange(a.ctx, a.newSend())
	if err != nil {
		a.outcome = r.transportFailure(a, err)
		return
	}
	a.answer = answer
	if a.outcome = r.rejection(a.reservation, answer); a.outcome != nil {
		return
	}
	if r.request.Route.Kind == rules.Streaming && answer.Status == http.StatusOK {
		a.beginStream()
		return
	}
	a.beginPlain()
}

func (a *attempt) newSend() *Send {
	q := a.run.request
	_, resumeAfter := a.run.lastEvent()
	s := &Send{
		Request: q, Upstream: a.reservation.Upstream, Hops: a.reservation.Hops(), Remaining: time.Until(q.ExpiresAt),
		ResumeAfter: resumeAfter, Team: q.Team.Name, Priority: -1,
	}
	if q.Service.Engine != nil {
		s.Priority = min(lowestPriority, max(0, q.priority()))
	}
	return s
}

// beginPlain reads an answer to its end or until the buffer is full.
func (a *attempt) beginPlain() {
	r, u := a.run, a.reservation.Upstream
	var err error
	if a.body, a.isAll, err = r.executor.buffers.readBuffered(a.answer.Body); err != nil {
		a.outcome = r.brokenAnswer(a, err)
		return
	}
	if r.request.Route.Kind == rules.Streaming {
		r.executor.board.RecordResponse(u, true, 0)
	} else {
		r.executor.board.RecordResponse(u, a.isFailure(), time.Since(a.startedAt))
	}
	if load := a.answer.Load; load != nil {
		r.executor.board.RecordLoad(u, load.Running+load.Waiting)
	}
	if a.isFailure() && r.isBeside(a) { // the current attempt may yet succeed
		r.excludeUpstream(u.ID)
		a.outcome = failedAnswer(a.answer)
	}
}

// isFailure reports whether the answer is an upstream's failure, which another attempt may turn into a success.
func (a *attempt) isFailure() bool {
	return a.answer.Status >= http.StatusInternalServerError || reply.PromisesNotRun(a.answer.Status) ||
		a.run.request.Route.Kind == rules.Streaming
}

// beginStream reads to the first event that the caller lacks. An event without an ID is one only where the caller has
// none with an ID.
func (a *attempt) beginStream() {
	r := a.run
	a.events = newEventReader(a.answer.Body, &r.executor.buffers, a.ctx.Done())
	last := int64(noID)
	for {
		a.first, a.readErr = a.events.next()
		last, _ = r.lastEvent() // another attempt may have gone on meanwhile
		if a.readErr != nil || last == noID || a.first.id > last || a.first.isForeign() {
			break
		}
	}
	a.isResumed = last != noID
	switch {
	case a.readErr == nil && a.isResumed && a.first.isForeign():
		a.outcome = foreignEvent()
		return
	case a.readErr != nil && !errors.Is(a.readErr, io.EOF):
		a.outcome = r.streamFailure(a, a.readErr)
		return
	case a.readErr == nil && last != noID && a.first.id != last+1:
		a.outcome = gap(a.first.id, last)
		return
	}
	if a.readErr == nil {
		a.firstEventAt, a.begunStamp = time.Now(), r.executor.crashes.Stamp()
		r.executor.meter.Observe("first-event-us", a.firstEventAt.Sub(r.started))
		a.reservation.PrefillDone()
	}
	r.executor.board.RecordResponse(a.reservation.Upstream, false, 0)
}

// brokenAnswer returns the outcome of an answer that could not be read to its end.
func (r *run) brokenAnswer(a *attempt, err error) reply.Outcome {
	if o := interruption(a.ctx); o != nil {
		return o
	}
	r.excludeUpstream(a.reservation.Upstream.ID)
	if r.request.Route.Kind != rules.Streaming {
		r.executor.board.RecordFailure(a.reservation.Upstream)
	}
	return reply.NewUnknown(reply.Broken, "the answer broke off: "+err.Error())
}

// interruption returns the outcome of an attempt whose context has ended, or nil.
func interruption(ctx context.Context) reply.Outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSuperseded):
		return reply.NewUnknown(reply.CanceledByNode, cause.Error())
	case errors.Is(cause, context.DeadlineExceeded):
		return reply.NewUnknown(reply.Silent, "its time is over")
	case errors.Is(cause, context.Canceled):
		return reply.NewUnknown(reply.Canceled, "the caller went away")
	}
	return nil
}

// perform makes an attempt, or goes on with one that began beside another, and passes its answer on.
func (r *run) perform(a *attempt) reply.Outcome {
	w := newStallWatcher(a)
	defer w.stop()
	if a.begun != nil {
		<-a.begun
	} else {
		a.begin()
	}
	switch {
	case a.outcome != nil:
		return a.outcome
	case a.events != nil:
		return r.forwardEvents(a, w)
	}
	return r.deliverPlain(a, w)
}

// finish records and logs the outcome of an attempt, and returns what it holds.
func (a *attempt) finish(o reply.Outcome) {
	r, res := a.run, a.reservation
	r.mu.Lock()
	lastEventID := r.lastEventID
	if r.current == a {
		r.current = nil
	}
	r.mu.Unlock()
	if a.answer != nil {
		_ = a.answer.Body.Close() // an answer that was read to its end has nothing left to fail
	}
	if a.events != nil {
		a.events.release()
	}
	if a.body != nil {
		a.body.release()
	}
	r.executor.meter.Count("attempts-" + outcomeName(o))
	if _, ok := o.(reply.Done); !ok {
		r.executor.log.Info("attempt-failed", "request", r.request.ID, "upstream", res.Upstream.ID,
			"path", board.Describe(res.Hops()), "outcome", reply.Reason(o), "may-have-run", reply.CouldHaveRun(o),
			"last-event", lastEventID, "expected-first-ms", res.Expected.FirstEvent.Milliseconds(),
			"expected-pause-ms", res.Expected.EventGap.Milliseconds(), "fingerprint", string(r.fingerprint),
			"parts", r.request.describeParts(), "ms", time.Since(a.startedAt).Milliseconds())
	}
	res.Release()
	if _, ok := o.(reply.NotSent); ok && !a.paidAt.IsZero() {
		r.executor.budget.Refund(r.request.Service.Name, a.paidAt)
	}
	r.record(o)
	r.updateSuspicion(a, o)
	a.cancel(nil)
}

// record adds the outcome of an attempt to those of the request.
func (r *run) record(o reply.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.summary.Add(o)
	switch o.(type) {
	case reply.NotSent:
		r.unreached++
	case reply.Refused:
		r.sent++
	case reply.Unknown:
		r.sent++
		r.mayHaveRun++
	}
}

// attempts returns the number of attempts, including those that still run.
func (r *run) attempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary.Attempts() + r.running
}

// runState returns NotRun if no attempt can have run, including those that still run.
func (r *run) runState() reply.RunState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running > 0 {
		return reply.MayHaveRun
	}
	return r.summary.RunState()
}

// lastEvent returns the ID of the latest event that the caller has, or noID, and the same as sent to upstreams, or "".
func (r *run) lastEvent() (int64, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEventID, r.lastEventText
}
