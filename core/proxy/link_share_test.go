package proxy

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRequestsCarryTheirLinkShare guards against requests that search for a path with the whole link budget whatever their class, and
// against a broken stream or a request without admission control that has less than before.
func TestRequestsCarryTheirLinkShare(t *testing.T) {
	for _, tc := range []struct {
		name     string
		priority int
		inForce  bool
		isBroken bool
		want     float64
	}{
		{"most urgent", 0, true, false, 1},
		{"least urgent", 2, true, false, 0.3},
		{"a stream that broke off", 2, true, true, 0},
		{"without admission control", 2, false, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAdmissionFake(1)
				f.inForce = tc.inForce
				r := &run{executor: f.executor, request: request(f.routes[tc.priority], model()), ctx: t.Context(), started: time.Now()}
				r.enterAdmission()
				defer r.leaveAdmission()
				r.headersSent = tc.isBroken
				n := r.limitedNeed(nil)
				if n.LinkShare < tc.want-1e-9 || n.LinkShare > tc.want+1e-9 {
					t.Errorf("share %.2f, want %.2f", n.LinkShare, tc.want)
				}
			})
		})
	}
}
