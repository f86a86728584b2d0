package proxy

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/reply"
	"rhubarbspread/core/rules"
)

// refusing returns an answer that turns a request away and asks for rest.
func refusing(rest time.Duration) *Answer {
	a := sealed("1", plainBody(""))
	a.Status, a.Header = http.StatusServiceUnavailable, http.Header{}
	a.AnswerInfo = AnswerInfo{NotRun: true, Rest: Rest{For: rest}}
	return a
}

// TestRequestThatOnlyRestingUpstreamsCouldServeIsRefusedAtOnce guards against callers who wait for an upstream that wants no
// requests, or who are told to return before it takes any.
func TestRequestThatOnlyRestingUpstreamsCouldServeIsRefusedAtOnce(t *testing.T) {
	const rest = 3 * time.Second
	for _, kind := range []rules.Kind{rules.Idempotent, rules.NonIdempotent} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeFleet{list: plainUpstreams(3), retries: 9}
			f.answer = func(*Send, int) (*Answer, error) { return refusing(rest), nil }
			e := f.executor()
			for range 5 {
				began := time.Now()
				err := e.Run(t.Context(), request(route(kind), nil), &fakeSink{})
				var refusal *Refusal
				if !errors.As(err, &refusal) || refusal.Status != http.StatusServiceUnavailable || refusal.RetryAfter < rest {
					t.Errorf("%v, want 503 with a Retry-After of %v at least", err, rest)
				}
				if waited := time.Since(began); waited > 0 {
					t.Errorf("the caller waited for %v", waited)
				}
			}
			if len(f.sends) != len(f.list) {
				t.Errorf("%d sends, want one to each of %d upstreams", len(f.sends), len(f.list))
			}
			time.Sleep(rest)
			f.answer = func(*Send, int) (*Answer, error) { return sealed("1", plainBody("x")), nil }
			if err := e.Run(t.Context(), request(route(kind), nil), &fakeSink{}); err != nil {
				t.Errorf("%v after the rest, want an answer", err)
			}
		})
	}
}

// TestRequestWaitsForTheEndOfAShortRest guards against a refusal where an upstream soon takes requests again, and against a wait
// that goes on after that.
func TestRequestWaitsForTheEndOfAShortRest(t *testing.T) {
	const rest = maxCapacityWait / 2
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: plainUpstreams(1)}
		f.answer = func(*Send, int) (*Answer, error) { return sealed("1", plainBody("x")), nil }
		e := f.executor()
		e.board.RecordRest(f.list[0], rest)
		began := time.Now()
		if err := e.Run(t.Context(), request(route(rules.NonIdempotent), nil), &fakeSink{}); err != nil {
			t.Errorf("%v, want an answer", err)
		}
		if waited := time.Since(began); waited != rest {
			t.Errorf("sent after %v, want %v", waited, rest)
		}
	})
}

// TestRestIsTakenFromOwnRefusalsOnly checks which answers make an upstream rest.
func TestRestIsTakenFromOwnRefusalsOnly(t *testing.T) {
	rest := Rest{For: time.Minute}
	for _, tc := range []struct {
		name  string
		info  AnswerInfo
		rests bool
	}{
		{"a refusal", AnswerInfo{NotRun: true, Rest: rest}, true},
		{"a failure of its own", AnswerInfo{Sealed: true, Rest: rest}, true},
		{"a refusal that names none", AnswerInfo{NotRun: true}, false},
		{"unreadable", AnswerInfo{NotRun: true, Rest: Rest{Unreadable: true}}, false},
		{"an answer to another request", AnswerInfo{IDMismatch: true, NotRun: true, Rest: rest}, false},
		{"neither sealed nor declared as not run", AnswerInfo{Rest: rest}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeFleet{list: plainUpstreams(1)}
			f.answer = func(*Send, int) (*Answer, error) {
				a := refusing(0)
				a.AnswerInfo = tc.info
				return a, nil
			}
			e := f.executor()
			_ = e.Run(t.Context(), request(route(rules.NonIdempotent), nil), &fakeSink{})
			if got := e.board.IsResting(f.list[0]); got != tc.rests {
				t.Errorf("%s: rests: %v, want %v", tc.name, got, tc.rests)
			}
		})
	}
}

// TestPathIsKeptWhileItsFirstStageRests guards against orders and reports that are sent to an upstream that wants no requests.
func TestPathIsKeptWhileItsFirstStageRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: layeredUpstreams()}
		e := f.executor()
		r := &run{executor: e, request: request(route(rules.Streaming), model())}
		res := r.tryReserve(r.need(nil))
		e.board.RecordRest(res.Upstream, time.Second)
		if err := r.bypass(t.Context(), res, f.list[1]); !errors.Is(err, errFirstStageRests) {
			t.Errorf("%v, want %v", err, errFirstStageRests)
		}
		if r.runState() != reply.NotRun {
			t.Error("the request counts as sent")
		}
	})
}
