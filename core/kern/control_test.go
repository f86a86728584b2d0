package kern_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/conf"
	"rhubarbspread/core/kern"
	_ "rhubarbspread/core/plugs" // the routing policies
	"rhubarbspread/core/route"
	"rhubarbspread/core/store"
)

func policy(tb testing.TB) route.Policy {
	tb.Helper()
	p, ok := kern.FindPlugin("finish")
	if !ok {
		tb.Fatal("plug-in finish is not registered")
	}
	return p.New.(func() route.Policy)()
}

// documentOf returns a document with the given numbers of models and teams.
func documentOf(tb testing.TB, models, teams int) *conf.Document {
	tb.Helper()
	text := `{"name":"d","models":[`
	for i := range models {
		text += fmt.Sprintf(`{"name":"m-%d"},`, i)
	}
	text = text[:len(text)-1] + `],"teams":[`
	for i := range teams {
		text += fmt.Sprintf(`{"name":"t-%d","key-digests":["sha256:%064x"],"models":["*"]},`, i, i)
	}
	d, err := conf.Decode([]byte(text[:len(text)-1] + `]}`))
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// vmsOf returns n listed engines, spread over the models.
func vmsOf(n, models int) []store.VM {
	out := make([]store.VM, n)
	for i := range out {
		out[i] = store.VM{
			Name: fmt.Sprintf("u-%d", i), Address: "127.0.0.1:1", DataCentre: "dc", Kind: "engine",
			Serves: fmt.Sprintf("m-%d", i%models),
		}
	}
	return out
}

func TestVersionNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := kern.NewControl("n", "dc", policy(t))
		ended := c.Run(ctx)
		for _, test := range []struct{ send, want uint64 }{{2, 2}, {1, 2}, {2, 2}, {5, 5}, {4, 5}} {
			_ = c.Send(ctx, kern.DocumentUpdate{Version: test.send, Document: documentOf(t, 1, 1)})
			synctest.Wait()
			if got := c.View().Version(); got != test.want {
				t.Errorf("after sending version %d: version %d in force, want %d", test.send, got, test.want)
			}
		}
		cancel()
		<-ended
	})
}

func TestNodeIsNotReadyBeforeItHasReadTheListOfVMs(t *testing.T) {
	document, list := kern.DocumentUpdate{Version: 1, Document: documentOf(t, 1, 1)}, kern.VMListUpdate{VMs: vmsOf(1, 1)}
	for _, updates := range [][]kern.Update{{document, list}, {list, document}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			c := kern.NewControl("n", "dc", policy(t))
			ended := c.Run(ctx)
			for i, u := range updates {
				_ = c.Send(ctx, u)
				synctest.Wait()
				if got, want := c.View().Ready(), i == len(updates)-1; got != want {
					t.Errorf("ready after %T as update %d: %v, want %v", u, i, got, want)
				}
			}
			cancel()
			<-ended
		})
	}
}

// TestUnlistedUpstreamStaysWhileItReports empties the list while one of two upstreams keeps reporting: that one must
// stay.
func TestUnlistedUpstreamStaysWhileItReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := kern.NewControl("n", "dc", policy(t))
		ended := c.Run(ctx)
		_ = c.Send(ctx, kern.DocumentUpdate{Version: 1, Document: documentOf(t, 1, 1)})
		_ = c.Send(ctx, kern.VMListUpdate{VMs: vmsOf(2, 1)})
		for second := range 9 {
			_ = c.Send(ctx, kern.ReportUpdate{Upstream: "u-0", Report: route.Report{Slots: 1, Rate: 1}})
			_ = c.Send(ctx, kern.VMListUpdate{})
			synctest.Wait()
			if got := len(c.View().Upstreams()); second > 0 && got != 1 {
				t.Errorf("%d upstreams after %d s, want 1, the one that reports", got, second)
			}
			time.Sleep(time.Second)
		}
		cancel()
		<-ended
	})
}

func TestDrainReachesTheView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := kern.NewControl("n", "dc", policy(t))
		ended := c.Run(ctx)
		_ = c.Send(ctx, kern.VMListUpdate{VMs: vmsOf(1, 1)})
		for _, drain := range []bool{true, false} {
			_ = c.Send(ctx, kern.DrainUpdate{Name: "u-0", Drain: drain})
			synctest.Wait()
			if c.View().Draining("u-0") != drain {
				t.Errorf("Draining is not %v after the update", drain)
			}
		}
		cancel()
		<-ended
	})
}

// BenchmarkApply measures how long the control goroutine takes for a report, and for a list with the View that
// follows.
func BenchmarkApply(b *testing.B) {
	for _, size := range []struct{ upstreams, nodes, teams int }{{30, 9, 10}, {69, 37, 280}, {690, 370, 2800}} {
		name := fmt.Sprintf("upstreams=%d/nodes=%d/teams=%d", size.upstreams, size.nodes, size.teams)
		for _, kind := range []string{"report", "list"} {
			b.Run(name+"/"+kind, func(b *testing.B) { benchmarkApply(b, size.upstreams, size.nodes, size.teams, kind) })
		}
	}
}

func benchmarkApply(b *testing.B, upstreams, nodes, teams int, kind string) {
	const models = 18
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	published := make(chan struct{}, 1)
	c := kern.NewControl("n-0", "dc", policy(b), kern.WithOnView(func(*kern.View) { published <- struct{}{} }))
	ctx, cancel := context.WithCancel(context.Background())
	ended := c.Run(ctx)
	names := make([]string, nodes)
	for i := range names {
		names[i] = fmt.Sprintf("n-%d", i)
	}
	vms := vmsOf(upstreams, models)
	for _, update := range []kern.Update{
		kern.DocumentUpdate{Version: 1, Document: documentOf(b, models, teams)},
		kern.NodesUpdate{Names: names}, kern.VMListUpdate{VMs: vms},
	} {
		_ = c.Send(ctx, update)
		<-published
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if kind == "list" {
			_ = c.Send(ctx, kern.VMListUpdate{VMs: vms})
			<-published
			continue
		}
		_ = c.Send(ctx, kern.ReportUpdate{Upstream: vms[i%upstreams].Name, Report: route.Report{Slots: 8, Rate: 50}})
	}
	cancel()
	<-ended
}
