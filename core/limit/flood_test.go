package limit_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/limit"
)

// TestFloodWidensNoWindow holds that a team which is kept to its part doesn't make the node borrow places:
// its waiting says nothing of the upstream.
func TestFloodWidensNoWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(t, 1, 8)
		p.SetNodes("a", []string{"a", "b"})
		ctx, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		ask := func(team string, tokens float64) *limit.Grant {
			g, err := p.Acquire(ctx, limit.Demand{Team: team, Tokens: tokens, Patience: time.Minute})
			if err != nil {
				return nil
			}
			return g
		}
		held := ask("steady", 1)
		for range 40 {
			time.Sleep(10 * time.Millisecond)
			callers.Go(func() {
				if g := ask("flood", 64); g != nil {
					<-ctx.Done()
					g.Done(limit.Completed, 64)
				}
			})
		}
		synctest.Wait()
		seats, waiting := p.State()
		if waiting == 0 {
			t.Fatal("the flooding team does not wait; the case tests nothing")
		}
		before := seats[0].Window
		for range 10 {
			held.Done(limit.Completed, 1)
			if held = ask("steady", 1); held == nil {
				t.Fatal("the steady team got no place beside the flood")
			}
			time.Sleep(time.Millisecond)
			held.First()
		}
		held.Done(limit.Completed, 1)
		if seats, _ = p.State(); seats[0].Window != before {
			t.Errorf("the window grew from %d to %d while only the flooding team waited", before, seats[0].Window)
		}
		cancel()
		callers.Wait()
	})
}

// TestFloodIsHeldToItsPart plays a team that asks for ten times its part beside one that asks for half of it.
func TestFloodIsHeldToItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, tokens, service = 8, 50.0, time.Second // 400 tokens/s, of which 200 are a team's part
		p := newPool(t, 1, slots)
		var mu sync.Mutex
		granted := map[string]float64{}
		var callers sync.WaitGroup
		ask := func(team string) {
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
			callers.Go(func() { ask("flood") })
			if at%(500*time.Millisecond) == 0 {
				callers.Go(func() { ask("steady") })
			}
			time.Sleep(25 * time.Millisecond)
		}
		callers.Wait()
		part := 200 * length.Seconds()
		if granted["flood"] > 1.1*part {
			t.Errorf("the flooding team got %.0f tokens, wanted at most a tenth over its part of %.0f", granted["flood"], part)
		}
		if granted["steady"] < 100*length.Seconds() {
			t.Errorf("the steady team got %.0f tokens, wanted all of %.0f", granted["steady"], 100*length.Seconds())
		}
	})
}
