package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/rules"

	"pgregory.net/rapid"
)

// TestPlainOutcomes checks the result and the number of attempts for sequences of upstreams' answers to plain requests.
func TestPlainOutcomes(t *testing.T) {
	reset := NewSendError(true, errors.New("connection reset"))
	refusedDial := NewSendError(false, errors.New("connection refused"))
	sealed500 := func() *Answer {
		return &Answer{AnswerInfo: AnswerInfo{Sealed: true}, Status: 500, Body: plainBody("bad")}
	}
	tests := []struct {
		name          string
		kind          rules.Kind
		budget        int
		answers       []any // *Answer, or error
		status        int   // of the answer or the refusal
		sends         int
		hasRetryAfter bool // the refusal has a Retry-After
	}{
		{"answered", rules.NonIdempotent, 9, []any{sealed("1", plainBody("yes"))}, 200, 1, false},
		{"reset after sending is never retried", rules.NonIdempotent, 9, []any{reset}, 502, 1, false},
		{"reset after sending is retried if idempotent", rules.Idempotent, 9,
			[]any{reset, sealed("2", plainBody("yes"))}, 200, 2, false},
		{"unreachable upstream: another is tried", rules.NonIdempotent, 9,
			[]any{refusedDial, sealed("2", plainBody("yes"))}, 200, 2, false},
		{"all upstreams unreachable", rules.NonIdempotent, 9, []any{refusedDial, refusedDial, refusedDial}, 503, 3, true},
		{"refused as not run is sent once more", rules.NonIdempotent, 9,
			[]any{notRun(""), sealed("2", plainBody("yes"))}, 200, 2, false},
		{"refused twice, then answered", rules.NonIdempotent, 9,
			[]any{notRun(""), notRun(""), sealed("3", plainBody("yes"))}, 200, 3, false},
		{"refused by all", rules.NonIdempotent, 9, []any{notRun(""), notRun(""), notRun("")}, 503, 3, true},
		{"refused, then reset: may have run", rules.NonIdempotent, 9, []any{notRun(""), reset}, 502, 2, false},
		{"the upstream's failure is passed on", rules.NonIdempotent, 9, []any{sealed500()}, 500, 1, false},
		{"the upstream's failure is retried if idempotent", rules.Idempotent, 9,
			[]any{sealed500(), sealed("2", plainBody("yes"))}, 200, 2, false},
		{"the last failure is passed on", rules.Idempotent, 9, []any{sealed500(), sealed500()}, 500, 2, false},
		{"no budget: the failure is passed on", rules.Idempotent, 0, []any{sealed500()}, 500, 1, false},
		{"no budget after a refusal", rules.Idempotent, 0, []any{notRun("")}, 503, 1, true},
		{"no budget after a reset", rules.Idempotent, 0, []any{reset}, 502, 1, false},
		{
			"a success without a seal is not accepted", rules.NonIdempotent, 9,
			[]any{&Answer{AnswerInfo: AnswerInfo{}, Status: 200, Body: plainBody("garbage")}}, 502, 1, false,
		},
		{
			"another request's answer", rules.Idempotent, 9,
			[]any{&Answer{AnswerInfo: AnswerInfo{IDMismatch: true, Sealed: true}, Status: 200, Body: plainBody("theirs")},
				sealed("2", plainBody("yes"))}, 200, 2, false,
		},
		{
			"an answer that breaks off is retried if idempotent", rules.Idempotent, 9,
			[]any{sealed("1", &scriptedBody{steps: []bodyStep{{text: "ye"}, {err: io.ErrUnexpectedEOF}}}),
				sealed("2", plainBody("yes"))}, 200, 2, false,
		},
		{
			"an answer that breaks off", rules.NonIdempotent, 9,
			[]any{sealed("1", &scriptedBody{steps: []bodyStep{{text: "ye"}, {err: io.ErrUnexpectedEOF}}})}, 502, 1, false,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeFleet{list: plainUpstreams(3), retries: tc.budget}
				f.answer = func(_ *Send, n int) (*Answer, error) {
					if n > len(tc.answers) {
						t.Fatalf("a %dth attempt", n)
					}
					if a, ok := tc.answers[n-1].(*Answer); ok {
						return a, nil
					}
					return nil, tc.answers[n-1].(error)
				}
				var sink fakeSink
				err := f.executor().Run(t.Context(), request(route(tc.kind), nil), &sink)
				var refusal *Refusal
				status := sink.status
				if errors.As(err, &refusal) {
					status = refusal.Status
					if got := refusal.RetryAfter > 0; got != tc.hasRetryAfter {
						t.Errorf("Retry-After present: %v, want %v", got, tc.hasRetryAfter)
					}
				} else if err != nil {
					t.Fatal(err)
				}
				if status != tc.status || len(f.sends) != tc.sends {
					t.Errorf("status %d after %d attempts (%v), want %d after %d", status, len(f.sends), err, tc.status,
						tc.sends)
				}
				if status == http.StatusOK && sink.body.String() != "yes" {
					t.Errorf("body %q", sink.body.String())
				}
			})
		})
	}
}

// promisedStatuses are the statuses by which callers conclude that a request has not run.
var promisedStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// TestUpstreamsPromiseIsNotPassedOnForARequestThatMayHaveRun guards against an upstream's 503, or another status that promises that
// nothing ran, that reaches the caller although the upstream has not said so and may have run the request.
func TestUpstreamsPromiseIsNotPassedOnForARequestThatMayHaveRun(t *testing.T) {
	large := strings.Repeat("x", maxBufferedBytes+1000)
	for _, tc := range []struct {
		name      string
		kind      rules.Kind
		resumable bool
		engine    *rules.Engine
		sends     int // with attempts left and a budget
	}{
		{"non-idempotent", rules.NonIdempotent, false, nil, 1},
		{"stream", rules.Streaming, false, nil, 1},
		{"stream of a model", rules.Streaming, false, model(), 1},
		{"idempotent", rules.Idempotent, false, nil, 2},
		{"resumable stream", rules.Streaming, true, nil, 2},
	} {
		for _, status := range promisedStatuses {
			for _, body := range []struct {
				name string
				make func() io.ReadCloser
			}{
				{"whole", func() io.ReadCloser { return plainBody("no") }},
				{"large", func() io.ReadCloser { return plainBody(large) }},
				{"cut", func() io.ReadCloser {
					return &scriptedBody{steps: []bodyStep{{text: "n"}, {err: io.ErrUnexpectedEOF}}}
				}},
			} {
				for _, budget := range []int{0, 9} {
					t.Run(fmt.Sprintf("%s/%d/%s/budget %d", tc.name, status, body.name, budget), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							f := &fakeFleet{list: plainUpstreams(3), retries: budget, answer: func(*Send, int) (*Answer, error) {
								return &Answer{AnswerInfo: AnswerInfo{Sealed: true}, Status: status,
									Header: http.Header{"Seal": {"1"}}, Body: body.make()}, nil
							}}
							if tc.engine != nil {
								f.list = layeredUpstreams()
							}
							route := route(tc.kind)
							route.Resumable = tc.resumable
							var sink fakeSink
							err := f.executor().Run(t.Context(), request(route, tc.engine), &sink)
							var refusal *Refusal
							if !errors.As(err, &refusal) || refusal.Status != http.StatusBadGateway || sink.status != 0 {
								t.Errorf("the caller got %v and status %d, want 502 without the upstream's answer", err, sink.status)
							}
							if want := min(tc.sends, 1+budget); len(f.sends) != want {
								t.Errorf("%d attempts, want %d", len(f.sends), want)
							}
						})
					})
				}
			}
		}
	}
}

func TestSlowIdempotentCallGoesElsewhereAtItsObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: plainUpstreams(2), retries: 9}
		f.answer = func(_ *Send, n int) (*Answer, error) {
			if n == 1 {
				return sealed("1", &scriptedBody{steps: []bodyStep{{pause: time.Hour, text: "late"}}}), nil
			}
			return sealed("2", plainBody("yes")), nil
		}
		var sink fakeSink
		began := time.Now()
		if err := f.executor().Run(t.Context(), request(route(rules.Idempotent), nil), &sink); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took != 500*time.Millisecond {
			t.Errorf("the answer came after %v, want the objective of 500 ms", took)
		}
	})
}

func TestWaitsForRoomAndThenRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: nil, retries: 9}
		began := time.Now()
		err := f.executor().Run(t.Context(), request(route(rules.NonIdempotent), nil), &fakeSink{})
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Status != http.StatusServiceUnavailable || refusal.RetryAfter <= 0 {
			t.Fatalf("%v, want a refusal with a Retry-After", err)
		}
		if took := time.Since(began); took > maxCapacityWait {
			t.Errorf("refused after %v", took)
		}
	})
}

func TestCallerGoneEndsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: layeredUpstreams(), retries: 9}
		f.answer = func(*Send, int) (*Answer, error) {
			return sealed("1", &scriptedBody{steps: eventsFrom(0, 1000, 50*time.Millisecond)}), nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		began := time.Now()
		err := f.executor().Run(ctx, request(route(rules.Streaming), model()), &fakeSink{})
		if !errors.Is(err, ErrCallerGone) || time.Since(began) != time.Second || len(f.sends) != 1 {
			t.Errorf("%v after %v and %d attempts, want %v at once", err, time.Since(began), len(f.sends), ErrCallerGone)
		}
	})
}

func TestTimeoutEndsARequestInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: plainUpstreams(2), retries: 9}
		f.answer = func(*Send, int) (*Answer, error) {
			return sealed("1", &scriptedBody{steps: []bodyStep{{pause: time.Hour, text: "late"}}}), nil
		}
		q := request(route(rules.NonIdempotent), nil)
		q.ExpiresAt = time.Now().Add(400 * time.Millisecond)
		began := time.Now()
		err := f.executor().Run(t.Context(), q, &fakeSink{})
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Status != http.StatusGatewayTimeout ||
			time.Since(began) != 400*time.Millisecond {
			t.Errorf("%v after %v, want 504 at the timeout", err, time.Since(began))
		}
	})
}

// TestNothingRunsTwice draws answers of upstreams in any order and guards against duplicate execution: a non-idempotent
// call runs at most once, and a refusal as not run is returned only if it did not run.
func TestNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plans := rapid.SliceOfN(rapid.IntRange(0, 6), 8, 8).Draw(rt, "answers")
		synctest.Test(t, func(t *testing.T) {
			f := &fakeFleet{list: plainUpstreams(3), retries: rapid.IntRange(0, 5).Draw(rt, "budget")}
			runs := 0
			f.answer = func(_ *Send, n int) (*Answer, error) {
				switch plans[n%len(plans)] {
				case 0:
					runs++
					return sealed("1", plainBody("yes")), nil
				case 1:
					return notRun(""), nil
				case 2:
					runs++
					return nil, NewSendError(true, errors.New("reset"))
				case 3:
					return nil, NewSendError(false, errors.New("refused"))
				case 4:
					runs++
					return sealed("1", &scriptedBody{steps: []bodyStep{{text: "y"}, {err: io.ErrUnexpectedEOF}}}), nil
				case 5:
					runs++
					return &Answer{AnswerInfo: AnswerInfo{IDMismatch: true}, Status: 200, Body: plainBody("theirs")}, nil
				default:
					runs++
					status := promisedStatuses[n%len(promisedStatuses)]
					return &Answer{AnswerInfo: AnswerInfo{Sealed: true}, Status: status, Body: plainBody("no")}, nil
				}
			}
			var sink fakeSink
			err := f.executor().Run(t.Context(), request(route(rules.NonIdempotent), nil), &sink)
			if runs > 0 && slices.Contains(promisedStatuses, sink.status) {
				rt.Fatalf("status %d was passed on, though it ran", sink.status)
			}
			if runs > 1 {
				rt.Fatalf("it ran %d times", runs)
			}
			var refusal *Refusal
			if errors.As(err, &refusal) && refusal.Status == http.StatusServiceUnavailable && runs > 0 {
				rt.Fatalf("%v, though it ran", err)
			}
		})
	})
}

// TestRetryDelaysAreSpread checks that the Retry-After of refused callers is within a third of their remaining time and
// spread, so that they don't all return at once.
func TestRetryDelaysAreSpread(t *testing.T) {
	for _, left := range []time.Duration{600 * time.Millisecond, 2500 * time.Millisecond, 20 * time.Second} {
		first, last := retryAfter(left, 0), retryAfter(left, 0.999)
		if first <= 0 || last > left/3 || last < 3*first {
			t.Errorf("with %v left, callers retry after %v to %v", left, first, last)
		}
	}
	if got := retryAfter(-time.Second, 0.5); got != 0 {
		t.Errorf("a caller without time left is to retry after %v", got)
	}
}

func TestMaxFirstEventWait(t *testing.T) {
	if got := maxFirstEventWait(route(rules.Streaming)); got != 500*time.Millisecond {
		t.Errorf("predicted first events up to %v are allowed, want the route's objective", got)
	}
	if got := maxFirstEventWait(&rules.Route{}); got != 2*time.Second {
		t.Errorf("without an objective, predicted first events up to %v are allowed, want the caller's assumed wait", got)
	}
}

// TestLargeAnswersComeWhole checks that answers larger than the buffer reach the caller complete, including error
// answers to streaming requests.
func TestLargeAnswersComeWhole(t *testing.T) {
	body := strings.Repeat("x", maxBufferedBytes+1000)
	for _, test := range []struct {
		name   string
		kind   rules.Kind
		status int
	}{
		{"a plain answer", rules.Idempotent, http.StatusOK},
		{"a failure of a plain request", rules.NonIdempotent, http.StatusInternalServerError},
		{"a failure of a stream", rules.Streaming, http.StatusInternalServerError},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeFleet{list: plainUpstreams(1), answer: func(*Send, int) (*Answer, error) {
					return &Answer{AnswerInfo: AnswerInfo{Sealed: true}, Status: test.status, Body: plainBody(body)}, nil
				}}
				var sink fakeSink
				if err := f.executor().Run(t.Context(), request(route(test.kind), nil), &sink); err != nil {
					t.Fatal(err)
				}
				if sink.status != test.status || sink.body.Len() != len(body) {
					t.Errorf("status %d with %d bytes, want %d with %d", sink.status, sink.body.Len(), test.status, len(body))
				}
			})
		})
	}
}
