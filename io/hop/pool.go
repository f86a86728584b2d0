package hop

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Target is an upstream's life at an address.
type Target struct{ ID, Address string }

// Constants of kept connections.
const (
	keepDefault  = 4 * time.Second // where the upstream does not tell its time-out
	keepMargin   = 250 * time.Millisecond
	keepFresh    = time.Second // idle time up to which a connection may carry what can't be repeated
	mostIdle     = 64          // connections kept to one upstream
	skipLimit    = 2           // late answers to earlier requests that are read past
	drainLimit   = 64 << 10    // bytes of such an answer that are read past
	inlineBody   = 16 << 10    // bytes that are written before the answer is read
	headerLimit  = 64 << 10    // bytes of an answer's headers
	writeTimeout = 5 * time.Second
)

// Pool keeps connections to upstreams.
type Pool struct {
	mu    sync.Mutex
	idle  map[Target][]*conn
	open  map[Target]int
	dials func()
}

// NewPool returns an empty pool; dialled is called for each new connection.
func NewPool(dialled func()) *Pool {
	return &Pool{idle: make(map[Target][]*conn), open: make(map[Target]int), dials: dialled}
}

// Call is one request to an upstream.
type Call struct {
	Target    Target
	Method    string
	URI       string
	Host      string
	Header    http.Header
	Body      []byte
	Fresh     bool // must not be lost to a connection that the upstream has closed
	MostConns int  // to this upstream from this node; 0 for no limit
	// Foreign reports whether an answer belongs to another request, so that the next one is ours.
	Foreign func(status int, h http.Header) bool
}

// Error is a call without an answer.
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

// Do sends a call and returns the answer with its body still to be read; its error is an *Error. When the
// context ends, the connection is closed, also under the body.
func (p *Pool) Do(ctx context.Context, c *Call) (*http.Response, error) {
	cn, err := p.take(ctx, c)
	if err != nil {
		return nil, &Error{false, err}
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	x := &exchange{pool: p, conn: cn, stop: stop, written: make(chan error, 1)}
	resp, err := x.run(c)
	if err != nil {
		x.drop()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{true, err}
	}
	return resp, nil
}

// take returns a kept connection or a new one.
func (p *Pool) take(ctx context.Context, c *Call) (*conn, error) {
	for {
		cn := p.pop(c.Target)
		if cn == nil {
			break
		}
		age := time.Since(cn.idle)
		if age < cn.keep && (!c.Fresh || age < keepFresh) && cn.isQuiet() {
			return cn, nil
		}
		p.discard(cn)
	}
	p.mu.Lock()
	if c.MostConns > 0 && p.open[c.Target] >= c.MostConns {
		p.mu.Unlock()
		return nil, errConns
	}
	p.open[c.Target]++
	p.mu.Unlock()
	p.dials()
	cn, err := dial(ctx, c.Target)
	if err != nil {
		p.forget(c.Target)
		return nil, err
	}
	return cn, nil
}

// HasIdle reports whether a connection to a target is kept.
func (p *Pool) HasIdle(t Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[t]) > 0
}

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

func (p *Pool) put(cn *conn) {
	p.mu.Lock()
	list := p.idle[cn.target]
	if len(list) < mostIdle {
		cn.idle = time.Now()
		p.idle[cn.target] = append(list, cn)
		cn = nil
	}
	p.mu.Unlock()
	if cn != nil {
		p.discard(cn)
	}
}

func (p *Pool) discard(cn *conn) {
	cn.Close()
	p.forget(cn.target)
}

func (p *Pool) forget(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[t]--; p.open[t] <= 0 {
		delete(p.open, t)
	}
}

// Sweep closes connections whose time is over or whose target is not to be kept.
func (p *Pool) Sweep(keep func(Target) bool) {
	p.mu.Lock()
	var old []*conn
	for t, list := range p.idle {
		var rest []*conn
		for _, cn := range list {
			if keep(t) && time.Since(cn.idle) < cn.keep {
				rest = append(rest, cn)
			} else {
				old = append(old, cn)
			}
		}
		if len(rest) == 0 {
			delete(p.idle, t)
		} else {
			p.idle[t] = rest
		}
	}
	p.mu.Unlock()
	for _, cn := range old {
		p.discard(cn)
	}
}

// exchange is one request and its answer on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	stop    func() bool
	written chan error
	once    sync.Once
}

func (x *exchange) run(c *Call) (*http.Response, error) {
	raw, err := encode(c)
	if err != nil {
		return nil, err
	}
	if len(raw) <= inlineBody {
		_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err = x.conn.Write(raw)
		x.written <- err
		if err != nil {
			return nil, err
		}
	} else {
		// An upstream may answer before it has read a long body.
		go func() {
			_, err := x.conn.Write(raw)
			x.written <- err
		}()
	}
	for range skipLimit + 1 {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: c.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if !c.Foreign(resp.StatusCode, resp.Header) {
			resp.Body = &body{ReadCloser: resp.Body, x: x, keep: keepTime(resp)}
			return resp, nil
		}
		if resp.Close {
			return nil, errors.New("the answer belongs to another request")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, drainLimit))
		if err != nil || n == drainLimit {
			return nil, errors.New("an answer to another request stood before")
		}
	}
	return nil, errors.New("answers to other requests stood before")
}

// keepTime returns how long a connection may be kept after an answer, or 0.
func keepTime(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	_, after, ok := strings.Cut(resp.Header.Get("Keep-Alive"), "timeout=")
	if !ok {
		return keepDefault
	}
	after, _, _ = strings.Cut(after, ",")
	s, err := strconv.Atoi(strings.TrimSpace(after))
	if err != nil || s < 0 {
		return keepDefault
	}
	return time.Duration(s)*time.Second - keepMargin
}

// end gives the connection back if the request is written and nothing is left over.
func (x *exchange) end(keep time.Duration) {
	x.once.Do(func() {
		quiet := x.stop()
		select {
		case err := <-x.written:
			quiet = quiet && err == nil
		default:
			quiet = false
		}
		if !quiet || keep <= 0 || x.conn.reader.Buffered() > 0 {
			x.pool.discard(x.conn)
			return
		}
		x.conn.keep = keep
		x.pool.put(x.conn)
	})
}

func (x *exchange) drop() { x.end(0) }

// body ends the exchange when it is read to its end or closed.
type body struct {
	io.ReadCloser
	x    *exchange
	keep time.Duration
}

// Read reads the answer's body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.x.end(b.keep)
	} else if err != nil {
		b.x.drop()
	}
	return n, err
}

// Close closes the connection unless the body was read to its end.
func (b *body) Close() error {
	b.x.drop()
	return nil
}
