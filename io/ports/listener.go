package ports

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// minAge is how old a connection is at least before it gives way to a new one. The calls of other nodes take some 10 ms, so that
	// none of a thousand nodes that call at once loses its connection; the others wait in the queue of the kernel.
	minAge = 250 * time.Millisecond
	// roomInterval is between looks for room for a connection that has been accepted.
	roomInterval = 5 * time.Millisecond
)

// Listener bounds the open connections of a server that is no HTTP server, and their times.
type Listener struct {
	net.Listener
	limiter *Limiter
	timeout time.Duration
	renews  bool // the timeout begins again with each answer

	closing sync.Once
	closed  chan struct{}
}

// ListenerOption configures a Listener.
type ListenerOption func(*Listener)

// WithRenewal makes the timeout of a connection begin again with each answer.
func WithRenewal() ListenerOption { return func(l *Listener) { l.renews = true } }

// NewListener returns a listener that keeps at most limit connections open, each for the timeout. At the limit a new connection replaces
// the one that has waited for a request for longest, or else the one whose answer has been under way for longest, once that has lasted
// for minAge. onClose is called for each that is replaced.
func NewListener(l net.Listener, limit int, timeout time.Duration, onClose func(net.Conn), opts ...ListenerOption) *Listener {
	out := &Listener{
		Listener: l, timeout: timeout, closed: make(chan struct{}),
		limiter: &Limiter{limit: limit, cuts: true, onClose: onClose, conns: make(map[net.Conn]connState)},
	}
	for _, o := range opts {
		o(out)
	}
	return out
}

// Accept waits for the next connection and for room for it.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: raw, listener: l}
	if err := c.SetDeadline(time.Now().Add(l.timeout)); err != nil {
		_ = raw.Close()
		return c, nil // its first read fails, while an error of Accept would end the server
	}
	for {
		victim, isIn := l.limiter.replace(c)
		if victim != nil {
			_ = victim.Close()
			l.limiter.onClose(victim)
		}
		if isIn {
			return c, nil
		}
		select {
		case <-time.After(roomInterval):
		case <-l.closed:
			_ = raw.Close()
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener and ends the wait for room.
func (l *Listener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// replace records a new connection if there is room for it, or one old enough to give way, which it returns.
func (l *Limiter) replace(c net.Conn) (victim net.Conn, isIn bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit {
		victim = l.oldest(nil)
		if time.Since(l.conns[victim].since) < minAge {
			return nil, false
		}
		delete(l.conns, victim)
	}
	l.conns[c] = connState{http.StateNew, time.Now()}
	return victim, true
}

// limitedConn is a connection of a Listener. What is written to it counts as an answer.
type limitedConn struct {
	net.Conn
	listener *Listener
}

// Write writes a part of an answer.
func (c *limitedConn) Write(b []byte) (int, error) {
	if c.listener.renews {
		if err := c.SetDeadline(time.Now().Add(c.listener.timeout)); err != nil {
			return 0, err
		}
	}
	c.listener.limiter.record(c, http.StateActive)
	n, err := c.Conn.Write(b)
	c.listener.limiter.record(c, http.StateIdle)
	return n, err
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.listener.limiter.record(c, http.StateClosed)
	return c.Conn.Close()
}
