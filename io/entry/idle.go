package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"rhubarbspread/core/quota"
)

// Times for callers' connections at a stop.
const (
	newConnWait   = time.Second           // for the first request of a connection that a caller has just opened
	drainInterval = 20 * time.Millisecond // between looks for connections that became idle
)

// longAgo is the read deadline of connections that are to end.
var longAgo = time.Unix(1, 0)

// callerServer serves the callers that connect to one listener.
type callerServer struct {
	http.Server
	listener net.Listener
	ended    chan struct{} // closed when no more connections are accepted
}

// newCallerServer returns the server of this node's callers.
func (n *Node) newCallerServer(l net.Listener, h http.Handler) *callerServer {
	return &callerServer{
		Server: http.Server{
			Handler: countRequests(h), ReadHeaderTimeout: headerTimeout, ConnState: n.trackConn, ConnContext: withConn, ErrorLog: discardLog(),
		},
		listener: newCallerListener(l, n), ended: make(chan struct{}),
	}
}

// serve accepts connections until the listener is closed or fails.
func (s *callerServer) serve() error {
	defer close(s.ended)
	return s.Serve(s.listener)
}

// callerListener accepts connections that can be ended without losing what has arrived on them.
type callerListener struct {
	net.Listener
	node  *Node
	crowd *crowd
}

// Accept returns the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		cc := &callerConn{TCPConn: tcp, node: l.node, crowd: l.crowd}
		l.crowd.add(cc)
		return cc, err
	}
	return c, err
}

// connPhase is the phase of a caller's connection.
type connPhase int

const (
	connNew  connPhase = iota // nothing has arrived yet
	connIdle                  // nothing has arrived since the last answer
	connBusy                  // at least a part of a request has arrived
)

// callerConn is a connection of a caller. net/http calls it idle until it has parsed the whole head of the next request;
// callerConn knows whether any byte has arrived. net/http closes it when its read ends.
type callerConn struct {
	*net.TCPConn
	node  *Node
	crowd *crowd

	mu     sync.Mutex
	phase  connPhase
	ending bool // the read deadline is in the past, so that the read that waits for the next request ends
	head   connHead
	// lostTo is the limit that has ended the read of the request that arrives, or "": the read deadline stays in the past until
	// the refusal.
	lostTo      string
	readsBody   bool
	progressAt  time.Time // when something last arrived
	lingerUntil time.Time // read deadline after a refusal; zero before
	hasPlace    bool      // among those that may linger beyond the limit on connections
	closed      bool
	account     *quota.Account // of the request that arrives or is served, or nil
}

// Read reads what has arrived, and of a head not more than the configuration allows. A read that is ended looks at the socket first.
func (c *callerConn) Read(p []byte) (int, error) {
	room := c.headRoom(len(p))
	if room == 0 && len(p) > 0 {
		return 0, c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, limitHead)
	}
	n, err := c.TCPConn.Read(p[:room])
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isEnding() {
		if n = c.readArrived(p[:room]); n > 0 {
			err = nil
		}
	}
	if n > 0 {
		c.begin()
		if c.chargeHead(p[:n]) != nil {
			return 0, c.refuseHead(http.StatusServiceUnavailable, limitBytes)
		}
	}
	if err != nil {
		if limit := c.endHead(); limit != "" {
			return 0, c.refuseHead(http.StatusServiceUnavailable, limit)
		}
	}
	return n, err
}

// readArrived reads, without waiting, what lies in the socket, and returns its length.
func (c *callerConn) readArrived(p []byte) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = c.TCPConn.SetReadDeadline(time.Time{}) // else the deadline would prevent this read too
	n := 0
	_ = raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), p)
		for err == syscall.EINTR {
			n, err = syscall.Read(int(fd), p)
		}
		return true
	})
	if n <= 0 {
		_ = c.TCPConn.SetReadDeadline(longAgo)
		return 0
	}
	return n
}

// SetReadDeadline sets the read deadline, except while the connection is to end: net/http clears it after it has
// reported the connection idle. Without an idle timeout of its own, it sets one on an idle connection only once it has
// the first bytes of a head, which may have arrived behind the request before.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connIdle && !t.IsZero() {
		c.keep(t)
		return nil
	}
	if c.ending || c.lostTo != "" {
		return nil
	}
	if !c.lingerUntil.IsZero() && (t.IsZero() || t.After(c.lingerUntil)) {
		return c.TCPConn.SetReadDeadline(c.lingerUntil)
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *callerConn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// begin records that a request has begun to arrive. net/http limits the time for the head only from its fourth byte on.
func (c *callerConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connIdle || c.ending {
		c.keep(time.Now().Add(headerTimeout))
	}
	c.phase, c.progressAt = connBusy, time.Now()
}

// keep takes back that the connection is to end and sets its read deadline; c.mu is held.
func (c *callerConn) keep(deadline time.Time) {
	if c.ending {
		c.ending = false
		c.node.keptConns.Add(1)
	}
	c.phase = connBusy
	_ = c.TCPConn.SetReadDeadline(deadline)
}

func (c *callerConn) setPhase(p connPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	c.head.parsed = true
	if p != connBusy {
		c.head, c.progressAt = connHead{arriving: true}, time.Now()
	}
}

// end ends the connection unless a request has begun to arrive, and reports whether it does.
func (c *callerConn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == connBusy || c.ending {
		return false
	}
	c.ending = true
	_ = c.TCPConn.SetReadDeadline(longAgo)
	return true
}

// trackConn counts callers' connections and records since when each waits for a request.
func (n *Node) trackConn(c net.Conn, s http.ConnState) {
	n.waitingConns.Delete(c)
	var phase connPhase
	switch s {
	case http.StateNew:
		n.callerConns.Add(1)
		n.resizeBudget()
		phase = connNew
	case http.StateActive:
		phase = connBusy
	case http.StateIdle:
		phase = connIdle
	case http.StateClosed, http.StateHijacked:
		n.callerConns.Add(-1)
		n.resizeBudget()
		return
	}
	if cc, ok := c.(*callerConn); ok {
		cc.setPhase(phase)
	}
	if phase != connBusy {
		n.waitingConns.Store(c, waiting{phase, time.Now()})
	}
}

// waiting is the phase of a connection without a request, and since when it lasts.
type waiting struct {
	phase connPhase
	since time.Time
}

// closeIdle closes callers' connections that have been idle for longer than the configuration allows, and returns their
// number.
func (n *Node) closeIdle(limit time.Duration) int {
	if limit <= 0 {
		return 0
	}
	return n.endConns(func(w waiting) bool { return w.phase == connIdle && time.Since(w.since) > limit })
}

// endConns ends the connections without a request that the function selects, and returns their number.
func (n *Node) endConns(isDue func(waiting) bool) int {
	count := 0
	n.waitingConns.Range(func(key, value any) bool {
		if !isDue(value.(waiting)) {
			return true
		}
		switch c := key.(type) {
		case *callerConn:
			if c.end() {
				count++
			}
		case net.Conn: // not TCP, so nothing can lie in a socket
			n.waitingConns.Delete(c)
			_ = c.Close()
			count++
		}
		return true
	})
	return count
}

// closeIdleBy closes connections by the limit of a configuration and logs how many were closed, and how many were to be
// closed since the last call and were kept because a request had arrived.
func (n *Node) closeIdleBy(limit time.Duration, version uint64) {
	count := n.closeIdle(limit)
	if kept := n.keptConns.Swap(0); count > 0 || kept > 0 {
		n.log.Info("idle-closed", "count", count, "kept", kept, "limit", limit, "version", version)
	}
}

// drain closes the listener and then each connection as soon as no request has begun on it. http.Server.Shutdown would
// close connections on which a request has arrived and is not parsed yet, and drop those that it reads afterwards.
func (n *Node) drain(ctx context.Context, s *callerServer) error {
	_ = s.listener.Close()
	select {
	case <-s.ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	count := 0
	for n.callerConns.Load() > 0 && ctx.Err() == nil {
		count += n.endConns(func(w waiting) bool { return w.phase == connIdle || time.Since(w.since) > newConnWait })
		sleep(ctx, drainInterval)
	}
	n.log.Info("callers-drained", "idle-closed", count, "kept", n.keptConns.Swap(0), "left", n.callerConns.Load())
	if n.callerConns.Load() > 0 {
		return ctx.Err()
	}
	return nil
}
