package proxy

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/rules"
)

// TestCrashingRequestIsStopped guards against a repeated request that crashes one upstream after the other. After two
// deaths it is sent to no more upstreams, neither by this node nor by one that received its marks; other requests are
// served.
func TestCrashingRequestIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: plainUpstreams(6), retries: 99, probesFail: true}
		f.answer = func(s *Send, _ int) (*Answer, error) {
			if string(s.Body) == "poison" {
				return nil, NewSendError(true, errors.New("connection reset"))
			}
			return sealed("1", plainBody("yes")), nil
		}
		e := f.executor()
		for range 5 {
			q := request(route(rules.Idempotent), nil)
			q.Body = []byte("poison")
			if err := e.Run(t.Context(), q, &fakeSink{}); err == nil {
				t.Fatal("a request that crashes upstreams was answered")
			}
			time.Sleep(5 * time.Second)
		}
		if len(f.sends) > 2 {
			t.Errorf("it was sent to %d upstreams, want at most 2", len(f.sends))
		}
		if err := e.Run(t.Context(), request(route(rules.Idempotent), nil), &fakeSink{}); err != nil {
			t.Errorf("another request: %v", err)
		}
		other := &fakeFleet{list: plainUpstreams(6), retries: 99, answer: f.answer}
		fresh := other.executor()
		for _, m := range f.marks {
			other.crashes.ApplyMark(m)
		}
		time.Sleep(time.Second)
		q := request(route(rules.Idempotent), nil)
		q.Body = []byte("poison")
		if err := fresh.Run(t.Context(), q, &fakeSink{}); err == nil || len(other.sends) != 0 {
			t.Errorf("a node with the marks: %v after %d attempts, want a refusal without an attempt", err,
				len(other.sends))
		}
	})
}

// TestLostAnswersAreNoCrash checks that a request is not suspected if an upstream breaks the connection but still
// accepts new ones.
func TestLostAnswersAreNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: plainUpstreams(6), retries: 99}
		f.answer = func(*Send, int) (*Answer, error) { return nil, NewSendError(true, errors.New("connection reset")) }
		e := f.executor()
		for range 3 {
			_ = e.Run(t.Context(), request(route(rules.Idempotent), nil), &fakeSink{})
			time.Sleep(5 * time.Second)
		}
		if len(f.sends) != 6 || len(f.marks) != 0 {
			t.Errorf("%d attempts and %d marks, want 6 and none", len(f.sends), len(f.marks))
		}
	})
}
