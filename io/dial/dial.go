package dial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbspread/io/frame"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Limits and timeouts of connections.
const (
	connectTimeout  = 500 * time.Millisecond
	maxIdleConns    = 256
	idleConnTimeout = 30 * time.Second
	maxAnswerBytes  = 16 << 20
)

// Error is the failure of a request: it got no readable answer with a 2xx status.
type Error struct {
	sent   bool
	detail string
}

// Error returns the detail.
func (e *Error) Error() string { return e.detail }

// Sent reports whether any byte of the request may have reached the server.
func (e *Error) Sent() bool { return e.sent }

// Host sends requests to one address.
type Host struct {
	name      string
	address   string // IP:port
	mu        sync.Mutex
	keepAlive httpc.Service // reuses connections
	client    *http.Client  // the HTTP client of keepAlive
	newConn   httpc.Service // opens a connection for each request
	key       string        // bearer key, or ""
}

// HostOption sets a part of a Host.
type HostOption func(*Host)

// WithKey sends a bearer key with every request.
func WithKey(key string) HostOption { return func(h *Host) { h.key = key } }

// WithoutBreaker switches the library's circuit breaker off. It refuses calls at random for some seconds after others
// timed out, also to a server that has only stood still for a second.
func WithoutBreaker() HostOption {
	return func(h *Host) {
		breaker.NoBreakerFor(h.keepAliveName())
		breaker.NoBreakerFor(h.newConnName())
	}
}

// NewHost returns a host for an IP:port address; name appears in the library's metrics and circuit breaker.
func NewHost(name, address string, opts ...HostOption) *Host {
	h := &Host{name: name, address: address}
	for _, o := range opts {
		o(h)
	}
	h.resetClient()
	client := &http.Client{Transport: newTransport(true)}
	h.newConn = httpc.NewServiceWithClient(h.newConnName(), client)
	return h
}

func (h *Host) keepAliveName() string { return h.name + "@" + h.address }

func (h *Host) newConnName() string { return h.keepAliveName() + "/fresh" }

// Address returns the IP:port.
func (h *Host) Address() string { return h.address }

func newTransport(disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext:            frame.Dialing((&net.Dialer{Timeout: connectTimeout}).DialContext),
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: frame.MaxHeadBytes,
	}
}

func (h *Host) resetClient() {
	h.client = &http.Client{Transport: newTransport(false)}
	h.keepAlive = httpc.NewServiceWithClient(h.keepAliveName(), h.client)
}

// CloseConnections closes the idle connections and does not reuse those in use. A middlebox may have dropped the
// state of an open connection without either end noticing.
func (h *Host) CloseConnections() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.client.CloseIdleConnections()
	h.resetClient()
}

func (h *Host) currentService() httpc.Service {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keepAlive
}

// Do sends a request, over an idle connection if there is one; its error is an *Error.
func (h *Host) Do(r *http.Request) (*http.Response, error) { return do(h.currentService(), r) }

// DoNewConn sends a request over a new connection; its error is an *Error. On a reused connection that breaks,
// net/http retries the requests that it takes to be idempotent, which include any with an Idempotency-Key; on a
// new one it never does.
func (h *Host) DoNewConn(r *http.Request) (*http.Response, error) { return do(h.newConn, r) }

func do(s httpc.Service, r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		if c, ok := info.Conn.(*frame.Conn); ok {
			c.BeginRequest(r.Method)
		}
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	resp, err := s.DoRequest(r)
	if err == nil {
		return resp, nil
	}
	if errors.Is(err, breaker.ErrServiceUnavailable) {
		return nil, &Error{detail: "the client's breaker is open"}
	}
	return nil, &Error{sent: connected.Load(), detail: err.Error()}
}

// Request returns a request for a path of the host, with the bearer key if one is set.
func (h *Host) Request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{detail: err.Error()}
	}
	if h.key != "" {
		r.Header.Set("Authorization", "Bearer "+h.key)
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

// JSON sends in as JSON and decodes the answer into out; each may be nil. It opens a new connection if newConn is
// set, and returns the status, with an *Error for one that is not 2xx.
func (h *Host) JSON(ctx context.Context, newConn bool, method, path string, in, out any) (int, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return 0, &Error{detail: err.Error()}
		}
	}
	r, err := h.Request(ctx, method, path, body)
	if err != nil {
		return 0, err
	}
	send := h.Do
	if newConn {
		send = h.DoNewConn
	}
	resp, err := send(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, decode(resp, out)
}

// decode reads an answer into out, unless it is nil; a status that is not 2xx is an *Error.
func decode(resp *http.Response, out any) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &Error{sent: true, detail: err.Error()}
	}
	if resp.StatusCode/100 != 2 {
		return &Error{sent: true, detail: fmt.Sprintf("status %d: %.200s", resp.StatusCode, raw)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return &Error{sent: true, detail: "answer: " + err.Error()}
	}
	return nil
}

// HostCache holds one Host per address, for upstreams. The pools decide which upstreams get requests, so the hosts have
// no circuit breaker.
type HostCache struct {
	mu    sync.Mutex
	hosts map[string]*Host
}

// NewHostCache returns an empty cache.
func NewHostCache() *HostCache { return &HostCache{hosts: make(map[string]*Host)} }

// Host returns the host of an address and creates it at the first use.
func (c *HostCache) Host(name, address string) *Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	if h == nil {
		h = NewHost(name, address, WithoutBreaker())
		c.hosts[address] = h
	}
	return h
}
