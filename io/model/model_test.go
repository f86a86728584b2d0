package model_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"rhubarbspread/core/call"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
	"rhubarbspread/io/dial"
	"rhubarbspread/io/model"
	"rhubarbspread/io/plain"
)

func FuzzParseLine(f *testing.F) {
	f.Add([]byte(`data: {"attempt":"a","position":1,"text":"x"}`))
	f.Add([]byte(`data: {"position":-1}`))
	f.Add([]byte(`: comment`))
	f.Fuzz(func(t *testing.T, line []byte) {
		token, ok, err := model.ParseLine(line)
		if ok && (err != nil || token.Position < 0) {
			t.Errorf("%v, %v", token, err)
		}
	})
}

func FuzzParseStep(f *testing.F) {
	f.Add([]byte(`{"request":"r","epoch":1,"outputs":["a"]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if r, err := model.ParseStep(raw); (r == nil) == (err == nil) {
			t.Errorf("%v, %v", r, err)
		}
	})
}

// TestNothingIsSentTwice closes the connection during a call that may not be repeated, and checks that the call
// arrived once. On a reused connection net/http retries a request with an Idempotency-Key by itself.
func TestNothingIsSentTwice(t *testing.T) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(plain.AttemptHeader, r.Header.Get(plain.AttemptHeader))
		if strings.HasPrefix(r.URL.Path, "/warm") {
			return
		}
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	c := plain.New(dial.NewHostCache())
	u := route.NewUpstream("u", s.Listener.Addr().String(), "dc", "booking")
	for range 3 {
		_, o := c.Send(context.Background(), u, "warm",
			&call.Request{Method: http.MethodGet, Path: "/warm", Idempotent: true})
		if _, ok := o.(reply.Done); !ok {
			t.Fatalf("warming up: %s", reply.Reason(o))
		}
	}
	_, o := c.Send(context.Background(), u, "attempt",
		&call.Request{Method: http.MethodPost, Path: "/offers", Key: "k", Body: []byte("x")})
	if _, ok := o.(reply.Unknown); !ok || calls.Load() != 1 {
		t.Errorf("%d calls arrived, outcome %T %s", calls.Load(), o, reply.Reason(o))
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	c := plain.New(dial.NewHostCache())
	_, o := c.Send(context.Background(), route.NewUpstream("u", address, "dc", "booking"), "a",
		&call.Request{Method: http.MethodPost, Path: "/"})
	if _, ok := o.(reply.NotSent); !ok {
		t.Errorf("outcome %T", o)
	}
}

func TestAnswerOfAnotherAttemptIsDropped(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(plain.AttemptHeader, "another")
	}))
	defer s.Close()
	c := plain.New(dial.NewHostCache())
	_, o := c.Send(context.Background(), route.NewUpstream("u", s.Listener.Addr().String(), "dc", "booking"), "mine",
		&call.Request{Method: http.MethodGet, Path: "/", Idempotent: true})
	if _, ok := o.(reply.Unknown); !ok {
		t.Errorf("outcome %T", o)
	}
}
