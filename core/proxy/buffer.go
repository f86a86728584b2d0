package proxy

import (
	"cmp"
	"errors"
	"io"
	"sync/atomic"
)

// Bounds of what a node holds of answers, which may never end.
const (
	maxBufferedBytes = 1 << 20   // of a plain answer, before it is delivered
	maxEventBytes    = 256 << 10 // of one event, which is forwarded whole
	maxBufferedTotal = 16 << 20  // of all answers together, where Dependencies set no limit
	bufferStepBytes  = 4 << 10   // by which a buffer is charged
)

// bufferBudget bounds the bytes that all answers together hold.
type bufferBudget struct {
	used  atomic.Int64
	limit int64 // 0 for maxBufferedTotal
}

// take charges a number of bytes and reports whether they are within the budget.
func (b *bufferBudget) take(n int) bool {
	if b.used.Add(int64(n)) <= cmp.Or(b.limit, maxBufferedTotal) {
		return true
	}
	b.used.Add(-int64(n))
	return false
}

func (b *bufferBudget) give(n int) { b.used.Add(-int64(n)) }

// buffered is what has been read of an answer, in parts: a buffer that grows would leave several times its size to the collector.
type buffered struct {
	budget *bufferBudget
	parts  [][]byte
	size   int // of the parts together
	room   int // their capacity, which is charged
}

// release drops the parts and returns what they hold.
func (b *buffered) release() {
	b.budget.give(b.room)
	b.parts, b.size, b.room = nil, 0, 0
}

// grow adds a part, and reports whether the budget has room for it. Together the parts double; near the limit a part is one step.
func (b *buffered) grow() bool {
	size := max(bufferStepBytes, min(b.room, maxBufferedBytes-b.room))
	if !b.budget.take(size) {
		if size = bufferStepBytes; !b.budget.take(size) {
			return false
		}
	}
	b.parts = append(b.parts, make([]byte, 0, size))
	b.room += size
	return true
}

// readBuffered reads a body to its end, or until the buffer or the budget is full. It returns what was read, which has to be released,
// and whether that is all.
func (b *bufferBudget) readBuffered(r io.Reader) (body *buffered, isAll bool, err error) {
	body = &buffered{budget: b}
	for body.size < maxBufferedBytes {
		if body.size == body.room && !body.grow() {
			return body, false, nil
		}
		last := &body.parts[len(body.parts)-1]
		n, err := r.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		body.size += n
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}
