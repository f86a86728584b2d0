package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Limits of a Bounded writer.
const (
	maxQueuedLines    = 2048 // lines that wait for a slow reader; further ones are dropped
	maxLinesPerSecond = 400  // sustained rate; it keeps logging a small share of a VM's CPU time
	maxBurstLines     = 2000 // size of a burst above that rate
)

// Bounded is a writer that queues lines and writes them in a goroutine of its own, at a limited rate. Write never
// blocks: lines beyond the limits are dropped, and their number is logged.
type Bounded struct {
	out        io.Writer
	queue      chan []byte
	dropped    atomic.Int64 // lines dropped since the last lines-dropped line
	now        func() time.Time
	tokens     float64 // of the token bucket, one a line
	refilledAt time.Time
}

// NewBounded returns a writer to out; nothing is written until Run is called.
func NewBounded(out io.Writer) *Bounded {
	return &Bounded{
		out: out, queue: make(chan []byte, maxQueuedLines), now: time.Now, tokens: maxBurstLines, refilledAt: time.Now(),
	}
}

// Write queues one line, or drops it if the queue is full; it never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last lines-dropped line.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Run writes queued lines until the context is canceled, and then what is left in the queue. The channel that it
// returns receives one value at the end.
func (b *Bounded) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case line := <-b.queue:
				b.writeLine(line)
			case <-ctx.Done():
				done <- b.drain()
				return
			}
		}
	}()
	return done
}

// drain writes the lines that are left in the queue.
func (b *Bounded) drain() error {
	for {
		select {
		case line := <-b.queue:
			b.writeLine(line)
		default:
			return nil
		}
	}
}

// writeLine writes a line if the rate limit allows it, and drops it otherwise.
func (b *Bounded) writeLine(line []byte) {
	now := b.now()
	b.tokens = min(maxBurstLines, b.tokens+maxLinesPerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		b.dropped.Add(1)
		return
	}
	b.tokens--
	if n := b.dropped.Swap(0); n > 0 {
		fmt.Fprintf(b.out, "level=WARN event=lines-dropped count=%d\n", n)
	}
	// An error can't be reported: the log itself is what failed.
	_, _ = b.out.Write(line)
}
