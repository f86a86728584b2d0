package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Door is a listener on loopback whose connections can be crashed, silenced and cut.
type Door struct {
	address string
	handler http.Handler
	state   *state

	mu       sync.Mutex
	server   *http.Server
	ended    chan error
	shutDown bool
}

// OpenDoor serves a handler at an IP:port; port 0 picks a free one.
func OpenDoor(address string, handler http.Handler, s *state) (*Door, error) {
	d := &Door{address: address, handler: handler, state: s}
	if err := d.open(); err != nil {
		return nil, err
	}
	return d, nil
}

// Address returns the IP:port.
func (d *Door) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

func (d *Door) open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil || d.shutDown {
		return nil
	}
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	d.address = l.Addr().String()
	d.server = &http.Server{Handler: alive(d.handler, d.state), ReadHeaderTimeout: 5 * time.Second}
	d.ended = make(chan error, 1)
	server, ended := d.server, d.ended
	go func() { ended <- server.Serve(&listener{Listener: l, state: d.state}) }()
	return nil
}

// alive breaks off calls that come between a crash and the closing of the listener.
func alive(h http.Handler, s *state) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.has(Crash) {
			breakOff()
		}
		h.ServeHTTP(w, r)
	})
}

// crash closes the listener and breaks all connections, as the death of the process does.
func (d *Door) crash() {
	d.mu.Lock()
	server, ended := d.server, d.ended
	d.server = nil
	d.mu.Unlock()
	if server != nil {
		_ = server.Close()
		<-ended
	}
}

// Close ends the door for good.
func (d *Door) Close() {
	d.mu.Lock()
	d.shutDown = true
	d.mu.Unlock()
	d.state.set(Heal)
	d.crash()
}

// Follow opens and closes the listener as crash and restore ask for it, until the context ends.
func (d *Door) Follow(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		defer d.Close()
		tick := time.NewTicker(followPeriod)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				if d.state.has(Crash) {
					d.crash()
				} else if err := d.open(); err != nil {
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

const followPeriod = 2 * time.Millisecond

// listener wraps connections in wires.
type listener struct {
	net.Listener
	state *state
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	silent, _ := l.state.wires()
	return &wire{Conn: c, state: l.state, silent: silent, closed: make(chan struct{})}, nil
}

// wire is a connection that can go silent for good, or carry nothing while its link is cut.
type wire struct {
	net.Conn
	state  *state
	silent <-chan struct{}
	closed chan struct{}
	once   sync.Once
}

// hold blocks while the connection carries nothing.
func (w *wire) hold() {
	select {
	case <-w.silent:
		<-w.closed
		return
	default:
	}
	w.state.mu.Lock()
	cut := w.state.faults[Cut]
	healed := w.state.healed
	w.state.mu.Unlock()
	if cut {
		select {
		case <-healed:
		case <-w.closed:
		}
	}
}

// Read reads unless the connection carries nothing.
func (w *wire) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	w.hold()
	return n, err
}

// Write writes unless the connection carries nothing.
func (w *wire) Write(b []byte) (int, error) {
	select {
	case <-w.silent:
		// What lost track of the connection swallows it; the stand-in goes on and notices nothing.
		return len(b), nil
	default:
	}
	w.hold()
	return w.Conn.Write(b)
}

// Close closes the connection.
func (w *wire) Close() error {
	w.once.Do(func() { close(w.closed) })
	return w.Conn.Close()
}

// OpenPlain serves a handler without faults of the connection.
func OpenPlain(address string, handler http.Handler) (*Door, error) {
	return OpenDoor(address, handler, newState())
}

// Open serves the engine at an IP:port.
func (e *Engine) Open(address string) (*Door, error) { return OpenDoor(address, e.Handler(), e.state) }

// Open serves the layer engine at an IP:port.
func (e *LayerEngine) Open(address string) (*Door, error) {
	return OpenDoor(address, e.Handler(), e.state)
}

// Open serves the service at an IP:port.
func (s *Service) Open(address string) (*Door, error) { return OpenDoor(address, s.Handler(), s.state) }
