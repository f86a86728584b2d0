package entry

import (
	"context"
	"errors"
	"net"
	"time"

	"rhubarbspread/io/hop"
)

// Times of trying several ways at once.
const (
	hedgeDelay   = 100 * time.Millisecond // for which a connection may be pending until the next way is tried as well
	delayDivisor = 4                      // of the time that is left, which bounds hedgeDelay
	// stallGrace is the last part of the delay. After a time in which the whole process stood still, it lets a connection
	// that has been made meanwhile be noticed.
	stallGrace = 20 * time.Millisecond
)

// delay returns how long one way may be pending until the next one is tried as well.
func delay(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(hedgeDelay, time.Until(deadline)/delayDivisor)
	}
	return hedgeDelay
}

// dialResult is the outcome of one way of connecting.
type dialResult struct {
	conn net.Conn
	err  error
}

// race connects in a first way and, if that fails or is pending for too long, in a second one as well. The connection that
// is made first wins; the other attempt is given up.
func race(ctx context.Context, t hop.Target, first, second hop.DialFunc) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	firstCtx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	hedged := make(chan dialResult)
	timer := time.AfterFunc(delay(ctx)-stallGrace, func() {
		select {
		case <-time.After(stallGrace):
		case <-ctx.Done():
			return
		}
		c, err := second(ctx, t)
		if err == nil {
			cancelFirst()
		}
		select {
		case hedged <- dialResult{c, err}:
		case <-ctx.Done():
			if err == nil {
				_ = c.Close()
			}
		}
	})
	c, err := first(firstCtx, t)
	isAlone := timer.Stop()
	if err == nil {
		return c, nil
	}
	if ctx.Err() != nil {
		return nil, err
	}
	var result dialResult
	if isAlone {
		result.conn, result.err = second(ctx, t)
	} else {
		select {
		case result = <-hedged:
		case <-ctx.Done():
			return nil, errors.Join(err, ctx.Err())
		}
	}
	if result.err != nil {
		return nil, errors.Join(err, result.err)
	}
	return result.conn, nil
}
