package carry

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/rules"
)

// TestCrashingRequestIsStopped: upstreams die of a request that comes again and again. After two deaths no more
// upstreams meet it, here or at a node that learnt the marks; other requests are served.
func TestCrashingRequestIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{list: plainUpstreams(6), repeats: 99, dead: true}
		w.answer = func(s *Send, _ int) (*Answer, error) {
			if string(s.Body) == "poison" {
				return nil, NewSendError(true, errors.New("connection reset"))
			}
			return ok("1", plainBody("yes")), nil
		}
		c := w.carrier()
		for range 5 {
			q := request(route(rules.Idempotent), nil)
			q.Body = []byte("poison")
			if err := c.Run(t.Context(), q, &caller{}); err == nil {
				t.Fatal("a request that upstreams die of was answered")
			}
			time.Sleep(5 * time.Second)
		}
		if len(w.sends) > 2 {
			t.Errorf("%d upstreams met it, want at most 2", len(w.sends))
		}
		if err := c.Run(t.Context(), request(route(rules.Idempotent), nil), &caller{}); err != nil {
			t.Errorf("another request: %v", err)
		}
		other := &world{list: plainUpstreams(6), repeats: 99, answer: w.answer}
		fresh := other.carrier()
		for _, m := range w.marks {
			other.crashes.Learn(m)
		}
		time.Sleep(time.Second)
		q := request(route(rules.Idempotent), nil)
		q.Body = []byte("poison")
		if err := fresh.Run(t.Context(), q, &caller{}); err == nil || len(other.sends) != 0 {
			t.Errorf("a node that learnt the marks: %v after %d attempts", err, len(other.sends))
		}
	})
}

// TestLostAnswersAreNoCrash: an upstream that lost an answer and still accepts connections did not die of it.
func TestLostAnswersAreNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{list: plainUpstreams(6), repeats: 99}
		w.answer = func(*Send, int) (*Answer, error) { return nil, NewSendError(true, errors.New("connection reset")) }
		c := w.carrier()
		for range 3 {
			_ = c.Run(t.Context(), request(route(rules.Idempotent), nil), &caller{})
			time.Sleep(5 * time.Second)
		}
		if len(w.sends) != 6 || len(w.marks) != 0 {
			t.Errorf("%d attempts and %d marks, want 6 and none", len(w.sends), len(w.marks))
		}
	})
}
