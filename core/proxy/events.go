package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
)

// event is one complete server-sent event.
type event struct {
	raw []byte // as received
	id  int64  // or noID
}

// isForeign reports whether an event has content but no ID, as an upstream's report of an error.
func (e event) isForeign() bool {
	if e.id != noID {
		return false
	}
	for line := range bytes.Lines(e.raw) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return true
		}
	}
	return false
}

// noID is the ID of an event without a numeric ID.
const noID = -1

// eventGrowth is the factor by which the buffer of an event grows. With 2 the smaller buffers of an event would together be as large as
// the last.
const eventGrowth = 4

var (
	errEventSize = errors.New("an event is larger than 256 KiB")
	errBuffers   = errors.New("the node holds too much of other answers")
)

// eventReader reads the events of one stream. An event is valid until the next one is read or release is called.
type eventReader struct {
	from    *bufio.Reader
	buffers *bufferBudget
	raw     []byte          // the buffer of the current event
	charged int             // bytes of the budget, for a buffer beyond bufferStepBytes
	done    <-chan struct{} // ends the wait for bytes
}

func newEventReader(from io.Reader, buffers *bufferBudget, done <-chan struct{}) *eventReader {
	return &eventReader{from: bufio.NewReaderSize(from, eventBufferBytes), buffers: buffers, done: done}
}

// next returns the next complete event. It returns io.EOF if the stream ends between events, and io.ErrUnexpectedEOF if it ends within
// one. An event beyond bufferStepBytes is charged to the budget until it is released: a caller who does not read may hold it for long.
func (r *eventReader) next() (event, error) {
	r.release()
	r.raw = r.raw[:0]
	e := event{id: noID}
	for {
		line, err := r.from.ReadSlice('\n')
		if full := r.append(line); full != nil {
			r.release()
			return event{}, full
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(r.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			r.release()
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(r.raw) > len(line) {
			e.raw = r.raw
			return e, nil
		}
		if v, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); err == nil {
				e.id = n
			}
		}
	}
}

// append adds a part of an event to the buffer, which grows as needed.
func (r *eventReader) append(part []byte) error {
	need := len(r.raw) + len(part)
	if need > maxEventBytes {
		return errEventSize
	}
	if need > cap(r.raw) {
		size := min(max(need, eventGrowth*cap(r.raw)), maxEventBytes)
		charge := 0
		if size > bufferStepBytes {
			charge = size
		}
		if !r.buffers.await(charge, r.done) {
			return errBuffers
		}
		grown := append(newEventBuffer(size), r.raw...)
		r.buffers.give(r.charged)
		r.raw, r.charged = grown, charge
	}
	r.raw = append(r.raw, part...)
	return nil
}

// release returns what a large event holds.
func (r *eventReader) release() {
	if r.charged > 0 {
		if cap(r.raw) == maxEventBytes {
			kept := r.raw
			largestBuffers.Put(&kept)
		}
		r.buffers.give(r.charged)
		r.raw, r.charged = nil, 0
	}
}

// largestBuffers keeps buffers of the largest size for other events. Without it the collector falls behind where many large events arrive.
var largestBuffers sync.Pool

// newEventBuffer returns an empty buffer.
func newEventBuffer(size int) []byte {
	if size == maxEventBytes {
		if b, ok := largestBuffers.Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, size)
}
