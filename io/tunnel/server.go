package tunnel

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbspread/io/hop"
	"rhubarbspread/io/ports"
)

// Times and limits of tunnels.
const (
	connectTimeout = 300 * time.Millisecond // for the relay's own connection; the other node waits for it
	headTimeout    = time.Second            // to receive the head of a request
	maxHeadBytes   = 4 << 10                // of a request; net/http adds 4 KiB
	maxTunnels     = 512                    // two sockets, two goroutines and some 42 KB each
	// maxOpening is how many connections may wait for a head or for an upstream: the first takes up to headTimeout, the second up to
	// connectTimeout.
	maxOpening  = 128
	bufferBytes = 8 << 10 // per direction
	// unackedTimeout is longer than that of connections to upstreams: a node whose caller reads slowly stops reading, which
	// counts as unacknowledged bytes here.
	unackedTimeout = 30 * time.Second
	// halfOpenTimeout is how long one direction may last after the other has ended.
	halfOpenTimeout = 10 * time.Second
)

// ErrForeign is returned by a DialFunc for an address that is no upstream's.
var ErrForeign = errors.New("the address is no upstream's")

// DialFunc connects to the upstream at an address by this node itself, never through another one.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Server passes other nodes' connections on to upstreams.
type Server struct {
	dial    DialFunc
	refuses func() bool
	open    atomic.Int64 // tunnels that are open or being opened
	limit   int64
	onLimit func(limit, client string) // called when a limit refuses or closes a connection

	mu      sync.Mutex
	closed  bool
	tunnels map[*tunnel]bool
	running sync.WaitGroup // of handlers
}

// Names of the limits that WithOnLimit's function gets.
const (
	limitTunnels = "tunnels"
	limitOpening = "tunnels-opening"
)

// Option configures a Server.
type Option func(*Server)

// WithLimit sets how many tunnels may be open; the default is 512, which is also the most.
func WithLimit(limit int) Option {
	return func(s *Server) { s.limit = int64(max(1, min(limit, maxTunnels))) }
}

// WithOnLimit sets a function that is called when a limit refuses or closes the connection of a client.
func WithOnLimit(f func(limit, client string)) Option { return func(s *Server) { s.onLimit = f } }

// New returns a server that Run starts; refuses reports whether it takes no new tunnels now.
func New(dial DialFunc, refuses func() bool, opts ...Option) *Server {
	s := &Server{dial: dial, refuses: refuses, limit: maxTunnels, onLimit: func(string, string) {}, tunnels: make(map[*tunnel]bool)}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Open returns the number of tunnels that are open or being opened.
func (s *Server) Open() int64 { return s.open.Load() }

// Run accepts tunnels on an address until the context is canceled, then aborts those that are open and waits for their end.
func (s *Server) Run(ctx context.Context, address string) error {
	config := net.ListenConfig{KeepAliveConfig: hop.Dialer().KeepAliveConfig, Control: hop.ControlUnacked(unackedTimeout)}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return s.serve(ctx, listener)
}

func (s *Server) serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: s, ReadHeaderTimeout: headTimeout, ReadTimeout: headTimeout, MaxHeaderBytes: maxHeadBytes,
		ErrorLog: log.New(io.Discard, "", 0),
	}
	ports.LimitConns(server, maxOpening, true, func(c net.Conn) { s.onLimit(limitOpening, c.RemoteAddr().String()) })
	server.SetKeepAlivesEnabled(false)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	var err error
	select {
	case <-ctx.Done():
		_ = server.Close()
		<-done
	case err = <-done:
	}
	s.abortAll()
	s.running.Wait()
	return err
}

// abortAll aborts the open tunnels and refuses new ones.
func (s *Server) abortAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for t := range s.tunnels {
		t.abort()
	}
}

// begin counts a handler, unless the server is closed.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.running.Add(1)
	return true
}

// add records a tunnel, unless the server is closed.
func (s *Server) add(t *tunnel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.tunnels[t] = true
	return true
}

func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, t)
}

// ServeHTTP opens one tunnel and returns when it has ended.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if !s.begin() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Done()
	defer s.open.Add(-1)
	open := s.open.Add(1)
	if open > s.limit {
		s.onLimit(limitTunnels, r.RemoteAddr)
	}
	if open > s.limit || s.refuses() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), connectTimeout)
	defer cancel()
	upstream, err := s.dial(ctx, r.RequestURI)
	switch {
	case errors.Is(err, ErrForeign):
		w.WriteHeader(http.StatusForbidden)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	node, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = upstream.Close()
		return
	}
	t := newTunnel(node, upstream)
	if !s.add(t) {
		t.abort()
		return
	}
	defer s.remove(t)
	early := make([]byte, buffered.Reader.Buffered()) // bytes that the node sent before the answer
	if _, err := io.ReadFull(buffered, early); err != nil {
		t.abort()
		return
	}
	t.run(early)
}
