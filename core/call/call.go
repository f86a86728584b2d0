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

// Request is a caller's request of a plain service.
type Request struct {
	ID          string
	Team        string
	Weight      float64
	Service     string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	Key         string // the caller's Idempotency-Key, or ""
	Idempotent  bool
}

// Sender sends one attempt to one upstream.
type Sender interface {
	// Send returns the whole answer with Done, and no answer with every other outcome. An attempt that
	// may not be repeated goes over a connection of its own, which no library sends it over twice.
	Send(ctx context.Context, u *route.Upstream, attempt string, r *Request) (*once.Response, reply.Outcome)
}

// Constants of a call's attempts.
const (
	maxAttempts   = 4
	attemptTime   = 2 * time.Second // of an idempotent call, before another upstream is tried
	failedRetry   = time.Second
	tokensPerCall = 1
)

// Desk runs calls against the pools of one node.
type Desk struct {
	sender Sender
	budget *retry.Budget
	ledger *once.Ledger
	ring   *event.Ring
}

// New returns a desk.
func New(sender Sender, budget *retry.Budget, ledger *once.Ledger, ring *event.Ring) *Desk {
	return &Desk{sender: sender, budget: budget, ledger: ledger, ring: ring}
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

// Run carries a request to its answer; its error is a *reply.Refusal.
func (d *Desk) Run(ctx context.Context, pool *limit.Pool, r *Request) (*Result, error) {
	d.budget.First(r.Team, r.Service)
	if r.Idempotent {
		return d.repeat(ctx, pool, r)
	}
	return d.sendOnce(ctx, pool, r)
}

// repeat tries upstreams until one answers or the budget is spent.
func (d *Desk) repeat(ctx context.Context, pool *limit.Pool, r *Request) (*Result, error) {
	var account reply.Account
	var exclude []string
	for {
		grant, err := pool.Acquire(ctx, demand(r, exclude))
		if err != nil {
			return nil, notAdmitted(err, &account)
		}
		response, outcome := d.send(ctx, grant, r, r.ID, attemptTime)
		account.Add(outcome)
		if _, ok := outcome.(reply.Done); ok {
			return &Result{response: response}, nil
		}
		exclude = []string{grant.Upstream().Name()}
		if err := d.again(ctx, r, &account); err != nil {
			return nil, err
		}
	}
}

// again says whether a further attempt may follow, and waits out its backoff.
func (d *Desk) again(ctx context.Context, r *Request, account *reply.Account) error {
	if ctx.Err() != nil {
		return reply.NewRefusal(http.StatusGatewayTimeout, "deadline", "the request's time is over", reply.WithRun(account.State()))
	}
	if account.Attempts() >= maxAttempts || !d.budget.Take(r.Team, r.Service) {
		return reply.Exhausted(account, failedRetry)
	}
	select {
	case <-time.After(retry.Backoff(account.Attempts(), rand.Float64())):
		return nil
	case <-ctx.Done():
		return reply.NewRefusal(http.StatusGatewayTimeout, "deadline", "the request's time is over", reply.WithRun(account.State()))
	}
}

// sendOnce sends a call that may not be repeated, under a license of the ledger.
func (d *Desk) sendOnce(ctx context.Context, pool *limit.Pool, r *Request) (*Result, error) {
	grant, err := pool.Acquire(ctx, demand(r, nil))
	if err != nil {
		return nil, notAdmitted(err, &reply.Account{})
	}
	key := once.Key{Team: r.Team, Service: r.Service, Key: r.Key}
	license, response, err := d.ledger.Begin(ctx, key, digest(r), r.ID)
	if err != nil || response != nil {
		grant.Done(limit.Stopped, 0)
		d.note(r, "ledger", "", "", ledgerNote(err))
		if err != nil {
			return nil, notLicensed(err)
		}
		return &Result{response: response, replayed: true}, nil
	}
	return d.spend(ctx, pool, grant, license, r)
}

func ledgerNote(err error) string {
	if err != nil {
		return err.Error()
	}
	return "replayed"
}

// spend uses a license. Only an attempt that reached no upstream, or that an upstream says it did not
// run, may be followed by another.
func (d *Desk) spend(ctx context.Context, pool *limit.Pool, grant *limit.Grant, license *once.License, r *Request) (*Result, error) {
	var account reply.Account
	for {
		// The caller's going must not cut a send short: its outcome would be lost for the repeat.
		response, outcome := d.send(context.WithoutCancel(ctx), grant, r, license.Token(), sendOnceTime)
		account.Add(outcome)
		if _, ok := outcome.(reply.Done); ok {
			license.End(ctx, outcome, response)
			return &Result{response: response}, nil
		}
		if reply.Ran(outcome) {
			license.End(ctx, outcome, nil)
			return nil, reply.NewRefusal(http.StatusBadGateway, "answer-lost",
				"the call was sent and its answer was lost: "+reply.Reason(outcome), reply.WithRun(reply.MayHaveRun))
		}
		if err := d.again(ctx, r, &account); err != nil {
			license.Release(ctx, reply.Reason(outcome))
			return nil, err
		}
		next, err := pool.Acquire(ctx, demand(r, []string{grant.Upstream().Name()}))
		if err != nil {
			license.Release(ctx, reply.Reason(outcome))
			return nil, notAdmitted(err, &account)
		}
		grant = next
	}
}

// sendOnceTime bounds the wait for the one answer; past it the outcome is unknown.
const sendOnceTime = 10 * time.Second

// send makes one attempt and ends its grant.
func (d *Desk) send(ctx context.Context, g *limit.Grant, r *Request, attempt string, limitTime time.Duration) (*once.Response, reply.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, limitTime)
	defer cancel()
	name := g.Upstream().Name()
	d.note(r, "attempt", attempt, name, "")
	response, outcome := d.sender.Send(ctx, g.Upstream(), attempt, r)
	d.note(r, "attempt-end", attempt, name, reply.Reason(outcome))
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
		case reply.Canceled, reply.Withdrawn:
			return limit.Stopped
		case reply.Failed:
			return limit.Errored
		case reply.Broken, reply.Silent:
			return limit.Lost
		}
	}
	return limit.Errored
}

func (d *Desk) note(r *Request, kind, attempt, upstream, text string) {
	d.ring.Add(event.Event{Kind: kind, Request: r.ID, Attempt: attempt, Team: r.Team, Upstream: upstream, Note: text})
}

func demand(r *Request, exclude []string) limit.Demand {
	return limit.Demand{Team: r.Team, Weight: r.Weight, Tokens: tokensPerCall, Exclude: exclude}
}

// digest covers all that makes two calls the same.
func digest(r *Request) string {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Path, r.Query, r.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func notAdmitted(err error, account *reply.Account) error {
	var e *limit.Error
	if !errors.As(err, &e) {
		return reply.NewRefusal(http.StatusInternalServerError, "internal", err.Error(), reply.WithRun(account.State()))
	}
	status, code := http.StatusTooManyRequests, "overloaded"
	if e.Cause() == limit.Unavailable {
		status, code = http.StatusServiceUnavailable, "unavailable"
	}
	return reply.NewRefusal(status, code, e.Error(), reply.WithRun(account.State()), reply.WithRetryAfter(e.RetryAfter()))
}

func notLicensed(err error) error {
	var e *once.Error
	if !errors.As(err, &e) {
		return reply.NewRefusal(http.StatusInternalServerError, "internal", err.Error(), reply.WithRun(reply.MayHaveRun))
	}
	status, code := http.StatusConflict, "unsettled"
	detail := e.Error()
	switch e.Cause() {
	case once.TableDown:
		status, code = http.StatusServiceUnavailable, "ledger-unavailable"
		// Not-run speaks of this request; a caller must not take it for the fate of an earlier one.
		detail += "; this request was not sent, and of an earlier one with the same key nothing is known until the ledger answers: repeat with the same key"
	case once.OtherBody:
		status, code = http.StatusUnprocessableEntity, "other-body"
	case once.Running:
		code = "running"
	case once.Expired:
		status, code = http.StatusUnprocessableEntity, "key-expired"
	case once.BadKey:
		status, code = http.StatusBadRequest, "bad-key"
	case once.Withheld:
		code = "answer-not-kept"
	case once.Unsettled, once.Corrupt:
	}
	return reply.NewRefusal(status, code, detail, reply.WithRun(e.Run()), reply.WithRetryAfter(e.RetryAfter()))
}
