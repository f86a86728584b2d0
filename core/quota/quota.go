package quota

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// Limits and times of a budget.
const (
	// DefaultLimit holds where no limit is set, in bytes: three bodies of 4 MiB while they grow.
	DefaultLimit = 18 << 20
	// stallTime is without progress before a request may lose its bytes to another one. It is longer than the pauses of a
	// caller who sends over a link between data centres.
	stallTime = 250 * time.Millisecond
	// progressBytes is what a request has to receive to have made progress: a caller that sends single bytes makes none.
	progressBytes = 4 << 10
	// maxWait is how long a request waits for bytes. It is longer than stallTime, so that requests which stopped just before
	// lose theirs in that time.
	maxWait = 2 * stallTime
	// pollInterval is between looks for requests that have stalled meanwhile.
	pollInterval = 25 * time.Millisecond
	// smallBytes is the size up to which a request may use the whole limit. Larger ones leave a part of it, so that small
	// requests don't wait for them.
	smallBytes = 64 << 10
	// smallShare is the divisor of the limit that gives the part that larger requests leave.
	smallShare = 8
)

// ErrShort is returned by Charge where the budget has not enough bytes.
var ErrShort = errors.New("the bytes for callers' requests are used up")

// ErrEvicted is returned by Charge to an account that has lost its bytes to another one or is closed.
var ErrEvicted = errors.New("the request made no progress and its bytes were needed")

// Budget is a limit on the bytes of all accounts together. The zero value has DefaultLimit. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limit    int64 // 0 for DefaultLimit
	used     int64
	leaving  int64 // the part of used that evicted accounts still hold
	accounts map[*Account]struct{}
	freed    chan struct{} // closed when bytes are returned, or nil if nobody waits
	evicted  int64         // accounts so far
}

// SetLimit sets the limit in bytes. What is held beyond a smaller one stays held.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.wake()
}

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limitLocked()
}

func (b *Budget) limitLocked() int64 {
	if b.limit <= 0 {
		return DefaultLimit
	}
	return b.limit
}

// Used returns the bytes held by all accounts.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Evicted returns how many accounts have lost their bytes so far.
func (b *Budget) Evicted() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evicted
}

// Account holds the bytes of one request. Its owner is one goroutine at a time, and closes it whatever becomes of the request.
type Account struct {
	budget *Budget
	evict  func()
	recent int64 // received since the last progress; used by the owner alone

	// Guarded by budget.mu.
	held       int64
	progressAt time.Time
	state      state
	waits      bool // in Charge
}

// state is the state of an account.
type state int

const (
	receiving state = iota // the request still arrives
	served                 // it has arrived, and keeps its bytes until it is closed
	evicted
	closed
)

// Open returns the account of a request that begins to arrive. evict is called, at most once and from any goroutine, when the
// account loses its bytes; it must not block, and makes the owner close the account soon.
func (b *Budget) Open(evict func()) *Account {
	a := &Account{budget: b, evict: evict, progressAt: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.accounts == nil {
		b.accounts = make(map[*Account]struct{})
	}
	b.accounts[a] = struct{}{}
	return a
}

// Charge takes n more bytes. If they aren't free, it takes them from accounts that have stalled, and waits for a bounded time. Its
// error is ErrShort or ErrEvicted.
func (a *Account) Charge(n int64) error {
	deadline := time.Now().Add(maxWait)
	for {
		freed, victims, err := a.tryCharge(n)
		for _, v := range victims {
			v.evict()
		}
		if err != nil || freed == nil {
			return err
		}
		left := time.Until(deadline)
		if left <= 0 {
			return a.stopWaiting()
		}
		timer := time.NewTimer(min(left, pollInterval))
		select {
		case <-freed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryCharge takes n bytes if they are free. Otherwise it returns a channel that is closed when bytes are returned, and the
// accounts that lose theirs.
func (a *Account) tryCharge(n int64) (<-chan struct{}, []*Account, error) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limitLocked()
	if a.held+n > smallBytes {
		limit -= limit / smallShare
	}
	switch {
	case a.state == evicted || a.state == closed:
		return nil, nil, ErrEvicted
	case b.used+n <= limit:
		b.used += n
		a.held += n
		if a.waits { // the wait was not the caller's
			a.waits, a.progressAt = false, time.Now()
		}
		return nil, nil, nil
	case a.held+n > limit:
		a.waits = false
		return nil, nil, ErrShort
	}
	a.waits = true
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed, b.chooseVictims(b.used - b.leaving + n - limit), nil
}

// stopWaiting ends a wait in vain.
func (a *Account) stopWaiting() error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.waits = false
	return ErrShort
}

// chooseVictims marks as evicted, and returns, accounts that hold at least the needed bytes and have stalled: those with the
// most bytes for the longest time first. If all of them hold too little, it returns none. The caller holds the lock.
func (b *Budget) chooseVictims(needed int64) []*Account {
	if needed <= 0 {
		return nil // evicted accounts are about to return as much
	}
	now := time.Now()
	var stalled []*Account
	available := int64(0)
	for a := range b.accounts {
		if a.held > 0 && a.hasStalled(now) {
			stalled = append(stalled, a)
			available += a.held
		}
	}
	if available < needed {
		return nil
	}
	cost := func(a *Account) float64 { return float64(a.held) * now.Sub(a.progressAt).Seconds() }
	slices.SortFunc(stalled, func(x, y *Account) int {
		if cost(x) > cost(y) {
			return -1
		}
		return 1
	})
	for i, a := range stalled {
		a.state = evicted
		b.evicted++
		b.leaving += a.held
		if needed -= a.held; needed <= 0 {
			return stalled[:i+1]
		}
	}
	return stalled
}

// Received records that n bytes have arrived.
func (a *Account) Received(n int) {
	if a.recent += int64(n); a.recent < progressBytes {
		return
	}
	a.recent = 0
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.progressAt = time.Now()
}

// Return gives back n bytes.
func (a *Account) Return(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.returnLocked(n)
}

func (a *Account) returnLocked(n int64) {
	b := a.budget
	n = min(n, a.held)
	a.held -= n
	b.used -= n
	if a.state == evicted {
		b.leaving -= n
	}
	if n > 0 {
		b.wake()
	}
}

// wake wakes those that wait for bytes; the caller holds the lock.
func (b *Budget) wake() {
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// Serve records that the whole request has arrived, and reports whether the account still has its bytes. From then on it keeps
// them until it is closed.
func (a *Account) Serve() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.state == receiving {
		a.state = served
	}
	return a.state == served
}

// HasStalled reports whether the request still arrives and has made no progress for so long that it may lose its bytes.
func (a *Account) HasStalled() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.hasStalled(time.Now())
}

// hasStalled is HasStalled without the lock, which the caller holds.
func (a *Account) hasStalled(now time.Time) bool {
	return a.state == receiving && !a.waits && now.Sub(a.progressAt) >= stallTime
}

// IsEvicted reports whether the account has lost its bytes.
func (a *Account) IsEvicted() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.state == evicted
}

// Close returns all bytes; further calls do nothing.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.state == closed {
		return
	}
	a.returnLocked(a.held)
	a.state = closed
	delete(a.budget.accounts, a)
}
