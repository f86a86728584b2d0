package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"rhubarbspread/core/store"
)

// Parts of a term.
const (
	stopPart  = 0.6  // of the term after the sending of the last renewal that a holder may still act
	renewPart = 0.2  // of the term between renewals, and between a contender's looks
	calmLooks = 10   // looks of which a contender makes one while another holder is known to be at work
	callPart  = 0.15 // of the term that one call of the table may take
)

// row is the lease's row; a change of any member is a sign of life.
type row struct {
	Holder string `json:"holder"`
	Number uint64 `json:"number"`
	Beat   uint64 `json:"beat"`
}

// Lease is one contender's view of a lease. All times are of its own monotonic clock; no two VMs' clocks
// are ever compared.
type Lease struct {
	table  store.Table
	key    string
	holder string
	term   time.Duration
	calm   func() bool // another holder is known to be at work

	mu      sync.Mutex
	number  uint64    // of this holder's lease, or zero
	sentAt  time.Time // of the last renewal that is known to have succeeded
	tookAt  time.Time
	seen    row
	version uint64    // of the row as seen
	seenAt  time.Time // when the row was first seen as it is
}

// New returns a contender for a lease; no two contenders, and no two lives of one, may share a holder's name.
func New(table store.Table, name, holder string, term time.Duration) *Lease {
	return &Lease{table: table, key: "lease/" + name, holder: holder, term: term, calm: func() bool { return false }}
}

// SetCalm sets what tells that another holder is known to be at work, so that this contender may look rarely. It
// changes when a contender looks, never when it may take over.
func (l *Lease) SetCalm(f func() bool) { l.calm = f }

// Term returns the lease's term.
func (l *Lease) Term() time.Duration { return l.term }

// Valid returns the fencing number, and whether the holder may act now. It is asked right before each
// order; a holder that could not renew in time finds out by itself and falls silent.
func (l *Lease) Valid() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Duration(float64(l.term) * stopPart)
	return l.number, l.number > 0 && time.Since(l.sentAt) < limit
}

// HeldFor returns how long this holder has had the lease, or zero.
func (l *Lease) HeldFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.number == 0 {
		return 0
	}
	return time.Since(l.tookAt)
}

// Run renews the lease or contends for it until the context ends.
func (l *Lease) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			l.Step(ctx)
			if !l.rest(ctx) {
				ended <- nil
				return
			}
		}
	}()
	return ended
}

// rest waits until the next look and reports whether there is one.
func (l *Lease) rest(ctx context.Context) bool {
	pause := time.Duration(float64(l.term) * renewPart)
	for range calmLooks {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return false
		}
		if _, held := l.Valid(); held || !l.calm() {
			return true
		}
	}
	return true
}

// Step makes one look at the row, and renews the lease or takes it over where it may.
func (l *Lease) Step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(l.term)*callPart))
	defer cancel()
	asked := time.Now()
	r, err := l.table.Get(ctx, l.key)
	if err != nil {
		return
	}
	var current row
	if r.Version > 0 && json.Unmarshal(r.Value, &current) != nil {
		return
	}
	if current.Holder == l.holder && l.isMine(current) {
		l.renew(ctx, r, current)
		return
	}
	if l.mayTake(r, current, asked) {
		l.take(ctx, r, current)
	}
}

// isMine reports whether the row shows this life's lease; one of an earlier life is anybody's.
func (l *Lease) isMine(current row) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.number > 0 && current.Number == l.number
}

// mayTake reports whether the row has stood unchanged for a full term under this contender's eyes.
func (l *Lease) mayTake(r store.Row, current row, asked time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number = 0
	if r.Version == 0 {
		return true
	}
	if l.seenAt.IsZero() || current != l.seen || r.Version != l.version {
		l.seen, l.version = current, r.Version
		// The row may have changed up to the moment of the answer.
		l.seenAt = time.Now()
		return false
	}
	return asked.Sub(l.seenAt) >= l.term
}

func (l *Lease) renew(ctx context.Context, r store.Row, current row) {
	current.Beat++
	l.write(ctx, r, current)
}

func (l *Lease) take(ctx context.Context, r store.Row, current row) {
	l.write(ctx, r, row{Holder: l.holder, Number: current.Number + 1, Beat: current.Beat + 1})
}

// write commits the row and settles a lost answer by reading it. The term counts from before the sending.
func (l *Lease) write(ctx context.Context, r store.Row, next row) {
	sent := time.Now()
	raw, err := json.Marshal(next)
	if err != nil {
		return
	}
	err = l.table.Commit(ctx, store.Change{Key: l.key, Value: raw, Version: r.Version})
	if err != nil && !l.wasWritten(ctx, next) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.number != next.Number {
		l.number = next.Number
		l.tookAt = time.Now()
	}
	l.sentAt = sent
}

func (l *Lease) wasWritten(ctx context.Context, next row) bool {
	r, err := l.table.Get(ctx, l.key)
	var current row
	return err == nil && r.Version > 0 && json.Unmarshal(r.Value, &current) == nil && current == next
}
