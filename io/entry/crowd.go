package entry

import (
	"net"
	"sync"
	"time"

	"rhubarbspread/io/ports"
)

const (
	// roomInterval is the longest time between looks for room for a connection that has been accepted.
	roomInterval = 20 * time.Millisecond
	// limitConns is the name of the limit on callers' connections, for logs and counters.
	limitConns = "caller-connections"
)

// crowd is the set of callers' connections of one listener.
type crowd struct {
	node *Node

	mu      sync.Mutex
	conns   map[*callerConn]struct{}
	changed chan struct{} // receives a value when a connection has closed
	closed  bool          // no more connections are accepted
}

func newCrowd(n *Node) *crowd {
	return &crowd{node: n, conns: make(map[*callerConn]struct{}), changed: make(chan struct{}, 1)}
}

// add adds a connection once there is room for it: at the limit it closes connections that wait without progress, and else waits until
// one ends. Connections that linger after a refusal are not counted; their number has a limit of its own.
func (w *crowd) add(c *callerConn) {
	c.progressAt = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.closed && len(w.conns)-int(w.node.lingering.Load()) >= w.node.connLimit() {
		victim := w.choose()
		w.mu.Unlock()
		if victim != nil {
			victim.giveWay()
		}
		w.await()
		w.mu.Lock()
	}
	w.conns[c] = struct{}{}
}

// await waits until a connection has closed, for a bounded time.
func (w *crowd) await() {
	timer := time.NewTimer(roomInterval)
	defer timer.Stop()
	select {
	case <-w.changed:
	case <-timer.C:
	}
}

// choose returns the connection that has waited for longest without progress and carries no request that is served: of those that
// linger beyond the number that may, else of those that wait for a request or its rest, else of those kept idle. It returns none if those
// that are about to close leave room. The caller holds the lock.
func (w *crowd) choose() *callerConn {
	var choice ports.Choice[*callerConn]
	ending := 0
	for c := range w.conns {
		p, at := c.progress()
		rank := 0
		switch p {
		case progressEnding:
			ending++
			continue
		case progressServed, progressLingering:
			continue
		case progressWaiting:
			rank = 1
		case progressIdle:
			rank = 2
		}
		choice.Offer(c, rank, at)
	}
	if n := w.node.connLimit(); len(w.conns)-int(w.node.lingering.Load())-ending < n {
		return nil
	}
	return choice.Victim
}

// remove removes a connection that has closed.
func (w *crowd) remove(c *callerConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// close ends the waits of add.
func (w *crowd) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}

// connProgress says what a connection is doing.
type connProgress int

const (
	progressWaiting   connProgress = iota // for a first request, or for the rest of a head or body
	progressIdle                          // kept after an answer
	progressServed                        // its request has arrived
	progressEnding                        // it is about to close
	progressLingering                     // it is read for a while after a refusal
	progressExtra                         // likewise, beyond the number that may linger
)

// progress returns what a connection is doing, and since when nothing has arrived on it.
func (c *callerConn) progress() (connProgress, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.lingerUntil.IsZero() && !c.hasPlace:
		return progressExtra, c.progressAt
	case !c.lingerUntil.IsZero():
		return progressLingering, c.progressAt
	case c.lostTo != "" || c.ending || c.closed:
		return progressEnding, c.progressAt
	case c.phase == connIdle:
		return progressIdle, c.progressAt
	case c.head.arriving || c.readsBody:
		return progressWaiting, c.progressAt
	}
	return progressServed, c.progressAt
}

// giveWay makes a connection end in favour of a new one. What arrives meanwhile on one without a request is served nevertheless; a
// request that has arrived in part is refused.
func (c *callerConn) giveWay() {
	if c.stopLinger() {
		return
	}
	if !c.end() {
		c.evictFor(limitConns)
		return
	}
	c.node.logClosed(limitConns, c.RemoteAddr().String())
}

// Close closes the listener and ends the wait for room.
func (l *callerListener) Close() error {
	l.crowd.close()
	return l.Listener.Close()
}

// newCallerListener returns a listener whose connections stay within the node's limit.
func newCallerListener(l net.Listener, n *Node) *callerListener {
	return &callerListener{Listener: l, node: n, crowd: newCrowd(n)}
}
