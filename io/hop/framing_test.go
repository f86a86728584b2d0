package hop

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestAnswerWithoutFraming checks that an answer with neither a length nor chunks is whole when its connection ends, and
// broken when that is reset.
func TestAnswerWithoutFraming(t *testing.T) {
	const text = "event: a\n\nevent: b\n\n"
	for _, isReset := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		sent := make(chan struct{})
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				t.Error(err)
			}
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"+text); err != nil {
				t.Error(err)
			}
			<-sent // the client has read all
			if isReset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}()
		p := NewPool(func() {})
		s := &server{address: l.Addr().String()}
		resp, err := p.Do(t.Context(), s.call("1"))
		if err != nil {
			t.Fatal(err)
		}
		body := make([]byte, len(text))
		if _, err := io.ReadFull(resp.Body, body); err != nil || string(body) != text {
			t.Errorf("body %q, %v", body, err)
		}
		close(sent)
		if _, err := io.ReadAll(resp.Body); (err != nil) != isReset {
			t.Errorf("reset %v: the end of the body gives the error %v", isReset, err)
		}
		if p.HasIdle(Target{"u", s.address}) {
			t.Error("the connection was kept")
		}
		_ = l.Close()
	}
}
