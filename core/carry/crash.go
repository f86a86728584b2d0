package carry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/reply"
)

// Crashes is what is known of requests that upstreams died of.
type Crashes interface {
	Judge(f crash.Fingerprint) crash.Verdict
	Died(f crash.Fingerprint, upstream, dataCentre string, sign crash.Sign) (crash.Mark, bool)
	Completed(f crash.Fingerprint) (crash.Mark, bool)
}

// reachLimit is how long an upstream whose connection broke may take to accept another before it counts as dead.
const reachLimit = 200 * time.Millisecond

// fingerprint identifies copies of a request: they have the same target, caller and body.
func (q *Request) fingerprint() crash.Fingerprint {
	return crash.NewFingerprint(q.Method+" "+q.Host+q.URI+" "+q.Key, q.Body)
}

// quarantined returns a refusal if upstreams died of copies of the request.
func (r *run) quarantined() error {
	q, ok := r.c.crashes.Judge(r.print).(crash.Quarantined)
	if !ok {
		return nil
	}
	r.c.meter.Count("requests-quarantined")
	return r.failure("upstreams died of copies of this request; quarantined for "+q.Remaining().Round(time.Second).String(), http.StatusBadGateway)
}

// judge notes what an attempt's end says of the request: an upstream that broke off before it gave anything and
// accepts no other connection died of it, as far as one node can tell.
func (r *run) judge(ctx context.Context, t *board.Ticket, o reply.Outcome, gave bool) {
	if _, ok := o.(reply.Done); ok {
		if m, ok := r.c.crashes.Completed(r.print); ok {
			r.c.spread(m)
		}
		return
	}
	if u, ok := o.(reply.Unknown); !ok || u.Fault() != reply.Broken || gave {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reachLimit)
	defer cancel()
	if err := r.c.transport.Reach(ctx, t.Upstream); err == nil || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	m, ok := r.c.crashes.Died(r.print, t.Upstream.ID, t.Upstream.DataCentre, crash.BrokeBeforeFirstToken)
	r.c.log.Info("upstream-died", "request", r.q.ID, "fingerprint", string(r.print), "upstream", t.Upstream.ID, "marked", ok)
	if ok {
		r.c.spread(m)
	}
}
