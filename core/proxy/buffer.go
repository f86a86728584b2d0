package proxy

import (
	"cmp"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of what a node holds of answers, which may never end.
const (
	maxBufferedBytes = 1 << 20   // of a plain answer, before it is delivered
	maxEventBytes    = 256 << 10 // of one event, which is forwarded whole
	maxBufferedTotal = 16 << 20  // of all answers together, where Dependencies set no limit
	bufferStepBytes  = 4 << 10   // by which a buffer is charged
	pooledPartBytes  = 64 << 10  // of a large plain answer
)

// Times for answers whose callers don't read, while others need the bytes that these hold.
const (
	unreadTime  = 250 * time.Millisecond // of one write, after which it may be cut off; as of requests that stall (core/quota)
	maxRoomWait = 2 * unreadTime         // for bytes; writes that have just begun to stall are cut off in that time
	roomPoll    = 25 * time.Millisecond  // between looks for writes that have stalled meanwhile
)

// limitAnswerBytes is the name of the limit on the bytes of all answers, for logs and counters.
const limitAnswerBytes = "answer-bytes"

// errUnread is the error of a write that was cut off.
var errUnread = errors.New("the caller did not read and the bytes of the answer were needed")

// bufferBudget bounds the bytes that all answers together hold.
type bufferBudget struct {
	used  atomic.Int64
	limit int64 // 0 for maxBufferedTotal

	mu      sync.Mutex
	leaving int // bytes of writes that have been cut off and still hold them
	writes  map[*heldWrite]struct{}
}

// heldWrite is a write to a caller, which holds bytes of the budget until it ends.
type heldWrite struct {
	since time.Time
	held  int
	abort func()
	isCut bool
}

// beginWrite records that a write of held bytes begins. abort must make the write fail, and must not block.
func (b *bufferBudget) beginWrite(held int, abort func()) *heldWrite {
	w := &heldWrite{since: time.Now(), held: held, abort: abort}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.writes == nil {
		b.writes = make(map[*heldWrite]struct{})
	}
	b.writes[w] = struct{}{}
	return w
}

// endWrite records that a write has ended, and reports whether it was cut off.
func (b *bufferBudget) endWrite(w *heldWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.writes, w)
	if w.isCut {
		b.leaving -= w.held
	}
	return w.isCut
}

// cutOldest cuts off the write that has lasted for longest, if it has stalled and those cut off before don't return n bytes.
func (b *bufferBudget) cutOldest(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving >= n {
		return
	}
	var oldest *heldWrite
	for w := range b.writes {
		if !w.isCut && time.Since(w.since) >= unreadTime && (oldest == nil || w.since.Before(oldest.since)) {
			oldest = w
		}
	}
	if oldest != nil {
		oldest.isCut = true
		b.leaving += oldest.held
		oldest.abort()
	}
}

// await charges a number of bytes. While they aren't free it cuts off writes to callers who don't read, for a bounded time. It reports
// whether the bytes are charged.
func (b *bufferBudget) await(n int, done <-chan struct{}) bool {
	for end := time.Now().Add(maxRoomWait); !b.take(n); {
		if !time.Now().Before(end) {
			return false
		}
		b.cutOldest(n)
		timer := time.NewTimer(roomPoll)
		select {
		case <-done:
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
	return true
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
	for _, p := range b.parts {
		if cap(p) == pooledPartBytes {
			largeParts.Put(&p)
		}
	}
	b.budget.give(b.room)
	b.parts, b.size, b.room = nil, 0, 0
}

// largeParts keeps the parts of large answers for others. Without it the collector falls behind where many large answers arrive.
var largeParts = sync.Pool{New: func() any {
	p := make([]byte, 0, pooledPartBytes)
	return &p
}}

// grow adds a part, and reports whether the budget has room for it. Together the parts double up to pooledPartBytes, which is the size of
// each further one; near the limit a part is one step.
func (b *buffered) grow() bool {
	size := min(max(bufferStepBytes, b.room), pooledPartBytes, maxBufferedBytes-b.room)
	if !b.budget.take(size) {
		if size = bufferStepBytes; !b.budget.take(size) {
			return false
		}
	}
	if size == pooledPartBytes {
		b.parts = append(b.parts, (*largeParts.Get().(*[]byte))[:0])
	} else {
		b.parts = append(b.parts, make([]byte, 0, size))
	}
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

// write sends the caller a piece of an answer that holds bytes of the budget. While others need these, it is cut off if the caller
// does not read.
func (r *run) write(piece []byte, held int) error {
	s, ok := r.sink.(Aborter)
	if !ok || held == 0 {
		return r.sink.Write(piece)
	}
	w := r.executor.buffers.beginWrite(held, s.Abort)
	err := r.sink.Write(piece)
	if !r.executor.buffers.endWrite(w) {
		return err
	}
	r.executor.meter.Count("refused-by-" + limitAnswerBytes)
	r.executor.log.Info("connection-closed", "request", r.request.ID, "limit", limitAnswerBytes)
	return errUnread
}
