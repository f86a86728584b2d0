package carry

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

const eventsBuffer = 4 << 10 // bytes

// stream makes an attempt whose events are passed on one by one.
func (r *run) stream(ctx context.Context, cancel context.CancelCauseFunc, t *board.Ticket, s *Send) reply.Outcome {
	w := newWatch(ctx, cancel, r, t)
	defer w.stop()
	a, err := r.c.transport.Send(ctx, s)
	if err != nil {
		return r.unsent(ctx, t.Upstream, err)
	}
	defer a.Body.Close()
	if outcome := r.refused(t, a); outcome != nil {
		return outcome
	}
	if a.Status != http.StatusOK {
		return r.failed(t, a)
	}
	return r.events(ctx, t, a, w)
}

// failed passes on an upstream's own failure, or has another tried.
func (r *run) failed(t *board.Ticket, a *Answer) reply.Outcome {
	r.c.board.Alive(t.Upstream, true, 0)
	r.excludeOne(t.Upstream.ID)
	if r.begun {
		return failedAnswer(a)
	}
	if r.mayTryOther() && r.c.budget.Take(r.q.Service.Name) {
		r.paid.Store(true)
		return failedAnswer(a)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeAnswer))
	if err != nil {
		return brokenAnswer(err)
	}
	return r.deliver(a, body)
}

// events passes on whole events until the stream ends.
func (r *run) events(ctx context.Context, t *board.Ticket, a *Answer, w *watch) reply.Outcome {
	in := bufio.NewReaderSize(a.Body, eventsBuffer)
	first := true
	for {
		e, err := readEvent(in)
		if errors.Is(err, io.EOF) {
			return r.complete(t, a)
		}
		if err != nil {
			return r.brokeOff(ctx, t, err)
		}
		if e.id != noID && r.last != noID && e.id <= r.last {
			continue // the caller has it
		}
		if e.id != noID && r.last != noID && e.id != r.last+1 {
			return reply.NewUnknown(reply.Failed, fmt.Sprintf("event %d came after %d", e.id, r.last))
		}
		if first {
			first = false
			r.c.meter.Observe("first-event-us", time.Since(r.started))
			t.Reading()
			r.c.board.Alive(t.Upstream, false, 0)
		}
		w.progress()
		if !r.begun {
			r.begun = true
			r.sink.Begin(a.Status, a.Header)
		}
		if err := r.sink.Write(e.raw); err != nil {
			return reply.NewUnknown(reply.Canceled, err.Error())
		}
		r.passed()
		if e.id != noID {
			r.last = e.id
			r.lastText = strconv.FormatInt(e.id, 10)
		}
	}
}

// complete ends a stream that came to its end.
func (r *run) complete(t *board.Ticket, a *Answer) reply.Outcome {
	r.c.board.Alive(t.Upstream, false, 0)
	if !r.begun {
		r.begun = true
		r.sink.Begin(a.Status, a.Header)
	}
	return reply.Done{}
}

// brokeOff says how a stream ended that has no end.
func (r *run) brokeOff(ctx context.Context, t *board.Ticket, err error) reply.Outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		return reply.NewUnknown(reply.Silent, cause.Error())
	case errors.Is(cause, context.Canceled):
		return reply.NewUnknown(reply.Canceled, "the caller went away")
	case errors.Is(cause, context.DeadlineExceeded):
		return reply.NewUnknown(reply.Silent, "its time is over")
	}
	r.excludeOne(t.Upstream.ID)
	return reply.NewUnknown(reply.Broken, "the stream broke off: "+err.Error())
}
