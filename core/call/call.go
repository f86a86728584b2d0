package call

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"rhubarbspread/core/event"
	"rhubarbspread/core/limit"
	"rhubarbspread/core/once"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/retry"
	"rhubarbspread/core/route"
)

// Request is a caller's request to a plain service.
type Request struct {
	ID          string
	Team        string
	Weight      float64 // of the team in fair queueing
	Service     string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	Key         string // the caller's Idempotency-Key, or ""
	Idempotent  bool   // the request may be retried
}

// Sender sends one attempt to one upstream.
type Sender interface {
	// Send returns the whole answer with Done, and no answer with every other outcome. An attempt that may not be
	// retried uses a new connection, because HTTP clients may retry on a reused one by themselves.
	Send(ctx context.Context, u *route.Upstream, attempt string, r *Request) (*once.Response, reply.Outcome)
}

// Limits on the attempts of a call.
const (
	maxAttempts         = 4
	idempotentTimeout   = 2 * time.Second // after which an idempotent call goes to another upstream
	exhaustedRetryAfter = time.Second
	tokensPerCall       = 1
)

// Executor executes calls to plain services for one node.
type Executor struct {
	sender Sender
	budget *retry.Budget
	ledger *once.Ledger
	ring   *event.Ring
}

// New returns an executor of calls that sends through sender and records its attempts in ring.
func New(sender Sender, budget *retry.Budget, ledger *once.Ledger, ring *event.Ring) *Executor {
	return &Executor{sender: sender, budget: budget, ledger: ledger, ring: ring}
}

// Result is a complete answer.
type Result struct {
	response *once.Response
	replayed bool
}

// Response returns the service's answer.
func (r *Result) Response() *once.Response { return r.response }

// Replayed reports whether the answer was stored by an earlier request with the same key.
func (r *Result) Replayed() bool { return r.replayed }

// Run returns the answer to a request; its error is a *reply.Refusal.
func (e *Executor) Run(ctx context.Context, pool *limit.Pool, r *Request) (*Result, error) {
	e.budget.RecordFirstAttempt(r.Team, r.Service)
	if r.Idempotent {
		return e.sendIdempotent(ctx, pool, r)
	}
	return e.sendOnce(ctx, pool, r)
}

// sendIdempotent tries upstreams until one answers or no further attempt is allowed.
func (e *Executor) sendIdempotent(ctx context.Context, pool *limit.Pool, r *Request) (*Result, error) {
	var summary reply.AttemptSummary
	var exclude []string
	for {
		grant, err := pool.Acquire(ctx, demand(r, exclude))
		if err != nil {
			return nil, notAdmitted(err, &summary)
		}
		response, outcome := e.send(ctx, grant, r, r.ID, idempotentTimeout)
		summary.Add(outcome)
		if _, ok := outcome.(reply.Done); ok {
			return &Result{response: response}, nil
		}
		exclude = []string{grant.Upstream().Name()}
		if err := e.waitToRetry(ctx, r, &summary); err != nil {
			return nil, err
		}
	}
}

// waitToRetry waits for the backoff before the next attempt, or returns a refusal if none may follow.
func (e *Executor) waitToRetry(ctx context.Context, r *Request, summary *reply.AttemptSummary) error {
	if ctx.Err() != nil {
		return reply.NewRefusal(http.StatusGatewayTimeout, "deadline", "the request's time is over",
			reply.WithRunState(summary.RunState()))
	}
	if summary.Attempts() >= maxAttempts || !e.budget.Take(r.Team, r.Service) {
		return reply.Exhausted(summary, exhaustedRetryAfter)
	}
	select {
	case <-time.After(retry.Backoff(summary.Attempts(), rand.Float64())):
		return nil
	case <-ctx.Done():
		return reply.NewRefusal(http.StatusGatewayTimeout, "deadline", "the request's time is over",
			reply.WithRunState(summary.RunState()))
	}
}

// sendOnce sends a non-idempotent call under a license from the ledger.
func (e *Executor) sendOnce(ctx context.Context, pool *limit.Pool, r *Request) (*Result, error) {
	grant, err := pool.Acquire(ctx, demand(r, nil))
	if err != nil {
		return nil, notAdmitted(err, &reply.AttemptSummary{})
	}
	key := once.Key{Team: r.Team, Service: r.Service, Key: r.Key}
	license, response, err := e.ledger.Begin(ctx, key, digest(r), r.ID)
	if err != nil || response != nil {
		grant.Done(limit.Stopped, 0)
		e.record(r, "ledger", "", "", ledgerResult(err))
		if err != nil {
			return nil, notLicensed(err)
		}
		return &Result{response: response, replayed: true}, nil
	}
	return e.sendLicensed(ctx, pool, grant, license, r)
}

func ledgerResult(err error) string {
	if err != nil {
		return err.Error()
	}
	return "replayed"
}

// sendLicensed sends a call under its license. Another attempt follows only one that reached no upstream or that the
// upstream declares not to have run.
func (e *Executor) sendLicensed(ctx context.Context, pool *limit.Pool, grant *limit.Grant, license *once.License,
	r *Request) (*Result, error) {
	var summary reply.AttemptSummary
	for {
		// The attempt continues if the caller disconnects, so that a later request with the same key finds its
		// outcome.
		response, outcome := e.send(context.WithoutCancel(ctx), grant, r, license.Token(), singleSendTimeout)
		summary.Add(outcome)
		if _, ok := outcome.(reply.Done); ok {
			license.End(ctx, outcome, response)
			return &Result{response: response}, nil
		}
		if reply.CouldHaveRun(outcome) {
			license.End(ctx, outcome, nil)
			return nil, reply.NewRefusal(http.StatusBadGateway, "answer-lost",
				"the call was sent and its answer was lost: "+reply.Reason(outcome), reply.WithRunState(reply.MayHaveRun))
		}
		if err := e.waitToRetry(ctx, r, &summary); err != nil {
			license.Release(ctx, reply.Reason(outcome))
			return nil, err
		}
		next, err := pool.Acquire(ctx, demand(r, []string{grant.Upstream().Name()}))
		if err != nil {
			license.Release(ctx, reply.Reason(outcome))
			return nil, notAdmitted(err, &summary)
		}
		grant = next
	}
}

// singleSendTimeout bounds the wait for the answer of a non-idempotent call; after it the outcome is unknown.
const singleSendTimeout = 10 * time.Second

// send makes one attempt and releases its grant.
func (e *Executor) send(ctx context.Context, g *limit.Grant, r *Request, attempt string,
	timeout time.Duration) (*once.Response, reply.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	name := g.Upstream().Name()
	e.record(r, "attempt", attempt, name, "")
	response, outcome := e.sender.Send(ctx, g.Upstream(), attempt, r)
	e.record(r, "attempt-end", attempt, name, reply.Reason(outcome))
	g.Done(resultOf(outcome), tokensPerCall)
	return response, outcome
}

func resultOf(o reply.Outcome) limit.Result {
	switch o := o.(type) {
	case reply.Done:
		return limit.Completed
	case reply.NotSent:
		return limit.Lost
	case reply.Refused:
		return limit.Errored
	case reply.Unknown:
		switch o.Fault() {
		case reply.Canceled, reply.CanceledByNode:
			return limit.Stopped
		case reply.Failed:
			return limit.Errored
		case reply.Broken, reply.Silent:
			return limit.Lost
		}
	}
	return limit.Errored
}

func (e *Executor) record(r *Request, kind, attempt, upstream, text string) {
	e.ring.Append(event.Event{Kind: kind, Request: r.ID, Attempt: attempt, Team: r.Team, Upstream: upstream, Note: text})
}

func demand(r *Request, exclude []string) limit.Demand {
	return limit.Demand{Team: r.Team, Weight: r.Weight, Tokens: tokensPerCall, Exclude: exclude}
}

// digest returns a hash of all that a later request with the same key must have in common with the first.
func digest(r *Request) string {
	h := sha256.New()
	for _, s := range []string{r.Method, r.Path, r.Query, r.ContentType} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func notAdmitted(err error, summary *reply.AttemptSummary) error {
	var e *limit.Error
	if !errors.As(err, &e) {
		return reply.NewRefusal(http.StatusInternalServerError, "internal", err.Error(),
			reply.WithRunState(summary.RunState()))
	}
	status, code := http.StatusTooManyRequests, "overloaded"
	if e.Cause() == limit.Unavailable {
		status, code = http.StatusServiceUnavailable, "unavailable"
	}
	return reply.NewRefusal(status, code, e.Error(), reply.WithRunState(summary.RunState()),
		reply.WithRetryAfter(e.RetryAfter()))
}

func notLicensed(err error) error {
	var e *once.Error
	if !errors.As(err, &e) {
		return reply.NewRefusal(http.StatusInternalServerError, "internal", err.Error(), reply.WithRunState(reply.MayHaveRun))
	}
	status, code := http.StatusConflict, "unsettled"
	detail := e.Error()
	switch e.Cause() {
	case once.TableUnavailable:
		status, code = http.StatusServiceUnavailable, "ledger-unavailable"
		// The run state not-run describes this request; a caller must not read it as the outcome of an earlier one.
		detail += "; this request was not sent, and of an earlier one with the same key nothing is known until the ledger answers: repeat with the same key"
	case once.BodyMismatch:
		status, code = http.StatusUnprocessableEntity, "other-body"
	case once.InProgress:
		code = "running"
	case once.KeyExpired:
		status, code = http.StatusUnprocessableEntity, "key-expired"
	case once.InvalidKey:
		status, code = http.StatusBadRequest, "bad-key"
	case once.AnswerTooLarge:
		code = "answer-not-kept"
	case once.OutcomeUnknown, once.Corrupt:
	}
	return reply.NewRefusal(status, code, detail, reply.WithRunState(e.RunState()), reply.WithRetryAfter(e.RetryAfter()))
}
