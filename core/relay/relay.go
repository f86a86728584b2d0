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
	"rhubarbspread/core/route"
)

// Constants of a generation's attempts.
const (
	maxAttempts     = 8
	probeTimeout    = 300 * time.Millisecond
	slowChecks      = 10 // probes without a token after which a slow upstream counts as stuck
	tokenBuffer     = 64
	suspectPause    = 250 * time.Millisecond // between the nodes' turns with a strong suspect
	lastTurn        = 4
	queuedChecks    = 3 * slowChecks // the same for a request that still waits in the upstream's queue
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
	turn     func(key uint64) int
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

// WithTurn sets what tells how many nodes come before this one in running a suspect of a key.
func WithTurn(f func(key uint64) int) Option { return func(r *Relay) { r.turn = f } }

const defaultProgress = time.Second

// New returns a relay for a node.
func New(node string, engine Engine, budget *retry.Budget, crashes *crash.Registry, ring *event.Ring, opts ...Option) *Relay {
	r := &Relay{engine: engine, budget: budget, crashes: crashes, ring: ring, node: node, spread: func(crash.Mark) {},
		turn: func(uint64) int { return 0 }}
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
	avoid    string    // data centre
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
	if err := n.awaitMarks(ctx); err != nil {
		return false, err
	}
	demand, err := n.demand()
	if err != nil {
		return false, err
	}
	grant, err := n.pool.Acquire(ctx, demand)
	if err != nil {
		return false, n.notAdmitted(err)
	}
	if err := n.quarantined(); err != nil || n.untilTurn() > 0 {
		// It came under suspicion while it waited for its place.
		grant.Done(limit.Stopped, 0)
		return false, err
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
	return false, n.afterFailure(ctx, &failure{
		upstream:   grant.Upstream(),
		outcome:    outcome,
		result:     result,
		trial:      grant.Trial(),
		progressed: len(n.answer.texts) > before,
	})
}

// demand turns what is known of the request into what it may ask of the pool.
func (n *run) demand() (limit.Demand, error) {
	q := n.request
	d := limit.Demand{
		Team:        q.team,
		Weight:      q.weight,
		Tokens:      float64(max(1, q.maxTokens-len(n.answer.texts))),
		Prefill:     float64(len(q.prompt)) / charactersPerToken / prefillSpeedup,
		Prefix:      q.prefix,
		Key:         q.fingerprint.Key(),
		Exclude:     n.exclude,
		AvoidCentre: n.avoid,
		Resume:      n.account.Attempts() > 0,
	}
	switch v := n.relay.crashes.Judge(q.fingerprint).(type) {
	case crash.Clear:
		d.Twin = v.Twin()
	case crash.Suspect:
		d.Suspect = true
		d.Twin = v.Twin()
		d.Exclude = append(v.Avoid(), n.exclude...)
		d.Pinned = v.Strong()
		d.Shun = n.otherKeys(n.relay.crashes.Strong())
	case crash.Quarantined:
		return d, n.quarantined()
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

// failure is an attempt that did not complete the answer.
type failure struct {
	upstream   *route.Upstream
	outcome    reply.Outcome
	result     limit.Result
	trial      bool // it tested an upstream that had failed lately, of which there are few
	progressed bool // it brought the answer forward
}

// free reports whether a repeat adds no load to a living upstream: nothing was sent, or what took the
// request is dead or out of reach. Ejection bounds how many requests meet such an upstream.
func (f *failure) free() bool {
	_, notSent := f.outcome.(reply.NotSent)
	u, unknown := f.outcome.(reply.Unknown)
	withdrawn := unknown && u.Fault() == reply.Withdrawn
	return notSent || withdrawn || f.result == limit.Lost || f.trial
}

// afterFailure decides whether another attempt may follow, and waits out its backoff.
func (n *run) afterFailure(ctx context.Context, f *failure) error {
	if u, ok := f.outcome.(reply.Unknown); ok && u.Fault() == reply.Canceled {
		return reply.NewRefusal(statusClientGone, "client-gone", reply.Reason(f.outcome), reply.WithRun(n.account.State()))
	}
	if ctx.Err() != nil {
		return reply.NewRefusal(http.StatusGatewayTimeout, "deadline", "the request's time is over", reply.WithRun(n.account.State()))
	}
	n.avoid = ""
	if u, ok := f.outcome.(reply.Unknown); ok && u.Fault() == reply.Silent && f.result == limit.Lost {
		n.avoid = f.upstream.DataCentre()
	}
	if !f.upstream.Virtual() {
		n.excludeOne(f.upstream.Name())
	}
	if n.account.Attempts() >= maxAttempts {
		return reply.Exhausted(&n.account, refusedRetry)
	}
	if f.progressed {
		// The attempt brought the answer forward: the next one carries the remaining work and repeats none.
		n.relay.resumed.Add(1)
		return nil
	}
	withinFree := f.free() && n.account.Attempts() <= freeRetries
	if !withinFree && !n.relay.budget.Take(n.request.team, n.request.model) {
		return reply.Exhausted(&n.account, refusedRetry)
	}
	wait := retry.Backoff(n.account.Attempts(), rand.Float64())
	if s, ok := n.relay.crashes.Judge(n.request.fingerprint).(crash.Suspect); ok && s.Strong() {
		// A suspect's upstream that is gone may have died of a copy just now, of which the mark is to come.
		wait = suspectPause
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return reply.NewRefusal(http.StatusGatewayTimeout, "deadline", "the request's time is over", reply.WithRun(n.account.State()))
	}
}

// freeRetries is how many of a request's retries are outside the budget after losses of upstreams.
const freeRetries = 3

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
