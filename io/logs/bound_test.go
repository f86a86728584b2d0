package logs

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestWriteNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := blockedWriter{make(chan struct{})}
		b := NewBounded(w)
		ctx, cancel := context.WithCancel(t.Context())
		done := b.Run(ctx)
		// The first line blocks the writing goroutine, which resets the count of dropped lines before it writes.
		_, _ = b.Write([]byte("line\n"))
		synctest.Wait()
		start := time.Now()
		for range 3 * maxQueuedLines {
			if _, err := b.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if elapsed := time.Since(start); elapsed != 0 {
			t.Errorf("writes to a blocked writer took %v, want no time", elapsed)
		}
		if b.Dropped() != 2*maxQueuedLines {
			t.Errorf("%d lines dropped, want %d", b.Dropped(), 2*maxQueuedLines)
		}
		close(w.release)
		cancel()
		<-done
	})
}

func TestFloodStaysWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBounded(&out)
		ctx, cancel := context.WithCancel(t.Context())
		done := b.Run(ctx)
		const seconds, linesPerTick = 20, 100
		for range seconds * 100 {
			for range linesPerTick {
				_, _ = b.Write([]byte("line\n"))
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		<-done
		lines := strings.Count(out.String(), "event=lines-dropped") + strings.Count(out.String(), "\nline")
		if limit := 2 * (maxBurstLines + seconds*maxLinesPerSecond); lines > limit {
			t.Errorf("%d of %d lines were written, want at most %d", lines, seconds*100*linesPerTick, limit)
		}
		if !strings.Contains(out.String(), "event=lines-dropped count=") {
			t.Error("no lines-dropped line was written")
		}
	})
}
