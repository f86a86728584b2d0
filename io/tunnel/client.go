package tunnel

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"rhubarbspread/io/frame"
	"rhubarbspread/io/hop"
)

// Reason says why a relay gave no connection.
type Reason int

// The reasons.
const (
	Unreachable         Reason = iota // the relay did not answer
	Refused                           // the relay takes no tunnels now, or not to this address
	UpstreamUnreachable               // the relay could not connect to the upstream
)

// String returns the reason for logs.
func (r Reason) String() string {
	switch r {
	case Refused:
		return "refused"
	case UpstreamUnreachable:
		return "upstream unreachable from the relay"
	}
	return "relay unreachable"
}

// Error is the error of Connect.
type Error struct {
	relay  string
	reason Reason
	err    error
}

// Error returns the relay's address, the reason and the cause.
func (e *Error) Error() string { return fmt.Sprintf("relay %s: %s: %v", e.relay, e.reason, e.err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Reason returns why the relay gave no connection.
func (e *Error) Reason() Reason { return e.reason }

// successHead is the answer of a relay that has connected. It has a fixed length, so that the client reads nothing beyond it.
const successHead = "HTTP/1.1 200 OK\r\n\r\n"

// Connect connects to the upstream at an address through the relay at another one. When the context ends, it gives up; the
// returned connection does not depend on the context. Its error is an *Error.
func Connect(ctx context.Context, relay, target string) (*net.TCPConn, error) {
	c, err := hop.Dialer().DialContext(ctx, "tcp", relay)
	if err != nil {
		return nil, &Error{relay, Unreachable, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	status, err := request(c, target)
	isLate := !stop()
	if err == nil && isLate {
		err = context.Cause(ctx)
	}
	if err == nil && status == http.StatusOK {
		if tcp, ok := c.(*net.TCPConn); ok {
			return tcp, nil
		}
		err = fmt.Errorf("a connection of type %T", c)
	}
	_ = c.Close()
	if err != nil {
		return nil, &Error{relay, Unreachable, err}
	}
	reason := Refused
	if status == http.StatusBadGateway {
		reason = UpstreamUnreachable
	}
	return nil, &Error{relay, reason, fmt.Errorf("status %d", status)}
}

// request sends the request for a tunnel and returns the status of the answer, 200 only for successHead.
func request(c net.Conn, target string) (int, error) {
	if _, err := io.WriteString(c, "CONNECT "+target+" HTTP/1.1\r\nHost: "+target+"\r\n\r\n"); err != nil {
		return 0, err
	}
	head := make([]byte, len(successHead))
	if _, err := io.ReadFull(c, head); err != nil {
		return 0, err
	}
	if string(head) == successHead {
		return http.StatusOK, nil
	}
	var s frame.Scanner
	if _, err := s.Scan(head); err != nil {
		return 0, err
	}
	if s.Status() < http.StatusMultipleChoices {
		return 0, fmt.Errorf("the answer %q", head)
	}
	return s.Status(), nil
}
