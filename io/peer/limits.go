package peer

import (
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"rhubarbspread/core/quota"
	"rhubarbspread/io/ports"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Limits on what clients of the port between nodes make a node hold.
const (
	// defaultConns holds where WithConnLimit sets no other. In a fleet of 1,000, some 10 nodes that probe this one and the pushes of
	// the last idleConnTimeout have connections to it.
	defaultConns = 400
	// connTimeout is how long a connection lasts without an answer; other nodes close theirs after idleConnTimeout.
	connTimeout = 15 * time.Second
	// maxRequestBytes is the size of a request with its frames; the library's default is 4 MiB. The largest is full synchronisation: of
	// 1,000 nodes with 100 bytes each and 4,096 crash marks with 300 bytes each 1.3 MB.
	maxRequestBytes = 2 << 20
	// requestBytes is what the requests of all connections may hold together.
	requestBytes = 16 << 20
	// requestCost is the memory of a request as a multiple of its size: the library's two buffers, of which one grows by doubling.
	requestCost = 3
	// freeBytes of each request are not charged: those of gossip between two nodes, which the cost of a connection covers.
	freeBytes = 4 << 10
)

// Names of the limits that WithOnLimit's function gets.
const (
	limitConns  = "peers-connections"
	limitBytes  = "peers-bytes"
	limitPrefix = "peers-" // before those that ports.EndedBy returns

	// unknownClient stands for the address of a client whose connection the RPC library has ended, which names none.
	unknownClient = "unknown"
)

// WithConnLimit sets how many connections of other nodes may be open; the default is 400.
func WithConnLimit(limit int) Option { return func(p *Peer) { p.connLimit = max(1, limit) } }

// WithOnLimit sets a function that is called when a limit closes the connection of a client.
func WithOnLimit(f func(limit, client string)) Option { return func(p *Peer) { p.onLimit = f } }

// boundedServer returns a server whose requests have a limited size.
func (p *Peer) boundedServer(h drpc.Handler) *drpcserver.Server {
	return drpcserver.NewWithOptions(h, drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxRequestBytes},
	}, Log: func(err error) {
		if name := ports.EndedBy(err); name != "" {
			p.onLimit(limitPrefix+name, unknownClient)
		}
	}})
}

// bounded returns a listener for TLS whose connections are limited in number, time and bytes.
func (p *Peer) bounded(l net.Listener) net.Listener {
	onClose := func(c net.Conn) { p.onLimit(limitConns, c.RemoteAddr().String()) }
	limited := ports.NewListener(&countingListener{l, p}, p.connLimit, connTimeout, onClose, ports.WithRenewal())
	p.requests.SetLimit(requestBytes)
	return &meteredListener{tls.NewListener(limited, p.tls), p}
}

// meteredListener charges what its connections receive.
type meteredListener struct {
	net.Listener
	peer *Peer
}

// Accept waits for the next connection.
func (l *meteredListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &meteredConn{Conn: raw, peer: l.peer}
	c.account = l.peer.requests.Open(func() {
		l.peer.onLimit(limitBytes, raw.RemoteAddr().String())
		_ = raw.Close() // also the client may have closed it
	})
	return c, nil
}

// meteredConn charges the bytes of the largest request so far: the library keeps its buffers.
type meteredConn struct {
	net.Conn
	peer     *Peer
	account  *quota.Account
	received atomic.Int64 // since the last answer
	charged  int64        // used by Read alone
}

// Read reads a part of a request.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.account.Received(n)
	cost := requestCost * (c.received.Add(int64(n)) - freeBytes)
	if cost <= c.charged {
		return n, err
	}
	if short := c.account.Charge(cost - c.charged); short != nil {
		if !errors.Is(short, quota.ErrEvicted) { // which has been logged
			c.peer.onLimit(limitBytes, c.RemoteAddr().String())
		}
		return 0, short
	}
	c.charged = cost
	return n, err
}

// Write writes a part of an answer, with which a new request begins.
func (c *meteredConn) Write(b []byte) (int, error) {
	c.received.Store(0)
	return c.Conn.Write(b)
}

// Close closes the connection and returns its bytes.
func (c *meteredConn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}
