package limit

import (
	"fmt"
	"time"
)

// Cause is why a request was not admitted.
type Cause int

// The causes of refusal.
const (
	Overloaded  Cause = iota // the predicted wait is longer than the request's patience
	Expired                  // the wait turned out longer than predicted
	Unavailable              // no upstream is fit for work
	Abandoned                // the caller went away while it waited
)

// Error says that a request was not admitted; nothing of it was sent.
type Error struct {
	cause      Cause
	target     string
	wait       time.Duration
	retryAfter time.Duration
}

// Error returns the cause with the figures that led to it.
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
	panic(fmt.Sprintf("limit: cause %d", e.cause))
}

// Cause returns why the request was not admitted.
func (e *Error) Cause() Cause { return e.cause }

// RetryAfter returns when a repeat makes sense.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }
