package carry

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

// Reasons for which an attempt is given up.
var (
	errSlow   = errors.New("no answer within the objective")
	errSilent = errors.New("the stream fell silent")
)

// moreRefusals is how many attempts beyond the route's may be refused as not run: the route bounds how many upstreams
// may run a request, and a refusal takes milliseconds.
const moreRefusals = 2

// mayTryOther reports whether the route allows one more attempt after one that may have run.
func (r *run) mayTryOther() bool {
	return r.q.Route.Repeatable() && r.ran+1 < r.q.Route.Attempts && time.Until(r.q.Until) > minimumToTry
}

// mayRepeat returns nil if another attempt may follow an outcome, else how the request ends.
func (r *run) mayRepeat(ctx context.Context, o reply.Outcome) error {
	if ctx.Err() != nil {
		return r.failure("its time is over", http.StatusGatewayTimeout)
	}
	switch o := o.(type) {
	case reply.NotSent:
		r.missed++
		if r.missed >= unreachable {
			return r.failure(reply.Reason(o), http.StatusBadGateway)
		}
		return nil
	case reply.Refused:
		r.arrivals++
		if r.arrivals >= r.q.Route.Attempts+moreRefusals {
			return r.failure("upstreams refused: "+reply.Reason(o), http.StatusBadGateway)
		}
	case reply.Unknown:
		if o.Fault() == reply.Canceled {
			return ErrGone
		}
		r.arrivals++
		r.ran++
		if !r.q.Route.Repeatable() || r.ran >= r.q.Route.Attempts || r.begun && r.q.Route.Kind != rules.Streaming {
			return r.failure(reply.Reason(o), statusOf(o))
		}
	}
	if r.paid.Swap(false) {
		return nil
	}
	if !r.c.budget.Take(r.q.Service.Name) {
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

// failure ends a request whose attempts failed: as not run only if none of them may have run.
func (r *run) failure(cause string, status int) error {
	if r.begun {
		return ErrBroken
	}
	if r.account.State() == reply.NotRun {
		return r.refusal(cause)
	}
	return &Refusal{Status: status, Cause: cause}
}

// refusal ends a request that waits for an upstream: with a promise that it has not run if that is so.
func (r *run) refusal(cause string) error {
	if r.account.State() != reply.NotRun {
		return r.failure(cause, http.StatusBadGateway)
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Cause: cause, RetryAfter: returnAfter(time.Until(r.q.Until), rand.Float64())}
}

// Shares of the time that a caller has left after which it is asked back. Callers wait for a third of it at most, and
// returns that are spread meet a queue that has drained.
const (
	returnLeast  = 0.05
	returnSpread = 0.15
)

// returnAfter returns when a refused caller is asked back; random is uniform in [0, 1).
func returnAfter(left time.Duration, random float64) time.Duration {
	return time.Duration((returnLeast + returnSpread*random) * float64(max(0, left)))
}

// unsent turns the transport's error into an outcome.
func (r *run) unsent(ctx context.Context, u *fleet.Upstream, err error) reply.Outcome {
	var e *SendError
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		return reply.NewUnknown(reply.Silent, cause.Error())
	case errors.Is(cause, errSlow):
		r.c.board.Alive(u, true, 0)
		r.excludeOne(u.ID)
		return reply.NewUnknown(reply.Silent, cause.Error())
	case errors.Is(cause, context.Canceled):
		return reply.NewUnknown(reply.Canceled, "the caller went away")
	case errors.Is(cause, context.DeadlineExceeded):
		return reply.NewUnknown(reply.Silent, "its time is over")
	}
	r.excludeOne(u.ID)
	r.c.board.Strike(u)
	if errors.As(err, &e) && !e.Sent() {
		return reply.NewNotSent(err.Error())
	}
	return reply.NewUnknown(reply.Broken, err.Error())
}

// refused returns the outcome of an answer that is none of the request's, or nil.
func (r *run) refused(t *board.Ticket, a *Answer) reply.Outcome {
	switch {
	case a.NotRun:
		culprit := partAt(t.Hops(), a.Culprit)
		if culprit == nil {
			culprit = t.Upstream
		}
		r.excludeOne(culprit.ID)
		r.c.board.Full(culprit)
		return reply.NewRefused(a.Status, "refused by "+culprit.ID, 0)
	case a.Foreign || a.Status < http.StatusMultipleChoices && !a.Sealed:
		r.excludeOne(t.Upstream.ID)
		r.c.board.Alive(t.Upstream, true, 0)
		return reply.NewUnknown(reply.Broken, "the answer is not the upstream's own to this request")
	}
	return nil
}

func (r *run) excludeOne(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exclude = append(r.exclude, id)
}

// excluded returns the upstreams that failed the request.
func (r *run) excluded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.exclude)
}
