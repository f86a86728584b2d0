package proxy

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

// fakeFleet implements all dependencies of an Executor except its board, with behaviour that a test sets.
type fakeFleet struct {
	mu         sync.Mutex
	list       []*fleet.Upstream
	sends      []*Send
	answer     func(s *Send, n int) (*Answer, error)
	headDelay  func(n int) time.Duration // before the head of the nth answer; nil for none
	report     func(u *fleet.Upstream) (place.Report, error)
	reroute    func(hops []board.Hop) (string, error)
	retries    int // retries left in the budget
	counts     map[string]int
	probesFail bool // upstreams accept no new connection
	marks      []crash.Mark
	crashes    *crash.Registry
}

func (f *fakeFleet) Upstreams(string) []*fleet.Upstream { return f.list }
func (f *fakeFleet) DataCentre() string                 { return "a" }
func (f *fakeFleet) Versions() (uint64, uint64)         { return 1, 1 }
func (f *fakeFleet) RecordFirstAttempt(string)          {}
func (f *fakeFleet) Rate(string) float64                { return 0 }

// Refund implements RetryBudget.
func (f *fakeFleet) Refund(string, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries++
}

func (f *fakeFleet) Take(string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries--
	return f.retries >= 0
}

func (f *fakeFleet) Count(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name]++
}

func (f *fakeFleet) Observe(string, time.Duration) {}

func (f *fakeFleet) HasConnection(*fleet.Upstream) bool { return true }

func (f *fakeFleet) Probe(context.Context, *fleet.Upstream) error {
	if f.probesFail {
		return errors.New("connection refused")
	}
	return nil
}

func (f *fakeFleet) Send(ctx context.Context, s *Send) (*Answer, error) {
	f.mu.Lock()
	f.sends = append(f.sends, s)
	n := len(f.sends)
	f.mu.Unlock()
	if f.headDelay != nil {
		select {
		case <-time.After(f.headDelay(n)):
		case <-ctx.Done():
			return nil, NewSendError(true, ctx.Err())
		}
	}
	a, err := f.answer(s, n)
	if a != nil {
		if p, ok := a.Body.(*scriptedBody); ok {
			p.ctx = ctx
		}
	}
	return a, err
}

// nthSend returns the nth send, from 0 on.
func (f *fakeFleet) nthSend(n int) *Send {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sends[n]
}

func (f *fakeFleet) Report(_ context.Context, u *fleet.Upstream) (place.Report, error) {
	if f.report == nil {
		return place.Report{}, nil
	}
	return f.report(u)
}

func (f *fakeFleet) Reroute(_ context.Context, _ *fleet.Upstream, _ string, hops []board.Hop) (string, error) {
	return f.reroute(hops)
}

// fakeSink is a Sink that records the answer.
type fakeSink struct {
	mu         sync.Mutex
	status     int
	header     http.Header
	body       bytes.Buffer
	writeTimes []time.Time // of each Write
}

func (sink *fakeSink) Begin(status int, h http.Header) { sink.status, sink.header = status, h }

func (sink *fakeSink) Write(p []byte) error {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	sink.writeTimes = append(sink.writeTimes, time.Now())
	sink.body.Write(p)
	return nil
}

// scriptedBody is a response body that arrives in steps with pauses.
type scriptedBody struct {
	ctx   context.Context
	steps []bodyStep
	left  []byte
}

// bodyStep is a pause followed by bytes or an error.
type bodyStep struct {
	pause time.Duration
	text  string
	err   error
}

func (s *scriptedBody) Close() error { return nil }

func (s *scriptedBody) Read(p []byte) (int, error) {
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
func eventsFrom(first, last int, pause time.Duration) []bodyStep {
	var list []bodyStep
	for i := first; i <= last; i++ {
		list = append(list, bodyStep{pause: pause, text: eventText(i)})
	}
	return list
}

// sealed returns a successful answer with the upstream's seal.
func sealed(seal string, body io.ReadCloser) *Answer {
	return &Answer{
		AnswerInfo: AnswerInfo{Sealed: true}, Status: http.StatusOK, Header: http.Header{"Seal": {seal}}, Body: body,
	}
}

func plainBody(s string) io.ReadCloser { return &scriptedBody{steps: []bodyStep{{text: s}}} }

// notRun returns a refusal as not run by the stage at an address, or by the upstream itself if it is "".
func notRun(failedAddress string) *Answer {
	return &Answer{AnswerInfo: AnswerInfo{NotRun: true, FailedAddress: failedAddress},
		Status: http.StatusServiceUnavailable, Body: plainBody("")}
}

func plainUpstreams(n int) []*fleet.Upstream {
	var list []*fleet.Upstream
	for i := range n {
		list = append(list, &fleet.Upstream{ID: "p" + strconv.Itoa(i), Service: "s",
			Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 6, DataCentre: "a"})
	}
	return list
}

// layeredUpstreams returns two upstreams for each half of the layers of a model.
func layeredUpstreams() []*fleet.Upstream {
	var list []*fleet.Upstream
	for i, r := range []fleet.Range{{From: 0, To: 40}, {From: 0, To: 40}, {From: 40, To: 80}, {From: 40, To: 80}} {
		list = append(list, &fleet.Upstream{
			ID: "m" + strconv.Itoa(i), Service: "s", Address: fmt.Sprintf("10.0.1.%d:80", i), Slots: 192,
			DataCentre: "a", Card: "big", Layers: r,
		})
	}
	return list
}

func model() *rules.Engine {
	return &rules.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 918_000, DecodeStep: time.Millisecond, PrefillTokensPerSecond: 105_000,
		StepsPerPass: 3, PrefillChunk: 512, LinkMbps: 26_000, MeanPromptTokens: 774, MeanOutputTokens: 200,
		Cards: map[string]rules.Card{
			"big":  {SizeMB: 250_000, DecodeFactor: 2, PrefillFactor: 2},
			"slow": {SizeMB: 250_000, DecodeFactor: 6, PrefillFactor: 6},
		},
	}
}

func route(kind rules.Kind) *rules.Route {
	return &rules.Route{Name: "r", Kind: kind, MaxAttempts: 2, LatencyObjective: 500 * time.Millisecond,
		EventGapObjective: 200 * time.Millisecond, Resumable: true}
}

func request(t *rules.Route, engine *rules.Engine) *Request {
	return &Request{
		CallerHeaders: CallerHeaders{ID: "id-1", PromptTokens: 800, MaxOutputTokens: 200},
		Method:        http.MethodPost, URI: "/x/", Host: "h", Route: t,
		Service: &rules.Service{Name: "s", Engine: engine}, ExpiresAt: time.Now().Add(20 * time.Second),
	}
}

func (f *fakeFleet) executor() *Executor {
	f.counts = make(map[string]int)
	if f.crashes == nil {
		f.crashes = crash.NewRegistry(time.Now, func() uint64 { return uint64(time.Now().UnixNano()) }, time.Minute)
	}
	return New(Dependencies{
		Transport: f, Engines: f, Board: board.New(board.WithSeed(1), board.WithDataCentre("a")), Fleet: f, Budget: f,
		Crashes: f.crashes, Broadcast: func(m crash.Mark) { f.marks = append(f.marks, m) }, Meter: f, Log: logr.Discard(),
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
