package fake

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"rhubarbspread/core/store"
)

// Faults of the platform's stores.
const (
	Down        = "down"         // every call fails, and nothing is written
	LoseReplies = "lose-replies" // writes take effect, but their answers are lost
	LoseCalls   = "lose-calls"   // writes do not take effect, and no answer comes
	LateWrites  = "late-writes"  // writes take effect lateWriteDelay after their answers are reported lost
	Up          = "up"           // ends all of these, and slow
)

const (
	slowCallDelay  = 300 * time.Millisecond
	lateWriteDelay = 400 * time.Millisecond
	rateWindow     = 100 * time.Millisecond
)

// Table is a fake of the platform's table service and its object store.
type Table struct {
	mu           sync.Mutex
	rows         map[string]store.Row
	objects      map[string][]byte
	faults       map[string]bool
	maxWriteRate int // writes per second, or zero for no limit
	windowStart  time.Time
	windowWrites int // in the window that began at windowStart
	writes       int
	reads        int
}

// NewTable returns an empty table without a write limit.
func NewTable() *Table {
	return &Table{rows: make(map[string]store.Row), objects: make(map[string][]byte), faults: make(map[string]bool)}
}

// SetWriteLimit sets the maximum number of transactions per second; those over it wait.
func (t *Table) SetWriteLimit(perSecond int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxWriteRate = perSecond
}

// Set injects or ends a fault, and reports whether the table supports this kind.
func (t *Table) Set(kind string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch kind {
	case Up, Restore, Heal:
		clear(t.faults)
	case Down, Slow, LoseReplies, LoseCalls, LateWrites:
		t.faults[kind] = true
	case Cut:
		t.faults[Down] = true
	default:
		return false
	}
	return true
}

// Faults returns the active faults.
func (t *Table) Faults() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for kind := range t.faults {
		out = append(out, kind)
	}
	slices.Sort(out)
	return out
}

// Counts returns the transactions and reads served so far.
func (t *Table) Counts() (writes, reads int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes, t.reads
}

func (t *Table) has(kind string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults[kind]
}

// applyFaults delays a call while the table is slow, and fails it while the table is down.
func (t *Table) applyFaults(ctx context.Context) error {
	if t.has(Slow) {
		if err := sleep(ctx, slowCallDelay); err != nil {
			return store.NewError(store.Uncertain, err.Error())
		}
	}
	if t.has(Down) {
		return store.NewError(store.NotSent, "the table is down")
	}
	return nil
}

// Get returns a row.
func (t *Table) Get(ctx context.Context, key string) (store.Row, error) {
	if err := t.applyFaults(ctx); err != nil {
		return store.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	r := t.rows[key]
	r.Key = key
	return r, nil
}

// Commit makes all changes or none.
func (t *Table) Commit(ctx context.Context, changes ...store.Change) error {
	if err := t.applyFaults(ctx); err != nil {
		return err
	}
	if err := t.waitForRate(ctx); err != nil {
		return err
	}
	switch {
	case t.has(LoseCalls):
		return store.NewError(store.Uncertain, "no answer")
	case t.has(LateWrites):
		time.AfterFunc(lateWriteDelay, func() { _ = t.apply(changes) })
		return store.NewError(store.Uncertain, "no answer")
	}
	err := t.apply(changes)
	if t.has(LoseReplies) {
		return store.NewError(store.Uncertain, "no answer")
	}
	return err
}

// waitForRate delays a transaction while the write limit is reached.
func (t *Table) waitForRate(ctx context.Context) error {
	for !t.reserveWrite() {
		if err := sleep(ctx, rateWindow/10); err != nil {
			return store.NewError(store.NotSent, "throttled: "+err.Error())
		}
	}
	return nil
}

// reserveWrite counts a write in the current window, and returns false if the window is full.
func (t *Table) reserveWrite() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.maxWriteRate == 0 {
		return true
	}
	if now := time.Now(); now.Sub(t.windowStart) >= rateWindow {
		t.windowStart = now
		t.windowWrites = 0
	}
	if t.windowWrites >= max(1, t.maxWriteRate*int(rateWindow/time.Millisecond)/1000) {
		return false
	}
	t.windowWrites++
	return true
}

func (t *Table) apply(changes []store.Change) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	for _, c := range changes {
		if t.rows[c.Key].Version != c.Version {
			return store.NewError(store.Conflict, c.Key)
		}
	}
	for _, c := range changes {
		if c.Value != nil {
			t.rows[c.Key] = store.Row{Key: c.Key, Value: slices.Clone(c.Value), Version: c.Version + 1}
		}
	}
	return nil
}

// Scan returns rows in key order.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := t.applyFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var out []store.Row
	for key, r := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(limit, len(out))], nil
}

// Put stores an object.
func (t *Table) Put(ctx context.Context, name string, data []byte) error {
	if err := t.applyFaults(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.objects[name] = slices.Clone(data)
	return nil
}

// Read returns an object.
func (t *Table) Read(ctx context.Context, name string) ([]byte, error) {
	if err := t.applyFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	data, ok := t.objects[name]
	if !ok {
		return nil, store.NewError(store.Missing, name)
	}
	return slices.Clone(data), nil
}

// LoseObject removes an object, as if the object store had lost it.
func (t *Table) LoseObject(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.objects, name)
}
