package proxy

import (
	"errors"
	"fmt"
	"io"

	"rhubarbspread/core/reply"
)

const eventBufferBytes = 4 << 10

// forwardEvents forwards complete events until the stream ends.
func (r *run) forwardEvents(a *attempt, w *stallWatcher) reply.Outcome {
	e, err := a.first, a.readErr
	a.first = event{} // else it would be held beside each later one
	for ; err == nil; e, err = a.events.next() {
		if a.isResumed && e.isForeign() {
			return foreignEvent()
		}
		if e.id != noID && r.lastEventID != noID && e.id <= r.lastEventID {
			continue // the caller has this event
		}
		if e.id != noID && r.lastEventID != noID && e.id != r.lastEventID+1 {
			return gap(e.id, r.lastEventID)
		}
		w.progress()
		if !r.headersSent {
			r.headersSent = true
			r.sink.Begin(a.answer.Status, a.answer.Header)
		}
		if err := r.write(e.raw, a.events.charged); err != nil {
			return reply.NewUnknown(reply.Canceled, err.Error())
		}
		a.events.release()
		r.recordEvent(e)
		w.written()
	}
	if errors.Is(err, io.EOF) {
		return r.complete(a)
	}
	return r.streamFailure(a, err)
}

// gap returns the outcome of a stream that lacks events.
func gap(id, last int64) reply.Outcome {
	return reply.NewUnknown(reply.Failed, fmt.Sprintf("event %d came after %d", id, last))
}

// foreignEvent returns the outcome of a resumed stream with an event that is not one of those of the stream it goes on with.
func foreignEvent() reply.Outcome {
	return reply.NewUnknown(reply.Failed, "an event without an ID came in a resumed stream")
}

// complete finishes a stream that ended between events.
func (r *run) complete(a *attempt) reply.Outcome {
	r.executor.board.RecordResponse(a.reservation.Upstream, false, 0)
	a.wroteAnswer = a.answer.isComplete() && !a.firstEventAt.IsZero()
	if !r.headersSent {
		r.headersSent = true
		r.sink.Begin(a.answer.Status, a.answer.Header)
	}
	return reply.Done{}
}

// streamFailure returns the outcome of a stream that broke off.
func (r *run) streamFailure(a *attempt, err error) reply.Outcome {
	if o := interruption(a.ctx); o != nil {
		return o
	}
	r.excludeUpstream(a.reservation.Upstream.ID)
	return reply.NewUnknown(reply.Broken, "the stream broke off: "+err.Error())
}
