package serve

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rhubarbspread/core/quota"

	"github.com/go-logr/logr"
)

// TestEvictedRequestReadsNoMore guards against a request that has lost its bytes and keeps them until its time is over, because net/http
// sets a read deadline of its own once it has read the head.
func TestEvictedRequestReadsNoMore(t *testing.T) {
	for _, tc := range []struct {
		name  string
		state http.ConnState // once the first part has been read
	}{
		{"in its head", http.StateNew},
		{"in its body", http.StateActive},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := &bodies{refused: &counter{add: func() {}}, log: logr.Discard()}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			accepted, err := (&headListener{l, b}).Accept()
			if err != nil {
				t.Fatal(err)
			}
			c := accepted.(*headConn)
			defer c.Close()
			part := strings.Repeat("x", 1000)
			for range 2 { // the second part is there when the read is tried
				if _, err := caller.Write([]byte(part)); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := c.Read(make([]byte, len(part))); err != nil {
				t.Fatal(err)
			}
			c.setState(tc.state)
			b.budget.SetLimit(4 << 10) // the part is charged with 3,000 bytes
			other := b.budget.Open(func() {})
			defer other.Close()
			if err := other.Charge(2000); err != quota.ErrShort || !c.account.IsEvicted() {
				t.Fatalf("the other request: %v, evicted %v", err, c.account.IsEvicted())
			}
			_ = c.SetReadDeadline(time.Now().Add(time.Hour)) // as net/http does
			if n, err := c.Read(make([]byte, len(part))); err == nil {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}
