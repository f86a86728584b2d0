package reply

import (
	"fmt"
	"net/http"
	"time"
)

// RunState says whether a refused request may have had an effect.
type RunState string

// The run states.
const (
	NotRun     RunState = "not-run"
	MayHaveRun RunState = "may-have-run"
)

// PromisesNotRun reports whether callers conclude from an HTTP status that their request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Outcome is how one attempt at an upstream ended: NotSent, Refused, Done or Unknown.
type Outcome interface{ outcome() }

// NotSent is the outcome of an attempt of which no byte reached the upstream.
type NotSent struct{ reason string }

// Refused is the outcome of an attempt that the upstream declares not to have run.
type Refused struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// Done is the outcome of an attempt whose answer arrived complete.
type Done struct{}

// Unknown is the outcome of an attempt that was sent without a complete answer coming back: it may have run.
type Unknown struct {
	reason string
	fault  Fault
}

// Fault is the reason why the outcome of an attempt is unknown.
type Fault int

// The faults.
const (
	Broken         Fault = iota // the connection failed
	Silent                      // no bytes arrived within the progress timeout
	Canceled                    // the caller disconnected
	Failed                      // the upstream reported an internal error
	CanceledByNode              // this node canceled the attempt before its first token
)

func (NotSent) outcome() {}
func (Refused) outcome() {}
func (Done) outcome()    {}
func (Unknown) outcome() {}

// NewNotSent returns a NotSent with a human-readable reason.
func NewNotSent(reason string) NotSent { return NotSent{reason: reason} }

// NewRefused returns a Refused with the upstream's HTTP status and its Retry-After delay.
func NewRefused(status int, reason string, retryAfter time.Duration) Refused {
	return Refused{status: status, reason: reason, retryAfter: retryAfter}
}

// NewUnknown returns an Unknown with its fault and a human-readable reason.
func NewUnknown(f Fault, reason string) Unknown { return Unknown{reason: reason, fault: f} }

// Status returns the HTTP status of the upstream's refusal.
func (r Refused) Status() int { return r.status }

// RetryAfter returns the upstream's Retry-After delay, or zero.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// Fault returns why the outcome is unknown.
func (u Unknown) Fault() Fault { return u.fault }

// Reason returns the human-readable cause of an outcome, or "done" for a Done.
func Reason(o Outcome) string {
	switch o := o.(type) {
	case NotSent:
		return o.reason
	case Refused:
		return o.reason
	case Unknown:
		return o.reason
	case Done:
		return "done"
	}
	panic(fmt.Sprintf("reply: unexpected outcome type %T", o))
}

// CouldHaveRun reports whether an attempt with this outcome may have had an effect.
func CouldHaveRun(o Outcome) bool {
	switch o.(type) {
	case NotSent, Refused:
		return false
	case Done, Unknown:
		return true
	}
	panic(fmt.Sprintf("reply: unexpected outcome type %T", o))
}

// AttemptSummary summarises the attempts of one request.
type AttemptSummary struct {
	attempts   int
	mayHaveRun bool
	last       Outcome
}

// Add records the outcome of one more attempt.
func (a *AttemptSummary) Add(o Outcome) {
	a.attempts++
	a.mayHaveRun = a.mayHaveRun || CouldHaveRun(o)
	a.last = o
}

// Attempts returns the number of attempts.
func (a *AttemptSummary) Attempts() int { return a.attempts }

// Last returns the latest outcome, or nil before the first attempt.
func (a *AttemptSummary) Last() Outcome { return a.last }

// RunState returns NotRun if no attempt can have run, else MayHaveRun.
func (a *AttemptSummary) RunState() RunState {
	if a.mayHaveRun {
		return MayHaveRun
	}
	return NotRun
}
