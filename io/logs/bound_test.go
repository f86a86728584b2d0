package logs

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stuck is a reader that never reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestWriteNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stuck{make(chan struct{})}
		b := NewBounded(s)
		ctx, cancel := context.WithCancel(t.Context())
		ended := b.Run(ctx)
		began := time.Now()
		for range 3 * waitingLines {
			if _, err := b.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("writing took %v beside a reader that does not read", took)
		}
		if b.Dropped() < waitingLines {
			t.Errorf("%d lines dropped, want at least %d", b.Dropped(), waitingLines)
		}
		close(s.release)
		cancel()
		<-ended
	})
}

func TestFloodStaysWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBounded(&out)
		ctx, cancel := context.WithCancel(t.Context())
		ended := b.Run(ctx)
		const seconds, each = 20, 100
		for range seconds * 100 {
			for range each {
				_, _ = b.Write([]byte("line\n"))
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		<-ended
		lines := strings.Count(out.String(), "event=lines-dropped") + strings.Count(out.String(), "\nline")
		if most := 2 * (burstLines + seconds*linesPerSecond); lines > most {
			t.Errorf("%d lines of %d came out, want at most %d", lines, seconds*100*each, most)
		}
		if !strings.Contains(out.String(), "event=lines-dropped count=") {
			t.Error("no line tells how many were dropped")
		}
	})
}
