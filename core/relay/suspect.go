package relay

import (
	"context"
	"net/http"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/reply"
)

// awaitMarks holds a new suspect back until it is this node's turn. Copies at several nodes thus run one
// after the other, and the second crash is known everywhere before a third copy could bring about more.
func (n *run) awaitMarks(ctx context.Context) error {
	for {
		wait := n.untilTurn()
		if wait == 0 {
			return nil
		}
		select {
		case <-time.After(min(wait, suspectPause)):
		case <-ctx.Done():
			return reply.NewRefusal(http.StatusGatewayTimeout, "deadline", "the request's time is over", reply.WithRun(n.account.State()))
		}
	}
}

// untilTurn returns how long a strong suspect has to wait for this node's turn.
func (n *run) untilTurn() time.Duration {
	s, ok := n.relay.crashes.Judge(n.request.fingerprint).(crash.Suspect)
	if !ok || !s.Strong() {
		return 0
	}
	turn := time.Duration(1+min(n.relay.turn(n.request.fingerprint.Key()), lastTurn)) * suspectPause
	return max(0, turn-s.Age())
}

// quarantined returns the refusal of a request that upstreams died of, or nil.
func (n *run) quarantined() error {
	v, ok := n.relay.crashes.Judge(n.request.fingerprint).(crash.Quarantined)
	if !ok {
		return nil
	}
	return reply.NewRefusal(http.StatusUnprocessableEntity, "quarantined", "upstreams died of this request more than once",
		reply.WithRun(n.account.State()), reply.WithRetryAfter(v.Remaining()))
}

func (n *run) otherKeys(fingerprints []crash.Fingerprint) []uint64 {
	var out []uint64
	for _, f := range fingerprints {
		if f != n.request.fingerprint {
			out = append(out, f.Key())
		}
	}
	return out
}
