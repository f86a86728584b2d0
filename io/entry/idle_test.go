package entry

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"rhubarbspread/io/tunnel"

	"github.com/go-logr/logr/funcr"
)

const (
	firstRequest = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"
	// answerWait is far longer than any answer takes: a connection that ends without one ends its read at once.
	answerWait = 20 * time.Second
)

// testServer serves callers on real sockets as a node does.
type testServer struct {
	node     *Node
	server   *callerServer
	listener *signalListener
	idle     chan struct{} // receives each time that a connection becomes idle
	resume   chan struct{} // if not nil, a connection that became idle is not read until it is closed
	block    chan struct{} // a request for /block is answered once it is closed
	begun    chan struct{} // receives a value when a request for /block is served
	log      lineLog
}

// lineLog keeps log lines.
type lineLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *lineLog) write(_, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

// take returns the lines since the last call.
func (l *lineLog) take() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := l.lines
	l.lines = nil
	return lines
}

// signalListener tells when it is closed.
type signalListener struct {
	net.Listener
	closed chan struct{}
}

func (l *signalListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return l.Listener.Close()
}

func startTestServer(t *testing.T, resume chan struct{}) *testServer {
	t.Helper()
	s := newTestServer(t, resume)
	s.server.ConnState = s.trackConn
	s.serve(t)
	return s
}

// newTestServer returns a server that does not serve yet.
func newTestServer(t *testing.T, resume chan struct{}) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{
		node: &Node{tunnels: tunnel.New(nil, nil)}, listener: &signalListener{l, make(chan struct{})}, idle: make(chan struct{}, 1000), resume: resume,
		block: make(chan struct{}), begun: make(chan struct{}, 1000),
	}
	s.node.log = funcr.New(s.log.write, funcr.Options{})
	s.node.settings.Store(&Config{GracePeriod: answerWait})
	s.server = s.node.newCallerServer(s.listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.node.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		if r.URL.Path == "/block" {
			s.begun <- struct{}{}
			<-s.block
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	return s
}

func (s *testServer) serve(t *testing.T) {
	served := make(chan error, 1)
	go func() { served <- s.server.serve() }()
	t.Cleanup(func() {
		_ = s.server.Close()
		<-served
	})
}

func (s *testServer) trackConn(c net.Conn, state http.ConnState) {
	s.node.trackConn(c, state)
	if state == http.StateIdle {
		s.idle <- struct{}{}
		if s.resume != nil {
			<-s.resume
		}
	}
}

// testCaller is a caller with one kept connection.
type testCaller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *testCaller {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &testCaller{c, bufio.NewReader(c)}
}

func (c *testCaller) send(t *testing.T, part string) {
	t.Helper()
	if _, err := io.WriteString(c, part); err != nil {
		t.Errorf("write: %v", err)
	}
}

// answer returns the body of the next answer.
func (c *testCaller) answer() (string, error) { return c.answerWithin(answerWait) }

func (c *testCaller) answerWithin(d time.Duration) (string, error) {
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return "", err
	}
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	return string(body), err
}

// becomeIdle sends a first request, and returns once its connection is idle.
func (s *testServer) becomeIdle(t *testing.T, c *testCaller) {
	t.Helper()
	c.send(t, firstRequest)
	if _, err := c.answer(); err != nil {
		t.Fatalf("first request: %v", err)
	}
	<-s.idle
}

// arrivals are the ways in which a request has arrived when the node decides to close its connection.
var arrivals = []struct {
	name        string
	unread      bool // the node has not looked at the connection since it became idle, as after a freeze
	early, late string
}{
	{"all of it is unread", true, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n", ""},
	{"a part of its head is unread", true, "GET /second HTTP/1.1\r\nHo", "st: h\r\n\r\n"},
	{"two bytes are unread", true, "GE", "T /second HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"a part of its head was read", false, "GET /second HTTP/1.1\r\nHo", "st: h\r\n\r\n"},
	{"two bytes were read", false, "GE", "T /second HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"its head was read without the body", false, "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "body"},
}

// readTime is given to the node to read a part of a request; the outcome may not depend on whether it did.
const readTime = 50 * time.Millisecond

// TestRequestAtTheIdleLimitIsAnswered guards against connections that are closed as idle after a request has arrived.
func TestRequestAtTheIdleLimitIsAnswered(t *testing.T) {
	for _, tc := range arrivals {
		t.Run(tc.name, func(t *testing.T) {
			var resume chan struct{}
			if tc.unread {
				resume = make(chan struct{})
			}
			s := startTestServer(t, resume)
			c := s.dial(t)
			s.becomeIdle(t, c)
			c.send(t, tc.early)
			time.Sleep(readTime)
			s.node.closeIdle(time.Nanosecond)
			if tc.unread {
				close(resume)
			}
			time.Sleep(readTime)
			c.send(t, tc.late)
			if body, err := c.answer(); body != "/second" || err != nil {
				t.Errorf("answer %q, error %v", body, err)
			}
		})
	}
}

// TestRequestAtTheStopIsAnswered guards against connections that a planned stop closes after a request has arrived.
func TestRequestAtTheStopIsAnswered(t *testing.T) {
	for _, kept := range []bool{true, false} {
		for _, tc := range arrivals {
			name := "new connection, " + tc.name
			if kept {
				name = "kept connection, " + tc.name
			} else if tc.unread {
				continue // a new connection is read as soon as it is accepted
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				var resume chan struct{}
				if tc.unread {
					resume = make(chan struct{})
				}
				s := startTestServer(t, resume)
				c := s.dial(t)
				if kept {
					s.becomeIdle(t, c)
				}
				c.send(t, tc.early)
				stopped := make(chan struct{})
				go func() {
					s.node.stop(s.server)
					close(stopped)
				}()
				<-s.listener.closed
				if tc.unread {
					close(resume)
				}
				time.Sleep(readTime)
				c.send(t, tc.late)
				if body, err := c.answer(); body != "/second" || err != nil {
					t.Errorf("answer %q, error %v", body, err)
				}
				<-stopped
			})
		}
	}
}

// TestRequestBehindAnotherIsAnswered guards against connections that are closed as idle although net/http has read the
// next request, or a part of its head, together with the one before.
func TestRequestBehindAnotherIsAnswered(t *testing.T) {
	for _, tc := range arrivals {
		if len(tc.early) < 4 {
			continue // net/http has no sign of fewer bytes
		}
		t.Run(tc.name, func(t *testing.T) {
			resume := make(chan struct{})
			s := startTestServer(t, resume)
			c := s.dial(t)
			c.send(t, firstRequest+tc.early)
			if body, err := c.answer(); body != "/first" || err != nil {
				t.Fatalf("first answer %q, error %v", body, err)
			}
			<-s.idle
			if tc.unread {
				s.node.closeIdle(time.Nanosecond)
			}
			close(resume)
			time.Sleep(readTime)
			s.node.closeIdle(time.Nanosecond)
			time.Sleep(readTime)
			c.send(t, tc.late)
			if body, err := c.answer(); body != "/second" || err != nil {
				t.Errorf("second answer %q, error %v", body, err)
			}
		})
	}
}

// age makes all connections without a request wait longer by d.
func (s *testServer) age(d time.Duration) {
	s.node.waitingConns.Range(func(key, value any) bool {
		w := value.(waiting)
		w.since = w.since.Add(-d)
		s.node.waitingConns.Store(key, w)
		return true
	})
}

// TestIdleConnectionsAreClosedAtALoweredLimit checks that connections stay open up to the limit, that all idle ones end
// once a configuration has lowered it, read or not, and that one line tells of them.
func TestIdleConnectionsAreClosedAtALoweredLimit(t *testing.T) {
	const idle = 6
	for _, unread := range []bool{false, true} {
		var resume chan struct{}
		if unread {
			resume = make(chan struct{})
		}
		s := startTestServer(t, resume)
		fresh, busy := s.dial(t), s.dial(t)
		busy.send(t, "GET /block HTTP/1.1\r\nHost: h\r\n\r\n")
		var callers []*testCaller
		for range idle {
			c := s.dial(t)
			s.becomeIdle(t, c)
			callers = append(callers, c)
		}
		s.age(4 * time.Second)
		s.node.closeIdleBy(time.Hour, 6)
		s.node.closeIdleBy(0, 7)
		if lines := s.log.take(); len(lines) != 0 {
			t.Errorf("closed below the limit: %v", lines)
		}
		s.node.closeIdleBy(3*time.Second, 8)
		s.node.closeIdleBy(3*time.Second, 8)
		want := `"level"=0 "msg"="idle-closed" "count"=6 "kept"=0 "limit"="3s" "version"=8`
		if lines := s.log.take(); len(lines) != 1 || lines[0] != want {
			t.Errorf("lines %q, want one: %s", lines, want)
		}
		if unread {
			close(resume)
		}
		for i, c := range callers {
			if _, err := c.answer(); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("read from idle connection %d: %v, want its end", i, err)
			}
		}
		for s.node.callerConns.Load() > 2 {
			time.Sleep(time.Millisecond)
		}
		s.node.closeIdleBy(3*time.Second, 8)
		if lines := s.log.take(); len(lines) != 0 {
			t.Errorf("lines after all idle connections were closed: %v", lines)
		}
		close(s.block)
		if body, err := busy.answer(); body != "/block" || err != nil {
			t.Errorf("request in flight: answer %q, error %v", body, err)
		}
		fresh.send(t, firstRequest)
		if body, err := fresh.answer(); body != "/first" || err != nil {
			t.Errorf("first request of a connection: answer %q, error %v", body, err)
		}
	}
}

// TestReadThatMeetsTheDecisionToCloseGoesOn guards against a read that has returned the first bytes of a request just
// before the node decides to close the connection, and after which the rest can't be read.
func TestReadThatMeetsTheDecisionToCloseGoesOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	n := &Node{}
	conn, err := newCallerListener(l, n).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := conn.(*callerConn)
	c.setPhase(connIdle)
	if !c.end() {
		t.Error("an idle connection is not to end")
	}
	c.begin()
	if c.end() || n.keptConns.Load() != 1 {
		t.Errorf("kept %d connections, want 1", n.keptConns.Load())
	}
	sent := make(chan error, 1)
	go func() {
		time.Sleep(readTime)
		_, err := io.WriteString(caller, "rest")
		sent <- err
	}()
	p := make([]byte, 8)
	if count, err := c.Read(p); string(p[:count]) != "rest" {
		t.Errorf("read %q, error %v", p[:count], err)
	}
	if err := <-sent; err != nil {
		t.Error(err)
	}
}
