package model_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"rhubarbspread/core/call"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
	"rhubarbspread/io/dial"
	"rhubarbspread/io/plain"
)

// TestAnswerCutInItsHeadPromisesNothing guards against an answer of a service that stops in the middle of its head and counts as whole,
// or as a refusal, and against a second attempt by net/http at a call that may not be repeated.
func TestAnswerCutInItsHeadPromisesNothing(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRhubarbspread-Attempt: a\r\nContent-Type: text/plain\r\n"
	for _, framing := range []string{"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", "\r\n"} {
		whole := head + framing
		for cut := 1; cut < len(whole); cut++ {
			for _, isReset := range []bool{false, true} {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				requests := make(chan int, 1)
				go func() {
					count := 0
					defer func() { requests <- count }()
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
							_, _ = io.Copy(io.Discard, r.Body)
							count++
						}
						_, _ = io.WriteString(c, whole[:cut])
						if isReset {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						_ = c.Close()
					}
				}()
				c := plain.New(dial.NewHostCache())
				u := route.NewUpstream("u", l.Addr().String(), "dc", "booking")
				answer, o := c.Send(context.Background(), u, "a", &call.Request{Method: http.MethodPost, Path: "/x", Key: "k", Body: []byte("{}")})
				if _, ok := o.(reply.Unknown); !ok || answer != nil {
					t.Errorf("cut after %q, reset %v: outcome %v, want an unknown one", whole[:cut], isReset, o)
				}
				_ = l.Close()
				if n := <-requests; n != 1 {
					t.Errorf("cut after %d bytes, reset %v: %d requests, want 1", cut, isReset, n)
				}
			}
		}
	}
}
