package ports

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"rhubarbspread/core/quota"
)

// TestLimitKeepsRoomForNewConnections guards against ports that idle or silent clients keep others out of, and against limits that
// close a connection whose request runs while others wait.
func TestLimitKeepsRoomForNewConnections(t *testing.T) {
	const limit = 4
	running, release := make(chan struct{}), make(chan struct{})
	var closed atomic.Int64
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(running)
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	LimitConns(s, limit, true, func(net.Conn) { closed.Add(1) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	defer func() { _ = s.Close(); <-done }()
	dial := func(text string) *bufio.Reader {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		return bufio.NewReader(c)
	}
	slow := dial("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-running
	for range 5 * limit {
		dial("GET /part")
	}
	read := func(r *bufio.Reader, want string) {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(want, err)
		}
		defer resp.Body.Close()
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != want {
			t.Errorf("answer %q, %v, want %q", body, err, want)
		}
	}
	read(dial("GET /late HTTP/1.1\r\nHost: h\r\n\r\n"), "/late")
	close(release)
	read(slow, "/slow")
	if closed.Load() != 4*limit+2 {
		t.Errorf("%d connections closed, want %d", closed.Load(), 4*limit+2)
	}
}

// TestLimitCutsNoRunningRequest guards against limits on callers' connections that break off requests in service.
func TestLimitCutsNoRunningRequest(t *testing.T) {
	var closed []net.Conn
	s := &http.Server{}
	LimitConns(s, 2, false, func(c net.Conn) { closed = append(closed, c) })
	conns := make([]net.Conn, 3)
	for i := range conns {
		c, other := net.Pipe()
		t.Cleanup(func() { _ = other.Close() })
		conns[i] = c
		s.ConnState(c, http.StateNew)
		s.ConnState(c, http.StateActive)
	}
	if len(closed) != 1 || closed[0] != conns[2] {
		t.Errorf("%d connections closed, want the new one alone", len(closed))
	}
}

// TestReadBody guards against bodies that are cut, accepted beyond the limit, or charged after they are returned.
func TestReadBody(t *testing.T) {
	for _, tc := range []struct {
		name          string
		body          string
		length, limit int64
		err           error
	}{
		{"with a length", "four", 4, 4, nil},
		{"without a length", "four", -1, 4, nil},
		{"empty", "", 0, 4, nil},
		{"length beyond the limit", "fives", 5, 4, ErrTooLarge},
		{"beyond the limit", "fives", -1, 4, ErrTooLarge},
		{"long", strings.Repeat("x", 99999), -1, 1 << 20, nil},
		{"long with a length", strings.Repeat("x", 99999), 99999, 99999, nil},
		{"more than the budget has", strings.Repeat("x", 1<<20), 1 << 20, 1 << 20, quota.ErrShort},
	} {
		for _, reader := range []io.Reader{strings.NewReader(tc.body), iotest.OneByteReader(strings.NewReader(tc.body)),
			iotest.DataErrReader(strings.NewReader(tc.body))} {
			b := new(quota.Budget)
			b.SetLimit(1 << 20)
			a := b.Open(func() {})
			body, err := ReadBody(reader, tc.length, tc.limit, a)
			if err != tc.err || err == nil && string(body) != tc.body {
				t.Errorf("%s: %d bytes, error %v, want %v", tc.name, len(body), err, tc.err)
			}
			if err == nil && b.Used() != int64(cap(body)) {
				t.Errorf("%s: %d bytes charged, %d held", tc.name, b.Used(), cap(body))
			}
			if a.Close(); b.Used() != 0 {
				t.Errorf("%s: %d bytes stay charged", tc.name, b.Used())
			}
		}
	}
}

// TestBodyAtTheLimitIsHeldOnce guards against a buffer that doubles only to find the end of a body of the largest size, so that few of
// them use up the budget.
func TestBodyAtTheLimitIsHeldOnce(t *testing.T) {
	const limit = 1 << 20
	for _, length := range []int64{-1, limit} {
		b := new(quota.Budget)
		b.SetLimit(limit * 7 / 4) // of which large requests may use 1.53 times the limit on a body: its last growth takes 1.5 times
		a := b.Open(func() {})
		body, err := ReadBody(strings.NewReader(strings.Repeat("x", limit)), length, limit, a)
		if err != nil || len(body) != limit || b.Used() != limit {
			t.Errorf("stated length %d: %d bytes, error %v, %d charged, want %d", length, len(body), err, b.Used(), limit)
		}
		a.Close()
	}
}

// stalledConn is a connection whose request has stopped arriving.
type stalledConn struct{ net.Conn }

func (stalledConn) HasStalled() bool { return true }

// TestStalledBodiesGiveWay guards against limits on callers' connections that bodies which stop short use up until their time is over.
func TestStalledBodiesGiveWay(t *testing.T) {
	var closed []net.Conn
	s := &http.Server{}
	LimitConns(s, 2, false, func(c net.Conn) { closed = append(closed, c) })
	running, other := net.Pipe()
	defer other.Close()
	late, other := net.Pipe()
	defer other.Close()
	body, other := net.Pipe()
	defer other.Close()
	stalled := stalledConn{body}
	for _, c := range []net.Conn{running, stalled} {
		s.ConnState(c, http.StateNew)
		s.ConnState(c, http.StateActive)
	}
	if s.ConnState(late, http.StateNew); len(closed) != 1 || closed[0] != stalled {
		t.Errorf("closed %v, want the connection with the stalled body alone", closed)
	}
}
