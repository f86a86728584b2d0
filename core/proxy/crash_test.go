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
		err := fresh.Run(t.Context(), q, &fakeSink{})
		if err == nil || len(other.sends) != 0 {
			t.Errorf("a node with the marks: %v after %d attempts, want a refusal without an attempt", err,
				len(other.sends))
		}
		const quarantine, age = time.Minute, time.Second
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.RetryAfter < quarantine-age || refusal.RetryAfter > quarantine {
			t.Errorf("refusal %+v, want the rest of the quarantine as Retry-After", refusal)
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

// TestFingerprintIsSharedByCopies checks which requests count as copies of one: those of a team under any of its keys.
func TestFingerprintIsSharedByCopies(t *testing.T) {
	first := Request{CallerHeaders: CallerHeaders{ID: "1", APIKey: "k1"}, Method: "POST", Host: "h", URI: "/x",
		Body: []byte("b"), Team: rules.Team{Name: "t"}}
	tests := []struct {
		name   string
		change func(*Request)
		isCopy bool
	}{
		{"another attempt ID", func(q *Request) { q.ID = "2" }, true},
		{"another key of the team", func(q *Request) { q.APIKey = "k2" }, true},
		{"another team", func(q *Request) { q.Team.Name = "u" }, false},
		{"another key without a team", func(q *Request) { q.Team.Name, q.APIKey = "", "k2" }, false},
		{"another path", func(q *Request) { q.URI = "/y" }, false},
		{"another body", func(q *Request) { q.Body = []byte("c") }, false},
	}
	for _, tc := range tests {
		other := first
		tc.change(&other)
		if got := other.Fingerprint() == first.Fingerprint(); got != tc.isCopy {
			t.Errorf("%s: a copy: %v, want %v", tc.name, got, tc.isCopy)
		}
	}
}
