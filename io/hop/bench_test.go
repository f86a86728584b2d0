package hop

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// answersConn is a connection that answers each request that is written to it with the same bytes at once.
type answersConn struct {
	answer []byte
	unread []byte
}

func (c *answersConn) Write(p []byte) (int, error) {
	c.unread = c.answer
	return len(p), nil
}

func (c *answersConn) Read(p []byte) (int, error) {
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *answersConn) Close() error                     { return nil }
func (c *answersConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *answersConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *answersConn) SetDeadline(time.Time) error      { return nil }
func (c *answersConn) SetReadDeadline(time.Time) error  { return nil }
func (c *answersConn) SetWriteDeadline(time.Time) error { return nil }

// benchHead is the head of a usual answer without its framing.
const benchHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: text/event-stream\r\nDate: Mon, 07 Dec 2026 06:00:00 GMT\r\n" +
	"X-Rhubarbspread-Attempt-Id: 9c41d07be2a35f68\r\nX-Rhubarbspread-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
	"X-Rhubarbspread-Replica-Id: i-7f3a91c2\r\nX-Rhubarbspread-Replica-Load: 3,0,8\r\nKeep-Alive: timeout=30\r\n"

// BenchmarkExchange measures a call on a kept connection without the network.
func BenchmarkExchange(b *testing.B) {
	events := strings.Repeat("e9\r\nid: 1\ndata: "+strings.Repeat("t", 0xe9-14)+"\n\n\r\n", 60)
	for _, bc := range []struct{ name, answer string }{
		{"800 bytes", benchHead + "Content-Length: 800\r\n\r\n" + strings.Repeat("x", 800)},
		{"1 MiB", benchHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<20) + strings.Repeat("x", 1<<20)},
		{"60 events", benchHead + "Transfer-Encoding: chunked\r\n\r\n" + events + "0\r\n\r\n"},
	} {
		b.Run(bc.name, func(b *testing.B) {
			p := NewPool(func() {}, WithDial(func(context.Context, Target) (net.Conn, error) {
				return &answersConn{answer: []byte(bc.answer)}, nil
			}))
			call := (&server{}).call("1")
			buffer := make([]byte, 32<<10)
			b.SetBytes(int64(len(bc.answer)))
			b.ReportAllocs()
			for b.Loop() {
				resp, err := p.Do(context.Background(), call)
				if err != nil {
					b.Fatal(err)
				}
				for err == nil {
					_, err = resp.Body.Read(buffer)
				}
				if err != io.EOF {
					b.Fatal(err)
				}
				_ = resp.Body.Close()
			}
		})
	}
}
