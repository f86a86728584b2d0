package entry

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"rhubarbspread/core/proxy"
	"rhubarbspread/core/rules"
)

// TestLimitThatMeetsAWholeRequestRefusesIt guards against a limit that takes effect just as the rest of a head arrives: the read
// deadline in the past then cancels the request after it was passed on, and its caller gets no answer.
func TestLimitThatMeetsAWholeRequestRefusesIt(t *testing.T) {
	s := newTestServer(t, nil)
	s.server.Handler = countRequests(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			t.Error("the request was begun and canceled")
		case <-time.After(readTime):
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	s.server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateActive {
			c.(*callerConn).giveWay() // the last bytes of the head have been read
		}
		s.node.trackConn(c, state)
	}
	s.serve(t)
	c := s.dial(t)
	c.send(t, firstRequest)
	_ = c.SetReadDeadline(time.Now().Add(answerWait))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("status %d, headers %v, want 503 with Retry-After and the end of the connection", resp.StatusCode, resp.Header)
	}
	if _, err := io.ReadAll(c.reader); err != nil {
		t.Errorf("end of the connection: %v", err)
	}
}

// evictAtEnd is a body whose connection loses to a limit once its last byte has been read.
type evictAtEnd struct {
	io.Reader
	conn *callerConn
}

func (b evictAtEnd) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.evictFor(limitConns)
	}
	return n, err
}

func (evictAtEnd) Close() error { return nil }

// TestLimitThatMeetsAWholeBodyRefusesIt guards against the same fault at the end of a body.
func TestLimitThatMeetsAWholeBodyRefusesIt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	n := new(Node)
	c := &callerConn{TCPConn: accepted.(*net.TCPConn), node: n, crowd: newCrowd(n)}
	defer c.Close()
	h := &held{account: n.callerBudget.Open(func() {}), conn: c}
	defer h.account.Close()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")))
	if err != nil {
		t.Fatal(err)
	}
	r.Body = evictAtEnd{r.Body, c}
	_, refusal := h.readBody(r, rules.Limits{})
	if refusal == nil || refusal.Status != http.StatusServiceUnavailable || h.limit != limitConns {
		t.Errorf("refusal %v by limit %q, want 503 by %s", refusal, h.limit, limitConns)
	}
}

// TestRestOfARefusedBodyIsRead guards against connections that are reset after a refusal because net/http waits before it closes
// them, and nothing of a long body is read until the time for that is over.
func TestRestOfARefusedBodyIsRead(t *testing.T) {
	s := newTestServer(t, nil)
	s.server.Handler = countRequests(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := s.node.hold(r.Context())
		defer h.account.Close()
		h.limit = limitBytes
		h.refuse(&sink{w: w, rc: http.NewResponseController(w), stopping: s.node.stopping.Load}, r,
			h.shortRefusal(errors.New("short")))
	}))
	s.server.ConnState = s.node.trackConn
	s.serve(t)
	c := s.dial(t)
	c.send(t, "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n"+strings.Repeat("b", lingerBytes/2))
	for s.node.callerConns.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for s.node.callerConns.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		if code, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR); err != nil || code != 0 {
			t.Errorf("error of the socket: %v, %v, want none", syscall.Errno(code), err)
		}
	}); err != nil {
		t.Fatal(err)
	}
	if body, err := c.answer(); err != nil || body != "short\n" {
		t.Errorf("answer %q, error %v", body, err)
	}
}

// TestRefusalAsksForNoBody guards against a refusal that sends 100 Continue first, by which the caller sends a body in vain.
func TestRefusalAsksForNoBody(t *testing.T) {
	s := newTestServer(t, nil)
	s.server.Handler = countRequests(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := s.node.hold(r.Context())
		defer h.account.Close()
		h.refuse(&sink{w: w, rc: http.NewResponseController(w), stopping: s.node.stopping.Load}, r,
			&proxy.Refusal{Status: http.StatusNotFound, Cause: "no route"})
	}))
	s.server.ConnState = s.node.trackConn
	s.serve(t)
	c := s.dial(t)
	c.send(t, "POST /first HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(answerWait))
	answer, err := io.ReadAll(c.reader)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 404 ") {
		t.Errorf("answer %.40q, error %v", answer, err)
	}
}

// TestWholeHeadAtTheLimitIsNotRefused guards against a limit on heads that meets net/http's read behind a whole head, which begins
// before the handler: the caller then gets 431 although its request is served.
func TestWholeHeadAtTheLimitIsNotRefused(t *testing.T) {
	s := newTestServer(t, nil)
	counted := s.server.Handler
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(readTime) // as where another goroutine runs first
		counted.ServeHTTP(w, r)
	})
	s.server.ConnState = s.node.trackConn
	s.serve(t)
	c := s.dial(t)
	const head = "GET /first HTTP/1.1\r\nHost: h\r\nX-Fill: "
	for range 2 {
		c.send(t, head+strings.Repeat("x", s.node.headLimit()-len(head)-4)+"\r\n\r\n")
		if body, err := c.answer(); body != "/first" || err != nil {
			t.Fatalf("answer %q, error %v", body, err)
		}
	}
}
