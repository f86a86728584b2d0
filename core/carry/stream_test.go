package carry

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

// TestStreamGoesOnElsewhere: a stream that breaks off, also inside of an event, goes on behind the last whole event,
// with the first answer's headers, each event once.
func TestStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{list: layered(), repeats: 9}
		w.answer = func(s *Send, n int) (*Answer, error) {
			if n == 1 {
				steps := append(eventsFrom(0, 4, 20*time.Millisecond), piece{text: "id: 5\nda"}, piece{err: io.ErrUnexpectedEOF})
				return ok("first", &script{steps: steps}), nil
			}
			if s.LastEvent != "4" {
				t.Errorf("the stream goes on behind %q, want 4", s.LastEvent)
			}
			// It repeats an event that the caller has.
			return ok("second", &script{steps: eventsFrom(4, 9, 20*time.Millisecond)}), nil
		}
		var c caller
		if err := w.carrier().Run(t.Context(), request(route(rules.Streaming), model()), &c); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, c.body.String(), 0, 9)
		if got := c.header.Get("Seal"); got != "first" {
			t.Errorf("headers of the %s answer", got)
		}
	})
}

// TestFailedResumptionIsPaidFor: an upstream's failure while a stream is resumed takes from the budget like any repeat.
func TestFailedResumptionIsPaidFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{list: layered(), repeats: 1}
		for _, id := range []string{"m4", "m5"} {
			more := *w.list[0]
			more.ID = id
			w.list = append(w.list, &more)
		}
		w.answer = func(_ *Send, n int) (*Answer, error) {
			if n == 1 {
				return ok("1", &script{steps: append(eventsFrom(0, 2, 0), piece{err: io.ErrUnexpectedEOF})}), nil
			}
			return &Answer{Verdict: Verdict{Sealed: true}, Status: 500, Body: plainBody("bad")}, nil
		}
		r := route(rules.Streaming)
		r.Attempts = 9
		err := w.carrier().Run(t.Context(), request(r, model()), &caller{})
		if !errors.Is(err, ErrBroken) || len(w.sends) != 2 {
			t.Errorf("%v after %d attempts, want a broken stream after two with a budget of one repeat", err, len(w.sends))
		}
	})
}

func TestGapIsNeverPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{list: layered(), repeats: 9}
		w.answer = func(_ *Send, n int) (*Answer, error) {
			if n == 1 {
				return ok("1", &script{steps: append(eventsFrom(0, 2, 0), eventsFrom(4, 6, 0)...)}), nil
			}
			return ok("2", &script{steps: eventsFrom(3, 6, 0)}), nil
		}
		var c caller
		if err := w.carrier().Run(t.Context(), request(route(rules.Streaming), model()), &c); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, c.body.String(), 0, 6)
	})
}

func TestStreamThatMayNotBeResumedIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{list: layered(), repeats: 9}
		w.answer = func(*Send, int) (*Answer, error) {
			return ok("1", &script{steps: append(eventsFrom(0, 2, 0), piece{err: io.ErrUnexpectedEOF})}), nil
		}
		r := route(rules.Streaming)
		r.Resumable = false
		err := w.carrier().Run(t.Context(), request(r, model()), &caller{})
		if !errors.Is(err, ErrBroken) || len(w.sends) != 1 {
			t.Errorf("%v after %d attempts, want a broken stream after one", err, len(w.sends))
		}
	})
}

// silentAfter is a stream that falls silent behind an event.
func silentAfter(n int) *script {
	return &script{steps: append(eventsFrom(0, n, 20*time.Millisecond), piece{pause: time.Hour, text: eventText(n + 1)})}
}

// TestStalledPartIsBypassed: the first part reports which one it waits for, and the request is led past it over the
// same connection, well before the caller leaves after two seconds.
func TestStalledPartIsBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{list: layered(), repeats: 9}
		changed := make(chan struct{})
		var stalled *fleet.Upstream
		w.answer = func(s *Send, _ int) (*Answer, error) {
			stalled = s.Hops[1].Upstream
			return ok("1", &waiting{script: script{steps: eventsFrom(0, 5, 20*time.Millisecond)}, changed: changed, then: eventsFrom(6, 9, 20*time.Millisecond)}), nil
		}
		w.report = func(*fleet.Upstream) (place.Report, error) {
			return place.Report{Stalled: map[string]string{"id-1": stalled.Address}}, nil
		}
		w.repath = func(hops []board.Hop) (string, error) {
			if hops[0].Upstream != w.sends[0].Upstream || hops[1].Upstream == stalled {
				t.Errorf("led along %s", board.Describe(hops))
			}
			close(changed)
			return "", nil
		}
		var c caller
		if err := w.carrier().Run(t.Context(), request(route(rules.Streaming), model()), &c); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, c.body.String(), 0, 9)
		if len(w.sends) != 1 {
			t.Errorf("%d attempts, want one", len(w.sends))
		}
		for i := 1; i < len(c.at); i++ {
			if pause := c.at[i].Sub(c.at[i-1]); pause > time.Second {
				t.Errorf("a pause of %v", pause)
			}
		}
	})
}

// waiting is a script that goes on when a channel is closed.
type waiting struct {
	script
	changed <-chan struct{}
	then    []piece
}

func (w *waiting) Read(p []byte) (int, error) {
	if len(w.left) == 0 && len(w.steps) == 0 && w.then != nil {
		select {
		case <-w.changed:
			w.steps, w.then = w.then, nil
		case <-time.After(10 * time.Second):
			return 0, errors.New("the part gave up")
		}
	}
	if w.ctx == nil {
		w.ctx = context.Background()
	}
	return w.script.Read(p)
}

// TestSilentFirstPartIsLeft: an upstream that does not even report is dead, and the stream goes on elsewhere before
// the caller leaves.
func TestSilentFirstPartIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{list: layered(), repeats: 9}
		w.answer = func(_ *Send, n int) (*Answer, error) {
			if n == 1 {
				return ok("1", silentAfter(3)), nil
			}
			return ok("2", &script{steps: eventsFrom(4, 8, 20*time.Millisecond)}), nil
		}
		w.report = func(*fleet.Upstream) (place.Report, error) { return place.Report{}, errors.New("no answer") }
		var c caller
		began := time.Now()
		if err := w.carrier().Run(t.Context(), request(route(rules.Streaming), model()), &c); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, c.body.String(), 0, 8)
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("it took %v", took)
		}
		if w.sends[0].Upstream == w.sends[1].Upstream {
			t.Error("it was sent to the dead upstream again")
		}
	})
}

// TestSlowStreamIsNotCutWithoutBudget: a slow stream is worth more than none. Cutting it without a place to go to
// ended 1,429 requests with 502 in one day.
func TestSlowStreamIsNotCutWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{list: layered(), repeats: 0}
		w.answer = func(*Send, int) (*Answer, error) {
			return ok("1", &script{steps: eventsFrom(0, 4, 1700*time.Millisecond)}), nil
		}
		var c caller
		if err := w.carrier().Run(t.Context(), request(route(rules.Streaming), model()), &c); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, c.body.String(), 0, 4)
	})
}

// TestSlowStreamGoesToAnotherUpstream: where another path has room, a slow stream is not sent to the same first
// upstream again, as an incident showed.
func TestSlowStreamGoesToAnotherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{list: layered(), repeats: 9}
		w.list[1].Card = "slow"
		w.answer = func(_ *Send, n int) (*Answer, error) {
			if n == 1 {
				return ok("1", silentAfter(3)), nil
			}
			return ok("2", &script{steps: eventsFrom(4, 8, 20*time.Millisecond)}), nil
		}
		var c caller
		if err := w.carrier().Run(t.Context(), request(route(rules.Streaming), model()), &c); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, c.body.String(), 0, 8)
		if w.sends[0].Upstream == w.sends[1].Upstream {
			t.Errorf("both attempts went to %s", w.sends[0].Upstream.ID)
		}
	})
}

// TestStreamOfAPlainService: services whose upstreams hold no layers stream as well, and go on elsewhere.
func TestStreamOfAPlainService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{list: plainUpstreams(2), repeats: 9}
		w.answer = func(_ *Send, n int) (*Answer, error) {
			if n == 1 {
				return ok("1", silentAfter(3)), nil
			}
			return ok("2", &script{steps: eventsFrom(4, 8, 20*time.Millisecond)}), nil
		}
		var c caller
		if err := w.carrier().Run(t.Context(), request(route(rules.Streaming), nil), &c); err != nil {
			t.Fatal(err)
		}
		checkEvents(t, c.body.String(), 0, 8)
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
		{"an id that is none", "id: x\ndata: x\n\n", noID, "id: x\ndata: x\n\n", nil},
		{"inside of an event", "id: 7\ndat", 0, "", io.ErrUnexpectedEOF},
		{"nothing", "", 0, "", io.EOF},
		{"a long line", "data: " + strings.Repeat("x", 9000) + "\n\n", noID, "data: " + strings.Repeat("x", 9000) + "\n\n", nil},
		{"too long", "data: " + strings.Repeat("x", mostEvent) + "\n\n", 0, "", errEventSize},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e, err := readEvent(bufio.NewReaderSize(strings.NewReader(tc.in), 64))
			if !errors.Is(err, tc.err) {
				t.Fatalf("error %v, want %v", err, tc.err)
			}
			if err == nil && (e.id != tc.id || string(e.raw) != tc.raw) {
				t.Errorf("event %d of %d bytes, want %d of %d", e.id, len(e.raw), tc.id, len(tc.raw))
			}
		})
	}
}

func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n"))
	f.Add([]byte("\n\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReaderSize(strings.NewReader(string(in)), 32)
		var out []byte
		for {
			e, err := readEvent(r)
			if err != nil {
				break
			}
			if len(e.raw) == 0 {
				t.Fatal("an event of no bytes")
			}
			out = append(out, e.raw...)
		}
		if !strings.HasPrefix(string(in), string(out)) {
			t.Fatalf("%q came out of %q", out, in)
		}
	})
}
