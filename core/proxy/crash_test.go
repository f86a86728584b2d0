package proxy

import (
	"errors"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/place"
	"rhubarbspread/core/rules"
)

// TestCrashingRequestIsStopped guards against a repeated request that crashes one upstream after the other. After two
// deaths it is refused, by this node and by one that received its marks, but for one copy on trial; other requests are served.
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
		for i := range 5 {
			q := request(route(rules.Idempotent), nil)
			q.Body = []byte("poison")
			if err := e.Run(t.Context(), q, &fakeSink{}); err == nil {
				t.Fatal("a request that crashes upstreams was answered")
			}
			if most := 2 + min(i, 1); len(f.sends) > most {
				t.Errorf("copy %d: it was sent to %d upstreams, want at most %d", i, len(f.sends), most)
			}
			time.Sleep(5 * time.Second)
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
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.RetryAfter <= 0 || refusal.RetryAfter > time.Minute {
			t.Fatalf("refusal %+v, want the time until a copy may be tried, at most the quarantine, as Retry-After", refusal)
		}
		time.Sleep(refusal.RetryAfter)
		for range 3 {
			if err := fresh.Run(t.Context(), q, &fakeSink{}); err == nil || len(other.sends) != 1 {
				t.Errorf("after that time: %v after %d attempts in all, want a refusal after one on trial", err, len(other.sends))
			}
		}
	})
}

// TestAnswerOnTrialEndsTheQuarantine guards against a sound request that stays in quarantine, at this node or at one that receives its
// marks, because its upstreams died together while they ran it.
func TestAnswerOnTrialEndsTheQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: plainUpstreams(6), retries: 99, probesFail: true}
		areDown := true
		f.answer = func(*Send, int) (*Answer, error) {
			if areDown {
				return nil, NewSendError(true, errors.New("connection reset"))
			}
			return sealed("1", plainBody("yes")), nil
		}
		e := f.executor()
		other := &fakeFleet{list: plainUpstreams(6), retries: 99, answer: f.answer}
		another := other.executor()
		run := func(e *Executor) error { return e.Run(t.Context(), request(route(rules.Idempotent), nil), &fakeSink{}) }
		var refusal *Refusal
		if err := run(e); !errors.As(err, &refusal) {
			t.Fatalf("%v, want a refusal while the upstreams die", err)
		}
		for _, m := range f.marks {
			other.crashes.ApplyMark(m)
		}
		time.Sleep(time.Second)
		areDown = false
		for _, e := range []*Executor{e, another} {
			if err := run(e); !errors.As(err, &refusal) {
				t.Fatalf("%v, want a refusal in the quarantine", err)
			}
		}
		time.Sleep(refusal.RetryAfter)
		if err := run(e); err != nil {
			t.Fatalf("%v, want an answer on trial", err)
		}
		for _, m := range f.marks {
			other.crashes.ApplyMark(m)
		}
		for range 3 {
			for _, e := range []*Executor{e, another} {
				if err := run(e); err != nil {
					t.Errorf("%v after an answer on trial", err)
				}
			}
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

// TestSuspectsOfRequest checks what a request may be suspected by: the parts of its prompt but the last, and itself.
func TestSuspectsOfRequest(t *testing.T) {
	part := func(id string) crash.Fingerprint { return crash.NewPartFingerprint("s", id) }
	tests := []struct {
		name  string
		parts []string
		want  []crash.Fingerprint
	}{
		{"no parts", nil, nil},
		{"only its own part", []string{"a"}, nil},
		{"two shared parts", []string{"a", "b", "c"}, []crash.Fingerprint{part("a"), part("b")}},
		{"a part twice, and an unreadable one", []string{"a", "", "a", "c"}, []crash.Fingerprint{part("a")}},
	}
	for _, tc := range tests {
		q := request(route(rules.Streaming), nil)
		q.PromptParts = tc.parts
		if got, want := q.suspects(), append(tc.want, q.Fingerprint()); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", tc.name, got, want)
		}
	}
}

// TestBreaksThatMarkParts checks which breaks of a stream mark the parts of the prompt, and which ends clear them.
func TestBreaksThatMarkParts(t *testing.T) {
	broken := bodyStep{err: errors.New("connection reset")}
	tests := []struct {
		name               string
		steps              []bodyStep
		endsWithConnection bool
		marks, cleared     bool
	}{
		{"before the first event", []bodyStep{broken}, false, true, false},
		{"just after the first event", append(eventsFrom(1, 1, 0), broken), false, true, false},
		{"long after the first event", append(eventsFrom(1, 20, 100*time.Millisecond), broken), false, true, false},
		{"after it was written for longer", append(eventsFrom(1, 30, 100*time.Millisecond), broken), false, true, false},
		{"a whole answer", eventsFrom(1, 3, 0), false, false, true},
		{"an answer that may have been cut between two events", eventsFrom(1, 3, 0), true, false, false},
		{"an answer without an event", nil, false, false, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeFleet{list: plainUpstreams(6), probesFail: true}
				f.answer = func(*Send, int) (*Answer, error) {
					a := sealed("1", &scriptedBody{steps: slices.Clone(tc.steps)})
					a.EndsWithConnection = tc.endsWithConnection
					return a, nil
				}
				e := f.executor()
				part := crash.NewPartFingerprint("s", "a")
				f.crashes.RecordDeath(part, "earlier", "dc", crash.BrokeBeforeFirstToken)
				q := request(route(rules.Streaming), nil)
				q.PromptParts = []string{"a", "b"}
				_ = e.Run(t.Context(), q, &fakeSink{})
				isMarked := func(m crash.Mark) bool { return m.Fingerprint == part && !m.Cleared }
				isCleared := func(m crash.Mark) bool { return m.Fingerprint == part && m.Cleared }
				if got := slices.ContainsFunc(f.marks, isMarked); got != tc.marks {
					t.Errorf("the part is marked: %v, want %v", got, tc.marks)
				}
				if got := slices.ContainsFunc(f.marks, isCleared); got != tc.cleared {
					t.Errorf("the part is cleared: %v, want %v", got, tc.cleared)
				}
			})
		})
	}
}

// slowCrashes is a registry that is held up by others.
type slowCrashes struct{ Crashes }

func (c slowCrashes) Verdict(f crash.Fingerprint) crash.Verdict {
	v := c.Crashes.Verdict(f)
	if _, ok := v.(crash.Quarantined); ok {
		time.Sleep(100 * time.Millisecond)
	}
	return v
}

// TestQuarantineBesideTheFirstEvent guards against a data race between the check of a silent stream and its first event.
func TestQuarantineBesideTheFirstEvent(t *testing.T) {
	f := &fakeTransport{fakeFleet: &fakeFleet{list: layeredUpstreams(), retries: 9}}
	f.report = func(*fleet.Upstream) (place.Report, error) { return place.Report{}, errors.New("reset") }
	q := request(route(rules.Streaming), model())
	f.answer = func(_ *Send, _ int) (*Answer, error) {
		for i := range 4 {
			f.crashes.RecordDeath(q.Fingerprint(), "x"+strconv.Itoa(i), "dc"+strconv.Itoa(i), crash.BrokeBeforeFirstToken)
		}
		return sealed("1", &scriptedBody{steps: append([]bodyStep{{pause: 400 * time.Millisecond}}, eventsFrom(0, 9, 50*time.Millisecond)...)}), nil
	}
	f.fakeFleet.executor()
	e := f.executor(slowCrashes{f.crashes})
	var sink fakeSink
	if err := e.Run(t.Context(), q, &sink); err != nil {
		t.Error(err)
	}
}

// TestQuarantineIsNotCountedWithoutRefusal guards against reporting refusals that didn't happen.
func TestQuarantineIsNotCountedWithoutRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: layeredUpstreams(), retries: 9, report: noReport}
		f.answer = func(_ *Send, _ int) (*Answer, error) {
			return sealed("1", &scriptedBody{steps: silentSecond()}), nil
		}
		e := f.executor()
		q := request(route(rules.Streaming), model())
		time.AfterFunc(200*time.Millisecond, func() {
			for i := range 4 {
				f.crashes.RecordDeath(q.Fingerprint(), "x"+strconv.Itoa(i), "dc"+strconv.Itoa(i), crash.BrokeBeforeFirstToken)
			}
		})
		var sink fakeSink
		err := e.Run(t.Context(), q, &sink)
		if n := f.counts["requests-quarantined"]; n > 0 {
			t.Errorf("%d refusals are counted: %v", n, err)
		}
		time.Sleep(time.Second)
	})
}
