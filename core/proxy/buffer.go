package proxy

import (
	"errors"
	"io"
	"slices"
	"sync/atomic"
)

// Bounds of what a node holds of answers, which may never end.
const (
	maxBufferedBytes = 1 << 20   // of a plain answer, before it is delivered
	maxEventBytes    = 256 << 10 // of one event, which is forwarded whole
	maxBufferedTotal = 16 << 20  // of all answers together
	bufferStepBytes  = 4 << 10   // by which a buffer is charged
)

// bufferBudget bounds the bytes that all answers together hold.
type bufferBudget struct{ used atomic.Int64 }

// take charges a number of bytes and reports whether they are within the budget.
func (b *bufferBudget) take(n int) bool {
	if b.used.Add(int64(n)) <= maxBufferedTotal {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

func (b *bufferBudget) give(n int) { b.used.Add(-int64(n)) }

// readBuffered reads a body to its end, or until the buffer or the budget is full. It returns what was read, whether that
// is all, and a function that returns the budget.
func (b *bufferBudget) readBuffered(r io.Reader) (body []byte, isAll bool, release func(), err error) {
	charged := 0
	release = func() { b.give(charged) }
	for len(body) < maxBufferedBytes {
		if len(body) == charged {
			if !b.take(bufferStepBytes) {
				return body, false, release, nil
			}
			charged += bufferStepBytes
			body = slices.Grow(body, bufferStepBytes)
		}
		n, err := r.Read(body[len(body):charged])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, release, nil
		}
		if err != nil {
			return body, false, release, err
		}
	}
	return body, false, release, nil
}
