package lease_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/lease"
	"rhubarbspread/core/store"
	"rhubarbspread/io/fake"

	"pgregory.net/rapid"
)

const term = 10 * time.Second

// pausable is the table as one contender reaches it; a pause holds its calls, as a VM's pause would.
type pausable struct {
	store.Table
	until atomic.Int64 // nanoseconds since 1970
}

func (p *pausable) wait() { time.Sleep(time.Until(time.Unix(0, p.until.Load()))) }

// Get returns a row after the pause.
func (p *pausable) Get(ctx context.Context, key string) (store.Row, error) {
	p.wait()
	return p.Table.Get(ctx, key)
}

// Commit writes after the pause.
func (p *pausable) Commit(ctx context.Context, changes ...store.Change) error {
	p.wait()
	return p.Table.Commit(ctx, changes...)
}

// event is what happens to the contenders in a run.
type event struct {
	kind  int // 0 time passes, 1 a pause, 2 a fault of the table, 3 its end
	who   int
	wait  time.Duration
	fault string
}

// TestOneHolder plays pauses and table faults at three contenders, and looks every 100 ms that no two may
// act, and that numbers only grow.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{
				kind: rapid.IntRange(0, 3).Draw(rt, "kind"), who: rapid.IntRange(0, 2).Draw(rt, "who"),
				wait:  time.Duration(rapid.IntRange(0, 25_000).Draw(rt, "wait")) * time.Millisecond,
				fault: rapid.SampledFrom([]string{fake.Down, fake.LoseReplies, fake.LoseCalls, fake.LateWrites, fake.Slow}).Draw(rt, "fault"),
			}
		}), 1, 20).Draw(rt, "events")
		var fault error
		synctest.Test(t, func(*testing.T) { fault = contend(events) })
		if fault != nil {
			rt.Fatal(fault)
		}
	})
}

func contend(events []event) error {
	table := fake.NewTable()
	ctx, cancel := context.WithCancel(context.Background())
	var leases []*lease.Lease
	var tables []*pausable
	var ends []<-chan error
	for i := range 3 {
		tables = append(tables, &pausable{Table: table})
		leases = append(leases, lease.New(tables[i], "capacity", fmt.Sprint("holder-", i), term))
		ends = append(ends, leases[i].Run(ctx))
	}
	var fault error
	highest := uint64(0)
	watch := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end) && fault == nil; time.Sleep(100 * time.Millisecond) {
			acting := 0
			for _, l := range leases {
				if n, ok := l.Valid(); ok {
					acting++
					if n < highest {
						fault = fmt.Errorf("number %d may act after %d", n, highest)
					}
					highest = max(highest, n)
				}
			}
			if acting > 1 {
				fault = fmt.Errorf("%d holders may act", acting)
			}
		}
	}
	for _, e := range events {
		switch e.kind {
		case 1:
			tables[e.who].until.Store(time.Now().Add(e.wait).UnixNano())
		case 2:
			table.Set(e.fault)
		case 3:
			table.Set(fake.Up)
		}
		watch(e.wait / 2)
	}
	table.Set(fake.Up)
	watch(5 * term)
	if highest == 0 && fault == nil {
		fault = fmt.Errorf("nobody held the lease")
	}
	cancel()
	for _, end := range ends {
		<-end
	}
	return fault
}

// TestHolderFallsSilent takes the table away from a holder, which has to find out by its own clock.
func TestHolderFallsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		l := lease.New(table, "capacity", "a", term)
		l.Step(t.Context())
		if n, ok := l.Valid(); !ok || n != 1 {
			t.Fatalf("number %d, valid %v", n, ok)
		}
		table.Set(fake.Down)
		time.Sleep(term)
		l.Step(t.Context())
		if _, ok := l.Valid(); ok {
			t.Error("it may act a term after its last renewal")
		}
	})
}

func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		a, b := lease.New(table, "capacity", "a", term), lease.New(table, "capacity", "b", term)
		a.Step(t.Context())
		start := time.Now()
		for {
			b.Step(t.Context())
			if n, ok := b.Valid(); ok {
				t.Logf("measure=takeover number=%d after=%v term=%v", n, time.Since(start), term)
				if n != 2 || time.Since(start) < term {
					t.Errorf("number %d after %v", n, time.Since(start))
				}
				return
			}
			time.Sleep(time.Second)
		}
	})
}
