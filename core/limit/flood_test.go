package limit_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/limit"
)

// TestFloodWidensNoWindow checks that a flooding team, which queues because it is held to its fair rate, does not make
// the node grow its window: that queue says nothing about the upstream.
func TestFloodWidensNoWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 1, 8)
		p.SetNodes("a", []string{"a", "b"})
		ctx, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		acquire := func(team string, tokens float64) *limit.Grant {
			g, err := p.Acquire(ctx, limit.Demand{Team: team, Tokens: tokens, Patience: time.Minute})
			if err != nil {
				return nil
			}
			return g
		}
		grant := acquire("steady", 1)
		for range 40 {
			time.Sleep(10 * time.Millisecond)
			callers.Go(func() {
				if g := acquire("flood", 64); g != nil {
					<-ctx.Done()
					g.Done(limit.Completed, 64)
				}
			})
		}
		synctest.Wait()
		upstreams, queued := p.State()
		if queued == 0 {
			t.Fatal("the flooding team has no queued requests, so the test checks nothing")
		}
		before := upstreams[0].Window
		for range 10 {
			grant.Done(limit.Completed, 1)
			if grant = acquire("steady", 1); grant == nil {
				t.Fatal("the steady team was not admitted beside the flooding team")
			}
			time.Sleep(time.Millisecond)
			grant.RecordFirstToken()
		}
		grant.Done(limit.Completed, 1)
		if upstreams, _ = p.State(); upstreams[0].Window != before {
			t.Errorf("the window grew from %d to %d while only the flooding team had queued requests",
				before, upstreams[0].Window)
		}
		cancel()
		callers.Wait()
	})
}

// TestFloodIsLimitedToItsFairShare runs a team that sends ten times its fair share beside one that sends half of its
// own.
func TestFloodIsLimitedToItsFairShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, tokens, service = 8, 50.0, time.Second // 400 tokens/s, of which 200 are a team's fair share
		p := newPool(t, 1, slots)
		var mu sync.Mutex
		granted := map[string]float64{}
		var callers sync.WaitGroup
		acquire := func(team string) {
			g, err := p.Acquire(t.Context(), limit.Demand{Team: team, Tokens: tokens, Weight: 1})
			if err != nil {
				return
			}
			mu.Lock()
			granted[team] += tokens
			mu.Unlock()
			time.Sleep(service)
			g.Done(limit.Completed, int(tokens))
		}
		const length = 20 * time.Second
		for at := time.Duration(0); at < length; at += 25 * time.Millisecond {
			callers.Go(func() { acquire("flood") })
			if at%(500*time.Millisecond) == 0 {
				callers.Go(func() { acquire("steady") })
			}
			time.Sleep(25 * time.Millisecond)
		}
		callers.Wait()
		fairShare := 200 * length.Seconds()
		if granted["flood"] > 1.1*fairShare {
			t.Errorf("the flooding team got %.0f tokens, want at most a tenth over its fair share of %.0f",
				granted["flood"], fairShare)
		}
		if granted["steady"] < 100*length.Seconds() {
			t.Errorf("the steady team got %.0f tokens, want all of %.0f", granted["steady"], 100*length.Seconds())
		}
	})
}
