package once

import (
	"context"
	"time"

	"rhubarbspread/core/store"
)

// Limits of one batch.
const (
	batchWindow    = 3 * time.Millisecond // that a write waits for others
	maxBatchWrites = 64
)

// Batcher is a table that combines single-row writes into shared transactions, since the platform limits the rate of
// transactions, not of rows. If a shared transaction fails on a condition, each of its writes is committed alone.
type Batcher struct {
	store.Table
	writes chan *pendingWrite
}

type pendingWrite struct {
	change store.Change
	done   chan error
}

// NewBatcher returns a batcher over a table; writes complete only while Run runs.
func NewBatcher(table store.Table) *Batcher {
	return &Batcher{Table: table, writes: make(chan *pendingWrite)}
}

// Commit applies all changes atomically, or none; a single change may wait up to batchWindow to share a transaction.
func (b *Batcher) Commit(ctx context.Context, changes ...store.Change) error {
	if len(changes) != 1 {
		return b.Table.Commit(ctx, changes...)
	}
	w := &pendingWrite{change: changes[0], done: make(chan error, 1)}
	select {
	case b.writes <- w:
	case <-ctx.Done():
		return store.NewError(store.NotSent, ctx.Err().Error())
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		// The write may already be part of a running transaction.
		return store.NewError(store.Uncertain, ctx.Err().Error())
	}
}

// Run collects and commits writes until the context ends, and then reports on the channel.
func (b *Batcher) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			batch := b.collect(ctx)
			if len(batch) == 0 {
				ended <- nil
				return
			}
			go b.commit(ctx, batch)
		}
	}()
	return ended
}

// collect returns the writes of one batch window; none means that the context has ended. Two writes to one row never
// share a transaction.
func (b *Batcher) collect(ctx context.Context) []*pendingWrite {
	var batch []*pendingWrite
	rows := make(map[string]bool)
	var windowEnd <-chan time.Time
	for len(batch) < maxBatchWrites {
		select {
		case w := <-b.writes:
			if rows[w.change.Key] {
				go b.commit(ctx, []*pendingWrite{w})
				continue
			}
			rows[w.change.Key] = true
			batch = append(batch, w)
			if windowEnd == nil {
				windowEnd = time.After(batchWindow)
			}
		case <-windowEnd:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (b *Batcher) commit(ctx context.Context, batch []*pendingWrite) {
	// Accepted writes are committed even while the node stops.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tableTimeout)
	defer cancel()
	changes := make([]store.Change, len(batch))
	for i, w := range batch {
		changes[i] = w.change
	}
	err := b.Table.Commit(ctx, changes...)
	if !store.Is(err, store.Conflict) || len(batch) == 1 {
		for _, w := range batch {
			w.done <- err
		}
		return
	}
	for _, w := range batch {
		w.done <- b.Table.Commit(ctx, w.change)
	}
}
