package demo

import (
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"rhubarbspread/io/fake"
)

// BenchmarkTokens streams long answers through one node over sockets and reports the process's CPU time per token. This
// includes the fake engine and the caller, so it is an upper bound of the node's own CPU time.
func BenchmarkTokens(b *testing.B) {
	const tokens = 2000
	d := startBench(b)
	d.testbed.engines[0].SetRate(1e6)
	cpu := cpuTime()
	n := 0
	for b.Loop() {
		text, complete, err := d.stream(0, Assistant, "bench", tokens, func(int) {})
		if err != nil || !complete || text != fake.Text("bench", tokens) {
			b.Fatalf("complete %v, error %v", complete, err)
		}
		n += tokens
	}
	b.ReportMetric(float64(cpuTime()-cpu)/float64(n), "cpu-ns/token")
}

// BenchmarkRequests asks for answers of one token and reports the process's CPU time per request, including the fake
// engine and the caller.
func BenchmarkRequests(b *testing.B) {
	d := startBench(b)
	d.testbed.engines[0].SetRate(1e6)
	cpu := cpuTime()
	for b.Loop() {
		resp, err := d.post(0, "/v1/completions", d.Key(), "", `{"model":"assistant","prompt":"x","max_tokens":1}`)
		if err != nil {
			b.Fatal(err)
		}
		raw, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if !strings.Contains(string(raw), fake.Token("x", 0)) {
			b.Fatalf("got %s", raw)
		}
	}
	b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N), "cpu-ns/request")
}

// cpuTime returns the user and system CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func startBench(b *testing.B) *Demo { return start(b, Config{Nodes: 1, Engines: 1}) }
