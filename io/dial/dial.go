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

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Constants of connections.
const (
	dialTimeout    = 500 * time.Millisecond
	idlePerHost    = 256
	idleTimeout    = 30 * time.Second
	maxAnswerBytes = 16 << 20
)

// Error is an exchange that brought no answer.
type Error struct {
	sent   bool
	detail string
}

// Error returns what went wrong.
func (e *Error) Error() string { return e.detail }

// Sent reports whether any byte may have reached the other side.
func (e *Error) Sent() bool { return e.sent }

// Host reaches one address.
type Host struct {
	name    string
	address string
	mu      sync.Mutex
	service httpc.Service
	client  *http.Client
	fresh   httpc.Service
	key     string
}

// HostOption sets a part of a Host.
type HostOption func(*Host)

// WithKey sends a bearer key with every request.
func WithKey(key string) HostOption { return func(h *Host) { h.key = key } }

// NewHost returns a host for an IP:port address.
func NewHost(name, address string, opts ...HostOption) *Host {
	h := &Host{name: name, address: address}
	for _, o := range opts {
		o(h)
	}
	h.renew()
	client := &http.Client{Transport: transport(true)}
	h.fresh = httpc.NewServiceWithClient(name+"@"+address+"/fresh", client)
	return h
}

// Address returns the IP:port.
func (h *Host) Address() string { return h.address }

func transport(single bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:   single,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
	}
}

func (h *Host) renew() {
	h.client = &http.Client{Transport: transport(false)}
	h.service = httpc.NewServiceWithClient(h.name+"@"+h.address, h.client)
}

// Drop leaves all open connections, of which something between the two ends may have lost track.
func (h *Host) Drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.client.CloseIdleConnections()
	h.renew()
}

func (h *Host) current() httpc.Service {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service
}

// Do sends a request over a kept connection; its error is an *Error.
func (h *Host) Do(r *http.Request) (*http.Response, error) { return do(h.current(), r) }

// DoFresh sends a request over a connection of its own. net/http never sends it a second time, as it
// does on a kept connection for what it takes to be idempotent: any request with an Idempotency-Key.
func (h *Host) DoFresh(r *http.Request) (*http.Response, error) { return do(h.fresh, r) }

func do(s httpc.Service, r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
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

// Request builds a request for a path of the host.
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

// JSON sends a value and decodes the answer into another, over a fresh connection or a kept one. It
// returns the status, with an error for one that is not 2xx.
func (h *Host) JSON(ctx context.Context, fresh bool, method, path string, in, out any) (int, error) {
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
	if fresh {
		send = h.DoFresh
	}
	resp, err := send(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, decode(resp, out)
}

// decode reads an answer into a value; a status that is not 2xx is an *Error.
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

// Book keeps one Host an address.
type Book struct {
	mu    sync.Mutex
	hosts map[string]*Host
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{hosts: make(map[string]*Host)} }

// Host returns the host of an address.
func (b *Book) Host(name, address string) *Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.hosts[address]
	if h == nil {
		h = NewHost(name, address)
		b.hosts[address] = h
	}
	return h
}
