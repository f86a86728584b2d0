package hop

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"rhubarbspread/io/frame"

	"golang.org/x/sys/unix"
)

// Parameters of connections.
const (
	dialTimeout       = 700 * time.Millisecond  // TCP resends a lost SYN after a second, which is too late
	unackedTimeout    = 2500 * time.Millisecond // time after which unacknowledged bytes break a connection
	keepAliveIdle     = time.Second             // idle time before the first TCP keep-alive probe
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 3
	readBufferBytes   = 4 << 10
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	answers     *frame.Conn   // judges what is read from the connection
	reader      *bufio.Reader // reads from answers
	target      Target
	idleSince   time.Time
	idleTimeout time.Duration // idle time after which it isn't reused
	relay       string        // name of the node that passes it on, or ""
	openedAt    time.Time
}

// Dialer returns a dialer whose connections fail soon after the peer becomes unreachable.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: ControlUnacked(unackedTimeout),
	}
}

// DialContext connects with Dialer, for an HTTP client that takes its connections from a function.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return frame.Dialing(Dialer().DialContext)(ctx, network, address)
}

// ControlUnacked returns a function for net.Dialer and net.ListenConfig that sets the time after which unacknowledged bytes
// break a connection.
func ControlUnacked(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}

// DialDirect connects to the address of an upstream.
func DialDirect(ctx context.Context, t Target) (net.Conn, error) {
	return Dialer().DialContext(ctx, "tcp", t.Address)
}

func newConn(c net.Conn, t Target) *conn {
	cn := &conn{Conn: c, answers: frame.NewConn(c), target: t, openedAt: time.Now()}
	if relayed, ok := c.(RelayedConn); ok {
		cn.relay = relayed.Relay
	}
	cn.reader = bufio.NewReaderSize(cn.answers, readBufferBytes)
	return cn
}

// hasUnread reports whether bytes have been read from the connection that belong to no answer yet.
func (c *conn) hasUnread() bool { return c.reader.Buffered() > 0 || c.answers.Err() != nil }

// isClean reports whether an idle connection is open and has no unread bytes, which would belong to no request.
func (c *conn) isClean() bool {
	if c.hasUnread() {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		clean = n <= 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
	})
	return err == nil && clean
}
