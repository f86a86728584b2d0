package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/rules"
)

// Reasons for which an attempt is canceled.
var (
	errSlow   = errors.New("no answer within the objective")
	errSilent = errors.New("the stream fell silent")
)

// extraRefusals is how many attempts beyond the route's limit may be refused as not run. The limit is on attempts that
// may have run, and a refusal takes only milliseconds.
const extraRefusals = 2

// mayTryAnother reports whether the route allows another attempt if the present one may have run.
func (r *run) mayTryAnother() bool {
	return r.request.Route.Repeatable() && r.mayHaveRun+1 < r.request.Route.MaxAttempts &&
		time.Until(r.request.ExpiresAt) > minAttemptTime
}

// mayRetry returns nil if another attempt may follow an outcome, else the error of the request.
func (r *run) mayRetry(ctx context.Context, o reply.Outcome) error {
	if ctx.Err() != nil {
		return r.failure("its time is over", http.StatusGatewayTimeout)
	}
	switch o := o.(type) {
	case reply.NotSent:
		r.unreached++
		if r.unreached >= maxUnreached {
			return r.failure(reply.Reason(o), http.StatusBadGateway)
		}
		return nil
	case reply.Refused:
		r.sent++
		if r.sent >= r.request.Route.MaxAttempts+extraRefusals {
			return r.failure("upstreams refused: "+reply.Reason(o), http.StatusBadGateway)
		}
	case reply.Unknown:
		if o.Fault() == reply.Canceled {
			return ErrCallerGone
		}
		r.sent++
		r.mayHaveRun++
		if !r.request.Route.Repeatable() || r.mayHaveRun >= r.request.Route.MaxAttempts ||
			r.headersSent && r.request.Route.Kind != rules.Streaming {
			return r.failure(reply.Reason(o), statusOf(o))
		}
	}
	if r.retryPaid.Swap(false) {
		return nil
	}
	if !r.executor.budget.Take(r.request.Service.Name) {
		return r.failure("the budget for repeats is spent; "+reply.Reason(o), http.StatusBadGateway)
	}
	return nil
}

func statusOf(o reply.Unknown) int {
	if o.Fault() == reply.Silent {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// failure returns the error of a request whose attempts failed: ErrAnswerBroken if the caller has the headers, else a
// refusal, which says that the request did not run only if no attempt may have run.
func (r *run) failure(cause string, status int) error {
	if r.headersSent {
		return ErrAnswerBroken
	}
	if r.summary.RunState() == reply.NotRun {
		return r.refusal(cause)
	}
	return &Refusal{Status: status, Cause: cause}
}

// refusal returns the error of a request that is refused between attempts: a 503, which guarantees that the request did
// not run, if no attempt may have run, else a failure.
func (r *run) refusal(cause string) error {
	if r.summary.RunState() != reply.NotRun {
		return r.failure(cause, http.StatusBadGateway)
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Cause: cause,
		RetryAfter: retryAfter(time.Until(r.request.ExpiresAt), rand.Float64())}
}

// Shares of a caller's remaining time from which its Retry-After is drawn. Callers wait for a third of that time at
// most, and spreading the retries lets the queue drain before they arrive.
const (
	minRetryShare    = 0.05
	retryShareSpread = 0.15
)

// retryAfter returns the delay after which a refused caller may retry; random is uniform in [0, 1).
func retryAfter(left time.Duration, random float64) time.Duration {
	return time.Duration((minRetryShare + retryShareSpread*random) * float64(max(0, left)))
}

// transportFailure converts an error of the transport into an outcome.
func (r *run) transportFailure(ctx context.Context, u *fleet.Upstream, err error) reply.Outcome {
	var e *SendError
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		return reply.NewUnknown(reply.Silent, cause.Error())
	case errors.Is(cause, errSlow):
		r.executor.board.RecordResponse(u, true, 0)
		r.excludeUpstream(u.ID)
		return reply.NewUnknown(reply.Silent, cause.Error())
	case errors.Is(cause, context.Canceled):
		return reply.NewUnknown(reply.Canceled, "the caller went away")
	case errors.Is(cause, context.DeadlineExceeded):
		return reply.NewUnknown(reply.Silent, "its time is over")
	}
	r.excludeUpstream(u.ID)
	r.executor.board.RecordFailure(u)
	if errors.As(err, &e) && !e.Sent() {
		return reply.NewNotSent(err.Error())
	}
	return reply.NewUnknown(reply.Broken, err.Error())
}

// rejection returns the outcome of an answer that can't be delivered: a refusal by the upstream, or an answer that is
// not the upstream's own to this request. It returns nil for any other answer.
func (r *run) rejection(res *board.Reservation, a *Answer) reply.Outcome {
	switch {
	case a.NotRun:
		failed := stageAt(res.Hops(), a.FailedAddress)
		if failed == nil {
			failed = res.Upstream
		}
		r.excludeUpstream(failed.ID)
		r.executor.board.RecordRefusal(failed)
		return reply.NewRefused(a.Status, "refused by "+failed.ID, 0)
	case a.IDMismatch || a.Status < http.StatusMultipleChoices && !a.Sealed:
		r.excludeUpstream(res.Upstream.ID)
		r.executor.board.RecordResponse(res.Upstream, true, 0)
		return reply.NewUnknown(reply.Broken, "the answer is not the upstream's own to this request")
	}
	return nil
}

func (r *run) excludeUpstream(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exclude = append(r.exclude, id)
}

// excluded returns the IDs of the upstreams that failed the request.
func (r *run) excluded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.exclude)
}
