package once

import (
	"time"

	"rhubarbspread/core/reply"
)

// Cause says why the ledger returned neither a license nor a stored answer.
type Cause int

// The causes of an Error.
const (
	TableUnavailable Cause = iota // the table is unreachable, or the outcome of a write to it stayed unknown
	BodyMismatch                  // the key was used with a different request body
	InProgress                    // another request with the key is in flight
	OutcomeUnknown                // the call may have been sent, and its outcome is unknown
	KeyExpired                    // the key is older than the retention
	InvalidKey                    // the key is missing, too long or not a UUIDv7 under a retention
	Corrupt                       // the row is missing, can't be decoded or has changed
	AnswerTooLarge                // the call ran, but its answer was too large to store
)

// Error is a call that the ledger did not license.
type Error struct {
	cause      Cause
	detail     string
	retryAfter time.Duration
}

// Error returns the detail.
func (e *Error) Error() string { return "ledger: " + e.detail }

// Cause returns why the call was not licensed.
func (e *Error) Cause() Cause { return e.cause }

// RetryAfter returns how long the caller should wait before it repeats the call, or zero.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// RunState returns the run state of the key: a call may have run only if a license to send it existed.
func (e *Error) RunState() reply.RunState {
	switch e.cause {
	case TableUnavailable, BodyMismatch, KeyExpired, InvalidKey:
		return reply.NotRun
	case InProgress, OutcomeUnknown, Corrupt, AnswerTooLarge:
		return reply.MayHaveRun
	}
	return reply.MayHaveRun
}
