package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an HTTP server on loopback whose connections the faults of a fake break, silence and cut.
type Server struct {
	address string
	handler http.Handler
	state   *faultState

	mu     sync.Mutex
	server *http.Server
	ended  chan error
	closed bool
}

// startServer serves a handler at an IP:port; port 0 selects a free port.
func startServer(address string, handler http.Handler, faults *faultState) (*Server, error) {
	server := &Server{address: address, handler: handler, state: faults}
	if err := server.start(); err != nil {
		return nil, err
	}
	return server, nil
}

// Address returns the IP:port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// start listens and serves unless the server already does or is closed.
func (s *Server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil || s.closed {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: abortIfCrashed(s.handler, s.state), ReadHeaderTimeout: 5 * time.Second}
	s.ended = make(chan error, 1)
	server, ended := s.server, s.ended
	go func() { ended <- server.Serve(&faultyListener{Listener: l, state: s.state}) }()
	return nil
}

// abortIfCrashed aborts calls that arrive between a crash and the closing of the listener.
func abortIfCrashed(h http.Handler, s *faultState) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.has(Crash) {
			abortConnection()
		}
		h.ServeHTTP(w, r)
	})
}

// stop closes the listener and breaks all connections, as a crash of the process would.
func (s *Server) stop() {
	s.mu.Lock()
	server, ended := s.server, s.ended
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
		<-ended
	}
}

// Close stops the server permanently.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.state.set(Heal)
	s.state.set(Resume)
	s.stop()
}

// FollowFaults stops the server when the fake crashes and starts it again when the crash ends, until ctx ends.
// The channel receives the error that prevented a restart, or nil.
func (s *Server) FollowFaults(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		defer s.Close()
		tick := time.NewTicker(faultPollInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				if s.state.has(Crash) {
					s.stop()
				} else if err := s.start(); err != nil {
					ended <- err
					return
				}
			case <-ctx.Done():
				ended <- nil
				return
			}
		}
	}()
	return ended
}

const faultPollInterval = 2 * time.Millisecond

// faultyListener accepts connections as faultyConns.
type faultyListener struct {
	net.Listener
	state *faultState
}

// Accept returns the next connection.
func (l *faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	silent, _ := l.state.connFaults()
	return &faultyConn{Conn: conn, state: l.state, silent: silent, closed: make(chan struct{})}, nil
}

// faultyConn is a connection that can go silent permanently, or carry no data while its link is cut or the process is
// paused.
type faultyConn struct {
	net.Conn
	state  *faultState
	silent <-chan struct{}
	closed chan struct{}
	once   sync.Once
}

// waitWhileFaulty blocks while the connection is silent, cut or paused.
func (c *faultyConn) waitWhileFaulty() {
	select {
	case <-c.silent:
		<-c.closed
		return
	default:
	}
	for {
		c.state.mu.Lock()
		var end <-chan struct{}
		switch {
		case c.state.faults[Cut]:
			end = c.state.healed
		case c.state.faults[Pause]:
			end = c.state.resumed
		}
		c.state.mu.Unlock()
		if end == nil {
			return
		}
		select {
		case <-end:
		case <-c.closed:
			return
		}
	}
}

// Read reads data, and withholds it while the connection is silent, cut or paused.
func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.waitWhileFaulty()
	return n, err
}

// Write writes data. It blocks while the connection is cut or paused, and discards the data once it is silent.
func (c *faultyConn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		// A middlebox that lost the connection's state drops the data, and the fake gets no error.
		return len(b), nil
	default:
	}
	c.waitWhileFaulty()
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// StartPlainServer serves a handler without connection faults.
func StartPlainServer(address string, handler http.Handler) (*Server, error) {
	return startServer(address, handler, newFaultState())
}

// Open serves the engine at an IP:port.
func (e *Engine) Open(address string) (*Server, error) {
	return startServer(address, e.Handler(), e.state)
}

// Open serves the layer engine at an IP:port.
func (e *LayerEngine) Open(address string) (*Server, error) {
	return startServer(address, e.Handler(), e.state)
}

// Open serves the service at an IP:port.
func (s *Service) Open(address string) (*Server, error) {
	return startServer(address, s.Handler(), s.state)
}
