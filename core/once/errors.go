package once

import (
	"time"

	"rhubarbspread/core/reply"
)

// Cause is why the ledger gave neither a license nor a stored answer.
type Cause int

// The causes.
const (
	TableDown Cause = iota // the table could not be asked, or did not settle a lost answer
	OtherBody              // the key was used with another body
	Running                // another request with the key is being sent
	Unsettled              // the key was sent by a node that can't say what came of it
	Expired                // the key is older than the ledger's memory
	BadKey                 // the key is no key
	Corrupt                // the row can't be read
	Withheld               // the answer was too large to keep
)

// Error is a call that the ledger did not let pass.
type Error struct {
	cause      Cause
	detail     string
	retryAfter time.Duration
}

// Error returns the detail.
func (e *Error) Error() string { return "ledger: " + e.detail }

// Cause returns why the call did not pass.
func (e *Error) Cause() Cause { return e.cause }

// RetryAfter returns when a repeat makes sense, or zero.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Run returns what is true of the key: a call under it may have run only if a license to send existed.
func (e *Error) Run() reply.RunState {
	switch e.cause {
	case TableDown, OtherBody, Expired, BadKey:
		return reply.NotRun
	case Running, Unsettled, Corrupt, Withheld:
		return reply.MayHaveRun
	}
	return reply.MayHaveRun
}
