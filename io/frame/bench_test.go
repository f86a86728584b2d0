package frame

import (
	"strings"
	"testing"
)

// BenchmarkScan measures the scanner on a usual head with a short body, and on a stream in chunks.
func BenchmarkScan(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nDate: Mon, 07 Dec 2026 06:00:00 GMT\r\n" +
		"X-Rhubarbspread-Attempt-Id: 9c41d07be2a35f68\r\nX-Rhubarbspread-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"X-Rhubarbspread-Replica-Id: i-7f3a91c2\r\nX-Rhubarbspread-Replica-Load: 3,0,8\r\nKeep-Alive: timeout=30\r\n"
	for _, bc := range []struct{ name, answer string }{
		{"head", head + "Content-Length: 800\r\n\r\n" + strings.Repeat("x", 800)},
		{"60 chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("e9\r\n"+strings.Repeat("t", 0xe9)+"\r\n", 60) + "0\r\n\r\n"},
	} {
		b.Run(bc.name, func(b *testing.B) {
			answer := []byte(bc.answer)
			var s Scanner
			b.SetBytes(int64(len(answer)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Scan(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
