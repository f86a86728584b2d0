package limit

import (
	"fmt"
	"time"
)

// Cause is the reason why a request was not admitted.
type Cause int

// The causes of refusal.
const (
	Overloaded  Cause = iota // the predicted wait is longer than the request's patience
	Expired                  // the request waited for longer than its limit
	Unavailable              // no upstream is available
	Abandoned                // the caller disconnected while the request waited
)

// Error reports that a request was not admitted; nothing was sent to an upstream.
type Error struct {
	cause      Cause
	target     string
	wait       time.Duration
	retryAfter time.Duration
}

// Error describes the cause; the text reaches the caller.
func (e *Error) Error() string {
	switch e.cause {
	case Overloaded:
		return fmt.Sprintf("%s is overloaded: a predicted wait of %v", e.target, e.wait.Round(time.Millisecond))
	case Expired:
		return fmt.Sprintf("%s gave no place within %v", e.target, e.wait.Round(time.Millisecond))
	case Unavailable:
		return fmt.Sprintf("%s has no upstream fit for work", e.target)
	case Abandoned:
		return "the caller went away"
	}
	panic(fmt.Sprintf("limit: unknown cause %d", e.cause))
}

// Cause returns why the request was not admitted.
func (e *Error) Cause() Cause { return e.cause }

// RetryAfter returns how long the caller should wait before it retries.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }
