package carry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// event is one whole event of a stream with its bytes as they came.
type event struct {
	raw []byte
	id  int64 // or noID
}

const noID = -1

// mostEvent bounds one event's bytes, so that an upstream can't fill the node's memory.
const mostEvent = 1 << 20

var errEventSize = errors.New("an event is larger than 1 MiB")

// readEvent returns the next whole event. A stream that ends between events returns io.EOF; one that ends
// inside of one returns io.ErrUnexpectedEOF.
func readEvent(r *bufio.Reader) (event, error) {
	e := event{id: noID}
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > mostEvent {
			return event{}, errEventSize
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(e.raw) > len(line) {
			return e, nil
		}
		if v, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); err == nil {
				e.id = n
			}
		}
	}
}
