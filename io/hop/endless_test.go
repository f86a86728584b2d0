package hop

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// Bounds of the tests with answers that do not end.
const (
	endlessBytes = 64 << 20 // that an upstream sends at most, so that a test ends in any case
	maxAllocated = 8 << 20  // bytes allocated while such an answer is read
)

// serveEndless runs a server that answers each request with a text and then one piece again and again, until the client
// closes the connection or endlessBytes are sent. Whether the client closed it is sent on the channel.
func serveEndless(t *testing.T, begin, piece string) (*server, <-chan bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan bool, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		_, err = io.WriteString(c, begin)
		raw := []byte(piece)
		for sent := 0; err == nil && sent < endlessBytes; sent += len(raw) {
			_, err = c.Write(raw)
		}
		closed <- err != nil
	}()
	return &server{address: l.Addr().String()}, closed
}

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestEndlessHeadIsCutOff guards against an upstream whose answer's head never ends and fills the node's memory.
func TestEndlessHeadIsCutOff(t *testing.T) {
	tests := []struct{ name, begin, piece string }{
		{"a status line", "HTTP/1.1 200 ", strings.Repeat("x", 4096)},
		{"a header line", "HTTP/1.1 200 OK\r\nX-Id: ", strings.Repeat("1", 4096)},
		{"header lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 512)},
		{"interim answers", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
		{"bytes that are no answer", "", strings.Repeat("\x00", 4096)},
		{"an answer to another request", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		{"trailers", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-A: b\r\n", 512)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s, closed := serveEndless(t, tc.begin, tc.piece)
			p := NewPool(func() {})
			var err error
			bytes := allocated(func() { _, err = p.Do(t.Context(), s.call("1")) })
			var e *Error
			if !errors.As(err, &e) || !e.Sent() {
				t.Errorf("error %v, want one of a request that may have run", err)
			}
			if bytes > maxAllocated {
				t.Errorf("%d bytes were allocated, want at most %d", bytes, maxAllocated)
			}
			if !<-closed {
				t.Error("the connection stayed open until the upstream had sent all")
			}
		})
	}
}

// TestEndlessBodyIsReadInPieces checks that the body of an answer takes no memory beyond what its reader holds, whatever
// its framing, and that closing it closes the connection.
func TestEndlessBodyIsReadInPieces(t *testing.T) {
	const readBytes = 32 << 20
	tests := []struct{ name, begin, piece string }{
		{"until the end of the connection", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", strings.Repeat("x", 4096)},
		{"chunked", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		{"of a length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 99999999999\r\n\r\n", strings.Repeat("x", 4096)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s, closed := serveEndless(t, tc.begin, tc.piece)
			p := NewPool(func() {})
			var read int64
			bytes := allocated(func() {
				resp, err := p.Do(t.Context(), s.call("1"))
				if err != nil {
					t.Fatal(err)
				}
				read, err = io.Copy(io.Discard, io.LimitReader(resp.Body, readBytes))
				if err != nil {
					t.Error(err)
				}
				_ = resp.Body.Close()
			})
			if read != readBytes || bytes > maxAllocated {
				t.Errorf("%d bytes were read and %d allocated, want %d and at most %d", read, bytes, readBytes, maxAllocated)
			}
			if !<-closed {
				t.Error("the connection stayed open until the upstream had sent all")
			}
		})
	}
}
