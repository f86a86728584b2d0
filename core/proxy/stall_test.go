package proxy

import (
	"testing"
	"time"

	"rhubarbspread/core/rules"
)

// TestCheckMayRunAtOnce guards against a check that reads the timer of its watcher while that is being set, which the race detector
// reports.
func TestCheckMayRunAtOnce(t *testing.T) {
	f := &fakeFleet{list: plainUpstreams(1)}
	route := route(rules.Idempotent)
	route.LatencyObjective, route.MaxAttempts = time.Nanosecond, 1
	e := f.executor()
	for range 20 {
		r := e.begin(t.Context(), request(route, nil), &fakeSink{})
		res, err := r.nextReservation()
		if err != nil {
			t.Fatal(err)
		}
		w := newStallWatcher(r.newAttempt(res, nil))
		time.Sleep(time.Millisecond) // for the check
		w.stop()
		res.Release()
	}
}
