package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/reply"
)

// Crashes is the registry of requests, and of parts of prompts, that are suspected of crashing upstreams.
type Crashes interface {
	RecordUse(parts []crash.Fingerprint)
	Verdict(f crash.Fingerprint) crash.Verdict
	RecordDeathAt(f crash.Fingerprint, upstream, dataCentre string, symptom crash.Symptom, begun, at time.Time) (crash.Mark, bool)
	DeathOf(upstream string, since time.Time) (time.Time, bool)
	Completed(f crash.Fingerprint, begun uint64) (crash.Mark, bool)
	TakeTrial(f crash.Fingerprint) bool
	Admit(suspects []crash.Fingerprint) crash.Admission
	RecordRunTime(ran time.Duration)
	ReturnTrial(suspects []crash.Fingerprint)
	IsWithheld(suspects []crash.Fingerprint) bool
	Stamp() uint64
	Snapshot() *crash.Registry
	Answered(parts []crash.Fingerprint, begun uint64, took time.Duration) []crash.Mark
}

// reconnectTimeout is how long an upstream whose connection broke may take to accept another before it counts as dead.
const reconnectTimeout = 200 * time.Millisecond

// Fingerprint returns a hash that copies of a request share: those with the same target, caller and body.
// A team's keys stand for one caller.
func (q *Request) Fingerprint() crash.Fingerprint {
	caller := q.Team.Name
	if caller == "" {
		caller = q.APIKey
	}
	return crash.NewFingerprint(q.Method+" "+q.Host+q.URI+" "+caller, q.Body)
}

// suspects returns the fingerprints that a request may be suspected by: of its parts, then its own.
func (q *Request) suspects() []crash.Fingerprint {
	return append(crash.NewPartFingerprints(q.Service.Name, q.PromptParts), q.Fingerprint())
}

// maxLoggedParts bounds how many parts of a prompt a log line names.
const maxLoggedParts = 8

// describeParts returns the IDs of the first parts of the prompt for logs, separated by commas.
func (q *Request) describeParts() string {
	return strings.Join(q.PromptParts[:min(len(q.PromptParts), maxLoggedParts)], ",")
}

// quarantine returns the first suspect of the request that is in quarantine because it crashed upstreams, or false if none is.
func (r *run) quarantine() (crash.Fingerprint, crash.Quarantined, bool) {
	for _, f := range r.suspects {
		if verdict, ok := r.executor.crashes.Verdict(f).(crash.Quarantined); ok {
			return f, verdict, true
		}
	}
	return "", crash.Quarantined{}, false
}

// reserveTrial reserves capacity for the first attempt at a request that is sent on trial although it is in quarantine, and returns nil if
// it may not be sent. It waits for no room.
func (r *run) reserveTrial(f crash.Fingerprint, verdict crash.Quarantined) *board.Reservation {
	if f != r.fingerprint || r.attempts() > 0 || r.executor.crashes.IsWithheld(r.suspects) || !r.executor.crashes.TakeTrial(f) {
		return nil
	}
	res := r.tryReserve(r.need(r.excluded()))
	if res == nil {
		r.executor.crashes.ReturnTrial([]crash.Fingerprint{f})
		return nil
	}
	r.executor.log.Info("request-trial", "request", r.request.ID, "fingerprint", string(f), "upstream", res.Upstream.ID,
		"remaining-ms", verdict.Remaining().Milliseconds())
	return res
}

// quarantineRefusal returns the refusal of a request for a suspect in quarantine.
func (r *run) quarantineRefusal(f crash.Fingerprint, verdict crash.Quarantined) error {
	remaining := verdict.Remaining()
	r.executor.meter.Count("requests-quarantined")
	cause := "upstreams died of copies of this request"
	if f != r.fingerprint {
		cause = "upstreams died of a part of this prompt"
	}
	err := r.failure(cause+"; quarantined for "+remaining.Round(time.Second).String(), http.StatusBadGateway)
	var refusal *Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		refusal.RetryAfter = verdict.UntilTrial()
	}
	r.executor.log.Info("request-quarantined", "request", r.request.ID, "suspect", string(f),
		"remaining-ms", remaining.Milliseconds(), "attempts", r.attempts())
	return err
}

// withheldRefusal returns the refusal of a request that waited in vain for a trial of the parts of its prompt.
func (r *run) withheldRefusal() error {
	r.executor.meter.Count("requests-withheld")
	r.executor.log.Info("request-withheld", "request", r.request.ID, "parts", r.request.describeParts(), "attempts", r.attempts())
	return r.refusal("upstreams died of requests with parts of this prompt; few of them are sent until one is answered")
}

// updateSuspicion updates the suspicion of a request and of its parts after an attempt.
func (r *run) updateSuspicion(a *attempt, o reply.Outcome) {
	if _, ok := o.(reply.Done); ok {
		r.clearSuspicion(a)
		return
	}
	if a.answer != nil && a.answer.NotRun {
		if stage, _ := failedStage(a.reservation, a.answer.FailedAddress); stage != a.reservation.Upstream {
			r.recordDeath(a, stage, a.firstEventAt)
		}
		return
	}
	if unknown, ok := o.(reply.Unknown); ok && unknown.Fault() == reply.Broken {
		r.recordDeath(a, a.reservation.Upstream, a.firstEventAt)
	}
}

// recordDeath marks the suspects of an attempt if an upstream that failed it accepts no connection any more. firstEventAt is when
// the first event arrived, or zero.
func (r *run) recordDeath(a *attempt, u *fleet.Upstream, firstEventAt time.Time) {
	symptom := crash.SymptomOf(false, !firstEventAt.IsZero())
	diedAt := time.Now()
	if u != a.reservation.Upstream { // a dead stage is noticed late, and by requests that were sent after its death
		if at, ok := r.executor.crashes.DeathOf(u.ID, time.UnixMilli(u.Incarnation)); ok {
			if a.startedAt.After(at) {
				return
			}
			diedAt = at
		}
	}
	ctx, cancel := context.WithTimeout(a.ctx, reconnectTimeout)
	defer cancel()
	if err := r.executor.transport.Probe(ctx, u); err == nil || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	if len(r.suspects) > 1 {
		r.executor.crashes.RecordRunTime(diedAt.Sub(a.startedAt))
	}
	marked := 0
	for _, f := range r.suspects {
		m, ok := r.executor.crashes.RecordDeathAt(f, u.ID, u.DataCentre, symptom, a.startedAt, diedAt)
		if ok {
			marked++
		}
		r.executor.broadcast(m) // the other nodes judge the death by all that they know of
	}
	r.executor.log.Info("upstream-died", "request", r.request.ID, "fingerprint", string(r.fingerprint),
		"parts", r.request.describeParts(), "upstream", u.ID, "stage", stageNumber(a.reservation, u), "symptom", symptom.String(), "marked", marked)
}

// stageNumber returns the place of an upstream in the path of a reservation, from 0 on.
func stageNumber(res *board.Reservation, u *fleet.Upstream) int {
	return max(0, slices.IndexFunc(res.Hops(), func(h board.Hop) bool { return h.Upstream == u }))
}

// clearSuspicion clears the suspicion of a request that was answered, and of its parts if an upstream wrote the answer
// to its end.
func (r *run) clearSuspicion(a *attempt) {
	wroteAll := a.wroteAnswer && !a.isResumed && r.request.LastEventID == "" // an attempt that wrote the end alone shows little
	begun := uint64(0)
	if wroteAll {
		begun = a.begunStamp
	}
	if m, ok := r.executor.crashes.Completed(r.fingerprint, begun); ok {
		r.executor.broadcast(m)
	}
	if !wroteAll {
		return
	}
	for _, m := range r.executor.crashes.Answered(r.suspects[:len(r.suspects)-1], a.begunStamp, time.Since(a.startedAt)) {
		r.executor.broadcast(m)
	}
}
