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

// pausableTable is one candidate's access to the table; a pause delays its calls, as a pause of its VM would.
type pausableTable struct {
	store.Table
	pausedUntil atomic.Int64 // Unix time in nanoseconds
}

func (p *pausableTable) wait() { time.Sleep(time.Until(time.Unix(0, p.pausedUntil.Load()))) }

// Get reads a row after the pause.
func (p *pausableTable) Get(ctx context.Context, key string) (store.Row, error) {
	p.wait()
	return p.Table.Get(ctx, key)
}

// Commit writes after the pause.
func (p *pausableTable) Commit(ctx context.Context, changes ...store.Change) error {
	p.wait()
	return p.Table.Commit(ctx, changes...)
}

// event is one step of a random schedule.
type event struct {
	kind      int           // 0: wait; 1: pause a candidate; 2: start a table fault; 3: end the table fault
	candidate int           // index of the candidate to pause
	wait      time.Duration // length of the pause; half of it passes before the next event
	fault     string
}

// TestOneHolder subjects three candidates to pauses and table faults, and checks every 100 ms that at most
// one may act and that fencing tokens never decrease.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{
				kind: rapid.IntRange(0, 3).Draw(rt, "kind"), candidate: rapid.IntRange(0, 2).Draw(rt, "candidate"),
				wait: time.Duration(rapid.IntRange(0, 25_000).Draw(rt, "wait")) * time.Millisecond,
				fault: rapid.SampledFrom([]string{
					fake.Down, fake.LoseReplies, fake.LoseCalls, fake.LateWrites, fake.Slow,
				}).Draw(rt, "fault"),
			}
		}), 1, 20).Draw(rt, "events")
		var fault error
		synctest.Test(t, func(*testing.T) { fault = runCandidates(events) })
		if fault != nil {
			rt.Fatal(fault)
		}
	})
}

func runCandidates(events []event) error {
	table := fake.NewTable()
	ctx, cancel := context.WithCancel(context.Background())
	var leases []*lease.Lease
	var tables []*pausableTable
	var stopped []<-chan error
	for i := range 3 {
		tables = append(tables, &pausableTable{Table: table})
		leases = append(leases, lease.New(tables[i], "capacity", fmt.Sprint("holder-", i), term))
		stopped = append(stopped, leases[i].Run(ctx))
	}
	var fault error
	highest := uint64(0)
	watch := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end) && fault == nil; time.Sleep(100 * time.Millisecond) {
			valid := 0
			for _, l := range leases {
				if n, ok := l.Valid(); ok {
					valid++
					if n < highest {
						fault = fmt.Errorf("fencing token %d is valid after %d", n, highest)
					}
					highest = max(highest, n)
				}
			}
			if valid > 1 {
				fault = fmt.Errorf("%d candidates hold a valid lease", valid)
			}
		}
	}
	for _, e := range events {
		switch e.kind {
		case 1:
			tables[e.candidate].pausedUntil.Store(time.Now().Add(e.wait).UnixNano())
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
		fault = fmt.Errorf("no candidate acquired the lease")
	}
	cancel()
	for _, done := range stopped {
		<-done
	}
	return fault
}

// TestHolderStopsWithoutRenewal makes the table unavailable to a holder, whose lease has to expire by its own clock.
func TestHolderStopsWithoutRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		l := lease.New(table, "capacity", "a", term)
		l.Step(t.Context())
		if n, ok := l.Valid(); !ok || n != 1 {
			t.Fatalf("fencing token %d, valid %v; want 1, valid", n, ok)
		}
		table.Set(fake.Down)
		time.Sleep(term)
		l.Step(t.Context())
		if _, ok := l.Valid(); ok {
			t.Error("the lease is still valid a full term after its last renewal")
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
					t.Errorf("fencing token %d after %v, want 2 after at least a full term", n, time.Since(start))
				}
				return
			}
			time.Sleep(time.Second)
		}
	})
}

// TestUnreadableLeaseIsTakenOver guards against a row that another program has overwritten, after which nobody held the lease any more.
func TestUnreadableLeaseIsTakenOver(t *testing.T) {
	for _, text := range []string{"", "[]", `{"number":"x"}`, `{"number":-1}`, "\xff"} {
		synctest.Test(t, func(t *testing.T) {
			table := fake.NewTable()
			l := lease.New(table, "capacity", "holder", term)
			l.Step(t.Context())
			before, _ := l.Valid()
			row, err := table.Get(t.Context(), "lease/capacity")
			if err != nil {
				t.Fatal(err)
			}
			if err := table.Commit(t.Context(), store.Change{Key: row.Key, Value: []byte(text), Version: row.Version}); err != nil {
				t.Fatal(err)
			}
			for range 2 {
				l.Step(t.Context())
				if _, isHeld := l.Valid(); isHeld {
					t.Errorf("%q: the lease is held within a term", text)
				}
				time.Sleep(term / 2)
			}
			l.Step(t.Context())
			if token, isHeld := l.Valid(); !isHeld || token <= before {
				t.Errorf("%q: token %d after a term, want one above %d", text, token, before)
			}
		})
	}
}

// TestIneligibleHolderLetsGo checks that a candidate which can't do the duty neither acts, nor keeps the lease from others,
// nor takes it over.
func TestIneligibleHolderLetsGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		a, b := lease.New(table, "capacity", "a", term), lease.New(table, "capacity", "b", term)
		var isEligible atomic.Bool
		a.SetEligible(isEligible.Load)
		a.Step(t.Context())
		if _, ok := a.Valid(); ok {
			t.Fatal("a candidate takes the lease that is not eligible")
		}
		isEligible.Store(true)
		a.Step(t.Context())
		if _, ok := a.Valid(); !ok {
			t.Fatal("the candidate does not take the lease when it is eligible")
		}
		isEligible.Store(false)
		if _, ok := a.Valid(); ok {
			t.Error("the holder acts while it is not eligible")
		}
		for range 2 * int(term/time.Second) {
			a.Step(t.Context())
			b.Step(t.Context())
			time.Sleep(time.Second)
		}
		if n, ok := b.Valid(); !ok || n != 2 {
			t.Errorf("fencing token %d, valid %v of the other candidate; want 2, valid", n, ok)
		}
		isEligible.Store(true)
		if _, ok := a.Valid(); ok {
			t.Error("the earlier holder acts beside the present one")
		}
	})
}

// countingTable counts the reads of a table.
type countingTable struct {
	store.Table
	reads atomic.Int64
}

// Get counts and reads.
func (c *countingTable) Get(ctx context.Context, key string) (store.Row, error) {
	c.reads.Add(1)
	return c.Table.Get(ctx, key)
}

// TestStandbyLeavesPollingToOthers guards against polls by all of many candidates in the seconds in which none is known to hold
// the lease, and against candidates that never return from standby.
func TestStandbyLeavesPollingToOthers(t *testing.T) {
	for _, isHolderActive := range []bool{false, true} {
		t.Run(fmt.Sprint("a holder is active: ", isHolderActive), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &countingTable{Table: fake.NewTable()}
				holder := lease.New(table, "capacity", "holder", term)
				holder.Step(t.Context())
				l := lease.New(table, "capacity", "b", term)
				var isStandby atomic.Bool
				isStandby.Store(true)
				l.SetStandby(isStandby.Load)
				l.SetHolderActive(func() bool { return isHolderActive })
				table.reads.Store(0)
				ctx, cancel := context.WithCancel(t.Context())
				ended := l.Run(ctx)
				time.Sleep(3 * term)
				if n := table.reads.Load(); n > 1 {
					t.Errorf("on standby it has read %d times, want once at its start", n)
				}
				isStandby.Store(false)
				time.Sleep(3 * term)
				if _, ok := l.Valid(); !ok {
					t.Error("it has not taken over the lapsed lease within three terms after its standby")
				}
				cancel()
				<-ended
			})
		})
	}
}
