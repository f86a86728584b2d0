package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/rules"

	"github.com/go-logr/logr"
)

// RetryBudget limits the retries of each service's requests.
type RetryBudget interface {
	// RecordFirstAttempt records a first attempt.
	RecordFirstAttempt(service string)
	// Rate returns how many requests for a service a second arrive at all nodes together.
	Rate(service string) float64
	// Take spends one retry and reports whether the budget held one.
	Take(service string) bool
	// Refund returns a retry that was spent at a time on an attempt that reached no upstream.
	Refund(service string, takenAt time.Time)
}

// Executor executes callers' requests on one node.
type Executor struct {
	transport Transport
	engines   Engines
	board     *board.Board
	fleet     FleetView
	budget    RetryBudget
	meter     Meter
	crashes   Crashes
	broadcast func(crash.Mark)
	log       logr.Logger
	reports   reportCache
	buffers   bufferBudget
	gate      Gate
	random    func() float64 // uniform in [0, 1), for Retry-After
	dry       *dryRun        // nil for an executor that serves requests
}

// Dependencies holds the dependencies of an executor.
type Dependencies struct {
	Transport Transport
	Engines   Engines
	Board     *board.Board
	Fleet     FleetView
	Budget    RetryBudget
	Crashes   Crashes
	Broadcast func(crash.Mark) // sends a crash mark to the other nodes
	Meter     Meter
	Log       logr.Logger
	Gate      Gate // nil if no service has admission control
	// AnswerBytes bounds what all answers together hold; 0 for 16 MiB.
	AnswerBytes int64
}

// New returns an executor with the given dependencies.
func New(d Dependencies) *Executor {
	return &Executor{
		transport: d.Transport, engines: d.Engines, board: d.Board, fleet: d.Fleet, budget: d.Budget, crashes: d.Crashes,
		broadcast: d.Broadcast, meter: d.Meter, log: d.Log, reports: reportCache{engines: d.Engines}, gate: d.Gate,
		random: rand.Float64, buffers: bufferBudget{limit: d.AnswerBytes},
	}
}

// Refusal is the final result of a request that got no answer from an upstream.
type Refusal struct {
	Status     int
	Cause      string
	RetryAfter time.Duration // 0 for none
}

// Error returns the status and the cause.
func (r *Refusal) Error() string { return fmt.Sprintf("%d: %s", r.Status, r.Cause) }

// ErrAnswerBroken is returned when an answer broke off after part of it reached the caller. The caller's connection
// must be aborted as well.
var ErrAnswerBroken = errors.New("the stream broke off")

// ErrCallerGone is returned when the caller disconnected.
var ErrCallerGone = errors.New("the caller went away")

// Limits on attempts.
const (
	maxCapacityWait = 450 * time.Millisecond // longest wait for free capacity; later answers miss most objectives
	maxUnreached    = 3                      // attempts that reached no upstream, after which a request is refused
	minAttemptTime  = 5 * time.Millisecond   // no attempt begins with less time left
	withheldPoll    = 50 * time.Millisecond  // between two looks at whether a request is still withheld
	lowestPriority  = 9                      // that upstreams accept
)

// run is the state of one request.
type run struct {
	executor         *Executor
	request          *Request
	sink             Sink
	ctx              context.Context // ends with the caller or at the deadline
	retryPaid        bool            // the retry budget has been charged for the next attempt
	headersSent      bool            // the caller has the status and headers
	started          time.Time
	timeToFirstEvent time.Duration // from started until the caller had the first event
	lastEventAt      time.Time     // when the caller had the latest event
	longestGap       time.Duration // between two events
	fingerprint      crash.Fingerprint
	suspects         []crash.Fingerprint // of the parts of the prompt, then the fingerprint
	admission        *Admission          // of the service; nil where none is in force
	ticket           *admit.Ticket       // nil without admission

	mu             sync.Mutex // guards the fields below, which attempts beside the current one change as well
	summary        reply.AttemptSummary
	running        int        // attempts that have not ended
	sent           int        // attempts that may have reached an upstream
	unreached      int        // attempts that reached no upstream
	mayHaveRun     int        // attempts that may have run
	exclude        []string   // IDs of upstreams that failed the request
	current        *attempt   // the one that the caller is served from
	replacements   []*attempt // that began beside the current one and go on
	budgetDeniedAt time.Time  // when the retry budget last denied an attempt beside the current one
	isAnswered     bool       // no more attempts may begin beside the current one
	lastEventID    int64      // of the latest event that the caller has, or noID; written by the request's goroutine alone
	lastEventText  string     // the same as sent to upstreams, or ""
	ahead          int        // requests ahead in the queue of admission when it joined or was refused
}

// Run makes attempts at a request until its answer is complete. Its error is a *Refusal, ErrAnswerBroken or
// ErrCallerGone.
func (e *Executor) Run(ctx context.Context, q *Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, q.ExpiresAt)
	defer cancel()
	r := e.begin(ctx, q, sink)
	defer r.abandonReplacements(false)
	defer r.leaveAdmission()
	for {
		a, err := r.nextAttempt()
		if err != nil {
			return r.end(ctx, err)
		}
		outcome := r.perform(a)
		a.finish(outcome)
		if _, ok := outcome.(reply.Done); ok {
			return r.end(ctx, nil)
		}
		if err := r.mayRetry(ctx, outcome); err != nil {
			return r.end(ctx, err)
		}
	}
}

// begin records the arrival of a request.
func (e *Executor) begin(ctx context.Context, q *Request, sink Sink) *run {
	r := &run{executor: e, request: q, sink: sink, lastEventID: noID, lastEventText: q.LastEventID,
		started: time.Now(), suspects: q.suspects(), ctx: ctx}
	r.fingerprint = r.suspects[len(r.suspects)-1]
	e.crashes.RecordUse(r.suspects[:len(r.suspects)-1])
	e.budget.RecordFirstAttempt(q.Service.Name)
	r.enterAdmission()
	return r
}

// nextAttempt returns an attempt that has begun beside the last one, or else a new one on capacity that it waits for.
func (r *run) nextAttempt() (*attempt, error) {
	if a := r.adoptReplacement(); a != nil {
		if a.hasWon {
			r.abandonReplacements(true)
		}
		return a, nil
	}
	res, err := r.nextReservation()
	if err != nil {
		return nil, err
	}
	return r.newAttempt(res, nil), nil
}

// nextReservation returns the capacity for a new attempt, for which it waits.
func (r *run) nextReservation() (*board.Reservation, error) {
	if f, verdict, ok := r.quarantine(); ok {
		if res := r.reserveTrial(f, verdict); res != nil {
			return res, nil
		}
		return nil, r.quarantineRefusal(f, verdict)
	}
	res, err := r.reserve(r.ctx)
	if err != nil {
		return nil, err
	}
	if f, verdict, ok := r.quarantine(); ok { // it may have begun during the wait
		res.Cancel()
		return nil, r.quarantineRefusal(f, verdict)
	}
	return res, nil
}

// end records the result of a request and returns its error.
func (r *run) end(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		err = ErrCallerGone
	}
	outcome := "done"
	if err != nil {
		outcome = err.Error()
	}
	r.executor.meter.Count("requests-" + resultName(err))
	r.executor.meter.Observe("request-us", time.Since(r.started))
	r.executor.log.Info("request-end", "request", r.request.ID, "route", r.request.Route.Name, "team", r.request.Team.Name,
		"outcome", outcome, "attempts", r.attempts(), "run-state", r.runState(),
		"ms", time.Since(r.started).Milliseconds(),
		"first-ms", r.timeToFirstEvent.Milliseconds(), "pause-ms", r.longestGap.Milliseconds())
	return err
}

// recordEvent records an event that reached the caller, and when.
func (r *run) recordEvent(e event) {
	now := time.Now()
	if r.lastEventAt.IsZero() {
		r.timeToFirstEvent = now.Sub(r.started)
	} else {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	if e.id == noID {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastEventID, r.lastEventText = e.id, strconv.FormatInt(e.id, 10)
}

// resultName returns the name of a result for counters.
func resultName(err error) string {
	var refusal *Refusal
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrCallerGone):
		return "caller-gone"
	case errors.Is(err, ErrAnswerBroken):
		return "broken-off"
	case errors.As(err, &refusal) && refusal.Status == http.StatusServiceUnavailable:
		return "refused-not-run"
	}
	return "failed-may-have-run"
}

// tryAdmitted reserves capacity unless the request is withheld, and reports whether it is withheld or on trial.
func (r *run) tryAdmitted(n *board.Need) (res *board.Reservation, isWithheld bool) {
	admission := r.executor.crashes.Admit(r.suspects)
	if admission == crash.Withheld {
		return nil, true
	}
	if res = r.tryReserve(n); res != nil {
		if admission == crash.OnTrial {
			r.executor.log.Info("part-trial", "request", r.request.ID, "parts", r.request.describeParts(), "upstream", res.Upstream.ID)
		}
		return res, false
	}
	if admission == crash.OnTrial {
		r.executor.crashes.ReturnTrial(r.suspects)
	}
	return nil, admission != crash.Admitted
}

// tryReserve reserves an upstream, or a path for a model, that meets the requirements. It returns nil if none has capacity.
func (r *run) tryReserve(n *board.Need) *board.Reservation {
	list := r.executor.fleet.Upstreams(r.request.Service.Name)
	if r.request.Service.Engine == nil {
		return r.executor.board.ReservePlain(list, n.Exclude)
	}
	return r.executor.board.ReservePath(list, n)
}

// logShortage logs on what evidence a request that waited for room is refused.
func (r *run) logShortage(waited time.Duration) {
	if r.request.Service.Engine == nil {
		return
	}
	n := r.limitedNeed(r.excluded())
	s := r.executor.board.ShortageOf(r.executor.fleet.Upstreams(r.request.Service.Name), n)
	fields := []any{"request", r.request.ID, "has-path", s.HasPath, "links-full", s.LinksFull, "least-first-ms", s.FirstEvent.Milliseconds(),
		"limit-ms", n.FirstEventLimit.Milliseconds(), "excluded", len(n.Exclude), "view-age-ms", s.Evidence.ViewAge.Milliseconds(),
		"unseen", r.unseen(s.Evidence), "waited-ms", waited.Milliseconds(),
		"least-pause-ms", s.EventGap.Milliseconds(), "pause-limit-ms", n.EventGapLimit.Milliseconds()}
	if s.LinksFull && n.LinkShare > 0 && n.LinkShare < 1 {
		r.executor.meter.Count("admission-link-narrowed")
	}
	if r.ticket != nil {
		fields = append(fields, "least-pipelined-ms", s.Pipelined.Milliseconds(), "pipelined-limit-ms", n.PipelinedLimit.Milliseconds())
	}
	r.executor.log.Info("no-room", append(fields, r.admissionFields()...)...)
}

// unseen returns how many requests of other nodes a choice did not know of, for logs.
func (r *run) unseen(e board.Evidence) int {
	return int(e.Unseen(r.executor.budget.Rate(r.request.Service.Name)))
}

// restWait returns after how long upstreams that want rest can serve the request, if no others can, or 0.
func (r *run) restWait() time.Duration {
	service := r.request.Service
	return r.executor.board.RestWait(r.executor.fleet.Upstreams(service.Name), service.Engine, r.excluded())
}

// restRefusal returns the refusal of a request that no upstream can serve for some time.
func (r *run) restRefusal(wait time.Duration) error {
	err := r.refusal("the upstreams that could serve it want no requests for " + wait.Round(time.Millisecond).String())
	var refusal *Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		refusal.RetryAfter += wait
	}
	return err
}

// need returns the requirements of a generation on its path; those of a request for a plain service are the excluded upstreams.
func (r *run) need(exclude []string) *board.Need {
	if r.request.Service.Engine == nil {
		return &board.Need{Exclude: exclude}
	}
	return &board.Need{
		Engine:          r.request.Service.Engine,
		DataCentre:      r.executor.fleet.DataCentre(),
		PromptTokens:    float64(r.request.PromptTokens),
		OutputTokens:    r.expectedOutput(),
		Exclude:         exclude,
		HasConnection:   r.executor.transport.HasConnection,
		FirstEventLimit: maxFirstEventWait(r.request.Route),
		EventGap:        r.request.Route.EventGapObjective,
	}
}

// maxFirstEventWait returns the longest predicted time to the first event at which a stream is still sent. Under
// overload a longer queue would make all answers late and waste prefill on callers who leave; callers beyond it are
// refused with a Retry-After.
func maxFirstEventWait(t *rules.Route) time.Duration {
	if t.LatencyObjective <= 0 {
		return maxCallerWait(t)
	}
	return t.LatencyObjective
}

// maxCallerWait returns how long the caller of a stream is assumed to wait for the next event.
func maxCallerWait(t *rules.Route) time.Duration {
	return max(2*time.Second, 4*t.LatencyObjective, 8*t.EventGapObjective)
}

// expectedOutput returns the expected output in tokens: the caller's hint or the model's mean, within the maximum.
func (r *run) expectedOutput() float64 {
	q := r.request
	most := float64(q.MaxOutputTokens)
	if most == 0 {
		most = q.Service.Engine.MeanOutputTokens
	}
	if q.ExpectedOutputTokens == 0 {
		return min(most, q.Service.Engine.MeanOutputTokens)
	}
	return min(most, float64(q.ExpectedOutputTokens))
}

// outcomeName returns the name of an outcome for counters.
func outcomeName(o reply.Outcome) string {
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
	panic(fmt.Sprintf("proxy: unexpected outcome type %T", o))
}

// exchange sends an attempt, and records the limit on requests and the rest that the answer names.
func (r *run) exchange(ctx context.Context, s *Send) (*Answer, error) {
	sentAt := time.Now()
	a, err := r.executor.transport.Send(ctx, s)
	if err != nil {
		return nil, err
	}
	switch limit := a.RequestLimit; {
	case a.IDMismatch:
	case limit.Unreadable:
		r.executor.log.Info("limit-unreadable", "request", r.request.ID, "upstream", s.Upstream.ID)
	case limit.Stated:
		r.executor.meter.Count("answers-with-limit")
		r.executor.board.RecordLimit(s.Upstream, limit.PerSecond)
	case a.Sealed || a.NotRun: // any other answer may not be the upstream's own
		r.executor.board.RecordNoLimit(s.Upstream, sentAt)
	}
	switch rest := a.Rest; {
	case a.IDMismatch || !a.Sealed && !a.NotRun:
	case rest.Unreadable:
		r.executor.log.Info("rest-unreadable", "request", r.request.ID, "upstream", s.Upstream.ID)
	case rest.For > 0:
		r.executor.meter.Count("answers-with-rest")
		r.executor.board.RecordRest(s.Upstream, rest.For)
	}
	return a, nil
}

func failedAnswer(a *Answer) reply.Outcome {
	reason := fmt.Sprintf("the upstream answered %d", a.Status)
	if reply.PromisesNotRun(a.Status) {
		reason += " without stating that it did not run the request"
	}
	return reply.NewUnknown(reply.Failed, reason)
}

// deliverPlain sends the caller an answer that is no stream of events, unless it is a failure and another attempt may
// succeed. An answer whose status promises that the request has not run is never sent: an upstream that states so was refused
// in rejection, and any other may have run the request.
func (r *run) deliverPlain(a *attempt, w *stallWatcher) reply.Outcome {
	if a.isFailure() {
		r.retryPaid = !r.headersSent && !r.hasReplacement() && r.mayTryAnother() &&
			r.executor.budget.Take(r.request.Service.Name)
		if r.headersSent || r.hasReplacement() || r.retryPaid || reply.PromisesNotRun(a.answer.Status) {
			r.excludeUpstream(a.reservation.Upstream.ID)
			return failedAnswer(a.answer)
		}
	}
	w.stop()
	if !r.takeAnswer(a.isAll) {
		return reply.NewUnknown(reply.CanceledByNode, errSuperseded.Error())
	}
	r.sink.Begin(a.answer.Status, a.answer.Header)
	r.headersSent = true
	for _, part := range a.body.parts {
		if err := r.write(part, a.body.room); err != nil {
			return reply.NewUnknown(reply.Canceled, err.Error())
		}
	}
	if !a.isAll {
		a.body.release() // not held while the rest is passed on
		return r.deliverRest(a)
	}
	a.wroteAnswer = a.answer.isComplete()
	return reply.Done{}
}

// deliverRest sends the caller the rest of a large answer.
func (r *run) deliverRest(a *attempt) reply.Outcome {
	buffer := make([]byte, 32<<10)
	for {
		n, err := a.answer.Body.Read(buffer)
		if n > 0 {
			if err := r.sink.Write(buffer[:n]); err != nil {
				return reply.NewUnknown(reply.Canceled, err.Error())
			}
		}
		if errors.Is(err, io.EOF) {
			a.wroteAnswer = a.answer.isComplete()
			return reply.Done{}
		}
		if err != nil {
			return reply.NewUnknown(reply.Broken, "the answer broke off: "+err.Error())
		}
	}
}
