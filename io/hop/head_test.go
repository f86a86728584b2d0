package hop

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// serveCut runs a server that answers each request with the first bytes of a text and then closes or resets the connection.
func serveCut(t *testing.T, text string, isReset bool) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if _, err := io.WriteString(c, text); err == nil && isReset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	return &server{address: l.Addr().String()}
}

// TestAnswerCutInItsHeadIsNoAnswer guards against an answer whose upstream stops in the middle of the head, or of the trailers, and
// that counts as whole.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: abc\r\n"
	for _, tc := range []struct{ name, begin, head string }{
		{"with a length", "", final + "Content-Length: 0\r\n\r\n"},
		{"chunked", "", final + "Transfer-Encoding: chunked\r\n\r\n"},
		{"until the end of the connection", "", final + "\r\n"},
		{"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n", final + "Content-Length: 0\r\n\r\n"},
		{"of an interim answer", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"trailers", final + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n1\r\nx\r\n0\r\n", "X-Sum: 1\r\n\r\n"},
	} {
		for cut := range tc.head {
			for _, isRelayed := range []bool{false, true} {
				for _, isReset := range []bool{false, true} {
					s := serveCut(t, tc.begin+tc.head[:cut], isReset)
					p, relayed := relayable()
					relayed.Store(isRelayed)
					resp, err := p.Do(t.Context(), s.call("1"))
					var e *Error
					if err == nil && strings.HasPrefix(tc.name, "trailers") {
						if _, err = io.ReadAll(resp.Body); err == nil {
							t.Errorf("%s, cut after %d bytes, reset %v: the body counts as whole", tc.name, cut, isReset)
						}
						_ = resp.Body.Close()
					} else if !errors.As(err, &e) || !e.Sent() {
						t.Errorf("%s, cut after %q, reset %v, relayed %v: error %v, want one of a request that may have run",
							tc.name, tc.head[:cut], isReset, isRelayed, err)
					}
					if p.HasIdle(s.call("1").Target) {
						t.Errorf("%s, cut after %d bytes: the connection is kept", tc.name, cut)
					}
				}
			}
		}
	}
}
