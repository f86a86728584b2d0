package carry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/place"
	"rhubarbspread/core/rules"

	"github.com/go-logr/logr"
)

// world is a fleet that answers as a test says.
type world struct {
	mu      sync.Mutex
	list    []*fleet.Upstream
	sends   []*Send
	answer  func(s *Send, n int) (*Answer, error)
	report  func(u *fleet.Upstream) (place.Report, error)
	repath  func(hops []board.Hop) (string, error)
	repeats int // that the budget allows
	counts  map[string]int
	dead    bool // upstreams accept no connection after an attempt that broke
	marks   []crash.Mark
	crashes *crash.Registry
}

func (w *world) Upstreams(string) []*fleet.Upstream { return w.list }
func (w *world) DataCentre() string                 { return "a" }
func (w *world) Versions() (uint64, uint64)         { return 1, 1 }
func (w *world) First(string)                       {}

func (w *world) Take(string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.repeats--
	return w.repeats >= 0
}

func (w *world) Count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name]++
}

func (w *world) Observe(string, time.Duration) {}

func (w *world) HasConnection(*fleet.Upstream) bool { return true }

func (w *world) Reach(context.Context, *fleet.Upstream) error {
	if w.dead {
		return errors.New("connection refused")
	}
	return nil
}

func (w *world) Send(ctx context.Context, s *Send) (*Answer, error) {
	w.mu.Lock()
	w.sends = append(w.sends, s)
	n := len(w.sends)
	w.mu.Unlock()
	a, err := w.answer(s, n)
	if a != nil {
		if p, ok := a.Body.(*script); ok {
			p.ctx = ctx
		}
	}
	return a, err
}

func (w *world) Report(_ context.Context, u *fleet.Upstream) (place.Report, error) {
	if w.report == nil {
		return place.Report{}, nil
	}
	return w.report(u)
}

func (w *world) Repath(_ context.Context, _ *fleet.Upstream, _ string, hops []board.Hop) (string, error) {
	return w.repath(hops)
}

// caller is a Sink that remembers.
type caller struct {
	mu     sync.Mutex
	status int
	header http.Header
	body   bytes.Buffer
	at     []time.Time
}

func (c *caller) Begin(status int, h http.Header) { c.status, c.header = status, h }

func (c *caller) Write(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	c.body.Write(p)
	return nil
}

// script is a body that comes in pieces with pauses.
type script struct {
	ctx   context.Context
	steps []piece
	left  []byte
}

// piece is bytes, a pause before them, or an end with an error.
type piece struct {
	pause time.Duration
	text  string
	err   error
}

func (s *script) Close() error { return nil }

func (s *script) Read(p []byte) (int, error) {
	for len(s.left) == 0 {
		if len(s.steps) == 0 {
			return 0, io.EOF
		}
		step := s.steps[0]
		s.steps = s.steps[1:]
		select {
		case <-time.After(step.pause):
		case <-s.ctx.Done():
			return 0, errors.New("the connection was closed")
		}
		if step.err != nil {
			return 0, step.err
		}
		s.left = []byte(step.text)
	}
	n := copy(p, s.left)
	s.left = s.left[n:]
	return n, nil
}

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: token-%d\n\n", id, id) }

// eventsFrom returns events with a pause before each.
func eventsFrom(first, last int, pause time.Duration) []piece {
	var list []piece
	for i := first; i <= last; i++ {
		list = append(list, piece{pause: pause, text: eventText(i)})
	}
	return list
}

func ok(seal string, body io.ReadCloser) *Answer {
	return &Answer{
		Verdict: Verdict{Sealed: true}, Status: http.StatusOK, Header: http.Header{"Seal": {seal}}, Body: body,
	}
}

func plainBody(s string) io.ReadCloser { return &script{steps: []piece{{text: s}}} }

func notRun(culprit string) *Answer {
	return &Answer{Verdict: Verdict{NotRun: true, Culprit: culprit}, Status: http.StatusServiceUnavailable, Body: plainBody("")}
}

func plainUpstreams(n int) []*fleet.Upstream {
	var list []*fleet.Upstream
	for i := range n {
		list = append(list, &fleet.Upstream{ID: "p" + strconv.Itoa(i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 6, DataCentre: "a"})
	}
	return list
}

// layered returns two upstreams for each half of the layers.
func layered() []*fleet.Upstream {
	var list []*fleet.Upstream
	for i, r := range []fleet.Range{{From: 0, To: 40}, {From: 0, To: 40}, {From: 40, To: 80}, {From: 40, To: 80}} {
		list = append(list, &fleet.Upstream{
			ID: "m" + strconv.Itoa(i), Service: "s", Address: fmt.Sprintf("10.0.1.%d:80", i), Slots: 192, DataCentre: "a", Card: "big", Layers: r,
		})
	}
	return list
}

func model() *rules.Engine {
	return &rules.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 918_000, Step: time.Millisecond, ReadPerSecond: 105_000, Stride: 3, Chunk: 512,
		Pipe: 26_000, Prompt: 774, Answer: 200, Kinds: map[string]rules.Card{
			"big": {SizeMB: 250_000, Pace: 2, Read: 2}, "slow": {SizeMB: 250_000, Pace: 6, Read: 6},
		},
	}
}

func route(kind rules.Kind) *rules.Route {
	return &rules.Route{Name: "r", Kind: kind, Attempts: 2, Objective: 500 * time.Millisecond, Pause: 200 * time.Millisecond, Resumable: true}
}

func request(t *rules.Route, engine *rules.Engine) *Request {
	return &Request{
		Facts: Facts{ID: "id-1", Prompt: 800, MostOutput: 200}, Method: http.MethodPost, URI: "/x/", Host: "h", Route: t,
		Service: &rules.Service{Name: "s", Engine: engine}, Until: time.Now().Add(20 * time.Second),
	}
}

func (w *world) carrier() *Carrier {
	w.counts = make(map[string]int)
	if w.crashes == nil {
		w.crashes = crash.NewRegistry(time.Now, func() uint64 { return uint64(time.Now().UnixNano()) }, time.Minute)
	}
	return New(Parts{
		Transport: w, Engines: w, Board: board.New(board.WithSeed(1), board.WithDataCentre("a")), World: w, Budget: w,
		Crashes: w.crashes, Spread: func(m crash.Mark) { w.marks = append(w.marks, m) }, Meter: w, Log: logr.Discard(),
	})
}

// checkEvents fails unless a body is the events from the first to the last, each once.
func checkEvents(t interface {
	Helper()
	Errorf(string, ...any)
}, body string, first, last int) {
	t.Helper()
	want := eventTexts(first, last)
	if body != want {
		t.Errorf("the caller got %q, want events %d to %d", body, first, last)
	}
}

// eventTexts returns the events from the first to the last.
func eventTexts(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		b.WriteString(eventText(i))
	}
	return b.String()
}
