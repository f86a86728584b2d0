package serve

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"rhubarbspread/core/quota"
	"rhubarbspread/core/reply"
	"rhubarbspread/io/ports"
)

// lingerBytes bounds what is read from a caller whose head has been refused, so that the answer is not lost in a reset.
const lingerBytes = 256 << 10

// errHeadRefused is the error of a read after the head has been refused; net/http then answers nothing.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head was refused")}

// LimitHeads makes the heads of requests count as the bodies do: it sets the server's ConnState and returns the listener to serve.
func (c *CallerAPI) LimitHeads(s *http.Server, l net.Listener) net.Listener {
	return c.bodies.limitHeads(s, l)
}

// limitHeads is LimitHeads for any server.
func (b *bodies) limitHeads(s *http.Server, l net.Listener) net.Listener {
	next := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if h, ok := conn.(*headConn); ok {
			h.setState(state)
		}
		if next != nil {
			next(conn, state)
		}
	}
	return &headListener{l, b}
}

// headListener accepts connections whose heads are counted.
type headListener struct {
	net.Listener
	bodies *bodies
}

// Accept returns the next connection.
func (l *headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &headConn{TCPConn: tcp, bodies: l.bodies, arriving: true}, err
	}
	return c, err
}

// headConn is a connection that charges the bytes and lines of a head as they arrive.
type headConn struct {
	*net.TCPConn
	bodies *bodies

	mu       sync.Mutex
	arriving bool // net/http has not parsed the head yet
	head     ports.Head
	account  *quota.Account // of the request that arrives or is served, or nil
	isEnding bool           // the account has lost its bytes, so that no more of the request is read
}

// setState follows net/http: the head is parsed once the connection is active, and the request has ended once it is idle or closed.
func (c *headConn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arriving = s != http.StateActive; s == http.StateActive {
		c.openAccount() // also where the head arrived behind another request
	}
	if s != http.StateIdle && s != http.StateClosed {
		return
	}
	c.head, c.isEnding = ports.Head{}, false
	if c.account != nil {
		c.account.Close()
		c.account = nil
	}
}

// Read reads what has arrived. A head that finds no room or has lost its bytes is refused.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		if short := c.charge(p[:n]); short != nil {
			return 0, c.refuse(short)
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.hasLostHead() {
		return 0, c.refuse(quota.ErrEvicted)
	}
	return n, err
}

// charge charges a part of a head.
func (c *headConn) charge(p []byte) error {
	c.mu.Lock()
	if !c.arriving {
		c.mu.Unlock()
		return nil
	}
	cost, a := c.head.Arrive(p), c.openAccount()
	c.mu.Unlock()
	a.Received(len(p))
	return a.Charge(cost)
}

// openAccount returns the account of the request. The caller holds the lock.
func (c *headConn) openAccount() *quota.Account {
	if c.account == nil {
		c.account = c.bodies.budget.Open(c.evict)
	}
	return c.account
}

// evict ends the reads of a request that has lost its bytes.
func (c *headConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.account != nil && c.account.IsEvicted() { // else the request has ended meanwhile
		c.isEnding = true
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline sets the deadline unless the request has lost its bytes: net/http sets one after the head, which would let the request
// keep them.
func (c *headConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEnding {
		return nil
	}
	return c.TCPConn.SetReadDeadline(at)
}

// linger lets what still arrives be read for a bounded time after a refusal.
func (c *headConn) linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
}

// request returns the account of a request whose head has been parsed, and what its lines take that have not been charged.
func (c *headConn) request(header http.Header) (*quota.Account, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openAccount(), c.head.Parsed(header)
}

// HasStalled reports whether the request has stopped arriving.
func (c *headConn) HasStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account != nil && c.account.HasStalled()
}

func (c *headConn) hasLostHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arriving && c.account != nil && c.account.IsEvicted()
}

// refuse answers a head in place of net/http, and reads for a bounded time what still arrives.
func (c *headConn) refuse(cause error) error {
	c.bodies.logRefusal(c.RemoteAddr().String(), cause)
	r := shortRefusal(cause)
	body, err := json.Marshal(problemOf(r))
	if err != nil {
		return err
	}
	answer := http.Response{
		StatusCode: r.Status(), ProtoMajor: 1, ProtoMinor: 1, Close: true, ContentLength: int64(len(body)),
		Body: io.NopCloser(bytes.NewReader(body)),
		Header: http.Header{
			"Content-Type": {"application/problem+json"}, runStateHeader: {string(r.RunState())},
			"Retry-After": {strconv.Itoa(int(shortRetryAfter.Seconds()))},
		},
	}
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	if answer.Write(c.TCPConn) == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	return errHeadRefused
}

// shortRefusal returns the refusal of a request whose bytes are not free or went to others.
func shortRefusal(cause error) *reply.Refusal {
	return reply.NewRefusal(http.StatusServiceUnavailable, "no-room", cause.Error(), reply.WithRetryAfter(shortRetryAfter))
}
