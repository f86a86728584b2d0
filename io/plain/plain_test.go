package plain_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"rhubarbspread/core/call"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
	"rhubarbspread/io/dial"
	"rhubarbspread/io/plain"
)

// TestStatusAloneDoesNotStateThatACallDidNotRun guards against a service's 429 or 503 to a call that it ran, which reaches the caller as
// the call's answer or as a refusal, and against a refusal that states that the call did not run and is taken for its answer.
func TestStatusAloneDoesNotStateThatACallDidNotRun(t *testing.T) {
	const done, refused, unknown = "reply.Done", "reply.Refused", "reply.Unknown"
	for _, tc := range []struct {
		status     int
		states     bool // the answer states that the call did not run
		idempotent bool
		want       string
	}{
		{http.StatusRequestTimeout, false, false, unknown},
		{http.StatusMisdirectedRequest, false, false, unknown},
		{http.StatusTooManyRequests, false, false, unknown},
		{http.StatusServiceUnavailable, false, false, unknown},
		{http.StatusServiceUnavailable, false, true, unknown},
		{http.StatusRequestTimeout, true, false, refused},
		{http.StatusMisdirectedRequest, true, false, refused},
		{http.StatusTooManyRequests, true, false, refused},
		{http.StatusTooManyRequests, true, true, refused},
		{http.StatusServiceUnavailable, true, false, refused},
		{http.StatusTooManyRequests, false, true, done},
		{http.StatusNotFound, false, false, done},
		{http.StatusOK, false, false, done},
		{http.StatusOK, true, false, unknown},
	} {
		t.Run(fmt.Sprintf("%d, states %v, idempotent %v", tc.status, tc.states, tc.idempotent), func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set(plain.AttemptHeader, r.Header.Get(plain.AttemptHeader))
				if tc.states {
					w.Header().Set(plain.RunStateHeader, string(reply.NotRun))
				}
				w.WriteHeader(tc.status)
			}))
			defer s.Close()
			u := route.NewUpstream("u", s.Listener.Addr().String(), "dc", "booking")
			q := &call.Request{Method: http.MethodPost, Path: "/x", Key: "k", Body: []byte("{}"), Idempotent: tc.idempotent}
			answer, outcome := plain.New(dial.NewHostCache()).Send(t.Context(), u, "a", q)
			if got := fmt.Sprintf("%T", outcome); got != tc.want || (answer != nil) != (tc.want == done) {
				t.Errorf("%s with the answer %v, want %s", got, answer, tc.want)
			}
		})
	}
}
