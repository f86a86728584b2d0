package tunnel

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rhubarbspread/io/frame"
)

// tunnel is a pair of connections whose bytes are copied both ways.
type tunnel struct {
	node, upstream net.Conn
	hasNodeEnded   atomic.Bool // the end of the node's bytes is being passed on
	abortOnce      sync.Once
}

// newTunnel returns the tunnel of two connections. Until the tunnel has ended in good order, a close resets them, also when
// the process is killed: the system's close would otherwise look like the end of the other side's bytes.
func newTunnel(node, upstream net.Conn) *tunnel {
	t := &tunnel{node: node, upstream: upstream}
	setLinger(node, 0)
	setLinger(upstream, 0)
	_ = node.SetDeadline(time.Time{}) // of net/http
	return t
}

// setLinger sets what a close does with bytes that are not sent: 0 resets the connection, -1 sends them.
func setLinger(c net.Conn, seconds int) {
	if l, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(seconds)
	}
}

// run answers the node, passes on its early bytes, and copies both ways until both directions have ended or one has failed.
func (t *tunnel) run(early []byte) {
	if _, err := io.WriteString(t.node, successHead); err != nil {
		t.abort()
		return
	}
	if _, err := t.upstream.Write(early); err != nil {
		t.abort()
		return
	}
	answered := make(chan error, 1)
	go func() { answered <- t.copy(t.node, t.upstream) }()
	err := t.copy(t.upstream, t.node)
	if err = errors.Join(err, <-answered); err != nil {
		return // aborted
	}
	setLinger(t.node, -1)
	setLinger(t.upstream, -1)
	_ = t.node.Close()
	_ = t.upstream.Close()
}

// copy copies the bytes of one direction. At their end it passes the end on; at an error it aborts the tunnel.
func (t *tunnel) copy(to, from net.Conn) error {
	// The wrappers hide the methods by which io.CopyBuffer would use the kernel's pipes instead of the buffer.
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, bufferBytes))
	if err == nil && from == t.upstream && t.wasReset() {
		err = syscall.ECONNRESET
	}
	if err == nil {
		t.hasNodeEnded.CompareAndSwap(false, from == t.node)
		err = closeWrite(to)
	}
	if err != nil {
		t.abort()
		return err
	}
	_ = to.SetReadDeadline(time.Now().Add(halfOpenTimeout))
	return nil
}

// wasReset reports whether the upstream was reset although its bytes have come to an end. Once the end of the node's bytes has been
// passed on, nothing is written to the upstream any more that could hide a reset from the reads.
func (t *tunnel) wasReset() bool { return frame.WasReset(t.upstream) && !t.hasNodeEnded.Load() }

var errCloseWrite = errors.New("the connection can't be closed for writing alone")

// closeWrite closes one direction of a connection.
func closeWrite(c net.Conn) error {
	w, ok := c.(interface{ CloseWrite() error })
	if !ok {
		return errCloseWrite
	}
	return w.CloseWrite()
}

// abort resets both connections.
func (t *tunnel) abort() {
	t.abortOnce.Do(func() {
		_ = t.node.Close()
		_ = t.upstream.Close()
	})
}
