package entry

import (
	"strings"
	"testing"

	"rhubarbspread/io/ports"
)

// TestShortHeaderLinesAreCharged guards against heads of many short lines that hold far more memory than the budget counts, also where
// they arrive in the buffer behind another request, and against a body that is charged as if it were lines of a head.
func TestShortHeaderLinesAreCharged(t *testing.T) {
	const lines = 500
	block := "GET /block HTTP/1.1\r\nHost: h\r\n"
	short := strings.Repeat("a:\r\n", lines)
	for _, tc := range []struct {
		name, text  string
		least, most int64
	}{
		{"whole head", block + short + "\r\n", lines * ports.HeadLineBytes, ports.HeadCost(len(short) + 100)},
		{"behind another request", firstRequest + block + short + "\r\n", lines * ports.HeadLineBytes, ports.HeadCost(len(short) + 100)},
		{"lines of a body", "POST /block HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + short, 1, ports.HeadCost(100) + 2100*3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startTestServer(t, nil)
			c := s.dial(t)
			c.send(t, tc.text)
			<-s.begun
			if used := s.node.callerBudget.Used(); used < tc.least || used > tc.most {
				t.Errorf("%d bytes are charged, want %d to %d", used, tc.least, tc.most)
			}
			close(s.block)
		})
	}
}
