package hop

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections.
const (
	dialTimeout   = 700 * time.Millisecond  // a lost opening packet comes again after a second, which is too late
	unackedLimit  = 2500 * time.Millisecond // after which unacknowledged bytes break a connection
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	bufferSize    = 4 << 10 // bytes
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	target Target
	idle   time.Time // since when it waits for a request
	keep   time.Duration
}

// Dialer returns a dialer whose connections break soon after the other end is out of reach.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var set error
			err := c.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return set
		},
	}
}

func dial(ctx context.Context, t Target) (*conn, error) {
	c, err := Dialer().DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, bufferSize), target: t}, nil
}

// isQuiet reports whether a kept connection is open with nothing to read: bytes that wait belong to no request.
func (c *conn) isQuiet() bool {
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
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = n <= 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
	})
	return err == nil && quiet
}
