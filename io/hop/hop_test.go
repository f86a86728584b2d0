package hop

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// server answers each request on each connection with the bytes that a test provides.
type server struct {
	address  string
	conns    atomic.Int64
	requests chan string // method, URI and body of each request
}

// serve runs a server until the test ends; answer returns the bytes for the nth request, and whether the server closes
// the connection after them.
func serve(t *testing.T, answer func(n int64) (string, bool)) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String(), requests: make(chan string, 100)}
	var count atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					body, err := io.ReadAll(req.Body)
					if err != nil {
						return
					}
					s.requests <- req.Method + " " + req.RequestURI + " " + string(body)
					text, closes := answer(count.Add(1))
					if _, err := io.WriteString(c, text); err != nil || closes {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

// call returns a call to the server whose answer must have the given ID.
func (s *server) call(id string) *Call {
	return &Call{
		Target: Target{"u", s.address}, Method: "POST", URI: "/x/?q=1", Host: "h.example",
		Header: http.Header{"X-Id": {id}, "Connection": {"X-Gone"}}, Body: []byte("body"),
		Foreign: func(_ int, h http.Header) bool { return h.Get("X-Id") != id },
	}
}

// answerTo returns an answer of fewer than ten bytes to the request with the given ID.
func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

// itoa formats a number of one digit.
func itoa(n int) string { return string(rune('0' + n)) }

func newPool() *Pool { return NewPool(func() {}) }

// do makes a call and reads its body.
func do(t *testing.T, p *Pool, c *Call) (string, error) {
	t.Helper()
	resp, err := p.Do(t.Context(), c)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestConnectionIsKept(t *testing.T) {
	s := serve(t, func(int64) (string, bool) { return answerTo("1", "yes"), false })
	p := newPool()
	for range 3 {
		body, err := do(t, p, s.call("1"))
		if err != nil || body != "yes" {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections for three calls, want 1", n)
	}
	if got := <-s.requests; got != "POST /x/?q=1 body" {
		t.Errorf("the upstream received %q", got)
	}
}

// TestUnreadBytesAreNoAnswer checks that a second answer after a complete one isn't taken as the answer to the next
// request: its connection is not reused.
func TestUnreadBytesAreNoAnswer(t *testing.T) {
	s := serve(t, func(n int64) (string, bool) {
		if n == 1 {
			return answerTo("1", "one") + answerTo("1", "bad"), false
		}
		return answerTo("2", "two"), false
	})
	p := newPool()
	if body, err := do(t, p, s.call("1")); err != nil || body != "one" {
		t.Fatalf("%q, %v", body, err)
	}
	if body, err := do(t, p, s.call("2")); err != nil || body != "two" {
		t.Fatalf("%q, %v", body, err)
	}
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections, want a new one after unread bytes", n)
	}
}

// TestLateAnswerIsSkipped checks that a late answer to an earlier request, which has another ID, is skipped when it
// arrives before the answer to the next request.
func TestLateAnswerIsSkipped(t *testing.T) {
	s := serve(t, func(n int64) (string, bool) {
		if n == 1 {
			return answerTo("1", "one"), false
		}
		return answerTo("1", "bad") + answerTo("2", "two"), false
	})
	p := newPool()
	if _, err := do(t, p, s.call("1")); err != nil {
		t.Fatal(err)
	}
	if body, err := do(t, p, s.call("2")); err != nil || body != "two" {
		t.Fatalf("%q, %v, want the second answer", body, err)
	}
}

func TestFailures(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		sent   bool
	}{
		{"closed without an answer", "", true},
		{"answer is not HTTP", "garbage\r\n\r\n", true},
		{"answer to another request only", answerTo("9", "bad"), true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := serve(t, func(int64) (string, bool) { return tc.answer, true })
			_, err := do(t, newPool(), s.call("1"))
			var e *Error
			if !errors.As(err, &e) || e.Sent() != tc.sent {
				t.Errorf("%v, want an error with sent %v", err, tc.sent)
			}
		})
	}
}

func TestUnreachableIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	s := &server{address: address}
	_, err = do(t, newPool(), s.call("1"))
	var e *Error
	if !errors.As(err, &e) || e.Sent() {
		t.Errorf("%v, want an error that reports the request as not sent", err)
	}
}

func TestTruncatedAnswerFails(t *testing.T) {
	s := serve(t, func(int64) (string, bool) {
		return "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf", true
	})
	if body, err := do(t, newPool(), s.call("1")); err == nil {
		t.Errorf("%q without an error", body)
	}
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	s := serve(t, func(int64) (string, bool) {
		return "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf", false
	})
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := newPool().Do(ctx, s.call("1"))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("the body ended without an error though its context was canceled")
	}
}

func TestIdleTimeoutOf(t *testing.T) {
	tests := []struct {
		name   string
		header http.Header
		close  bool
		want   time.Duration
	}{
		{"no header", http.Header{}, false, defaultIdleTimeout},
		{"timeout in the header", http.Header{"Keep-Alive": {"timeout=3, max=5"}}, false, 3*time.Second - idleTimeoutMargin},
		{"invalid timeout", http.Header{"Keep-Alive": {"timeout=x"}}, false, defaultIdleTimeout},
		{"connection closed", http.Header{}, true, 0},
	}
	for _, tc := range tests {
		if got := idleTimeoutOf(&http.Response{Header: tc.header, Close: tc.close}); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	s := serve(t, func(int64) (string, bool) {
		return "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf", false
	})
	p := newPool()
	c := s.call("1")
	c.MaxConns = 1
	resp, err := p.Do(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	_, err = p.Do(t.Context(), c)
	var e *Error
	if !errors.As(err, &e) || e.Sent() || !errors.Is(err, errConns) {
		t.Errorf("%v, want the error for the limit on connections", err)
	}
	if err := resp.Body.Close(); err != nil {
		t.Fatal(err)
	}
	resp, err = p.Do(t.Context(), c)
	if err != nil {
		t.Fatalf("after the first call: %v", err)
	}
	_ = resp.Body.Close()
}

func TestEncode(t *testing.T) {
	tests := []struct {
		name    string
		call    Call
		want    []string
		absent  []string
		isError bool
	}{
		{
			"hop-by-hop headers are dropped",
			Call{
				Method: "GET", URI: "/x/", Host: "h",
				Header: http.Header{"Connection": {"close"}, "Te": {"trailers"}, "A": {"1", "2"}},
			},
			[]string{"GET /x/ HTTP/1.1\r\n", "Host: h\r\n", "A: 1\r\n", "A: 2\r\n"},
			[]string{"Connection", "Te:", "Content-Length"}, false,
		},
		{
			"a body has a Content-Length", Call{Method: "POST", URI: "/", Host: "h", Body: []byte("abc")},
			[]string{"Content-Length: 3\r\n\r\nabc"}, nil, false,
		},
		{
			"an empty body has a Content-Length", Call{Method: "POST", URI: "/", Host: "h"},
			[]string{"Content-Length: 0\r\n"}, nil, false,
		},
		{"request smuggled in the URI", Call{Method: "GET", URI: "/ HTTP/1.1\r\n\r\nGET /", Host: "h"}, nil, nil, true},
		{
			"request smuggled in a header",
			Call{Method: "GET", URI: "/", Host: "h", Header: http.Header{"A": {"1\r\n\r\nGET / HTTP/1.1"}}}, nil, nil, true,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			parts, err := encode(&tc.call)
			raw := bytes.Join(parts, nil)
			if (err != nil) != tc.isError {
				t.Fatalf("encode returned the error %v", err)
			}
			for _, s := range tc.want {
				if !strings.Contains(string(raw), s) {
					t.Errorf("%q lacks %q", raw, s)
				}
			}
			for _, s := range tc.absent {
				if strings.Contains(string(raw), s) {
					t.Errorf("%q has %q", raw, s)
				}
			}
		})
	}
}

// TestLongBodiesAreNotCopied guards against attempts that each hold a copy of the body until a slow upstream has read it.
func TestLongBodiesAreNotCopied(t *testing.T) {
	c := Call{Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, 2*maxInlineBytes)}
	parts, err := encode(&c)
	if err != nil || len(parts) != 2 || len(parts[0]) > 1<<10 || &parts[1][0] != &c.Body[0] {
		t.Errorf("error %v, %d parts; want a short head and the body itself", err, len(parts))
	}
}

func TestSweepClosesUnwantedTargets(t *testing.T) {
	s := serve(t, func(int64) (string, bool) { return answerTo("1", "yes"), false })
	p := newPool()
	if _, err := do(t, p, s.call("1")); err != nil {
		t.Fatal(err)
	}
	p.Sweep(func(Target) bool { return false })
	if len(p.idle) != 0 || len(p.open) != 0 {
		t.Errorf("%d idle and %d open connections are left", len(p.idle), len(p.open))
	}
}

// TestLongRequestOnAnOldConnectionIsSent guards against the time limit on writing a short request, which stayed in force on its
// connection, so that a long one could not be sent there later.
func TestLongRequestOnAnOldConnectionIsSent(t *testing.T) {
	s := serve(t, func(n int64) (string, bool) { return answerTo(itoa(int(n)), "x"), false })
	p := newPool()
	if _, err := do(t, p, s.call("1")); err != nil {
		t.Fatal(err)
	}
	long := s.call("2")
	long.Method, long.Body = http.MethodPost, []byte(strings.Repeat("x", 2*maxInlineBytes))
	for _, list := range p.idle {
		for _, c := range list {
			if err := c.SetWriteDeadline(time.Now().Add(-time.Second)); err != nil { // as it is after writeTimeout
				t.Fatal(err)
			}
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), writeTimeout)
	defer cancel()
	resp, err := p.Do(ctx, long)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}
