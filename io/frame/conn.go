package frame

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a client's connection whose reads come to an end only if that is the server's.
type Conn struct{ net.Conn }

// NewConn returns a connection that judges the end of another one.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && WasReset(c.Conn) {
		err = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// tcpClose is the state in TCP_INFO of a socket that has no connection any more. After the other side's end alone it is another.
const tcpClose = 7

// WasReset reports whether a connection whose reads have come to an end was reset rather than closed by the other side. The reads do
// not tell: the kernel reports the error of a socket once, to a write if one is under way, and then an end to reads. It must not be
// asked once this side has closed its own direction.
func WasReset(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // closed by this side
	}
	isReset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isReset = err == nil && info.State == tcpClose
	})
	return err != nil || isReset
}

// DialFunc connects to an address, as that of a net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialing returns a function that dials with another one and judges the connections.
func Dialing(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
