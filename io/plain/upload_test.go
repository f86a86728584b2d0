package plain_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"rhubarbspread/core/call"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
	"rhubarbspread/io/dial"
	"rhubarbspread/io/plain"
)

// TestResetDuringAnUploadEndsNoAnswer guards against a service's answer without a length that counts as whole when its connection is
// reset while the call is being written.
func TestResetDuringAnUploadEndsNoAnswer(t *testing.T) {
	const rounds, uploadBytes = 40, 16 << 20
	for _, isReset := range []bool{true, false} {
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		serve := func(c *net.TCPConn) {
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+plain.AttemptHeader+": a\r\n\r\nbody")
			if isReset {
				time.Sleep(5 * time.Millisecond) // so that the client has read the body
				_ = c.SetLinger(0)
				return
			}
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		}
		go func() {
			for {
				c, err := l.AcceptTCP()
				if err != nil {
					return
				}
				go serve(c)
			}
		}()
		client := plain.New(dial.NewHostCache())
		u := route.NewUpstream("u", l.Addr().String(), "dc", "booking")
		for _, isIdempotent := range []bool{false, true} {
			for range rounds {
				q := &call.Request{Method: http.MethodPost, Path: "/x", Key: "k", Body: make([]byte, uploadBytes), Idempotent: isIdempotent}
				answer, o := client.Send(t.Context(), u, "a", q)
				if _, isUnknown := o.(reply.Unknown); isUnknown != isReset || (answer == nil) != isReset {
					t.Fatalf("reset %v, idempotent %v: outcome %#v, answer %v", isReset, isIdempotent, o, answer)
				}
			}
		}
		_ = l.Close()
	}
}
