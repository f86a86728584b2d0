package limit_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/kern"
	"rhubarbspread/core/limit"
	_ "rhubarbspread/core/plugs" // the routing policies
	"rhubarbspread/core/route"

	"pgregory.net/rapid"
)

func newPool(tb testing.TB, upstreams, slots int, opts ...limit.PoolOption) *limit.Pool {
	tb.Helper()
	plugin, ok := kern.FindPlugin("finish")
	if !ok {
		tb.Fatal("the policy finish is not registered")
	}
	p := limit.NewPool("model", plugin.New.(func() route.Policy)(), append(opts, limit.WithSeed(1))...)
	members := make([]limit.Member, upstreams)
	for i := range members {
		members[i] = limit.Member{Upstream: route.NewUpstream(fmt.Sprintf("u-%d", i), "127.0.0.1:1", "dc", "model"),
			SameDataCentre: true}
	}
	p.SetMembers(members)
	for i := range members {
		p.SetReport(fmt.Sprintf("u-%d", i), route.Report{Slots: slots, Rate: 50}, time.Millisecond)
	}
	return p
}

func causeOf(err error) limit.Cause {
	var e *limit.Error
	if errors.As(err, &e) {
		return e.Cause()
	}
	return -1
}

// TestAdmission runs random sequences of requests, completions and pauses against a pool. It checks that no upstream
// exceeds its window, that no slot is lost or granted twice, and that every request is answered.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 10, 60).Draw(rt, "steps")
		picks := rapid.SliceOfN(rapid.IntRange(0, 1000), 60, 60).Draw(rt, "picks")
		var fault error
		synctest.Test(t, func(t *testing.T) { fault = runAdmission(t, steps, picks) })
		if fault != nil {
			rt.Fatal(fault)
		}
	})
}

func runAdmission(t *testing.T, steps, picks []int) error {
	const upstreams = 3
	p := newPool(t, upstreams, 2)
	var mu sync.Mutex
	var grants []*limit.Grant
	var callers sync.WaitGroup
	answered := 0
	requests := 0
	for i, s := range steps {
		pick := picks[i]
		switch s {
		case 0, 1, 2:
			requests++
			callers.Go(func() {
				g, err := p.Acquire(context.Background(), limit.Demand{Team: fmt.Sprint(pick % 3), Tokens: 10, Key: uint64(pick)})
				mu.Lock()
				defer mu.Unlock()
				answered++
				if err == nil {
					grants = append(grants, g)
				}
			})
		case 3, 4:
			mu.Lock()
			if len(grants) > 0 {
				k := pick % len(grants)
				g := grants[k]
				grants = append(grants[:k], grants[k+1:]...)
				mu.Unlock()
				g.Done(limit.Result(pick%4), 10)
				g.Done(limit.Completed, 10)
				break
			}
			mu.Unlock()
		case 5:
			time.Sleep(time.Duration(pick) * time.Millisecond)
		}
		synctest.Wait()
		if err := checkCounts(p, &mu, &grants); err != nil {
			return err
		}
	}
	for range 200 {
		mu.Lock()
		outstanding := grants
		grants = nil
		mu.Unlock()
		for _, g := range outstanding {
			g.Done(limit.Completed, 10)
		}
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	if answered != requests {
		return fmt.Errorf("%d of %d requests were answered", answered, requests)
	}
	return nil
}

func checkCounts(p *limit.Pool, mu *sync.Mutex, grants *[]*limit.Grant) error {
	mu.Lock()
	defer mu.Unlock()
	upstreams, _ := p.State()
	inFlight := 0
	for _, s := range upstreams {
		inFlight += s.InFlight
		if s.InFlight > s.Window {
			return fmt.Errorf("%s has %d requests in flight, over its window of %d", s.Upstream, s.InFlight, s.Window)
		}
	}
	if inFlight != len(*grants) {
		return fmt.Errorf("%d requests in flight but %d grants outstanding", inFlight, len(*grants))
	}
	return nil
}

func TestAcquireRefuses(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(p *limit.Pool) []*limit.Grant
		want    limit.Cause
	}{
		{"without upstreams", func(p *limit.Pool) []*limit.Grant { p.SetMembers(nil); return nil }, limit.Unavailable},
		{"when all are draining", func(p *limit.Pool) []*limit.Grant {
			p.SetMembers([]limit.Member{{Upstream: route.NewUpstream("u-0", "127.0.0.1:1", "dc", "model"), Draining: true}})
			return nil
		}, limit.Unavailable},
		{"when all are ejected", func(p *limit.Pool) []*limit.Grant {
			g, _ := p.Acquire(context.Background(), limit.Demand{Tokens: 1})
			g.Done(limit.Lost, 0)
			return nil
		}, limit.Unavailable},
		{"when the predicted wait is too long", func(p *limit.Pool) []*limit.Grant {
			var grants []*limit.Grant
			for range 3 {
				g, err := p.Acquire(context.Background(), limit.Demand{Team: "t", Tokens: 1000, Patience: time.Nanosecond})
				if err == nil {
					grants = append(grants, g)
				}
			}
			go func() { _, _ = p.Acquire(context.Background(), limit.Demand{Team: "t", Tokens: 1000}) }()
			synctest.Wait()
			return grants
		}, limit.Overloaded},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool(t, 1, 1)
				grants := test.prepare(p)
				_, err := p.Acquire(t.Context(), limit.Demand{Team: "t", Tokens: 1000})
				if causeOf(err) != test.want {
					t.Errorf("error %v has the wrong cause", err)
				}
				for _, g := range grants {
					g.Done(limit.Completed, 1)
				}
			})
		})
	}
}

// BenchmarkAcquire measures the admission and release of one request, by number of upstreams and teams.
func BenchmarkAcquire(b *testing.B) {
	for _, size := range []struct{ upstreams, subset, teams int }{
		{7, 32, 10}, {69, 32, 10}, {690, 32, 10}, {690, 690, 10}, {690, 32, 280}, {690, 32, 2800},
	} {
		b.Run(fmt.Sprintf("upstreams=%d/subset=%d/teams=%d", size.upstreams, size.subset, size.teams), func(b *testing.B) {
			p := newPool(b, size.upstreams, 1000, limit.WithSubset(size.subset))
			teams := make([]string, size.teams)
			for i := range teams {
				teams[i] = fmt.Sprintf("team-%d", i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				g, err := p.Acquire(b.Context(), limit.Demand{Team: teams[i%len(teams)], Tokens: 64, Key: uint64(i)})
				if err != nil {
					b.Fatal(err)
				}
				g.Done(limit.Completed, 64)
				i++
			}
		})
	}
}

// BenchmarkRecordActivity measures the cost of recording a token.
func BenchmarkRecordActivity(b *testing.B) {
	p := newPool(b, 3, 8)
	g, err := p.Acquire(b.Context(), limit.Demand{Tokens: 1})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		g.RecordActivity()
	}
}
