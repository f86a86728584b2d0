package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/queue"
	"rhubarbspread/core/rules"
)

// admissionFake is an executor with admission control before one path, or two, that take a single stream each.
type admissionFake struct {
	*fakeFleet
	executor  *Executor
	admission *Admission
	inForce   bool
	routes    []*rules.Route // by priority

	mu    sync.Mutex
	ended map[string]error // results by request
	waits map[string]time.Duration
	tasks sync.WaitGroup
	left  time.Duration // until the deadline of requests that start, 0 for that of request
}

func (f *admissionFake) Admission(string) *Admission {
	if !f.inForce {
		return nil
	}
	return f.admission
}

func newAdmissionFake(paths int) *admissionFake {
	f := &admissionFake{fakeFleet: &fakeFleet{retries: 99}, inForce: true, ended: make(map[string]error), waits: make(map[string]time.Duration),
		admission: &Admission{Controller: admit.New("s"), Queue: queue.New()}}
	f.answer = func(*Send, int) (*Answer, error) {
		return sealed("1", &scriptedBody{steps: eventsFrom(0, 1, 50*time.Millisecond)}), nil
	}
	list := layeredUpstreams()
	f.list = []*fleet.Upstream{list[2]}
	for _, u := range list[:paths] {
		u.Slots = 1
		f.list = append(f.list, u)
	}
	var classes []admit.Class
	for priority := range 3 {
		r := route(rules.Streaming)
		r.Priority = priority
		f.routes = append(f.routes, r)
		classes = append(classes, admit.Class{Rank: admit.RankOf(-1, priority), FirstEvent: r.LatencyObjective, EventGap: r.EventGapObjective})
	}
	f.admission.Controller.SetClasses(classes)
	f.executor = f.fakeFleet.executor()
	f.executor.board = board.New(board.WithSeed(1), board.WithDataCentre("a"), board.WithOnFreed(f.admission.Queue.Wake))
	f.executor.gate = f
	return f
}

// start runs a request of a priority, and returns once it waits or has been sent.
func (f *admissionFake) start(ctx context.Context, id string, priority int) {
	q := request(f.routes[priority], model())
	q.ID = id
	if f.left > 0 {
		q.ExpiresAt = time.Now().Add(f.left)
	}
	began := time.Now()
	f.tasks.Go(func() {
		err := f.executor.Run(ctx, q, &fakeSink{})
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ended[id], f.waits[id] = err, time.Since(began)
	})
	synctest.Wait()
}

// result returns how long a request took, and its error.
func (f *admissionFake) result(id string) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waits[id], f.ended[id]
}

// counted returns how often a counter was counted.
func (f *admissionFake) counted(name string) int {
	f.fakeFleet.mu.Lock()
	defer f.fakeFleet.mu.Unlock()
	return f.counts[name]
}

// sent returns the IDs of the requests in the order in which they were sent.
func (f *admissionFake) sent() []string {
	f.fakeFleet.mu.Lock()
	defer f.fakeFleet.mu.Unlock()
	var ids []string
	for _, s := range f.sends {
		ids = append(ids, s.ID)
	}
	return ids
}

func (f *admissionFake) checkSent(t *testing.T, want ...string) {
	t.Helper()
	f.tasks.Wait()
	if got := f.sent(); !slices.Equal(got, want) {
		t.Errorf("sent in the order %v, want %v", got, want)
	}
	if n := f.admission.Queue.Len(); n != 0 {
		t.Errorf("%d requests are left in the queue", n)
	}
}

// TestRequestsWaitInOrder guards against capacity that goes to whoever wakes first, and against requests that nobody wakes.
func TestRequestsWaitInOrder(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(t *testing.T, f *admissionFake)
		want []string
	}{
		{"by rank", func(t *testing.T, f *admissionFake) {
			for i, priority := range []int{2, 2, 1, 0} {
				f.start(t.Context(), fmt.Sprint("r", i), priority)
			}
		}, []string{"r0", "r3", "r2", "r1"}},
		{"a caller who was refused before", func(t *testing.T, f *admissionFake) {
			const usual = 20 * time.Second
			f.left = usual
			for range 20 {
				f.admission.Controller.Offer(admit.Request{Rank: admit.RankOf(-1, 1), Left: usual}).Abandon()
			}
			f.start(t.Context(), "r0", 0)
			f.left = usual / 2
			f.start(t.Context(), "late", 1)
			f.left = usual
			f.start(t.Context(), "less-urgent", 2)
			f.start(t.Context(), "fresh", 1)
		}, []string{"r0", "fresh", "late", "less-urgent"}},
		{"a caller leaves while waiting", func(t *testing.T, f *admissionFake) {
			f.start(t.Context(), "r0", 0)
			ctx, leave := context.WithCancel(t.Context())
			f.start(ctx, "gone", 0)
			f.start(t.Context(), "r1", 0)
			leave()
			synctest.Wait()
			if _, err := f.result("gone"); !errors.Is(err, ErrCallerGone) {
				t.Errorf("%v, want %v", err, ErrCallerGone)
			}
		}, []string{"r0", "r1"}},
		{"a configuration takes admission out of force", func(t *testing.T, f *admissionFake) {
			f.start(t.Context(), "r0", 0)
			f.start(t.Context(), "r1", 2)
			f.inForce = false
			f.admission.Controller.SetClasses(nil)
			f.start(t.Context(), "r2", 0) // waits on the former path
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAdmissionFake(1)
				tc.play(t, f)
				f.tasks.Wait()
				for id, err := range f.ended {
					if err != nil && id != "gone" {
						t.Errorf("%s: %v", id, err)
					}
				}
				if tc.want != nil {
					f.checkSent(t, tc.want...)
				}
			})
		})
	}
}

// TestBrokenStreamGoesFirst guards against a stream that breaks off and waits behind requests that have not begun.
func TestBrokenStreamGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAdmissionFake(2)
		f.answer = func(s *Send, _ int) (*Answer, error) {
			switch {
			case s.ID == "broken" && s.ResumeAfter == "":
				return sealed("1", &scriptedBody{steps: append(eventsFrom(0, 1, 5*time.Millisecond), bodyStep{err: io.ErrUnexpectedEOF})}), nil
			case s.ID == "broken":
				return sealed("1", &scriptedBody{steps: eventsFrom(2, 3, 0)}), nil
			}
			return sealed("1", &scriptedBody{steps: eventsFrom(0, 1, 100*time.Millisecond)}), nil
		}
		f.start(t.Context(), "other", 0)
		f.start(t.Context(), "broken", 2)
		for _, id := range []string{"r0", "r1", "r2"} {
			f.start(t.Context(), id, 0)
		}
		f.tasks.Wait()
		got := f.sent()
		if _, err := f.result("broken"); err != nil {
			t.Errorf("%v, want the whole answer", err)
		}
		resumed := slices.Index(got[2:], "broken") + 2
		if ahead := got[2:max(2, resumed)]; len(ahead) > 1 { // one takes the room that the break leaves
			t.Errorf("sent in the order %v, want at most one before the stream that goes on", got)
		}
	})
}

// TestHopelessRequestIsRefusedAtOnce guards against callers who wait although their turn can't come in time.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAdmissionFake(1)
		f.answer = func(*Send, int) (*Answer, error) {
			return sealed("1", &scriptedBody{steps: eventsFrom(0, 9, 150*time.Millisecond)}), nil
		}
		for i := range 1 + minHopelessAhead {
			f.start(t.Context(), fmt.Sprint("r", i), 0)
		}
		f.start(t.Context(), "urgent", 0)
		f.start(t.Context(), "patient", 2)
		for _, id := range []string{"urgent", "patient"} {
			var refusal *Refusal
			if waited, err := f.result(id); !errors.As(err, &refusal) || refusal.Status != http.StatusServiceUnavailable || waited > 0 {
				t.Errorf("%s: %v after %v, want 503 at once", id, err, waited)
			}
		}
		if n := f.counted("admission-hopeless"); n != 2 {
			t.Errorf("%d counted as hopeless, want 2", n)
		}
		f.tasks.Wait()
		if n := f.counted("admission-refused"); n != 2+minHopelessAhead {
			t.Errorf("%d refused, want %d", n, 2+minHopelessAhead)
		}
	})
}

// TestRetryAfterFollowsTheClass guards against callers of all classes who come back at the same time, also where admission control
// went out of force while they waited.
func TestRetryAfterFollowsTheClass(t *testing.T) {
	for _, tc := range []struct {
		name        string
		priority    int
		outOfForce  bool
		least, most float64 // shares of the time left
	}{
		{"the most urgent class", 0, false, 0.05, 0.20},
		{"the least urgent class", 2, false, 0.15, 0.30},
		{"out of force", 2, true, 0.05, 0.20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				different := make(map[time.Duration]bool)
				for range 5 {
					f := newAdmissionFake(1)
					f.answer = func(*Send, int) (*Answer, error) {
						return sealed("1", &scriptedBody{steps: eventsFrom(0, 9, 100*time.Millisecond)}), nil
					}
					f.start(t.Context(), "r0", 0)
					f.start(t.Context(), "r1", tc.priority)
					if tc.outOfForce {
						f.admission.Controller.SetClasses(nil)
					}
					f.tasks.Wait()
					var refusal *Refusal
					waited, err := f.result("r1")
					if !errors.As(err, &refusal) {
						t.Fatalf("%v, want a refusal", err)
					}
					left := 20*time.Second - waited
					if share := refusal.RetryAfter.Seconds() / left.Seconds(); share < tc.least || share > tc.most {
						t.Errorf("told to come back after %.3f of the time left, want %v to %v", share, tc.least, tc.most)
					}
					different[refusal.RetryAfter] = true
				}
				if len(different) < 2 {
					t.Error("all are told to come back after the same time")
				}
			})
		})
	}
}

// withholding withholds the requests with the ID "withheld" until a time.
type withholding struct {
	*crash.Registry
	fingerprint crash.Fingerprint
	until       time.Time
}

func (w *withholding) Admit(suspects []crash.Fingerprint) crash.Admission {
	if slices.Contains(suspects, w.fingerprint) && time.Now().Before(w.until) {
		return crash.Withheld
	}
	return crash.Admitted
}

// TestWithheldRequestHoldsUpNobody guards against requests that wait behind one that may not be sent yet although there is room, and
// against a withheld request that is not sent once it may be.
func TestWithheldRequestHoldsUpNobody(t *testing.T) {
	for _, tc := range []struct {
		name     string
		withheld time.Duration
		isServed bool
	}{{"for some time", 200 * time.Millisecond, true}, {"for longer than it can wait", time.Second, false}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAdmissionFake(1)
				q := request(f.routes[0], model())
				q.Body = []byte("withheld")
				suspects := q.suspects()
				f.executor.crashes = &withholding{f.crashes, suspects[len(suspects)-1], time.Now().Add(tc.withheld)}
				var err error
				f.tasks.Go(func() { err = f.executor.Run(t.Context(), q, &fakeSink{}) })
				synctest.Wait()
				f.start(t.Context(), "r1", 2)
				if got := f.sent(); !slices.Equal(got, []string{"r1"}) {
					t.Errorf("sent %v at once, want r1", got)
				}
				f.tasks.Wait()
				_, other := f.result("r1")
				if (err == nil) != tc.isServed || other != nil {
					t.Errorf("results %v and %v, want the withheld request served: %v", err, other, tc.isServed)
				}
				if n := f.counted("admission-refused"); n != 0 {
					t.Errorf("%d refused for lack of capacity, want none", n)
				}
			})
		})
	}
}

// TestServicesWithoutAdmissionAreAsBefore guards against a change for services where admission control is not in force.
func TestServicesWithoutAdmissionAreAsBefore(t *testing.T) {
	for _, tc := range []struct {
		name   string
		gate   func(f *admissionFake) Gate
		engine *rules.Engine
	}{
		{"no gate", func(*admissionFake) Gate { return nil }, model()},
		{"not in force", func(f *admissionFake) Gate { f.inForce = false; return f }, model()},
		{"a plain service", func(f *admissionFake) Gate { return f }, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAdmissionFake(1)
				f.executor.gate = tc.gate(f)
				f.answer = func(*Send, int) (*Answer, error) {
					return sealed("1", &scriptedBody{steps: eventsFrom(0, 9, 150*time.Millisecond)}), nil
				}
				if tc.engine == nil {
					f.list = nil
				}
				began := time.Now()
				r := &run{executor: f.executor, request: request(f.routes[0], tc.engine), ctx: t.Context(), started: began}
				r.enterAdmission()
				if r.ticket != nil || r.isInAdmission() || r.admissionFields() != nil {
					t.Error("the request is under admission control")
				}
				if tc.engine != nil {
					f.start(t.Context(), "r0", 0)
				}
				q := request(f.routes[2], tc.engine)
				err := f.executor.Run(t.Context(), q, &fakeSink{})
				var refusal *Refusal
				if !errors.As(err, &refusal) || time.Since(began) != maxCapacityWait {
					t.Fatalf("%v after %v, want a refusal after %v", err, time.Since(began), maxCapacityWait)
				}
				if left := 20*time.Second - maxCapacityWait; refusal.RetryAfter < left/20 || refusal.RetryAfter > left/5 {
					t.Errorf("told to come back after %v", refusal.RetryAfter)
				}
				f.tasks.Wait()
				for _, name := range []string{"admission-refused", "admission-raised", "admission-hopeless"} {
					if f.counted(name) != 0 {
						t.Errorf("counted %s", name)
					}
				}
			})
		})
	}
}
