package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/place"
	"rhubarbspread/core/rules"
)

// TestStreamGoesOnElsewhere checks that a stream that breaks off within an event is resumed at another upstream after
// the last complete event. The caller gets each event once, and the headers of the first answer.
func TestStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: layeredUpstreams(), retries: 9}
		f.answer = func(s *Send, n int) (*Answer, error) {
			if n == 1 {
				steps := append(eventsFrom(0, 4, 20*time.Millisecond), bodyStep{text: "id: 5\nda"},
					bodyStep{err: io.ErrUnexpectedEOF})
				return sealed("first", &scriptedBody{steps: steps}), nil
			}
			if s.ResumeAfter != "4" {
				t.Errorf("the stream is resumed after event %q, want 4", s.ResumeAfter)
			}
			// The resumed stream repeats event 4, which the caller already has.
			return sealed("second", &scriptedBody{steps: eventsFrom(4, 9, 20*time.Millisecond)}), nil
		}
		var sink fakeSink
		if err := f.executor().Run(t.Context(), request(route(rules.Streaming), model()), &sink); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, sink.body.String(), 0, 9)
		if got := sink.header.Get("Seal"); got != "first" {
			t.Errorf("got the headers of the %s answer, want the first", got)
		}
	})
}

// TestFailedResumptionIsPaidFor checks that each attempt to resume a stream takes from the retry budget, also after an
// upstream answered with an error.
func TestFailedResumptionIsPaidFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: layeredUpstreams(), retries: 1}
		for _, id := range []string{"m4", "m5"} {
			more := *f.list[0]
			more.ID = id
			f.list = append(f.list, &more)
		}
		f.answer = func(_ *Send, n int) (*Answer, error) {
			if n == 1 {
				return sealed("1", &scriptedBody{steps: append(eventsFrom(0, 2, 0), bodyStep{err: io.ErrUnexpectedEOF})}),
					nil
			}
			return &Answer{AnswerInfo: AnswerInfo{Sealed: true}, Status: 500, Body: plainBody("bad")}, nil
		}
		r := route(rules.Streaming)
		r.MaxAttempts = 9
		err := f.executor().Run(t.Context(), request(r, model()), &fakeSink{})
		if !errors.Is(err, ErrAnswerBroken) || len(f.sends) != 2 {
			t.Errorf("%v after %d attempts, want a broken stream after two with a budget of one retry", err, len(f.sends))
		}
	})
}

func TestGapIsNeverPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: layeredUpstreams(), retries: 9}
		f.answer = func(_ *Send, n int) (*Answer, error) {
			if n == 1 {
				return sealed("1", &scriptedBody{steps: append(eventsFrom(0, 2, 0), eventsFrom(4, 6, 0)...)}), nil
			}
			return sealed("2", &scriptedBody{steps: eventsFrom(3, 6, 0)}), nil
		}
		var sink fakeSink
		if err := f.executor().Run(t.Context(), request(route(rules.Streaming), model()), &sink); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, sink.body.String(), 0, 6)
	})
}

func TestStreamThatMayNotBeResumedIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: layeredUpstreams(), retries: 9}
		f.answer = func(*Send, int) (*Answer, error) {
			return sealed("1", &scriptedBody{steps: append(eventsFrom(0, 2, 0), bodyStep{err: io.ErrUnexpectedEOF})}), nil
		}
		r := route(rules.Streaming)
		r.Resumable = false
		err := f.executor().Run(t.Context(), request(r, model()), &fakeSink{})
		if !errors.Is(err, ErrAnswerBroken) || len(f.sends) != 1 {
			t.Errorf("%v after %d attempts, want a broken stream after one", err, len(f.sends))
		}
	})
}

// silentAfterEvent returns a stream that stalls after event n.
func silentAfterEvent(n int) *scriptedBody {
	return &scriptedBody{steps: append(eventsFrom(0, n, 20*time.Millisecond),
		bodyStep{pause: time.Hour, text: eventText(n + 1)})}
}

// TestStalledStageIsBypassed checks that, if the first stage reports that it waits for another, the request is moved to
// a path without that stage. The attempt goes on over the same connection, and its events resume well before the two
// seconds after which callers leave.
func TestStalledStageIsBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: layeredUpstreams(), retries: 9}
		changed := make(chan struct{})
		var stalled *fleet.Upstream
		f.answer = func(s *Send, _ int) (*Answer, error) {
			stalled = s.Hops[1].Upstream
			return sealed("1", &gatedBody{scriptedBody: scriptedBody{steps: eventsFrom(0, 5, 20*time.Millisecond)},
				changed: changed, then: eventsFrom(6, 9, 20*time.Millisecond)}), nil
		}
		f.report = func(*fleet.Upstream) (place.Report, error) {
			return place.Report{StalledOn: map[string]string{"id-1": stalled.Address}}, nil
		}
		f.reroute = func(hops []board.Hop) (string, error) {
			if hops[0].Upstream != f.sends[0].Upstream || hops[1].Upstream == stalled {
				t.Errorf("the request was moved to path %s", board.Describe(hops))
			}
			close(changed)
			return "", nil
		}
		var sink fakeSink
		if err := f.executor().Run(t.Context(), request(route(rules.Streaming), model()), &sink); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, sink.body.String(), 0, 9)
		if len(f.sends) != 1 {
			t.Errorf("%d attempts, want one", len(f.sends))
		}
		for i := 1; i < len(sink.writeTimes); i++ {
			if gap := sink.writeTimes[i].Sub(sink.writeTimes[i-1]); gap > time.Second {
				t.Errorf("a gap of %v between events", gap)
			}
		}
	})
}

// gatedBody is a scriptedBody that continues with further steps once a channel is closed.
type gatedBody struct {
	scriptedBody
	changed <-chan struct{}
	then    []bodyStep
}

func (b *gatedBody) Read(p []byte) (int, error) {
	if len(b.left) == 0 && len(b.steps) == 0 && b.then != nil {
		select {
		case <-b.changed:
			b.steps, b.then = b.then, nil
		case <-time.After(10 * time.Second):
			return 0, errors.New("the stage timed out")
		}
	}
	if b.ctx == nil {
		b.ctx = context.Background()
	}
	return b.scriptedBody.Read(p)
}

// TestSilentFirstStageIsLeft checks that a stream whose first upstream neither sends events nor reports is resumed at
// another upstream before the caller leaves.
func TestSilentFirstStageIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: layeredUpstreams(), retries: 9}
		f.answer = func(_ *Send, n int) (*Answer, error) {
			if n == 1 {
				return sealed("1", silentAfterEvent(3)), nil
			}
			return sealed("2", &scriptedBody{steps: eventsFrom(4, 8, 20*time.Millisecond)}), nil
		}
		f.report = func(*fleet.Upstream) (place.Report, error) { return place.Report{}, errors.New("no answer") }
		var sink fakeSink
		began := time.Now()
		if err := f.executor().Run(t.Context(), request(route(rules.Streaming), model()), &sink); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, sink.body.String(), 0, 8)
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("it took %v", took)
		}
		if f.sends[0].Upstream == f.sends[1].Upstream {
			t.Error("the request was sent to the silent upstream again")
		}
	})
}

// TestSlowStreamIsNotCutWithoutBudget checks that a slow stream continues if the retry budget is spent. Canceling such
// streams without another attempt ended 1,429 requests with 502 in one day.
func TestSlowStreamIsNotCutWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: layeredUpstreams(), retries: 0}
		f.answer = func(*Send, int) (*Answer, error) {
			return sealed("1", &scriptedBody{steps: eventsFrom(0, 4, 1700*time.Millisecond)}), nil
		}
		var sink fakeSink
		if err := f.executor().Run(t.Context(), request(route(rules.Streaming), model()), &sink); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, sink.body.String(), 0, 4)
	})
}

// TestSlowStreamGoesToAnotherUpstream guards against retrying a slow stream at the same first upstream while another
// path has capacity, as happened in an incident.
func TestSlowStreamGoesToAnotherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: layeredUpstreams(), retries: 9}
		f.list[1].Card = "slow"
		f.answer = func(_ *Send, n int) (*Answer, error) {
			if n == 1 {
				return sealed("1", silentAfterEvent(3)), nil
			}
			return sealed("2", &scriptedBody{steps: eventsFrom(4, 8, 20*time.Millisecond)}), nil
		}
		var sink fakeSink
		if err := f.executor().Run(t.Context(), request(route(rules.Streaming), model()), &sink); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, sink.body.String(), 0, 8)
		if f.sends[0].Upstream == f.sends[1].Upstream {
			t.Errorf("both attempts went to %s", f.sends[0].Upstream.ID)
		}
	})
}

// TestStreamOfAPlainService checks that streams of services without a model are resumed at another upstream as well.
func TestStreamOfAPlainService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{list: plainUpstreams(2), retries: 9}
		f.answer = func(_ *Send, n int) (*Answer, error) {
			if n == 1 {
				return sealed("1", silentAfterEvent(3)), nil
			}
			return sealed("2", &scriptedBody{steps: eventsFrom(4, 8, 20*time.Millisecond)}), nil
		}
		var sink fakeSink
		if err := f.executor().Run(t.Context(), request(route(rules.Streaming), nil), &sink); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, sink.body.String(), 0, 8)
	})
}

func TestReadEvent(t *testing.T) {
	tests := []struct {
		name, in string
		id       int64
		raw      string
		err      error
	}{
		{"one", "id: 7\ndata: x\n\n", 7, "id: 7\ndata: x\n\n", nil},
		{"carriage returns", "id:7\r\ndata: x\r\n\r\n", 7, "id:7\r\ndata: x\r\n\r\n", nil},
		{"no id", "data: x\n\n", noID, "data: x\n\n", nil},
		{"an id that is not a number", "id: x\ndata: x\n\n", noID, "id: x\ndata: x\n\n", nil},
		{"end within an event", "id: 7\ndat", 0, "", io.ErrUnexpectedEOF},
		{"empty stream", "", 0, "", io.EOF},
		{"a long line", "data: " + strings.Repeat("x", 9000) + "\n\n", noID,
			"data: " + strings.Repeat("x", 9000) + "\n\n", nil},
		{"too long", "data: " + strings.Repeat("x", maxEventBytes) + "\n\n", 0, "", errEventSize},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			buffers := &bufferBudget{}
			r := &eventReader{from: bufio.NewReaderSize(strings.NewReader(tc.in), 64), buffers: buffers}
			e, err := r.next()
			if !errors.Is(err, tc.err) {
				t.Fatalf("error %v, want %v", err, tc.err)
			}
			if err == nil && (e.id != tc.id || string(e.raw) != tc.raw) {
				t.Errorf("event %d of %d bytes, want %d of %d", e.id, len(e.raw), tc.id, len(tc.raw))
			}
			if used := buffers.used.Load(); err != nil && used != 0 || err == nil && len(e.raw) > bufferStepBytes && used < int64(len(e.raw)) {
				t.Errorf("%d bytes are charged for an event of %d", used, len(e.raw))
			}
			if r.release(); buffers.used.Load() != 0 {
				t.Errorf("%d bytes are still charged", buffers.used.Load())
			}
		})
	}
}

func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n"))
	f.Add([]byte("\n\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := &eventReader{from: bufio.NewReaderSize(strings.NewReader(string(in)), 32), buffers: &bufferBudget{}}
		var out []byte
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			if len(e.raw) == 0 {
				t.Fatal("an event without bytes")
			}
			out = append(out, e.raw...)
		}
		if !strings.HasPrefix(string(in), string(out)) {
			t.Fatalf("read %q, which is no prefix of %q", out, in)
		}
	})
}
