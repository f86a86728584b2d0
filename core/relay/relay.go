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

// Limits on a request's attempts.
const (
	maxAttempts         = 8
	probeTimeout        = 300 * time.Millisecond
	maxSilentProbes     = 10 // successive probes without a new token before an upstream counts as stuck
	tokenBuffer         = 64
	suspectTurnInterval = 250 * time.Millisecond // between the turns of two nodes to run a strong suspect
	maxTurns            = 4                      // the nodes after this rank share its turn
	maxQueuedProbes     = 3 * maxSilentProbes    // the limit for a request that waits in the upstream's queue
	exhaustedRetryAfter = time.Second
	normalPriority      = 0
	resumedPriority     = 1
)

// Relay runs requests against the pools of one node.
type Relay struct {
	engine          Engine
	budget          *retry.Budget
	crashes         *crash.Registry
	ring            *event.Ring
	progressTimeout atomic.Int64         // nanoseconds
	sendMark        func(crash.Mark)     // sends a crash mark to the other nodes
	nodeRank        func(key uint64) int // number of nodes whose turn comes before this node's
	attemptSequence atomic.Uint64
	node            string
	droppedMessages atomic.Int64
	resumedAttempts atomic.Int64
}

// Option configures a Relay.
type Option func(*Relay)

// WithProgressTimeout sets the time within which a stream has to produce a token. The upstream of a stream that has
// been silent for half of it is probed.
func WithProgressTimeout(d time.Duration) Option { return func(r *Relay) { r.SetProgressTimeout(d) } }

// WithMarkSender sets the function that sends crash marks to the other nodes.
func WithMarkSender(f func(crash.Mark)) Option { return func(r *Relay) { r.sendMark = f } }

// WithNodeRank sets the function that returns, for a fingerprint's key, how many nodes come before this one in the
// order in which nodes run a suspect.
func WithNodeRank(f func(key uint64) int) Option { return func(r *Relay) { r.nodeRank = f } }

const defaultProgressTimeout = time.Second

// New returns the relay of a node.
func New(
	node string, engine Engine, budget *retry.Budget, crashes *crash.Registry, ring *event.Ring, opts ...Option,
) *Relay {
	r := &Relay{engine: engine, budget: budget, crashes: crashes, ring: ring, node: node, sendMark: func(crash.Mark) {},
		nodeRank: func(uint64) int { return 0 }}
	r.SetProgressTimeout(defaultProgressTimeout)
	for _, o := range opts {
		o(r)
	}
	return r
}

// SetProgressTimeout changes the time within which a stream has to produce a token. The upstream of a stream that has
// been silent for half of it is probed.
func (r *Relay) SetProgressTimeout(d time.Duration) { r.progressTimeout.Store(int64(d)) }

// DroppedMessages returns how many messages were dropped because they were late, duplicate or of another attempt.
func (r *Relay) DroppedMessages() int64 { return r.droppedMessages.Load() }

// ResumedAttempts returns how many failed attempts had delivered tokens, so that the next attempt continued after them.
func (r *Relay) ResumedAttempts() int64 { return r.resumedAttempts.Load() }

// requestState is the state of one request over its attempts.
type requestState struct {
	relay           *Relay
	pool            *limit.Pool
	request         *Request
	sink            Sink
	answer          Answer
	summary         reply.AttemptSummary
	excluded        []string  // upstreams of the latest failed attempts
	avoidDataCentre string    // where the previous upstream went silent, or empty
	lastTokenAt     time.Time // time of the latest token, or of the start
	finished        bool      // the final message of the answer has come
}

// Run makes attempts until a request's answer is complete. Its error is a *reply.Refusal.
func (r *Relay) Run(ctx context.Context, pool *limit.Pool, q *Request, sink Sink) (*Answer, error) {
	rs := &requestState{relay: r, pool: pool, request: q, sink: sink, lastTokenAt: time.Now()}
	r.budget.RecordFirstAttempt(q.team, q.model)
	r.crashes.RecordUse(q.parts)
	for {
		done, err := rs.attempt(ctx)
		if err != nil {
			r.note(rs, "refused", "", "", err.Error())
			return nil, err
		}
		if done {
			rs.answer.attempts = rs.summary.Attempts()
			return &rs.answer, nil
		}
	}
}

// attempt makes one attempt and reports whether the answer is complete.
func (rs *requestState) attempt(ctx context.Context) (bool, error) {
	if err := rs.awaitTurn(ctx); err != nil {
		return false, err
	}
	demand, err := rs.demand()
	if err != nil {
		return false, err
	}
	grant, err := rs.pool.Acquire(ctx, demand)
	if err != nil {
		return false, rs.admissionRefusal(err)
	}
	if err := rs.quarantineRefusal(); err != nil || rs.turnDelay() > 0 {
		// The request became a suspect while it waited for admission.
		grant.Done(limit.Stopped, 0)
		return false, err
	}
	if err := rs.withheldRefusal(); err != nil {
		grant.Done(limit.Stopped, 0)
		return false, err
	}
	before, begun, startedAt := len(rs.answer.texts), rs.relay.crashes.Stamp(), time.Now()
	outcome, result := rs.generate(ctx, grant)
	grant.Done(result, len(rs.answer.texts)-before)
	rs.summary.Add(outcome)
	if _, ok := outcome.(reply.Done); ok {
		rs.clearSuspicion(before == 0, begun, time.Since(startedAt))
		return true, nil
	}
	if result == limit.Lost && len(rs.request.parts) > 0 {
		rs.relay.crashes.RecordRunTime(time.Since(startedAt))
	}
	return false, rs.afterFailure(ctx, &failure{
		upstream:   grant.Upstream(),
		outcome:    outcome,
		result:     result,
		halfOpen:   grant.IsProbe(),
		progressed: len(rs.answer.texts) > before,
	})
}

// clearSuspicion clears the suspicion of a request that was answered, and, unless another upstream had written the begin, that of its
// messages, by an answer that began at a stamp and took a time.
func (rs *requestState) clearSuspicion(isWhole bool, begun uint64, took time.Duration) {
	var marks []crash.Mark
	if isWhole {
		marks = rs.relay.crashes.Answered(rs.request.parts, begun, took)
	}
	if m, ok := rs.relay.crashes.Completed(rs.request.fingerprint, begun); ok {
		marks = append(marks, m)
	}
	for _, m := range marks {
		rs.relay.sendMark(m)
	}
}

// demand returns what the request asks of the pool, with the restrictions that crash detection puts on it.
func (rs *requestState) demand() (limit.Demand, error) {
	q := rs.request
	d := limit.Demand{
		Team:            q.team,
		Weight:          q.weight,
		Tokens:          float64(max(1, q.maxTokens-len(rs.answer.texts))),
		Prefill:         float64(len(q.prompt)) / charactersPerToken / prefillSpeedup,
		Prefix:          q.prefix,
		Key:             q.fingerprint.Key(),
		Exclude:         rs.excluded,
		AvoidDataCentre: rs.avoidDataCentre,
		Resume:          rs.summary.Attempts() > 0,
	}
	if err := rs.quarantineRefusal(); err != nil {
		return d, err
	}
	switch v := rs.relay.crashes.Verdict(q.fingerprint).(type) {
	case crash.Clear:
		d.DuplicateUpstream = v.DuplicateAt()
	case crash.Suspect:
		d.Suspect = true
		d.DuplicateUpstream = v.DuplicateAt()
		d.Exclude = append(v.Avoid(), rs.excluded...)
		d.Pinned = v.Strong()
		d.AvoidKeys = rs.otherKeys(rs.relay.crashes.StrongSuspects())
	case crash.Quarantined:
		return d, rs.quarantineRefusal()
	}
	return d, nil
}

// prefillSpeedup is the ratio of the prefill rate to the decode rate, in tokens per second.
const prefillSpeedup = 20

// admissionRefusal converts the pool's error to a refusal. The request's earlier attempts determine its run state.
func (rs *requestState) admissionRefusal(err error) error {
	var e *limit.Error
	if !errors.As(err, &e) {
		return reply.NewRefusal(http.StatusInternalServerError, "internal", err.Error(),
			reply.WithRunState(rs.summary.RunState()))
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
	if last := rs.summary.Last(); last != nil {
		detail += "; the last attempt: " + reply.Reason(last)
	}
	return reply.NewRefusal(status, code, detail,
		reply.WithRunState(rs.summary.RunState()), reply.WithRetryAfter(e.RetryAfter()))
}

// statusClientGone is the non-standard status 499 for a caller that disconnected, as nginx logs it. No caller receives
// it.
const statusClientGone = 499

// failure is an attempt that did not complete the answer.
type failure struct {
	upstream   *route.Upstream
	outcome    reply.Outcome
	result     limit.Result
	halfOpen   bool // the attempt was the half-open probe of an ejected upstream
	progressed bool // the attempt added tokens to the answer
}

// isBudgetExempt reports whether a retry after the failure need not be charged to the retry budget, because the failed
// attempt put no load on a live upstream: it was not sent, this node canceled it, or its upstream is dead or
// unreachable. Outlier ejection and the few half-open probes bound how many requests reach such an upstream.
func (f *failure) isBudgetExempt() bool {
	_, notSent := f.outcome.(reply.NotSent)
	u, unknown := f.outcome.(reply.Unknown)
	canceledByNode := unknown && u.Fault() == reply.CanceledByNode
	return notSent || canceledByNode || f.result == limit.Lost || f.halfOpen
}

// afterFailure returns a refusal if no other attempt may follow, and waits for the backoff otherwise.
func (rs *requestState) afterFailure(ctx context.Context, f *failure) error {
	if u, ok := f.outcome.(reply.Unknown); ok && u.Fault() == reply.Canceled {
		return reply.NewRefusal(statusClientGone, "client-gone", reply.Reason(f.outcome),
			reply.WithRunState(rs.summary.RunState()))
	}
	if ctx.Err() != nil {
		return reply.NewRefusal(http.StatusGatewayTimeout, "deadline", "the request's time is over",
			reply.WithRunState(rs.summary.RunState()))
	}
	rs.avoidDataCentre = ""
	if u, ok := f.outcome.(reply.Unknown); ok && u.Fault() == reply.Silent && f.result == limit.Lost {
		rs.avoidDataCentre = f.upstream.DataCentre()
	}
	if !f.upstream.Virtual() {
		rs.excludeUpstream(f.upstream.Name())
	}
	if rs.summary.Attempts() >= maxAttempts {
		return reply.Exhausted(&rs.summary, exhaustedRetryAfter)
	}
	if f.progressed {
		// The next attempt continues after the delivered tokens and repeats no decoding, so it isn't charged as a retry.
		rs.relay.resumedAttempts.Add(1)
		return nil
	}
	exempt := f.isBudgetExempt() && rs.summary.Attempts() <= maxExemptRetries
	if !exempt && !rs.relay.budget.Take(rs.request.team, rs.request.model) {
		return reply.Exhausted(&rs.summary, exhaustedRetryAfter)
	}
	wait := retry.Backoff(rs.summary.Attempts(), rand.Float64())
	if s, ok := rs.relay.crashes.Verdict(rs.request.fingerprint).(crash.Suspect); ok && s.Strong() {
		// The lost upstream may have just died of an identical request elsewhere, whose mark hasn't arrived yet.
		wait = suspectTurnInterval
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return reply.NewRefusal(http.StatusGatewayTimeout, "deadline", "the request's time is over",
			reply.WithRunState(rs.summary.RunState()))
	}
}

// maxExemptRetries is how many of a request's retries may be exempt from the retry budget.
const maxExemptRetries = 3

// maxExcluded bounds how many upstreams a request avoids because its latest attempts failed there, so that it doesn't
// run out of upstreams.
const maxExcluded = 2

func (rs *requestState) excludeUpstream(name string) {
	rs.excluded = append(rs.excluded, name)
	if len(rs.excluded) > maxExcluded {
		rs.excluded = rs.excluded[1:]
	}
}

func (r *Relay) note(rs *requestState, kind, attempt, upstream, text string) {
	r.ring.Append(event.Event{
		Kind: kind, Request: rs.request.id, Attempt: attempt, Team: rs.request.team, Upstream: upstream, Note: text,
	})
}

func (r *Relay) attemptID() string {
	return fmt.Sprintf("%s-%d", r.node, r.attemptSequence.Add(1))
}
