package hop

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadBytes is more than the buffers of two sockets hold, so that the request is still being written when its answer ends.
const uploadBytes = 16 << 20

// earlyAnswer is an answer that a server begins before it has read the request's body.
type earlyAnswer struct {
	name    string
	head    string // without its end
	body    string
	isReset bool // the connection is reset after the body, while the request is being written; else the server reads on
	isWhole bool
}

var earlyAnswers = []earlyAnswer{
	{"without a length, reset", "", "part", true, false},
	{"without a length, ended", "", "whole", false, true},
	{"with a length, reset in the middle", "Content-Length: 8\r\n", "part", true, false},
	{"with a length, ended", "Content-Length: 5\r\n", "whole", false, true},
	{"in chunks, reset in the middle", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", true, false},
	{"in chunks, ended", "Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", false, true},
	{"with a length, reset after the end", "Content-Length: 5\r\n", "whole", true, true},
}

// serve answers one request on a connection. It resets the connection only after a moment, so that the client has read the body.
func (e earlyAnswer) serve(c *net.TCPConn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"+e.head+"\r\n"+e.body)
	if e.isReset {
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
		return
	}
	if e.head == "" {
		_ = c.CloseWrite() // ends the answer
	}
	_, _ = io.Copy(io.Discard, req.Body) // the client may close the connection when it has the answer
}

// TestResetDuringAnUploadEndsNoAnswer guards against an answer without a length that counts as whole when its connection is reset while
// the request is being written: the write takes the error of the socket, and a read then finds its end.
func TestResetDuringAnUploadEndsNoAnswer(t *testing.T) {
	const rounds = 20 // the write takes the error in some of them
	for _, tc := range earlyAnswers {
		for _, isRelayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %v", tc.name, isRelayed), func(t *testing.T) {
				l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				go func() {
					for {
						c, err := l.AcceptTCP()
						if err != nil {
							return
						}
						go tc.serve(c)
					}
				}()
				p, relayed := relayable()
				relayed.Store(isRelayed)
				for range rounds {
					call := (&server{address: l.Addr().String()}).call("1")
					call.Body = bytes.Repeat([]byte("u"), uploadBytes)
					resp, err := p.Do(t.Context(), call)
					if err != nil {
						var e *Error
						if tc.isWhole || !errors.As(err, &e) || !e.Sent() {
							t.Fatal(err)
						}
						continue
					}
					body, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if (err == nil) != tc.isWhole || tc.isWhole && string(body) != "whole" {
						t.Fatalf("body %q, error %v; want a whole answer: %v", body, err, tc.isWhole)
					}
				}
			})
		}
	}
}
