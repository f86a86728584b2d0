package retry

import (
	"sync"
	"time"
)

// advance is the number of retries that an account may spend before its first attempts have earned them.
const advance = 3.0

// ceiling bounds the retries that a long time without failures saves up.
const ceiling = 100.0

// Budget allows retries as a share of first attempts.
type Budget struct {
	mu       sync.Mutex
	share    float64
	accounts map[accountKey]*account
}

type accountKey struct{ team, target string }

type account struct {
	balance float64
	debt    float64 // what remains of the advance
}

// NewBudget returns a budget of a share of first attempts, such as 0.1.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, accounts: make(map[accountKey]*account)}
}

// SetShare changes the share.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// First notes a first attempt, which earns a share of a retry.
func (b *Budget) First(team, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team, target)
	earned := b.share
	repaid := min(a.debt, earned)
	a.debt -= repaid
	a.balance = min(ceiling, a.balance+earned-repaid)
}

// Take spends one retry and reports whether there was one to spend.
func (b *Budget) Take(team, target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team, target)
	if a.balance < 1 {
		return false
	}
	a.balance--
	return true
}

func (b *Budget) account(team, target string) *account {
	key := accountKey{team, target}
	a := b.accounts[key]
	if a == nil {
		a = &account{balance: advance, debt: advance}
		b.accounts[key] = a
	}
	return a
}

// Constants of the backoff between attempts.
const (
	backoffBase  = 10 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
)

// Backoff returns the wait before retry n, counted from 1; random is uniform in [0, 1).
func Backoff(n int, random float64) time.Duration {
	d := min(backoffBase<<min(n-1, 10), backoffLimit)
	return time.Duration(float64(d) * (0.5 + random/2))
}
