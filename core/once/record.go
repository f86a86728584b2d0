package once

import (
	"context"
	"time"

	"rhubarbspread/core/reply"
	"rhubarbspread/core/store"
)

// End records the outcome of the licensed send. It waits up to recordWait for the table and then keeps retrying in
// the background; the caller's answer does not depend on it.
func (li *License) End(ctx context.Context, o reply.Outcome, r *Response) {
	l := li.ledger
	li.row.State = finalState(o)
	li.row.Note = reply.Reason(o)
	li.row.Response = l.dropLargeBody(r)
	switch li.row.State {
	case Finished:
		l.tokens.set(li.row.Token, Answered, li.row.Response)
	case Abandoned:
		l.tokens.set(li.row.Token, Revoked, nil)
	case AnswerLost, Started:
		// The token stays Licensed: the call may have run.
	}
	recorded := make(chan struct{})
	l.recording.Add(1)
	l.unrecorded.Add(1)
	go func() {
		defer l.recording.Done()
		defer l.unrecorded.Add(-1)
		defer close(recorded)
		li.record(context.WithoutCancel(ctx))
	}()
	select {
	case <-recorded:
	case <-time.After(recordWait):
	}
}

// Release revokes a license under which nothing was sent. The row stays, and another claim may replace it.
func (li *License) Release(ctx context.Context, reason string) {
	li.End(ctx, reply.NewNotSent(reason), nil)
}

// dropLargeBody replaces an answer that is too large to store by one without a body, so that the row still records
// that the call ran.
func (l *Ledger) dropLargeBody(r *Response) *Response {
	if r == nil || int64(len(r.Body)) <= l.storedBytes.Load() {
		return r
	}
	return &Response{Status: r.Status, ContentType: r.ContentType, TooLarge: true}
}

// record writes the row's final state, and retries until the table has accepted it or the row has changed.
func (li *License) record(ctx context.Context) {
	l := li.ledger
	backoff := recordBackoff
	change := store.Change{Key: li.key.rowKey(), Value: li.row.encode(), Version: li.version}
	for {
		err := l.commit(ctx, change)
		if err == nil {
			break
		}
		if store.Is(err, store.Conflict) {
			// An earlier attempt took effect, or another node replaced the row of a revoked token.
			break
		}
		select {
		case <-time.After(backoff):
		case <-l.closed:
			return
		}
		backoff = min(2*backoff, maxRecordBackoff)
	}
	l.tokens.forget(li.row.Token)
}

// Close waits until all outcomes are recorded or the context ends, and then stops the retries.
func (l *Ledger) Close(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		l.recording.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	l.closeOnce.Do(func() { close(l.closed) })
	<-done
	return err
}
