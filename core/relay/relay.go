package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/event"
	"rhubarbspread/core/limit"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/retry"
)

// Constants of a generation's attempts.
const (
	maxAttempts     = 8
	probeTimeout    = 300 * time.Millisecond
	slowChecks      = 5 // progress deadlines without a token after which a slow upstream counts as stuck
	tokenBuffer     = 64
	refusedRetry    = time.Second
	normalPriority  = 0
	resumedPriority = 1
)

// Relay runs generations against the pools of one node.
type Relay struct {
	engine   Engine
	budget   *retry.Budget
	crashes  *crash.Registry
	ring     *event.Ring
	progress atomic.Int64 // nanoseconds
	spread   func(crash.Mark)
	sequence atomic.Uint64
	node     string
	dropped  atomic.Int64
	resumed  atomic.Int64
}

// Option sets a part of a Relay.
type Option func(*Relay)

// WithProgress sets how long a stream may be silent before its upstream is probed.
func WithProgress(d time.Duration) Option { return func(r *Relay) { r.SetProgress(d) } }

// WithSpread sets what tells the other nodes of a crash.
func WithSpread(f func(crash.Mark)) Option { return func(r *Relay) { r.spread = f } }

const defaultProgress = time.Second

// New returns a relay for a node.
func New(node string, engine Engine, budget *retry.Budget, crashes *crash.Registry, ring *event.Ring, opts ...Option) *Relay {
	r := &Relay{engine: engine, budget: budget, crashes: crashes, ring: ring, node: node, spread: func(crash.Mark) {}}
	r.SetProgress(defaultProgress)
	for _, o := range opts {
		o(r)
	}
	return r
}

// SetProgress changes how long a stream may be silent before its upstream is probed.
func (r *Relay) SetProgress(d time.Duration) { r.progress.Store(int64(d)) }

// Dropped returns how many late or crossed messages were dropped.
func (r *Relay) Dropped() int64 { return r.dropped.Load() }

// Resumed returns how many attempts went on behind tokens that the caller had.
func (r *Relay) Resumed() int64 { return r.resumed.Load() }

// run is the state of one request.
type run struct {
	relay    *Relay
	pool     *limit.Pool
	request  *Request
	sink     Sink
	answer   Answer
	account  reply.Account
	exclude  []string
	last     time.Time // of the latest token, or of the start
	finished bool
}

// Run carries a request to its complete answer; its error is a *reply.Refusal.
func (r *Relay) Run(ctx context.Context, pool *limit.Pool, q *Request, sink Sink) (*Answer, error) {
	n := &run{relay: r, pool: pool, request: q, sink: sink, last: time.Now()}
	r.budget.First(q.team, q.model)
	for {
		done, err := n.attempt(ctx)
		if err != nil {
			r.note(n, "refused", "", "", err.Error())
			return nil, err
		}
		if done {
			n.answer.attempts = n.account.Attempts()
			return &n.answer, nil
		}
	}
}

// attempt makes one more attempt and reports whether the answer is complete.
func (n *run) attempt(ctx context.Context) (bool, error) {
	demand, err := n.demand()
	if err != nil {
		return false, err
	}
	grant, err := n.pool.Acquire(ctx, demand)
	if err != nil {
		return false, n.notAdmitted(err)
	}
	before := len(n.answer.texts)
	outcome, result := n.generate(ctx, grant)
	grant.Done(result, len(n.answer.texts)-before)
	n.account.Add(outcome)
	if _, ok := outcome.(reply.Done); ok {
		if m, ok := n.relay.crashes.Completed(n.request.fingerprint); ok {
			n.relay.spread(m)
		}
		return true, nil
	}
	return false, n.afterFailure(ctx, grant, outcome, len(n.answer.texts) > before)
}

// demand turns what is known of the request into what it may ask of the pool.
func (n *run) demand() (limit.Demand, error) {
	q := n.request
	d := limit.Demand{
		Team:    q.team,
		Weight:  q.weight,
		Tokens:  float64(max(1, q.maxTokens-len(n.answer.texts))),
		Prefill: float64(len(q.prompt)) / charactersPerToken / prefillSpeedup,
		Prefix:  q.prefix,
		Exclude: n.exclude,
		Resume:  len(n.answer.texts) > 0,
	}
	switch v := n.relay.crashes.Judge(q.fingerprint).(type) {
	case crash.Clear:
		d.Twin = v.Twin()
	case crash.Suspect:
		d.Suspect = true
		d.Twin = v.Twin()
		d.Exclude = append(v.Avoid(), n.exclude...)
	case crash.Quarantined:
		return d, reply.NewRefusal(http.StatusUnprocessableEntity, "quarantined",
			"upstreams died of this request more than once", reply.WithRun(n.account.State()),
			reply.WithRetryAfter(v.Remaining()))
	}
	return d, nil
}

// prefillSpeedup is how much faster a prompt's tokens are read than an answer's are generated.
const prefillSpeedup = 20

// notAdmitted turns the pool's refusal; earlier attempts of the request decide the run state.
func (n *run) notAdmitted(err error) error {
	var e *limit.Error
	if !errors.As(err, &e) {
		return reply.NewRefusal(http.StatusInternalServerError, "internal", err.Error(), reply.WithRun(n.account.State()))
	}
	status := http.StatusServiceUnavailable
	code := "unavailable"
	switch e.Cause() {
	case limit.Overloaded, limit.Expired:
		status = http.StatusTooManyRequests
		code = "overloaded"
	case limit.Unavailable:
	case limit.Abandoned:
		status = statusClientGone
		code = "client-gone"
	}
	detail := e.Error()
	if last := n.account.Last(); last != nil {
		detail += "; the last attempt: " + reply.Reason(last)
	}
	return reply.NewRefusal(status, code, detail, reply.WithRun(n.account.State()), reply.WithRetryAfter(e.RetryAfter()))
}

// statusClientGone is the usual private status for a caller that went away; nobody reads it.
const statusClientGone = 499

// afterFailure decides whether another attempt may follow, and waits out its backoff.
func (n *run) afterFailure(ctx context.Context, g *limit.Grant, o reply.Outcome, progressed bool) error {
	if u, ok := o.(reply.Unknown); ok && u.Fault() == reply.Canceled {
		return reply.NewRefusal(statusClientGone, "client-gone", reply.Reason(o), reply.WithRun(n.account.State()))
	}
	if ctx.Err() != nil {
		return reply.NewRefusal(http.StatusGatewayTimeout, "deadline", "the request's time is over", reply.WithRun(n.account.State()))
	}
	if !g.Upstream().Virtual() {
		n.excludeOne(g.Upstream().Name())
	}
	if n.account.Attempts() >= maxAttempts {
		return reply.Exhausted(&n.account, refusedRetry)
	}
	if progressed {
		// The attempt brought the answer forward: the next one carries the remaining work and repeats none.
		n.relay.resumed.Add(1)
		return nil
	}
	if !n.relay.budget.Take(n.request.team, n.request.model) {
		return reply.Exhausted(&n.account, refusedRetry)
	}
	select {
	case <-time.After(retry.Backoff(n.account.Attempts(), rand.Float64())):
		return nil
	case <-ctx.Done():
		return reply.NewRefusal(http.StatusGatewayTimeout, "deadline", "the request's time is over", reply.WithRun(n.account.State()))
	}
}

// maxExcluded keeps a request from running out of upstreams: it avoids those that failed it last.
const maxExcluded = 2

func (n *run) excludeOne(name string) {
	n.exclude = append(n.exclude, name)
	if len(n.exclude) > maxExcluded {
		n.exclude = n.exclude[1:]
	}
}

func (r *Relay) note(n *run, kind, attempt, upstream, text string) {
	r.ring.Add(event.Event{
		Kind: kind, Request: n.request.id, Attempt: attempt, Team: n.request.team, Upstream: upstream, Note: text,
	})
}

func (r *Relay) attemptID() string {
	return fmt.Sprintf("%s-%d", r.node, r.sequence.Add(1))
}
