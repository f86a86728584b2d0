package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"rhubarbspread/core/store"
)

// Timing of a lease; the fractions are of its term.
const (
	validFraction  = 0.6  // from the sending of the last successful renewal, during which the holder may act
	pollFraction   = 0.2  // between renewals, and between a candidate's polls of the row
	idlePollFactor = 10   // by which a candidate lengthens its poll interval while another holder is known to be active
	callFraction   = 0.15 // timeout of one poll or renewal with all its table calls
)

// row is the stored lease; a change of any field shows that a holder is alive.
type row struct {
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"number"`
	Heartbeat    uint64 `json:"beat"`
}

// Lease is one candidate's view of a lease. All times are read from its own monotonic clock; clocks of
// different VMs are never compared.
type Lease struct {
	table        store.Table
	key          string
	holder       string
	term         time.Duration
	holderActive func() bool // whether another holder is known to be active
	isStandby    func() bool // whether other candidates poll in place of this one
	isEligible   func() bool // whether this candidate can do what the holder must do

	mu            sync.Mutex
	fencingToken  uint64    // of this holder's lease, or zero
	renewalSentAt time.Time // when the last successful renewal was sent
	acquiredAt    time.Time
	lastRow       row       // as last read from the table
	lastVersion   uint64    // version of lastRow
	lastChangeAt  time.Time // when lastRow was first read
}

// New returns a candidate for a lease. Holder names must be unique among candidates and across restarts
// of one candidate.
func New(table store.Table, name, holder string, term time.Duration) *Lease {
	return &Lease{table: table, key: "lease/" + name, holder: holder, term: term,
		holderActive: func() bool { return false }, isStandby: func() bool { return false }, isEligible: func() bool { return true }}
}

// SetHolderActive sets the function that reports whether another holder is known to be active, in which case this
// candidate polls less often. It does not change when the candidate may take over.
func (l *Lease) SetHolderActive(f func() bool) { l.holderActive = f }

// SetStandby sets the function that reports whether other candidates poll in place of this one, which then leaves it to them
// unless it holds the lease.
func (l *Lease) SetStandby(f func() bool) { l.isStandby = f }

// SetEligible sets the function that reports whether this candidate can do what the holder must do. While it can't, it does
// not act, lets its lease lapse and takes over none.
func (l *Lease) SetEligible(f func() bool) { l.isEligible = f }

// Term returns the lease's term.
func (l *Lease) Term() time.Duration { return l.term }

// Valid returns the fencing token, and whether the holder may act now. Call it right before each order: a
// holder that could not renew in time must stop by its own clock.
func (l *Lease) Valid() (uint64, bool) {
	isEligible := l.isEligible()
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Duration(float64(l.term) * validFraction)
	return l.fencingToken, isEligible && l.fencingToken > 0 && time.Since(l.renewalSentAt) < limit
}

// HeldFor returns how long this holder has held the lease, or zero if it does not hold it.
func (l *Lease) HeldFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fencingToken == 0 {
		return 0
	}
	return time.Since(l.acquiredAt)
}

// Run renews the lease or contends for it until the context ends.
func (l *Lease) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			l.Step(ctx)
			if !l.waitForPoll(ctx) {
				ended <- nil
				return
			}
		}
	}()
	return ended
}

// waitForPoll waits until the next poll is due; it returns false if the context ended.
func (l *Lease) waitForPoll(ctx context.Context) bool {
	interval := time.Duration(float64(l.term) * pollFraction)
	for i := 0; i < idlePollFactor || l.leavesPolling(); i++ {
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return false
		}
		if _, held := l.Valid(); held || !l.holderActive() && !l.isStandby() {
			return true
		}
	}
	return true
}

// leavesPolling reports whether this candidate leaves polling to others for now.
func (l *Lease) leavesPolling() bool {
	_, held := l.Valid()
	return !held && l.isStandby()
}

// Step polls the row once, and renews the lease or takes it over if it may.
func (l *Lease) Step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(l.term)*callFraction))
	defer cancel()
	readStart := time.Now()
	r, err := l.table.Get(ctx, l.key)
	if err != nil {
		return
	}
	var current row
	if r.Version > 0 && json.Unmarshal(r.Value, &current) != nil {
		// Another program wrote it. Each fencing token was a write of the row, so that its version is no lower.
		current = row{FencingToken: r.Version}
	}
	isEligible := l.isEligible()
	if current.Holder == l.holder && l.isOwn(current) {
		if isEligible {
			l.renew(ctx, r, current)
		}
		return
	}
	if l.mayTakeOver(r, current, readStart) && isEligible {
		l.takeOver(ctx, r, current)
	}
}

// isOwn reports whether the row is this process's lease; that of an earlier incarnation may be taken by anyone.
func (l *Lease) isOwn(current row) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencingToken > 0 && current.FencingToken == l.fencingToken
}

// mayTakeOver reports whether this candidate has seen the row unchanged for a full term.
func (l *Lease) mayTakeOver(r store.Row, current row, readStart time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fencingToken = 0
	if r.Version == 0 {
		return true
	}
	if l.lastChangeAt.IsZero() || current != l.lastRow || r.Version != l.lastVersion {
		l.lastRow, l.lastVersion = current, r.Version
		// The row may have changed at any time up to the reply.
		l.lastChangeAt = time.Now()
		return false
	}
	return readStart.Sub(l.lastChangeAt) >= l.term
}

func (l *Lease) renew(ctx context.Context, r store.Row, current row) {
	current.Heartbeat++
	l.write(ctx, r, current)
}

func (l *Lease) takeOver(ctx context.Context, r store.Row, current row) {
	l.write(ctx, r, row{Holder: l.holder, FencingToken: current.FencingToken + 1, Heartbeat: current.Heartbeat + 1})
}

// write commits the row; if the reply is lost, it reads the row back to learn the outcome. The term counts
// from before the call is sent.
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
	if l.fencingToken != next.FencingToken {
		l.fencingToken = next.FencingToken
		l.acquiredAt = time.Now()
	}
	l.renewalSentAt = sent
}

func (l *Lease) wasWritten(ctx context.Context, next row) bool {
	r, err := l.table.Get(ctx, l.key)
	var current row
	return err == nil && r.Version > 0 && json.Unmarshal(r.Value, &current) == nil && current == next
}
