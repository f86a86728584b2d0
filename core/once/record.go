package once

import (
	"context"
	"time"

	"rhubarbspread/core/reply"
	"rhubarbspread/core/store"
)

// End records how the one send ended. It waits a short while for the table and goes on recording in the
// background after that; the answer stands either way.
func (c *License) End(ctx context.Context, o reply.Outcome, r *Response) {
	l := c.ledger
	c.row.State = stateOf(o)
	c.row.Note = reply.Reason(o)
	c.row.Response = l.bound(r)
	switch c.row.State {
	case Finished:
		l.tokens.set(c.row.Token, Answered, c.row.Response)
	case Abandoned:
		l.tokens.set(c.row.Token, GivenUp, nil)
	case Lost, Started:
		// The fate stays licensed: it may have run.
	}
	recorded := make(chan struct{})
	l.recording.Add(1)
	l.unrecorded.Add(1)
	go func() {
		defer l.recording.Done()
		defer l.unrecorded.Add(-1)
		defer close(recorded)
		c.record(context.WithoutCancel(ctx))
	}()
	select {
	case <-recorded:
	case <-time.After(recordWait):
	}
}

// Release gives up a license of which nothing was sent and keeps the row, for another claim.
func (c *License) Release(ctx context.Context, why string) {
	c.End(ctx, reply.NewNotSent(why), nil)
}

// bound cuts what is too large to keep; that the call ran is kept in any case.
func (l *Ledger) bound(r *Response) *Response {
	if r == nil || int64(len(r.Body)) <= l.stored.Load() {
		return r
	}
	return &Response{Status: r.Status, ContentType: r.ContentType, TooLarge: true}
}

// record writes the row's last state until the table has taken it or another claim stands there.
func (c *License) record(ctx context.Context) {
	l := c.ledger
	pause := recordPause
	change := store.Change{Key: c.key.row(), Value: c.row.encode(), Version: c.version}
	for {
		err := l.commit(ctx, change)
		if err == nil {
			break
		}
		if store.Is(err, store.Conflict) {
			// An earlier try took effect, or a peer claimed over a token that was given up.
			break
		}
		select {
		case <-time.After(pause):
		case <-l.closed:
			return
		}
		pause = min(2*pause, recordPauseMax)
	}
	l.tokens.forget(c.row.Token)
}

// Close waits until the outcomes are recorded, no longer than the context, and then stops trying.
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
