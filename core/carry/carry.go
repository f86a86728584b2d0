package carry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/rules"

	"github.com/go-logr/logr"
)

// Spender is the budget for sending a request once more.
type Spender interface {
	First(service string)
	Take(service string) bool
}

// Carrier runs callers' requests for one node.
type Carrier struct {
	transport Transport
	engines   Engines
	board     *board.Board
	world     World
	budget    Spender
	meter     Meter
	crashes   Crashes
	spread    func(crash.Mark)
	log       logr.Logger
	doctor    doctor
}

// Parts are what a carrier works with.
type Parts struct {
	Transport Transport
	Engines   Engines
	Board     *board.Board
	World     World
	Budget    Spender
	Crashes   Crashes
	Spread    func(crash.Mark) // tells other nodes
	Meter     Meter
	Log       logr.Logger
}

// New returns a carrier.
func New(p Parts) *Carrier {
	return &Carrier{
		transport: p.Transport, engines: p.Engines, board: p.Board, world: p.World, budget: p.Budget, crashes: p.Crashes,
		spread: p.Spread, meter: p.Meter, log: p.Log, doctor: doctor{engines: p.Engines},
	}
}

// Refusal is the final answer of a request that got none from an upstream.
type Refusal struct {
	Status     int
	Cause      string
	RetryAfter time.Duration // 0 for none
}

// Error returns the status and cause.
func (r *Refusal) Error() string { return fmt.Sprintf("%d: %s", r.Status, r.Cause) }

// ErrBroken is a stream that broke off after the caller had a part of it, so that the caller's connection
// must break too.
var ErrBroken = errors.New("the stream broke off")

// ErrGone is a caller that went away.
var ErrGone = errors.New("the caller went away")

// Constants of attempts.
const (
	waitForRoom    = 450 * time.Millisecond // longest wait for a place; later answers miss most objectives
	wholeAnswer    = 1 << 20                // bytes of a plain answer that are held back until it is whole
	unreachable    = 3                      // attempts that reached nobody, after which a request is refused
	minimumToTry   = 5 * time.Millisecond   // no attempt begins with less time than this
	lowestPriority = 9                      // that an upstream knows
)

// run is the state of one request.
type run struct {
	c        *Carrier
	q        *Request
	sink     Sink
	account  reply.Account
	arrivals int         // attempts that may have reached an upstream
	missed   int         // attempts that reached nobody
	ran      int         // attempts that may have run
	paid     atomic.Bool // the next attempt has been taken from the budget
	begun    bool        // the caller has the headers
	last     int64       // ID of the latest event that the caller has
	lastText string
	started  time.Time
	first    time.Duration // until the caller had the first event
	heard    time.Time     // when it had the latest
	pause    time.Duration // longest between two events
	print    crash.Fingerprint

	mu      sync.Mutex // the watch of a stream excludes upstreams as well
	exclude []string
}

// Run carries a request to its end. Its error is a *Refusal, ErrBroken or ErrGone.
func (c *Carrier) Run(ctx context.Context, q *Request, sink Sink) error {
	r := &run{c: c, q: q, sink: sink, last: noID, lastText: q.LastEvent, started: time.Now(), print: q.fingerprint()}
	c.budget.First(q.Service.Name)
	ctx, cancel := context.WithDeadline(ctx, q.Until)
	defer cancel()
	for {
		if err := r.quarantined(); err != nil {
			return r.end(ctx, err)
		}
		t, err := r.reserve(ctx)
		if err != nil {
			return r.end(ctx, err)
		}
		before := r.last
		outcome := r.attempt(ctx, t)
		t.Release()
		r.judge(ctx, t, outcome, r.last != before)
		r.account.Add(outcome)
		if _, ok := outcome.(reply.Done); ok {
			return r.end(ctx, nil)
		}
		if err := r.mayRepeat(ctx, outcome); err != nil {
			return r.end(ctx, err)
		}
	}
}

// end logs how a request ended.
func (r *run) end(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		err = ErrGone
	}
	outcome := "done"
	if err != nil {
		outcome = err.Error()
	}
	r.c.meter.Count("requests-" + endOf(err))
	r.c.meter.Observe("request-us", time.Since(r.started))
	r.c.log.Info("request-end", "request", r.q.ID, "route", r.q.Route.Name, "team", r.q.Team.Name, "outcome", outcome,
		"attempts", r.account.Attempts(), "run-state", r.account.State(), "ms", time.Since(r.started).Milliseconds(),
		"first-ms", r.first.Milliseconds(), "pause-ms", r.pause.Milliseconds())
	return err
}

// passed notes that the caller has an event.
func (r *run) passed() {
	now := time.Now()
	if r.heard.IsZero() {
		r.first = now.Sub(r.started)
	} else {
		r.pause = max(r.pause, now.Sub(r.heard))
	}
	r.heard = now
}

// endOf names how a request ended, for counters.
func endOf(err error) string {
	var refusal *Refusal
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrGone):
		return "caller-gone"
	case errors.Is(err, ErrBroken):
		return "broken-off"
	case errors.As(err, &refusal) && refusal.Status == http.StatusServiceUnavailable:
		return "refused-not-run"
	}
	return "failed-may-have-run"
}

// reserve waits until an upstream or a path has room for the request.
func (r *run) reserve(ctx context.Context) (*board.Ticket, error) {
	began := time.Now()
	defer func() { r.c.meter.Observe("wait-for-room-us", time.Since(began)) }()
	until := time.NewTimer(waitForRoom)
	defer until.Stop()
	for {
		freed := r.c.board.Freed()
		if t := r.pick(r.excluded()); t != nil {
			return t, nil
		}
		select {
		case <-freed:
		case <-until.C:
			return nil, r.refusal("no upstream has room")
		case <-ctx.Done():
			return nil, r.refusal("its time is over")
		}
	}
}

// pick reserves an upstream or a path that leaves some upstreams out, or returns nil.
func (r *run) pick(exclude []string) *board.Ticket {
	list := r.c.world.Upstreams(r.q.Service.Name)
	if r.q.Service.Engine == nil {
		return r.c.board.Plain(list, exclude)
	}
	return r.c.board.Path(list, r.need(exclude))
}

// need returns what a generation still asks of a path.
func (r *run) need(exclude []string) *board.Need {
	return &board.Need{
		Engine:     r.q.Service.Engine,
		DataCentre: r.c.world.DataCentre(),
		Prompt:     float64(r.q.Prompt),
		Output:     r.expectedOutput(),
		Exclude:    exclude,
		Warm:       r.c.transport.HasConnection,
		Patience:   worthAStart(r.q.Route),
		Pause:      r.q.Route.Pause,
	}
}

// worthAStart returns the longest predicted time to the first event with which a stream is sent. Under overload a longer
// queue would make all answers late and waste the reading for callers who leave; those beyond it are told to come back.
func worthAStart(t *rules.Route) time.Duration {
	if t.Objective <= 0 {
		return patience(t)
	}
	return t.Objective
}

// patience returns how long a caller of a stream waits for its next event.
func patience(t *rules.Route) time.Duration {
	return max(2*time.Second, 4*t.Objective, 8*t.Pause)
}

// expectedOutput returns how many tokens the request will write: the caller's hint, within its maximum.
func (r *run) expectedOutput() float64 {
	q := r.q
	most := float64(q.MostOutput)
	if most == 0 {
		most = q.Service.Engine.Answer
	}
	if q.Hint == 0 {
		return min(most, q.Service.Engine.Answer)
	}
	return min(most, float64(q.Hint))
}

// attempt makes one attempt and says how it ended.
func (r *run) attempt(ctx context.Context, t *board.Ticket) reply.Outcome {
	began := time.Now()
	rulesVersion, list := r.c.world.Versions()
	r.c.log.Info("attempt", "request", r.q.ID, "number", r.account.Attempts()+1, "upstream", t.Upstream.ID,
		"path", board.Describe(t.Hops()), "expected-first-ms", t.Expected.First.Milliseconds(),
		"expected-pause-ms", t.Expected.Pause.Milliseconds(), "last-event", r.last,
		"rules-version", rulesVersion, "list-version", list, "waited-ms", began.Sub(r.started).Milliseconds())
	outcome := r.send(ctx, t)
	r.c.meter.Count("attempts-" + kindOf(outcome))
	if _, ok := outcome.(reply.Done); !ok {
		r.c.log.Info("attempt-failed", "request", r.q.ID, "upstream", t.Upstream.ID, "path", board.Describe(t.Hops()),
			"outcome", reply.Reason(outcome), "may-have-run", reply.Ran(outcome), "last-event", r.last,
			"expected-first-ms", t.Expected.First.Milliseconds(), "expected-pause-ms", t.Expected.Pause.Milliseconds(),
			"ms", time.Since(began).Milliseconds())
	}
	return outcome
}

// kindOf names an outcome for counters.
func kindOf(o reply.Outcome) string {
	switch o.(type) {
	case reply.Done:
		return "done"
	case reply.NotSent:
		return "not-sent"
	case reply.Refused:
		return "refused"
	case reply.Unknown:
		return "unknown"
	}
	panic(fmt.Sprintf("carry: outcome %T", o))
}

func (r *run) send(ctx context.Context, t *board.Ticket) reply.Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &Send{
		Request: r.q, Upstream: t.Upstream, Hops: t.Hops(), Left: time.Until(r.q.Until), LastEvent: r.lastText,
		Team: r.q.Team.Name, Priority: -1,
	}
	if r.q.Service.Engine != nil {
		s.Priority = min(lowestPriority, max(0, r.q.priority()))
	}
	if r.q.Route.Kind == rules.Streaming {
		return r.stream(ctx, cancel, t, s)
	}
	return r.whole(ctx, t, s)
}

// whole makes an attempt whose answer is passed on once it is complete.
func (r *run) whole(ctx context.Context, t *board.Ticket, s *Send) reply.Outcome {
	if r.mayTryOther() && r.q.Route.Objective > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, r.q.Route.Objective, errSlow)
		defer cancel()
	}
	began := time.Now()
	a, err := r.c.transport.Send(ctx, s)
	if err != nil {
		return r.unsent(ctx, t.Upstream, err)
	}
	defer a.Body.Close()
	if outcome := r.refused(t, a); outcome != nil {
		return outcome
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeAnswer))
	if err != nil {
		r.c.board.Strike(t.Upstream)
		r.excludeOne(t.Upstream.ID)
		return brokenAnswer(err)
	}
	r.c.board.Alive(t.Upstream, a.Status >= http.StatusInternalServerError, time.Since(began))
	if a.Load != nil {
		r.c.board.Told(t.Upstream, a.Load.Running+a.Load.Waiting)
	}
	if a.Status >= http.StatusInternalServerError && r.mayTryOther() && r.c.budget.Take(r.q.Service.Name) {
		r.excludeOne(t.Upstream.ID)
		r.paid.Store(true)
		return failedAnswer(a)
	}
	return r.deliver(a, body)
}

func brokenAnswer(err error) reply.Outcome {
	return reply.NewUnknown(reply.Broken, "the answer broke off: "+err.Error())
}

func failedAnswer(a *Answer) reply.Outcome {
	return reply.NewUnknown(reply.Failed, fmt.Sprintf("the upstream answered %d", a.Status))
}

// deliver passes on an answer whose beginning was read, and the rest of a large one.
func (r *run) deliver(a *Answer, body []byte) reply.Outcome {
	r.sink.Begin(a.Status, a.Header)
	r.begun = true
	if err := r.sink.Write(body); err != nil {
		return reply.NewUnknown(reply.Canceled, err.Error())
	}
	if len(body) == wholeAnswer {
		return r.rest(a)
	}
	return reply.Done{}
}

// rest passes on what is left of a large answer.
func (r *run) rest(a *Answer) reply.Outcome {
	buffer := make([]byte, 32<<10)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if err := r.sink.Write(buffer[:n]); err != nil {
				return reply.NewUnknown(reply.Canceled, err.Error())
			}
		}
		if errors.Is(err, io.EOF) {
			return reply.Done{}
		}
		if err != nil {
			return brokenAnswer(err)
		}
	}
}
