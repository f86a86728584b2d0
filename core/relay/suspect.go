package relay

import (
	"context"
	"net/http"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/reply"
)

// awaitTurn delays a new suspect until this node's turn. Identical requests at several nodes thus run one after the
// other, and every node learns of the second crash before a third copy could cause another.
func (rs *requestState) awaitTurn(ctx context.Context) error {
	for {
		wait := rs.turnDelay()
		if wait == 0 {
			return nil
		}
		select {
		case <-time.After(min(wait, suspectTurnInterval)):
		case <-ctx.Done():
			return reply.NewRefusal(http.StatusGatewayTimeout, "deadline", "the request's time is over",
				reply.WithRunState(rs.summary.RunState()))
		}
	}
}

// turnDelay returns how long a strong suspect has to wait until this node's turn, or 0 for any other request.
func (rs *requestState) turnDelay() time.Duration {
	s, ok := rs.relay.crashes.Verdict(rs.request.fingerprint).(crash.Suspect)
	if !ok || !s.Strong() {
		return 0
	}
	turn := time.Duration(1+min(rs.relay.nodeRank(rs.request.fingerprint.Key()), maxTurns)) * suspectTurnInterval
	return max(0, turn-s.Age())
}

// quarantineRefusal returns a refusal if the request, or a part of its prompt, is in quarantine for crashing upstreams, or
// nil.
func (rs *requestState) quarantineRefusal() error {
	for _, f := range rs.request.suspects() {
		if v, ok := rs.relay.crashes.Verdict(f).(crash.Quarantined); ok {
			return reply.NewRefusal(http.StatusUnprocessableEntity, "quarantined",
				"upstreams died of this request, or of a part of its prompt, more than once",
				reply.WithRunState(rs.summary.RunState()), reply.WithRetryAfter(v.Remaining()))
		}
	}
	return nil
}

// withheldRefusal returns a refusal if parts of the prompt are withheld, as upstreams died of requests with them and it is not known
// yet whether they were the cause, or nil if there are none or the request may run on trial.
func (rs *requestState) withheldRefusal() error {
	switch rs.relay.crashes.Admit(rs.request.suspects()) {
	case crash.OnTrial:
		rs.relay.note(rs, "part-trial", "", "", "")
		return nil
	case crash.Admitted:
		return nil
	}
	return reply.NewRefusal(http.StatusServiceUnavailable, "withheld",
		"upstreams died of requests with parts of this prompt; few of them are sent until one is answered",
		reply.WithRunState(rs.summary.RunState()), reply.WithRetryAfter(withheldRetryAfter))
}

// withheldRetryAfter is the time after which a caller of a withheld request may try again.
const withheldRetryAfter = 2 * time.Second

// otherKeys returns the keys of all fingerprints but the request's own.
func (rs *requestState) otherKeys(fingerprints []crash.Fingerprint) []uint64 {
	var out []uint64
	for _, f := range fingerprints {
		if f != rs.request.fingerprint {
			out = append(out, f.Key())
		}
	}
	return out
}
