package proxy

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/reply"
)

// Crashes is the registry of requests suspected of crashing upstreams.
type Crashes interface {
	Verdict(f crash.Fingerprint) crash.Verdict
	RecordDeath(f crash.Fingerprint, upstream, dataCentre string, symptom crash.Symptom) (crash.Mark, bool)
	Completed(f crash.Fingerprint) (crash.Mark, bool)
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

// maxLoggedParts bounds how many parts of a prompt a log line names.
const maxLoggedParts = 8

// describeParts returns the IDs of the first parts of the prompt for logs, separated by commas.
func (q *Request) describeParts() string {
	return strings.Join(q.PromptParts[:min(len(q.PromptParts), maxLoggedParts)], ",")
}

// checkQuarantine returns a refusal if the request is in quarantine because copies of it crashed upstreams.
func (r *run) checkQuarantine() error {
	verdict, ok := r.executor.crashes.Verdict(r.fingerprint).(crash.Quarantined)
	if !ok {
		return nil
	}
	r.executor.meter.Count("requests-quarantined")
	err := r.failure(
		"upstreams died of copies of this request; quarantined for "+verdict.Remaining().Round(time.Second).String(),
		http.StatusBadGateway)
	var refusal *Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		refusal.RetryAfter = verdict.Remaining()
	}
	return err
}

// updateSuspicion updates the suspicion of a request after an attempt. The request is held responsible for the death of
// an upstream that broke the connection before its first event and accepts no new connection.
func (r *run) updateSuspicion(ctx context.Context, res *board.Reservation, o reply.Outcome, progressed bool) {
	if _, ok := o.(reply.Done); ok {
		if m, ok := r.executor.crashes.Completed(r.fingerprint); ok {
			r.executor.broadcast(m)
		}
		return
	}
	if unknown, ok := o.(reply.Unknown); !ok || unknown.Fault() != reply.Broken || progressed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reconnectTimeout)
	defer cancel()
	if err := r.executor.transport.Probe(ctx, res.Upstream); err == nil || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	m, ok := r.executor.crashes.RecordDeath(r.fingerprint, res.Upstream.ID, res.Upstream.DataCentre,
		crash.BrokeBeforeFirstToken)
	r.executor.log.Info("upstream-died", "request", r.request.ID, "fingerprint", string(r.fingerprint),
		"parts", r.request.describeParts(), "upstream", res.Upstream.ID, "marked", ok)
	if ok {
		r.executor.broadcast(m)
	}
}
