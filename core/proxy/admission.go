package proxy

import (
	"errors"
	"fmt"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/board"
	"rhubarbspread/core/queue"
)

// Gate holds the admission control of services.
type Gate interface {
	// Admission returns the admission control of a service, or nil if none is in force.
	Admission(service string) *Admission
}

// Admission is the admission control of one service.
type Admission struct {
	Controller *admit.Controller
	Queue      *queue.Queue
}

// NewAdmission returns the admission control of a service that has no classes yet.
func NewAdmission(service string, opts ...admit.Option) *Admission {
	return &Admission{Controller: admit.New(service, opts...), Queue: queue.New(queue.WithWakeInterval(queue.WakeInterval))}
}

// Parameters of waits in a queue.
const (
	// objectiveReserve is the part of the objective for the first event that is left for the event itself after a wait.
	objectiveReserve = 100 * time.Millisecond
	// hopelessFactor is how many times as fast as lately requests would have to get capacity for one to be in time that is
	// refused at once. The rate of one node varies much within a second.
	hopelessFactor = 2
	// minHopelessAhead is the length of the queue ahead below which nobody is refused at once.
	minHopelessAhead = 4
)

// enterAdmission records the arrival of the request where admission control is in force.
func (r *run) enterAdmission() {
	if r.executor.gate == nil || r.request.Service.Engine == nil {
		return
	}
	if r.admission = r.executor.gate.Admission(r.request.Service.Name); r.admission == nil {
		return
	}
	r.ticket = r.admission.Controller.Offer(admit.Request{
		Rank: r.rank(), Team: r.request.Team.Name, Tokens: r.tokens(), Left: r.request.ExpiresAt.Sub(r.started),
	})
	if r.ticket.IsLate() {
		r.executor.meter.Count("admission-late")
	}
}

// isInAdmission reports whether the request waits in the queue of its service. A configuration may have taken admission control out of
// force since it arrived.
func (r *run) isInAdmission() bool {
	return r.ticket != nil && r.executor.gate.Admission(r.request.Service.Name) == r.admission
}

// leaveAdmission ends the ticket of a request that was neither admitted nor refused.
func (r *run) leaveAdmission() {
	if r.ticket != nil {
		r.ticket.Abandon()
	}
}

func (r *run) rank() admit.Rank {
	team := -1
	if r.request.Team.Name != "" {
		team = r.request.Team.Priority
	}
	return admit.RankOf(team, r.request.Route.Priority)
}

// tokens returns how many tokens the request is expected to hold in the end.
func (r *run) tokens() float64 { return float64(r.request.PromptTokens) + r.expectedOutput() }

// limitedNeed returns the requirements of a generation within the limits of its class.
func (r *run) limitedNeed(exclude []string) *board.Need {
	n := r.need(exclude)
	if r.ticket == nil || r.headersSent { // a stream that broke off gets what there is
		return n
	}
	l := r.ticket.Limits()
	n.FirstEventLimit, n.PipelinedLimit = 0, l.FirstEvent
	// What a request has waited leaves less time for the event itself. One that is late in any case takes what there is.
	if left := r.request.Route.LatencyObjective - time.Since(r.started); left >= objectiveReserve && !r.ticket.IsLate() {
		n.PipelinedLimit = min(n.PipelinedLimit, time.Duration(admit.FirstEventShare*float64(left)))
	}
	n.EventGapLimit, n.KVShare, n.LinkShare = l.EventGap, l.KVShare, l.LinkShare
	return n
}

// aimUntil returns until when the request can meet its objective if it gets capacity, or zero if it has none. One that has missed it
// before it arrived stands behind those of its rank that can, and waits no longer than without admission control.
func (r *run) aimUntil() time.Time {
	objective := r.request.Route.LatencyObjective
	if objective <= 0 {
		return time.Time{}
	}
	if r.ticket.IsLate() {
		return r.started
	}
	return r.started.Add(max(objective/2, objective-objectiveReserve))
}

// longestWait returns how long the request waits for capacity at most. One that misses its objective in any case, and a stream that
// is to go on, wait as long as without admission control.
func (r *run) longestWait() time.Duration {
	if wait := time.Until(r.aimUntil()); wait > 0 && !r.headersSent {
		return wait
	}
	return maxCapacityWait
}

// isHopeless reports whether the requests ahead would have to get capacity much faster than lately for this one to be in time.
func (r *run) isHopeless(ahead int, left time.Duration) bool {
	rate := r.admission.Queue.Rate()
	return ahead >= minHopelessAhead && rate > 0 && float64(ahead) > hopelessFactor*rate*left.Seconds()
}

// refuseHopeless refuses a request whose turn can't come in time.
func (r *run) refuseHopeless(began time.Time, w *queue.Waiter) error {
	r.executor.meter.Count("admission-hopeless")
	return r.refuseAdmission("the queue is too long", began, w)
}

// refuseAdmission refuses the request for lack of capacity.
func (r *run) refuseAdmission(cause string, began time.Time, w *queue.Waiter) error {
	r.executor.meter.Count("admission-refused")
	r.setAhead(w)
	r.logShortage(time.Since(began))
	r.ticket.Refuse()
	err := r.refusal(cause)
	var retryAfter time.Duration
	if refusal := (*Refusal)(nil); errors.As(err, &refusal) {
		retryAfter = refusal.RetryAfter
	}
	r.executor.log.Info("admission-refused", append([]any{"request", r.request.ID, "cause", cause, "rate", r.admission.Queue.Rate(),
		"waited-ms", time.Since(began).Milliseconds(), "retry-after-ms", retryAfter.Milliseconds()}, r.admissionFields()...)...)
	return err
}

// setAhead records how many requests are ahead in the queue, for logs.
func (r *run) setAhead(w *queue.Waiter) {
	ahead := w.Ahead()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ahead = ahead
}

// admissionFields returns, as keys and values for logs, what admission control knows now about the request; none without it.
func (r *run) admissionFields() []any {
	if r.ticket == nil {
		return nil
	}
	l, rank := r.ticket.Limits(), r.rank()
	r.mu.Lock()
	ahead := r.ahead
	r.mu.Unlock()
	return []any{"rank", fmt.Sprintf("%d.%d", rank.Primary, rank.Secondary), "class-level", fmt.Sprintf("%.2f", l.Level),
		"class-level-age-ms", l.Age.Milliseconds(), "raised", l.Raised, "late", r.ticket.IsLate(), "ahead", ahead,
		"link-share", fmt.Sprintf("%.2f", l.LinkShare)}
}
