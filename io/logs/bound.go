package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Bounds of a Bounded writer.
const (
	waitingLines   = 2048 // that wait for a slow reader; beyond them lines are dropped
	linesPerSecond = 400  // over time, so that logs stay a small share of a VM's processor
	burstLines     = 2000 // at once
)

// Bounded passes lines on in a goroutine of its own. Write never blocks: lines beyond its bounds are dropped, and
// their number is logged.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	now     func() time.Time
	tokens  float64
	at      time.Time
}

// NewBounded returns a writer in front of another; Run must run for lines to come out.
func NewBounded(out io.Writer) *Bounded {
	return &Bounded{out: out, lines: make(chan []byte, waitingLines), now: time.Now, tokens: burstLines, at: time.Now()}
}

// Write takes one line and always succeeds.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last line that told so.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Run writes lines until the context ends, and then those that wait.
func (b *Bounded) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			select {
			case line := <-b.lines:
				b.pass(line)
			case <-ctx.Done():
				ended <- b.rest()
				return
			}
		}
	}()
	return ended
}

func (b *Bounded) rest() error {
	for {
		select {
		case line := <-b.lines:
			b.pass(line)
		default:
			return nil
		}
	}
}

// pass writes a line if the rate allows it.
func (b *Bounded) pass(line []byte) {
	now := b.now()
	b.tokens = min(burstLines, b.tokens+linesPerSecond*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		b.dropped.Add(1)
		return
	}
	b.tokens--
	if n := b.dropped.Swap(0); n > 0 {
		fmt.Fprintf(b.out, "level=WARN event=lines-dropped count=%d\n", n)
	}
	// A reader that is gone leaves nobody to tell.
	_, _ = b.out.Write(line)
}
