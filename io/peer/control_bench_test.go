package peer_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"rhubarbspread/core/event"
	"rhubarbspread/core/member"
	"rhubarbspread/io/peer"
)

// Phases of the benchmark.
const (
	warmUpTime  = 4 * time.Second // until the nodes know each other
	measureTime = 8 * time.Second
)

func cpuSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkControl runs the protocol between nodes over loopback, with all nodes in one process, and reports the
// traffic, CPU time and memory per node. The CPU time covers both ends of each exchange, each counted once.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{9, 30, 100, 300} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureControl(b, n)
			}
		})
	}
}

func measureControl(b *testing.B, n int) {
	heap := heapBytes()
	ctx, cancel := context.WithCancel(context.Background())
	listeners := make([]net.Listener, n)
	var all []member.Node
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners[i] = l
		all = append(all, member.Node{Name: fmt.Sprintf("node-%d", i), Address: l.Addr().String(), Incarnation: 1})
	}
	config, err := peer.TLSConfig("a secret of all nodes")
	if err != nil {
		b.Fatal(err)
	}
	peers := make([]*peer.Peer, n)
	var ends []<-chan error
	for i := range peers {
		swim := member.New(all[i])
		swim.Seed(all)
		peers[i] = peer.New(swim, event.NewClock(time.Now), config)
		ends = append(ends, peers[i].Serve(ctx, listeners[i]), peers[i].Run(ctx))
	}
	time.Sleep(warmUpTime)
	bytes, cpu := totalBytes(peers), cpuSeconds()
	time.Sleep(measureTime)
	b.ReportMetric(float64(totalBytes(peers)-bytes)/measureTime.Seconds()/float64(n), "bytes/s/node")
	b.ReportMetric((cpuSeconds()-cpu)/measureTime.Seconds()/float64(n)*100, "%core/node")
	b.ReportMetric((heapBytes()-heap)/float64(n)/1e6, "MB/node")
	cancel()
	for _, end := range ends {
		<-end
	}
}

func totalBytes(peers []*peer.Peer) int64 {
	sum := int64(0)
	for _, p := range peers {
		in, out := p.Bytes()
		sum += in + out
	}
	return sum
}
