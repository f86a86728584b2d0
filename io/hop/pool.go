package hop

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Target identifies one incarnation of an upstream by its ID and address.
type Target struct{ ID, Address string }

// Limits of connections and of reading answers.
const (
	defaultIdleTimeout = 4 * time.Second        // for upstreams that state no timeout in Keep-Alive
	idleTimeoutMargin  = 250 * time.Millisecond // by which a connection is dropped before the upstream closes it
	maxFreshIdle       = time.Second            // longest idle time of a connection for a request that can't be retried
	maxIdleConns       = 64                     // per upstream
	maxRelayedAge      = 2 * time.Second        // until a connection through a relay, which may be stopping, is not reused
	maxSkippedAnswers  = 2                      // late answers to earlier requests, which are discarded
	maxSkippedBytes    = 64 << 10               // of the body of such an answer
	maxInlineBytes     = 16 << 10               // size up to which a request is written before its answer is read
	writeTimeout       = 5 * time.Second        // of a request that is written before its answer is read
)

// Pool holds the connections to upstreams and reuses idle ones.
type Pool struct {
	mu     sync.Mutex
	idle   map[Target][]*conn // the most recently used last
	open   map[Target]int     // number of connections, in use or idle
	onDial func()
	dial   DialFunc
	// onUnanswered is called after an exchange that broke off on a connection which no relay passes on.
	onUnanswered func(Target)
}

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, t Target) (net.Conn, error)

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithDial sets how connections to upstreams are opened; the default is DialDirect.
func WithDial(dial DialFunc) PoolOption { return func(p *Pool) { p.dial = dial } }

// NewPool returns an empty pool; onDial is called before each new connection is dialled.
func NewPool(onDial func(), opts ...PoolOption) *Pool {
	p := &Pool{idle: make(map[Target][]*conn), open: make(map[Target]int), onDial: onDial, dial: DialDirect,
		onUnanswered: func(Target) {}}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Probe opens and closes a connection to an upstream.
func (p *Pool) Probe(ctx context.Context, t Target) error {
	c, err := p.dial(ctx, t)
	if err != nil {
		return err
	}
	return c.Close()
}

// Call is one request to an upstream.
type Call struct {
	Target   Target
	Method   string
	URI      string
	Host     string
	Header   http.Header
	Body     []byte
	Fresh    bool // uses only a new or recently used connection, as the upstream may have closed an older one
	MaxConns int  // limit on this node's connections to the upstream; 0 for none
	// Foreign reports whether an answer belongs to another request; the answer to this one may follow it.
	Foreign func(status int, h http.Header) bool
}

// Error is the error of a call that got no answer.
type Error struct {
	sent bool
	err  error
}

// Error returns the cause.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Sent reports whether a byte of the request may have reached the upstream.
func (e *Error) Sent() bool { return e.sent }

var errConns = errors.New("all connections to the upstream are in use")

// Do sends a call and returns the answer with its unread body; its error is an *Error. When the context ends, the
// connection is closed, even while the body is being read.
func (p *Pool) Do(ctx context.Context, c *Call) (*http.Response, error) {
	cn, err := p.acquire(ctx, c)
	if err != nil {
		return nil, &Error{false, err}
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	x := &exchange{ctx: ctx, pool: p, conn: cn, stop: stop, written: make(chan error, 1), startedAt: time.Now()}
	resp, err := x.run(c)
	if err != nil {
		x.fail()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{true, err}
	}
	x.isAnswered = true
	return resp, nil
}

// acquire returns an idle connection that may be reused, or else a new one.
func (p *Pool) acquire(ctx context.Context, c *Call) (*conn, error) {
	for {
		cn := p.pop(c.Target)
		if cn == nil {
			break
		}
		idleFor := time.Since(cn.idleSince)
		if idleFor < cn.idleTimeout && (!c.Fresh || idleFor < maxFreshIdle) && !cn.isOldRelayed() && cn.isClean() {
			return cn, nil
		}
		p.discard(cn)
	}
	p.mu.Lock()
	if c.MaxConns > 0 && p.open[c.Target] >= c.MaxConns {
		p.mu.Unlock()
		return nil, errConns
	}
	p.open[c.Target]++
	p.mu.Unlock()
	p.onDial()
	nc, err := p.dial(ctx, c.Target)
	if err != nil {
		p.countClosed(c.Target)
		return nil, err
	}
	return newConn(nc, c.Target), nil
}

// HasIdle reports whether the pool has an idle connection to a target.
func (p *Pool) HasIdle(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[t]) > 0
}

// pop removes the most recently used idle connection to a target and returns it, or nil if there is none.
func (p *Pool) pop(t Target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[t]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	p.idle[t] = list[:len(list)-1]
	return cn
}

// put makes a connection idle, or closes it if there are enough idle ones.
func (p *Pool) put(cn *conn) {
	p.mu.Lock()
	list := p.idle[cn.target]
	if len(list) < maxIdleConns {
		cn.idleSince = time.Now()
		p.idle[cn.target] = append(list, cn)
		cn = nil
	}
	p.mu.Unlock()
	if cn != nil {
		p.discard(cn)
	}
}

// discard closes a connection of the pool.
func (p *Pool) discard(cn *conn) {
	cn.Close()
	p.countClosed(cn.target)
}

// countClosed counts a connection as closed.
func (p *Pool) countClosed(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[t]--; p.open[t] <= 0 {
		delete(p.open, t)
	}
}

// Sweep closes idle connections that have reached their timeout or for whose target keep returns false.
func (p *Pool) Sweep(keep func(Target) bool) {
	p.closeIdle(func(cn *conn) bool {
		return !keep(cn.target) || time.Since(cn.idleSince) >= cn.idleTimeout || cn.isOldRelayed()
	})
}

// closeIdle closes the idle connections that match.
func (p *Pool) closeIdle(matches func(*conn) bool) {
	p.mu.Lock()
	var closing []*conn
	for t, list := range p.idle {
		var kept []*conn
		for _, cn := range list {
			if matches(cn) {
				closing = append(closing, cn)
			} else {
				kept = append(kept, cn)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, t)
		} else {
			p.idle[t] = kept
		}
	}
	p.mu.Unlock()
	for _, cn := range closing {
		p.discard(cn)
	}
}

// exchange is a request and its answer on one connection.
type exchange struct {
	ctx        context.Context
	pool       *Pool
	conn       *conn
	stop       func() bool // keeps the context from closing the connection; false if that has begun
	written    chan error  // receives the result of writing the request
	once       sync.Once
	startedAt  time.Time
	isAnswered bool // the head of the answer has arrived
}

// run writes a request and returns the answer to it, which it tells from late answers to earlier requests.
func (x *exchange) run(c *Call) (*http.Response, error) {
	raw, err := encode(c)
	if err != nil {
		return nil, err
	}
	x.conn.answers.BeginRequest(c.Method)
	if len(raw) == 1 {
		_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err = x.conn.Write(raw[0])
		x.written <- err
		if err != nil {
			return nil, err
		}
	} else {
		// A long request is written concurrently, as an upstream may answer before it has read the whole body. Its context bounds it.
		_ = x.conn.SetWriteDeadline(time.Time{})
		go func() {
			_, err := raw.WriteTo(x.conn.Conn)
			x.written <- err
		}()
	}
	for range maxSkippedAnswers + 1 {
		resp, err := x.readHead(c.Method)
		if err != nil {
			return nil, err
		}
		if !c.Foreign(resp.StatusCode, resp.Header) {
			resp.Body = &body{ReadCloser: resp.Body, x: x, idleTimeout: idleTimeoutOf(resp)}
			return resp, nil
		}
		if resp.Close {
			return nil, errors.New("the answer belongs to another request")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes {
			return nil, errors.New("an answer to another request stood before")
		}
	}
	return nil, errors.New("answers to other requests stood before")
}

// readHead reads to the end of the next head that is no interim one. Package frame bounds the heads together.
func (x *exchange) readHead(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// idleTimeoutOf returns how long a connection may stay idle after an answer, or 0 if it must be closed.
func idleTimeoutOf(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	_, after, ok := strings.Cut(resp.Header.Get("Keep-Alive"), "timeout=")
	if !ok {
		return defaultIdleTimeout
	}
	after, _, _ = strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(after))
	if err != nil || seconds < 0 {
		return defaultIdleTimeout
	}
	return time.Duration(seconds)*time.Second - idleTimeoutMargin
}

// finish returns the connection to the pool if the request is fully written and no bytes are left unread; otherwise it
// closes it.
func (x *exchange) finish(idleTimeout time.Duration) {
	x.once.Do(func() {
		reusable := x.stop()
		select {
		case err := <-x.written:
			reusable = reusable && err == nil
		default:
			reusable = false
		}
		if !reusable || idleTimeout <= 0 || x.conn.hasUnread() {
			x.pool.discard(x.conn)
			return
		}
		x.conn.idleTimeout = idleTimeout
		x.pool.put(x.conn)
	})
}

// abort closes the connection.
func (x *exchange) abort() { x.finish(0) }

// body finishes the exchange when it is read to its end, fails or is closed.
type body struct {
	io.ReadCloser
	x           *exchange
	idleTimeout time.Duration // of the connection after the answer
}

// Read reads from the answer's body and finishes the exchange at its end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.x.finish(b.idleTimeout)
	} else if err != nil {
		b.x.fail()
	}
	return n, err
}

// Close closes the connection unless the body was read to its end.
func (b *body) Close() error {
	b.x.abort()
	return nil
}
