package frame

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a client's connection whose reads fail at the first byte that is not part of an answer, and come to an end only if that is
// the server's. One goroutine reads at a time.
type Conn struct {
	net.Conn
	scanner Scanner
	err     error // of all further reads
}

// NewConn returns a connection that judges the answers on another one, from its first byte on.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// BeginRequest says that a request with a method is about to be written, since an answer to HEAD has no body. All earlier answers
// have been read.
func (c *Conn) BeginRequest(method string) { c.scanner.SetMethod(method) }

// Err returns the error that all further reads return, or nil if the bytes so far are sound.
func (c *Conn) Err() error { return c.err }

// Read reads from the connection. Its error is an *Error if the next byte is not part of an answer.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && WasReset(c.Conn) {
		err = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	sound, violation := c.scanner.Scan(p[:n])
	if violation == nil {
		return n, err
	}
	c.err = violation
	if sound == 0 {
		return 0, violation
	}
	return sound, nil
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

// Dialing returns a function that dials with another one and judges the answers on the connections.
func Dialing(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
