package serve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rhubarbspread/core/quota"

	"github.com/go-logr/logr"
)

// TestBodiesStayWithinTheBudget guards against callers whose bodies stop a byte short and together take more than the budget, and
// against refusals that don't reach their callers.
func TestBodiesStayWithinTheBudget(t *testing.T) {
	const size, crowd = 4 << 20, 16
	refused := make(chan struct{}, 2*crowd)
	b := &bodies{refused: &counter{add: func() { refused <- struct{}{} }}, log: logr.Discard()}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := b.open(r, size)
		defer a.Close()
		body, refusal := b.read(w, r, size, a)
		if used := b.budget.Used(); used > quota.DefaultLimit {
			t.Errorf("%d bytes used, want at most %d", used, quota.DefaultLimit)
		}
		if refusal != nil {
			writeRefusal(w, refusal)
			return
		}
		fmt.Fprint(w, len(body))
	}))
	s.Config.ConnContext = WithConn
	s.Start()
	t.Cleanup(s.Close) // after the callers have closed their connections
	send := func(bytes int) *bufio.Reader {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		go func() {
			_, _ = io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", bytes)))
		}()
		return bufio.NewReader(c)
	}
	var stopped []*bufio.Reader
	for range crowd {
		stopped = append(stopped, send(size-1))
	}
	<-refused
	// On a busy machine others may still make progress when it arrives; then it comes back, as it is told.
	for {
		resp, err := http.ReadResponse(send(size), nil)
		if err != nil || resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("whole body: %v, error %v", resp, err)
		}
		if resp.StatusCode == http.StatusOK {
			break
		}
		if resp.Header.Get("Retry-After") == "" {
			t.Fatal("refused without a time to come back")
		}
	}
	answered := make(chan int, crowd)
	for _, r := range stopped {
		go func() {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				answered <- 0 // not refused by the end of the test
				return
			}
			answered <- resp.StatusCode
		}()
	}
	// Those whose bytes were not needed stay, as they are within the limits.
	const left = quota.DefaultLimit / size
	for range crowd - left {
		if status := <-answered; status != http.StatusServiceUnavailable {
			t.Errorf("stopped body: status %d, want %d", status, http.StatusServiceUnavailable)
		}
	}
}
