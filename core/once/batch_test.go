package once_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/once"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/store"
	"rhubarbspread/io/fake"
)

// TestCallsAtTheTablesRate runs calls against a table of 300 transactions a second, with and without shared
// transactions, and measures what one call costs.
func TestCallsAtTheTablesRate(t *testing.T) {
	const writes, callers, length = 300, 64, 10 * time.Second
	rates := make(map[bool]float64)
	for _, batched := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table := fake.NewTable()
			table.Limit(writes)
			ctx, cancel := context.WithCancel(context.Background())
			var used store.Table = table
			ended := make(<-chan error)
			if batched {
				b := once.NewBatcher(table)
				ended = b.Run(ctx)
				used = b
			}
			l := once.New(used, newWorld(1), "node", "life")
			var mu sync.Mutex
			calls, failed := 0, 0
			slowest := time.Duration(0)
			end := time.Now().Add(length)
			var senders sync.WaitGroup
			for c := range callers {
				senders.Go(func() {
					for i := 0; time.Now().Before(end); i++ {
						start := time.Now()
						license, _, err := l.Begin(ctx, once.Key{Team: "t", Service: "s", Key: fmt.Sprint(c, "-", i)}, "d", "r")
						took := time.Since(start)
						mu.Lock()
						slowest = max(slowest, took)
						if err != nil {
							failed++
						} else {
							calls++
						}
						mu.Unlock()
						if err == nil {
							license.End(ctx, reply.Done{}, &once.Response{Status: 200})
						}
					}
				})
			}
			senders.Wait()
			made, reads := table.Counts()
			rates[batched] = float64(calls) / length.Seconds()
			t.Logf("measure=ledger batched=%v calls/s=%.0f failed=%d transactions/call=%.2f reads/call=%.3f slowest-license=%v",
				batched, rates[batched], failed, float64(made)/float64(calls), float64(reads)/float64(calls), slowest)
			cancel()
			if batched {
				<-ended
			}
			_ = l.Close(context.Background())
		})
	}
	if rates[true] < 2*rates[false] {
		t.Errorf("%.0f calls/s with shared transactions, %.0f without", rates[true], rates[false])
	}
}

// TestBatchKeepsConditions shares a transaction between a write that may be made and one that may not.
func TestBatchKeepsConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		if err := table.Commit(t.Context(), store.Change{Key: "taken", Value: []byte("x")}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		b := once.NewBatcher(table)
		ended := b.Run(ctx)
		var writers sync.WaitGroup
		for _, test := range []struct {
			key      string
			conflict bool
		}{{"taken", true}, {"free", false}, {"other", false}} {
			writers.Go(func() {
				err := b.Commit(ctx, store.Change{Key: test.key, Value: []byte("y")})
				if store.Is(err, store.Conflict) != test.conflict || (err != nil) != test.conflict {
					t.Errorf("%s: %v", test.key, err)
				}
			})
		}
		writers.Wait()
		cancel()
		<-ended
	})
}
