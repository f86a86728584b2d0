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

// TestCallsAtTheTablesRate runs calls against a table limited to 300 transactions/s, with and without a Batcher. It
// measures calls per second, transactions and reads per call, and fails unless the Batcher at least doubles the rate.
func TestCallsAtTheTablesRate(t *testing.T) {
	const transactionsPerSecond, callers, duration = 300, 64, 10 * time.Second
	rates := make(map[bool]float64)
	for _, batched := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table := fake.NewTable()
			table.SetWriteLimit(transactionsPerSecond)
			ctx, cancel := context.WithCancel(context.Background())
			var ledgerTable store.Table = table
			ended := make(<-chan error)
			if batched {
				b := once.NewBatcher(table)
				ended = b.Run(ctx)
				ledgerTable = b
			}
			l := once.New(ledgerTable, newCluster(1), "node", "incarnation")
			var mu sync.Mutex
			calls, failed := 0, 0
			slowest := time.Duration(0)
			end := time.Now().Add(duration)
			var callersDone sync.WaitGroup
			for c := range callers {
				callersDone.Go(func() {
					for i := 0; time.Now().Before(end); i++ {
						start := time.Now()
						license, _, err := l.Begin(ctx, once.Key{Team: "t", Service: "s", Key: fmt.Sprint(c, "-", i)}, "d", "r")
						elapsed := time.Since(start)
						mu.Lock()
						slowest = max(slowest, elapsed)
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
			callersDone.Wait()
			transactions, reads := table.Counts()
			rates[batched] = float64(calls) / duration.Seconds()
			t.Logf("measure=ledger batched=%v calls/s=%.0f failed=%d transactions/call=%.2f reads/call=%.3f slowest-license=%v",
				batched, rates[batched], failed, float64(transactions)/float64(calls), float64(reads)/float64(calls), slowest)
			cancel()
			if batched {
				<-ended
			}
			_ = l.Close(context.Background())
		})
	}
	if rates[true] < 2*rates[false] {
		t.Errorf("%.0f calls/s with a Batcher, %.0f without; want at least twice as many", rates[true], rates[false])
	}
}

// TestBatchKeepsConditions commits three writes through a Batcher, of which one fails its version condition: only
// this write may get the conflict.
func TestBatchKeepsConditions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		if err := table.Commit(t.Context(), store.Change{Key: "existing", Value: []byte("x")}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		b := once.NewBatcher(table)
		ended := b.Run(ctx)
		var writers sync.WaitGroup
		for _, test := range []struct {
			key      string
			conflict bool
		}{{"existing", true}, {"new", false}, {"other", false}} {
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
