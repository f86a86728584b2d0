package crash_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/crash"
)

// TestRequestsSentAgainWithinOneFailureAreNotBlamed guards against sound requests in quarantine that lost two upstreams to one failure,
// as each passes for the cause of the others' deaths, and against crashing requests that such a failure excuses for good.
func TestRequestsSentAgainWithinOneFailureAreNotBlamed(t *testing.T) {
	const apart = 400 * time.Millisecond
	tests := []struct {
		name        string
		requests    int           // each of which runs alone at two upstreams that die
		dataCentres int           // over which the upstreams are spread in turn
		pause       time.Duration // between the two deaths of each request
		again       bool          // the first request is there at one more death a second later
		want        []crash.Fingerprint
	}{
		{"one request", 1, 1, 0, false, []crash.Fingerprint{"request-0"}},
		{"four requests in one data centre", 4, 1, 0, false, nil},
		{"four requests in four data centres", 4, 4, 0, false, nil},
		{"two requests in four data centres", 2, 4, 0, false, []crash.Fingerprint{"request-0", "request-1"}},
		{"two moments", 4, 1, apart, false, []crash.Fingerprint{"request-0", "request-1", "request-2", "request-3"}},
		{"one of them crashes another upstream", 4, 1, 0, true, []crash.Fingerprint{"request-0"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stamp := uint64(0)
				r := crash.NewRegistry(time.Now, func() uint64 { stamp++; return stamp }, time.Hour)
				for i := range 2 * tc.requests {
					if i == tc.requests {
						time.Sleep(tc.pause)
					}
					r.RecordDeath(crash.Fingerprint(fmt.Sprint("request-", i%tc.requests)), fmt.Sprint("u", i), fmt.Sprint("dc-", i%tc.dataCentres),
						crash.BrokeBeforeFirstToken)
				}
				time.Sleep(time.Second)
				if tc.again {
					r.RecordDeath("request-0", "v", "dc-0", crash.BrokeBeforeFirstToken)
					time.Sleep(time.Second)
				}
				var got []crash.Fingerprint
				for i := range tc.requests {
					f := crash.Fingerprint(fmt.Sprint("request-", i))
					if _, ok := r.Verdict(f).(crash.Quarantined); ok {
						got = append(got, f)
					}
				}
				if fmt.Sprint(got) != fmt.Sprint(tc.want) {
					t.Errorf("in quarantine: %v, want %v", got, tc.want)
				}
			})
		})
	}
}
