package reply

import (
	"fmt"
	"net/http"
	"time"
)

// Refusal is the error that a caller receives in place of an answer.
type Refusal struct {
	status     int
	code       string
	detail     string
	runState   RunState
	retryAfter time.Duration
}

// RefusalOption configures a Refusal.
type RefusalOption func(*Refusal)

// WithRetryAfter sets the delay after which the caller may retry.
func WithRetryAfter(d time.Duration) RefusalOption {
	return func(r *Refusal) { r.retryAfter = d }
}

// WithRunState sets the run state; the default is NotRun.
func WithRunState(s RunState) RefusalOption {
	return func(r *Refusal) { r.runState = s }
}

// NewRefusal returns a Refusal with an HTTP status, a kebab-case code and a human-readable detail. If the request may have run, a
// status that promises the opposite is replaced by 502.
func NewRefusal(status int, code, detail string, opts ...RefusalOption) *Refusal {
	r := &Refusal{status: status, code: code, detail: detail, runState: NotRun}
	for _, o := range opts {
		o(r)
	}
	if r.runState != NotRun && PromisesNotRun(status) {
		r.status = http.StatusBadGateway
	}
	return r
}

// Error returns the refusal on one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%d, %s): %s", r.code, r.status, r.runState, r.detail)
}

// Status returns the HTTP status.
func (r *Refusal) Status() int { return r.status }

// Code returns the kebab-case error code.
func (r *Refusal) Code() string { return r.code }

// Detail returns the human-readable explanation.
func (r *Refusal) Detail() string { return r.detail }

// RunState returns the run state.
func (r *Refusal) RunState() RunState { return r.runState }

// RetryAfter returns the delay after which the caller may retry, or zero if a retry is pointless.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Exhausted returns the refusal of a request whose attempts all failed.
func Exhausted(a *AttemptSummary, retryAfter time.Duration) *Refusal {
	detail := "no upstream could be tried"
	if a.Last() != nil {
		detail = fmt.Sprintf("%d attempts failed, the last one: %s", a.Attempts(), Reason(a.Last()))
	}
	return NewRefusal(http.StatusServiceUnavailable, "upstreams-failed", detail,
		WithRunState(a.RunState()), WithRetryAfter(retryAfter))
}
