package quota

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

const mib = 1 << 20

// testAccount is an account whose owner closes it once it is evicted.
func testAccount(b *Budget) *Account {
	var a *Account
	a = b.Open(func() { a.Close() })
	return a
}

// TestStalledAccountsLoseFirst guards against an order by arrival: accounts that stopped first or hold most lose before others
// that still receive, and those that are served never lose.
func TestStalledAccountsLoseFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := new(Budget)
		b.SetLimit(8 * mib)
		names := []string{"served", "small", "long", "short", "receiving"}
		accounts := map[string]*Account{}
		for _, name := range names {
			accounts[name] = testAccount(b)
			if err := accounts[name].Charge(map[string]int64{"small": 1 << 10}[name] + mib); err != nil {
				t.Fatal(err)
			}
			accounts[name].Return(map[string]int64{"small": mib}[name])
			time.Sleep(10 * time.Millisecond)
		}
		if !accounts["served"].Serve() {
			t.Fatal("not served")
		}
		time.Sleep(2 * stallTime)
		accounts["receiving"].Received(progressBytes)
		late := testAccount(b)
		for i, step := range []struct {
			bytes int64
			lost  []string
		}{
			{5 * mib / 2, nil}, {mib, []string{"long"}}, {mib, []string{"long", "short"}},
		} {
			if err := late.Charge(step.bytes); err != nil {
				t.Fatal(i, err)
			}
			lost := map[string]bool{}
			for _, name := range step.lost {
				lost[name] = true
			}
			for _, name := range names {
				accounts[name].budget.mu.Lock()
				if got := accounts[name].state == closed; got != lost[name] {
					t.Errorf("step %d: %s lost its bytes: %v, want %v", i, name, got, lost[name])
				}
				accounts[name].budget.mu.Unlock()
			}
		}
	})
}

// TestSingleBytesAreNoProgress guards against callers that keep large bodies by sending a byte now and then.
func TestSingleBytesAreNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := new(Budget)
		b.SetLimit(8 * mib)
		slow := testAccount(b)
		if err := slow.Charge(6 * mib); err != nil {
			t.Fatal(err)
		}
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			slow.Received(1)
		}
		if err := testAccount(b).Charge(2 * mib); err != nil {
			t.Error(err)
		}
		if b.Evicted() != 1 || b.Used() != 2*mib {
			t.Errorf("%d evicted, %d bytes used", b.Evicted(), b.Used())
		}
	})
}

// TestChargeInVainEndsSoon guards against requests that wait without bound for bytes that nobody returns, and against small
// ones that wait for large ones.
func TestChargeInVainEndsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := new(Budget)
		b.SetLimit(8 * mib)
		large := testAccount(b)
		if err := large.Charge(7 * mib); err != nil {
			t.Fatal(err)
		}
		large.Serve()
		start := time.Now()
		if err := testAccount(b).Charge(mib); !errors.Is(err, ErrShort) || time.Since(start) != maxWait {
			t.Errorf("error %v after %v, want %v after %v", err, time.Since(start), ErrShort, maxWait)
		}
		start = time.Now()
		if err := testAccount(b).Charge(smallBytes); err != nil || time.Since(start) > 0 {
			t.Errorf("a small request: error %v after %v", err, time.Since(start))
		}
		time.AfterFunc(stallTime, large.Close)
		if err := testAccount(b).Charge(7 * mib); err != nil {
			t.Errorf("after bytes were returned: %v", err)
		}
	})
}

// TestBytesComeBack guards against leaks: whatever the way out, nothing stays charged.
func TestBytesComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := new(Budget)
		b.SetLimit(4 * mib)
		ended := make(chan struct{})
		const count = 200
		for i := range count {
			go func() {
				defer func() { ended <- struct{}{} }()
				defer func() { _ = recover() }()
				a := b.Open(func() {})
				defer a.Close()
				for size := int64(4 << 10); size <= mib; size *= 2 {
					if a.Charge(size) != nil {
						return
					}
					if i%5 == 0 {
						panic("abort")
					}
					a.Return(size / 2)
					a.Received(int(size))
					time.Sleep(time.Duration(i%7) * stallTime / 3)
				}
				a.Serve()
				a.Close()
			}()
		}
		for range count {
			<-ended
		}
		late := b.Open(func() {})
		late.Close()
		if late.Charge(1) == nil {
			t.Error("a closed account takes bytes")
		}
		if b.Used() != 0 || b.leaving != 0 || len(b.accounts) != 0 {
			t.Errorf("%d bytes used, %d leaving, %d accounts; want none", b.Used(), b.leaving, len(b.accounts))
		}
	})
}

// TestOneRequestAtTheDefaultLimit guards against a limit below what a single body of 4 MiB takes while its buffer grows.
func TestOneRequestAtTheDefaultLimit(t *testing.T) {
	b := new(Budget)
	a := testAccount(b)
	defer a.Close()
	for size := int64(4 << 10); size <= 4*mib; size *= 2 {
		if err := a.Charge(size); err != nil {
			t.Fatal(size, err)
		}
		a.Return(size / 2)
	}
}
