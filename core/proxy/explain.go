package proxy

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/board"

	"github.com/go-logr/logr"
)

// dryRun is the state of an executor that decides on copies and does not wait.
type dryRun struct {
	cancel context.CancelFunc // of the request's time
	wait   time.Duration      // after which the request would be refused, or its time is over
	waited time.Duration      // the same once that is the outcome
	chosen *board.Choice
	base   *board.Board // copy of which those of the explanation are made
	began  time.Time    // begin of the explanation
	rate   float64      // requests that got capacity in the last second, without the explained one
}

// isDry reports whether the executor decides without effect.
func (e *Executor) isDry() bool { return e.dry != nil }

// skipped returns how long a request would have waited in a dry run.
func (e *Executor) skipped() time.Duration {
	if e.dry == nil {
		return 0
	}
	return e.dry.waited
}

// endOfWait returns a channel that receives when a wait for capacity is over, and a function that ends the wait. In a dry run nothing
// becomes free, so that the wait is over at once, by the end of the request's time if that comes first.
func (e *Executor) endOfWait(ctx context.Context, wait time.Duration) (<-chan time.Time, func()) {
	if e.dry == nil {
		timer := time.NewTimer(wait)
		return timer.C, func() { timer.Stop() }
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		e.dry.wait = max(0, time.Until(deadline))
		e.dry.cancel()
		return nil, func() {}
	}
	e.dry.wait = wait
	over := make(chan time.Time, 1)
	over <- time.Now()
	return over, func() {}
}

// endWait records in a dry run that the request would have waited in vain.
func (e *Executor) endWait() {
	if e.dry != nil {
		e.dry.waited = e.dry.wait
	}
}

// noEffect stands in for the dependencies of a dry run that count and charge.
type noEffect struct{}

// Count does nothing.
func (noEffect) Count(string) {}

// Observe does nothing.
func (noEffect) Observe(string, time.Duration) {}

// RecordFirstAttempt does nothing.
func (noEffect) RecordFirstAttempt(string) {}

// Rate returns 0; only logs need it.
func (noEffect) Rate(string) float64 { return 0 }

// Take grants no retry.
func (noEffect) Take(string) bool { return false }

// Refund does nothing.
func (noEffect) Refund(string, time.Time) {}

// fixedGate is the gate of a dry run.
type fixedGate struct{ admission *Admission }

// Admission returns the copy of the admission control.
func (g fixedGate) Admission(string) *Admission { return g.admission }

// dryExecutor returns an executor that decides on copies of this one's state, with a copy of a board, for an explanation that
// began at a time. Its random numbers for Retry-After are all the same.
func (e *Executor) dryExecutor(base *board.Board, began time.Time, service string, random float64) *Executor {
	d := &Executor{
		transport: e.transport, engines: e.engines, board: base.Snapshot(), fleet: e.fleet, budget: noEffect{},
		meter: noEffect{}, crashes: e.crashes.Snapshot(), log: logr.Discard(), random: func() float64 { return random },
		dry: &dryRun{base: base, began: began},
	}
	d.board.OnChoice(func(c board.Choice) { d.dry.chosen = &c })
	if e.gate == nil {
		return d
	}
	gate := fixedGate{}
	if a := e.gate.Admission(service); a != nil {
		gate.admission = &Admission{Controller: a.Controller.Snapshot(d.skipped), Queue: a.Queue.Snapshot()}
		d.dry.rate = gate.admission.Queue.Rate() // before the decision, which passes the queue
	}
	d.gate = gate
	return d
}

// Explanation says where a request would go now, and why.
type Explanation struct {
	Admission    *AdmissionState // nil without admission control
	Upstream     string          // ID of the upstream that the request would be sent to, "" if it would be refused
	Chosen       *board.Choice   // nil for a plain service, and if it would be refused
	Alternatives []board.Choice  // the next best paths, or for a refusal the best ones, which are beyond its limits
	Omitted      []board.Omission
	Waited       time.Duration // after which it would be refused if nothing became free meanwhile
	Refusal      *Refusal      // nil if it would be sent; its Retry-After is the shortest
	LongestRetry time.Duration // the longest Retry-After
	Shortage     board.Shortage
	Limits       board.Need // that a path has to meet
}

// AdmissionState is what admission control knows of a request.
type AdmissionState struct {
	Rank   admit.Rank
	Limits admit.Limits
	IsLate bool
	Ahead  int     // requests ahead in the queue
	Rate   float64 // requests that got capacity in the last second, without this one
}

// otherPathsTime bounds the search for other paths; among 690 upstreams it takes some 5 ms.
const otherPathsTime = time.Second

// Explain decides on a request as Run does, but on copies of all state: it reserves, charges, counts and logs nothing. It does not wait
// for capacity. The search for other paths ends after otherPathsTime. Once the context is done, the result is not to be used.
func (e *Executor) Explain(ctx context.Context, q *Request) Explanation {
	began := time.Now()
	// Of this one copy of the board all others are made, as each wait for its lock may be long under load.
	d := e.dryExecutor(e.board.Snapshot(), began, q.Service.Name, 0)
	r, res, err := d.decide(ctx, q)
	x := Explanation{Chosen: d.dry.chosen, Limits: *r.limitedNeed(nil)}
	if r.ticket != nil {
		x.Admission = &AdmissionState{Rank: r.rank(), Limits: r.ticket.Limits(), IsLate: r.ticket.IsLate(), Ahead: r.ahead,
			Rate: d.dry.rate}
	}
	var hops []board.Hop
	if err == nil {
		x.Upstream, hops = res.Upstream.ID, res.Hops()
		if q.Service.Engine == nil {
			hops = []board.Hop{{Upstream: res.Upstream}}
		}
	} else {
		x.Chosen = nil
		e.explainRefusal(ctx, q, d, err, &x)
	}
	searchCtx, cancel := context.WithTimeout(ctx, otherPathsTime)
	defer cancel()
	e.explainOthers(searchCtx, r, hops, &x)
	return x
}

// decide makes the decision on a new request. Neither the bound on the explanation nor the time that it has waited for locks counts
// against the request's own time: the decision would otherwise be a refusal whose time is over.
func (e *Executor) decide(ctx context.Context, q *Request) (*run, *board.Reservation, error) {
	shifted := *q
	shifted.ExpiresAt = q.ExpiresAt.Add(time.Since(e.dry.began))
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), shifted.ExpiresAt)
	defer cancel()
	e.dry.cancel = cancel
	r := e.begin(ctx, &shifted, nil)
	res, err := r.nextReservation()
	return r, res, err
}

// explainRefusal completes an explanation by the refusal.
func (e *Executor) explainRefusal(ctx context.Context, q *Request, d *Executor, err error, x *Explanation) {
	if !errors.As(err, &x.Refusal) {
		x.Refusal = &Refusal{Status: 0, Cause: err.Error()}
	}
	x.Waited, x.LongestRetry = d.dry.waited, x.Refusal.RetryAfter
	var longest *Refusal
	if _, _, err := e.dryExecutor(d.dry.base, d.dry.began, q.Service.Name, 1).decide(ctx, q); errors.As(err, &longest) && longest.Cause == x.Refusal.Cause {
		// The delay is drawn between those of both ends of the random numbers, of which either may be the longer one.
		x.LongestRetry = max(x.Refusal.RetryAfter, longest.RetryAfter)
		x.Refusal.RetryAfter = min(x.Refusal.RetryAfter, longest.RetryAfter)
	}
}

// explainOthers completes an explanation by the other paths and the upstreams that are left out.
func (e *Executor) explainOthers(ctx context.Context, r *run, hops []board.Hop, x *Explanation) {
	base := r.executor.dry.base
	others, list := base.Snapshot(), e.fleet.Upstreams(r.request.Service.Name)
	isHeld := r.executor.crashes.IsWithheld(r.suspects)
	if _, _, ok := r.quarantine(); ok {
		isHeld = true
	}
	need, candidate := r.limitedNeed(nil), board.Dearer
	if r.request.Service.Engine != nil {
		if x.Refusal != nil {
			candidate = board.OtherLayers
			x.Shortage = base.Snapshot().ShortageOf(list, need)
			if best, ok := others.Choose(list, need); ok {
				x.Alternatives, hops, candidate = []board.Choice{best}, best.Hops(), board.ClassLimit
			}
		}
		x.Alternatives = append(x.Alternatives, others.Alternatives(ctx, list, need, hops)...)
		slices.SortStableFunc(x.Alternatives, func(a, b board.Choice) int { return cmp.Compare(a.Cost, b.Cost) })
	}
	if x.Refusal != nil {
		hops = nil
	}
	x.Omitted = others.Omissions(list, need, hops, candidate)
	for i := range x.Omitted {
		if isHeld && x.Refusal != nil {
			x.Omitted[i].Reason = board.Quarantined
		}
	}
}
