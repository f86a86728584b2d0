package hop

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

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
	reader      *bufio.Reader
	target      Target
	idleSince   time.Time
	idleTimeout time.Duration // idle time after which it isn't reused
}

// Dialer returns a dialer whose connections fail soon after the peer becomes unreachable.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var setErr error
			err := c.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return setErr
		},
	}
}

func dial(ctx context.Context, t Target) (*conn, error) {
	c, err := Dialer().DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes), target: t}, nil
}

// isClean reports whether an idle connection is open and has no unread bytes, which would belong to no request.
func (c *conn) isClean() bool {
	if c.reader.Buffered() > 0 {
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
