package ports

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limiter bounds the connections of a server.
type Limiter struct {
	limit   int
	cuts    bool // also connections whose request runs
	onClose func(net.Conn)
	next    func(net.Conn, http.ConnState)

	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of a connection, and since when it lasts.
type connState struct {
	state http.ConnState
	since time.Time
}

// staller is a connection that knows whether the body of its request has stopped arriving. One that has waits as one for a head does.
type staller interface{ HasStalled() bool }

// isRunning reports whether a connection's request runs.
func isRunning(c net.Conn, s connState) bool {
	if s.state != http.StateActive {
		return false
	}
	b, ok := c.(staller)
	return !ok || !b.HasStalled()
}

// LimitConns bounds the open connections of a server that has not begun to serve. Of more, it closes the one that has waited for
// longest for a request or the rest of a head or, if it is a staller, of a body. If none waits, it closes the one whose request has run for longest, or the new one
// unless cutsRunning. onClose, if not nil, is called for each. Connections that a handler has taken over don't count.
func LimitConns(s *http.Server, limit int, cutsRunning bool, onClose func(net.Conn)) {
	l := &Limiter{limit: limit, cuts: cutsRunning, onClose: onClose, next: s.ConnState, conns: make(map[net.Conn]connState)}
	s.ConnState = l.track
}

// track records a connection's new state.
func (l *Limiter) track(c net.Conn, s http.ConnState) {
	if l.next != nil {
		l.next(c, s)
	}
	if victim := l.record(c, s); victim != nil {
		_ = victim.Close()
		if l.onClose != nil {
			l.onClose(victim)
		}
	}
}

// record returns the connection that has to close, or nil.
func (l *Limiter) record(c net.Conn, s http.ConnState) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(l.conns, c)
		return nil
	}
	if _, isOpen := l.conns[c]; !isOpen && s != http.StateNew {
		return nil // closed here
	}
	l.conns[c] = connState{s, time.Now()}
	if len(l.conns) <= l.limit {
		return nil
	}
	victim := l.oldest(c)
	if !l.cuts && (victim == nil || isRunning(victim, l.conns[victim])) {
		victim = c
	}
	delete(l.conns, victim)
	return victim
}

// oldest returns the connection but one that has waited for longest or, if none waits, whose request has run for longest. The caller
// holds the lock.
func (l *Limiter) oldest(except net.Conn) net.Conn {
	var choice Choice[net.Conn]
	for other, state := range l.conns {
		if other == except {
			continue
		}
		rank := 0
		if isRunning(other, state) {
			rank = 1
		}
		choice.Offer(other, rank, state.since)
	}
	return choice.Victim
}
