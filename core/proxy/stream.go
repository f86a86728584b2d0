package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/reply"
)

const eventBufferBytes = 4 << 10

// sendStream makes an attempt whose events are forwarded one by one.
func (r *run) sendStream(ctx context.Context, cancel context.CancelCauseFunc, res *board.Reservation,
	s *Send) reply.Outcome {
	w := newStallWatcher(ctx, cancel, r, res)
	defer w.stop()
	a, err := r.exchange(ctx, s)
	if err != nil {
		return r.transportFailure(ctx, res.Upstream, err)
	}
	defer a.Body.Close()
	if outcome := r.rejection(res, a); outcome != nil {
		return outcome
	}
	if a.Status != http.StatusOK {
		return r.handleErrorStatus(res, a)
	}
	return r.forwardEvents(ctx, res, a, w)
}

// handleErrorStatus delivers an upstream's error answer, or returns an outcome after which another upstream is tried.
func (r *run) handleErrorStatus(res *board.Reservation, a *Answer) reply.Outcome {
	r.executor.board.RecordResponse(res.Upstream, true, 0)
	r.excludeUpstream(res.Upstream.ID)
	if r.headersSent {
		return failedAnswer(a)
	}
	if r.mayTryAnother() && r.executor.budget.Take(r.request.Service.Name) {
		r.retryPaid.Store(true)
		return failedAnswer(a)
	}
	body, isAll, release, err := r.executor.buffers.readBuffered(a.Body)
	defer release()
	if err != nil {
		return brokenAnswer(err)
	}
	return r.deliver(a, body, isAll)
}

// forwardEvents forwards complete events until the stream ends.
func (r *run) forwardEvents(ctx context.Context, res *board.Reservation, a *Answer, w *stallWatcher) reply.Outcome {
	in := bufio.NewReaderSize(a.Body, eventBufferBytes)
	isFirst := true
	for {
		e, err := readEvent(in, &r.executor.buffers)
		if errors.Is(err, io.EOF) {
			return r.complete(res, a)
		}
		if err != nil {
			return r.streamFailure(ctx, res, err)
		}
		if e.id != noID && r.lastEventID != noID && e.id <= r.lastEventID {
			continue // the caller has this event
		}
		if e.id != noID && r.lastEventID != noID && e.id != r.lastEventID+1 {
			return reply.NewUnknown(reply.Failed, fmt.Sprintf("event %d came after %d", e.id, r.lastEventID))
		}
		if isFirst {
			isFirst = false
			r.attemptEventAt = time.Now()
			r.executor.meter.Observe("first-event-us", time.Since(r.started))
			res.PrefillDone()
			r.executor.board.RecordResponse(res.Upstream, false, 0)
		}
		w.progress()
		if !r.headersSent {
			r.headersSent = true
			r.sink.Begin(a.Status, a.Header)
		}
		if err := r.sink.Write(e.raw); err != nil {
			return reply.NewUnknown(reply.Canceled, err.Error())
		}
		r.recordEvent()
		if e.id != noID {
			r.lastEventID = e.id
			r.lastEventText = strconv.FormatInt(e.id, 10)
		}
	}
}

// complete finishes a stream that ended between events.
func (r *run) complete(res *board.Reservation, a *Answer) reply.Outcome {
	r.executor.board.RecordResponse(res.Upstream, false, 0)
	r.wroteAnswer = a.isComplete() && !r.attemptEventAt.IsZero()
	if !r.headersSent {
		r.headersSent = true
		r.sink.Begin(a.Status, a.Header)
	}
	return reply.Done{}
}

// streamFailure returns the outcome of a stream that broke off.
func (r *run) streamFailure(ctx context.Context, res *board.Reservation, err error) reply.Outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		return reply.NewUnknown(reply.Silent, cause.Error())
	case errors.Is(cause, context.Canceled):
		return reply.NewUnknown(reply.Canceled, "the caller went away")
	case errors.Is(cause, context.DeadlineExceeded):
		return reply.NewUnknown(reply.Silent, "its time is over")
	}
	r.excludeUpstream(res.Upstream.ID)
	return reply.NewUnknown(reply.Broken, "the stream broke off: "+err.Error())
}
