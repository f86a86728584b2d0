package retry

import (
	"sync"
	"time"
)

// targetInitialRetries is how many retries all teams of a target together may make before first attempts have
// earned any.
const targetInitialRetries = 8.0

// teamInitialRetries is the same for one team.
const teamInitialRetries = 4.0

// maxSavedRetries bounds the retries that accumulate while nothing fails.
const maxSavedRetries = 100.0

// Budget is a token bucket of retries per team and target, refilled by a share of the first attempts.
type Budget struct {
	mu      sync.Mutex
	share   float64
	buckets map[bucketKey]*bucket
}

type bucketKey struct{ team, target string }

type bucket struct {
	balance  float64
	unearned float64 // initial retries that first attempts have not earned back
}

// NewBudget returns a budget that earns a share of a retry, such as 0.1, with each first attempt.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, buckets: make(map[bucketKey]*bucket)}
}

// SetShare changes the share of a retry that a first attempt earns.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// RecordFirstAttempt records a first attempt, which earns its team and the target a share of a retry.
func (b *Budget) RecordFirstAttempt(team, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(team, target).earn(b.share)
	b.bucket(allTeams, target).earn(b.share)
}

// allTeams is the key of the bucket that bounds the retries of all teams at a target.
const allTeams = ""

// Take spends one retry and reports whether both the target's and the team's bucket held one. A team starts with a
// few retries, so that a team with little traffic can retry at all; they count against the target's bucket too.
func (b *Budget) Take(team, target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	teamBucket, targetBucket := b.bucket(team, target), b.bucket(allTeams, target)
	if teamBucket.balance < 1 || targetBucket.balance < 1 {
		return false
	}
	teamBucket.balance--
	targetBucket.balance--
	return true
}

func (bk *bucket) earn(share float64) {
	repaid := min(bk.unearned, share)
	bk.unearned -= repaid
	bk.balance = min(maxSavedRetries, bk.balance+share-repaid)
}

func (b *Budget) bucket(team, target string) *bucket {
	key := bucketKey{team, target}
	bk := b.buckets[key]
	if bk == nil {
		initial := teamInitialRetries
		if team == allTeams {
			initial = targetInitialRetries
		}
		bk = &bucket{balance: initial, unearned: initial}
		b.buckets[key] = bk
	}
	return bk
}

// Bounds of the backoff before jitter.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Backoff returns the jittered delay before retry n, counted from 1; random is uniform in [0, 1).
func Backoff(n int, random float64) time.Duration {
	backoff := min(minBackoff<<min(n-1, 10), maxBackoff)
	return time.Duration(float64(backoff) * (0.5 + random/2))
}
