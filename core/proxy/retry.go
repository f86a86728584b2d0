package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/board"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/rules"
)

// extraRefusals is how many attempts beyond the route's limit may be refused as not run. The limit is on attempts that
// may have run, and a refusal takes only milliseconds.
const extraRefusals = 2

// mayTryAnother reports whether the route allows another attempt if those that run, one at least, may have an effect.
func (r *run) mayTryAnother() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.request.Route.Repeatable() && r.mayHaveRun+max(1, r.running) < r.request.Route.MaxAttempts &&
		time.Until(r.request.ExpiresAt) > minAttemptTime
}

// mayRetry returns nil if another attempt may follow an outcome, or goes on, else the error of the request.
func (r *run) mayRetry(ctx context.Context, o reply.Outcome) error {
	if ctx.Err() != nil {
		return r.failure("its time is over", http.StatusGatewayTimeout)
	}
	if unknown, ok := o.(reply.Unknown); ok && unknown.Fault() == reply.Canceled {
		return ErrCallerGone
	}
	isDelivered := r.headersSent && r.request.Route.Kind != rules.Streaming
	if !isDelivered && r.hasReplacement() {
		return nil
	}
	if err := r.checkAttempts(o, isDelivered); err != nil {
		return err
	}
	if _, ok := o.(reply.NotSent); ok {
		return nil
	}
	if r.retryPaid {
		r.retryPaid = false
		return nil
	}
	if !r.executor.budget.Take(r.request.Service.Name) {
		return r.failure("the budget for repeats is spent; "+reply.Reason(o), http.StatusBadGateway)
	}
	return nil
}

// checkAttempts returns the error of the request if its route allows no attempt after an outcome.
func (r *run) checkAttempts(o reply.Outcome, isDelivered bool) error {
	r.mu.Lock()
	sent, unreached, mayHaveRun, running := r.sent, r.unreached, r.mayHaveRun, r.running
	r.mu.Unlock()
	if running > 0 && mayHaveRun+running >= r.request.Route.MaxAttempts { // one is just ending
		return r.failure(reply.Reason(o), http.StatusBadGateway)
	}
	switch o := o.(type) {
	case reply.NotSent:
		if unreached >= maxUnreached {
			return r.failure(reply.Reason(o), http.StatusBadGateway)
		}
	case reply.Refused:
		if sent >= r.request.Route.MaxAttempts+extraRefusals {
			return r.failure("upstreams refused: "+reply.Reason(o), http.StatusBadGateway)
		}
	case reply.Unknown:
		if !r.request.Route.Repeatable() || mayHaveRun >= r.request.Route.MaxAttempts || isDelivered {
			return r.failure(reply.Reason(o), statusOf(o))
		}
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
	if r.runState() == reply.NotRun {
		return r.refusal(cause)
	}
	return &Refusal{Status: status, Cause: cause}
}

// refusal returns the error of a request that is refused between attempts: a 503, which guarantees that the request did
// not run, if no attempt may have run, else a failure.
func (r *run) refusal(cause string) error {
	if r.runState() != reply.NotRun {
		return r.failure(cause, http.StatusBadGateway)
	}
	left := time.Until(r.request.ExpiresAt) - r.executor.skipped()
	after := retryAfter(left, r.executor.random())
	if r.ticket != nil {
		after = r.ticket.RetryAfter(left, r.executor.random())
		if after > admit.LongestRetry(left) {
			r.executor.meter.Count("admission-returns-refused")
		}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Cause: cause, RetryAfter: after}
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
func (r *run) transportFailure(a *attempt, err error) reply.Outcome {
	if o := interruption(a.ctx); o != nil {
		return o
	}
	u := a.reservation.Upstream
	r.excludeUpstream(u.ID)
	r.executor.board.RecordFailure(u)
	var e *SendError
	if errors.As(err, &e) && !e.Sent() {
		return reply.NewNotSent(err.Error())
	}
	return reply.NewUnknown(reply.Broken, err.Error())
}

// rejection returns the outcome of an answer that can't be delivered: a refusal by the upstream, or an answer that is
// not the upstream's own to this request. It returns nil for any other answer.
func (r *run) rejection(res *board.Reservation, a *Answer) reply.Outcome {
	switch {
	case a.IDMismatch || a.NotRun && a.IDMissing || a.Status < http.StatusMultipleChoices && !a.Sealed:
		r.excludeUpstream(res.Upstream.ID)
		r.executor.board.RecordResponse(res.Upstream, true, 0)
		return reply.NewUnknown(reply.Broken, "the answer is not the upstream's own to this request")
	case a.NotRun:
		failed, from := failedStage(res, a.FailedAddress)
		r.excludeUpstream(failed.ID)
		r.executor.board.RecordRefusal(failed, from)
		return reply.NewRefused(a.Status, "refused by "+failed.ID, 0)
	}
	return nil
}

// failedStage returns the upstream at an address that refused a request, by default the first one, and the data centre of the
// stage before it, or "" for none.
func failedStage(res *board.Reservation, address string) (*fleet.Upstream, string) {
	from := ""
	for _, h := range res.Hops() {
		if h.Upstream.Address == address {
			return h.Upstream, from
		}
		from = h.Upstream.DataCentre
	}
	return res.Upstream, ""
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
