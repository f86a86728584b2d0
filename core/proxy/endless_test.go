package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/rules"
)

// endlessBody is the body of an answer that never ends.
type endlessBody struct {
	ctx   context.Context
	piece string
	read  *atomic.Int64 // bytes of all bodies
}

func (b *endlessBody) Close() error { return nil }

func (b *endlessBody) Read(p []byte) (int, error) {
	select {
	case <-b.ctx.Done():
		return 0, errors.New("the connection was closed")
	case <-time.After(time.Millisecond):
	}
	n := copy(p, b.piece)
	b.read.Add(int64(n))
	return n, nil
}

// TestEndlessAnswersAreBrokenOff guards against answers that never end and fill a node's memory, or that reach callers as
// complete. Many run at once.
func TestEndlessAnswersAreBrokenOff(t *testing.T) {
	const (
		requests    = 100
		beforeBound = 200 * time.Millisecond      // an answer reaches its own bound later
		maxHeap     = 2*maxBufferedTotal + 16<<20 // twice, as a slice that grows has up to twice the capacity that it needs
	)
	piece := strings.Repeat("x", bufferStepBytes)
	tests := []struct {
		name   string
		kind   rules.Kind
		status int
		piece  string
		broken bool // the caller has the beginning
	}{
		{"a stream whose first event never ends", rules.Streaming, 200, piece, false},
		{"a stream of lines without an empty one", rules.Streaming, 200, strings.Repeat(": x\n", 1024), false},
		{"a stream of events that the caller has", rules.Streaming, 200, eventText(1), true},
		{"a plain answer", rules.Idempotent, 200, piece, true},
		{"a call's answer", rules.NonIdempotent, 200, piece, true},
		{"the body of an error", rules.Streaming, 500, piece, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var read atomic.Int64
				f := &fakeFleet{list: plainUpstreams(60)}
				f.answer = func(*Send, int) (*Answer, error) { return nil, nil }
				e := f.executor()
				e.transport = &endlessTransport{fakeFleet: f, piece: tc.piece, status: tc.status, read: &read}
				var running sync.WaitGroup
				var wrong atomic.Int64
				for range requests {
					running.Go(func() {
						sink := &fakeSink{}
						q := request(route(tc.kind), nil)
						q.Route.LatencyObjective = 0
						q.ExpiresAt = time.Now().Add(2 * time.Second)
						err := e.Run(t.Context(), q, dropSink{sink})
						var refusal *Refusal
						if isBroken := errors.Is(err, ErrAnswerBroken); err == nil || isBroken != tc.broken ||
							!isBroken && !errors.As(err, &refusal) {
							wrong.Add(1)
						}
					})
				}
				time.Sleep(beforeBound)
				synctest.Wait()
				var stats runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&stats)
				if stats.HeapAlloc > maxHeap {
					t.Errorf("%d bytes are held for %d answers, want at most %d", stats.HeapAlloc, requests, maxHeap)
				}
				running.Wait()
				if n := wrong.Load(); n > 0 {
					t.Errorf("%d of %d callers got something else than a visible end", n, requests)
				}
				if used := e.buffers.used.Load(); used != 0 {
					t.Errorf("%d bytes are still charged", used)
				}
				if read.Load() == 0 {
					t.Error("nothing was read: the test exercises nothing")
				}
			})
		})
	}
}

// dropSink is a Sink that keeps the status only.
type dropSink struct{ *fakeSink }

// Write drops the bytes.
func (dropSink) Write([]byte) error { return nil }

// endlessTransport answers each attempt with a body that never ends.
type endlessTransport struct {
	*fakeFleet
	piece  string
	status int
	read   *atomic.Int64
}

// Send returns an answer that never ends.
func (e *endlessTransport) Send(ctx context.Context, _ *Send) (*Answer, error) {
	a := sealed("1", io.NopCloser(strings.NewReader("")))
	a.Status, a.Body = e.status, &endlessBody{ctx: ctx, piece: e.piece, read: e.read}
	return a, nil
}

// TestBufferBudgetIsShared checks that one answer beyond the budget is passed on unbuffered, and one within it whole.
func TestBufferBudgetIsShared(t *testing.T) {
	var b bufferBudget
	if !b.take(maxBufferedTotal - bufferStepBytes) {
		t.Fatal("the budget is smaller than stated")
	}
	long := strings.Repeat("x", 3*bufferStepBytes)
	body, isAll, err := b.readBuffered(strings.NewReader(long))
	if body.size != bufferStepBytes || len(bytes.Join(body.parts, nil)) != bufferStepBytes || isAll || err != nil {
		t.Errorf("with one step left: %d bytes, all %v, %v", body.size, isAll, err)
	}
	body.release()
	b.give(4 * bufferStepBytes)
	body, isAll, err = b.readBuffered(strings.NewReader(long))
	if string(bytes.Join(body.parts, nil)) != long || !isAll || err != nil {
		t.Errorf("with enough left: %d bytes, all %v, %v", body.size, isAll, err)
	}
	body.release()
	b.give(maxBufferedTotal - 5*bufferStepBytes)
	if used := b.used.Load(); used != 0 {
		t.Errorf("%d bytes are still charged", used)
	}
}
