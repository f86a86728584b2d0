package once

import (
	"context"
	"time"

	"rhubarbspread/core/store"
)

// Constants of batches.
const (
	batchWait = 3 * time.Millisecond // for company
	mostBatch = 64
)

// Batcher is a table whose writes of one row share transactions: the platform bounds transactions, not
// rows. Where a shared one fails by a condition, each write is made by itself.
type Batcher struct {
	store.Table
	writes chan *write
}

type write struct {
	change store.Change
	done   chan error
}

// NewBatcher returns a batcher over a table; Run has to go on while it is used.
func NewBatcher(table store.Table) *Batcher {
	return &Batcher{Table: table, writes: make(chan *write)}
}

// Commit makes all changes or none; a single one may wait a few milliseconds for company.
func (b *Batcher) Commit(ctx context.Context, changes ...store.Change) error {
	if len(changes) != 1 {
		return b.Table.Commit(ctx, changes...)
	}
	w := &write{change: changes[0], done: make(chan error, 1)}
	select {
	case b.writes <- w:
	case <-ctx.Done():
		return store.NewError(store.NotSent, ctx.Err().Error())
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		// It may be on its way in a shared transaction.
		return store.NewError(store.Uncertain, ctx.Err().Error())
	}
}

// Run gathers and commits until the context ends.
func (b *Batcher) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			batch := b.gather(ctx)
			if len(batch) == 0 {
				ended <- nil
				return
			}
			go b.commit(ctx, batch)
		}
	}()
	return ended
}

// gather returns the writes of the next few milliseconds, or none when the context ends. Two writes of
// one row never share a transaction.
func (b *Batcher) gather(ctx context.Context) []*write {
	var batch []*write
	rows := make(map[string]bool)
	var full <-chan time.Time
	for len(batch) < mostBatch {
		select {
		case w := <-b.writes:
			if rows[w.change.Key] {
				go b.commit(ctx, []*write{w})
				continue
			}
			rows[w.change.Key] = true
			batch = append(batch, w)
			if full == nil {
				full = time.After(batchWait)
			}
		case <-full:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (b *Batcher) commit(ctx context.Context, batch []*write) {
	// Writes that were taken go out even while the node stops.
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
