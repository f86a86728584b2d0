package frame

import (
	"fmt"
	"math"
	"net/http"
	"sync/atomic"
)

// MaxHeadBytes bounds the head of an answer, together with the interim heads before it, and the trailers of one.
const MaxHeadBytes = 64 << 10

// The lowest and the highest status (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// state is what the next byte of an answer belongs to.
type state uint8

const (
	inVersion      state = iota // also between two answers
	afterVersion                // the space before the status
	inStatus                    // three digits
	afterStatus                 // the space after the status, or the end of the line
	inReason                    // the reason phrase
	atLineEnd                   // the LF of a line of the head or of the trailers
	atFieldStart                // the name of a field, or the CR of the empty line
	inName                      // the rest of the name
	inValue                     // the value with the blanks around it
	atHeadEnd                   // the LF of the empty line
	inBody                      // a body with a length
	inChunkSize                 // hexadecimal digits
	beforeChunkExt              // blanks before an extension
	inChunkExt                  // an extension
	atChunkSizeEnd              // the LF after the size of a chunk and its extensions
	inChunk                     // the data of a chunk
	atChunkEnd                  // the CR after the data
	atChunkLineEnd              // the LF after that
	untilEnd                    // a body that ends with the connection
)

// field is a header field on which the framing of an answer depends.
type field uint8

const (
	otherField field = iota
	contentLength
	transferEncoding
)

// The names of these fields, and the only transfer coding that an answer may have, as requests name no other.
const (
	contentLengthName    = "content-length"
	transferEncodingName = "transfer-encoding"
	chunkedCoding        = "chunked"
)

// noLength is the length of a body whose head states none.
const noLength = -1

// Scanner judges a series of answers, which it is given in pieces of any size. The zero value expects the head of an answer.
type Scanner struct {
	isHeadMethod atomic.Bool // the method of the request is HEAD
	state        state
	count        int // bytes of the current element
	headBytes    int // of the head with the interim ones before it, or of the trailers

	// Of the current head.
	version   byte // the digit of the minor version
	status    int
	length    int64 // that the head states, or noLength
	isChunked bool
	isTrailer bool // the fields are those of trailers

	// Of the current field.
	field   field
	name    [len(transferEncodingName)]byte // as far as it fits
	coding  [len(chunkedCoding)]byte        // the value of a Transfer-Encoding, in lower case
	number  int64                           // the value of a Content-Length
	isEnded bool                            // a blank follows the value

	left int64 // bytes of the body or the chunk
}

// SetMethod sets the method of the request whose answer comes next.
func (s *Scanner) SetMethod(method string) { s.isHeadMethod.Store(method == http.MethodHead) }

// Status returns the status of the latest head, or 0 if the head has not been scanned as far.
func (s *Scanner) Status() int {
	if s.status < minStatus {
		return 0
	}
	return s.status
}

// Scan judges the next bytes. It returns how many of them are sound; if not all are, the error is an *Error, and no more bytes must
// be scanned.
func (s *Scanner) Scan(p []byte) (int, error) {
	for i := 0; i < len(p); {
		n, inHead := 1, s.state < inBody
		var err error
		switch s.state {
		case untilEnd:
			return len(p), nil
		case inBody, inChunk:
			n = s.skip(len(p) - i)
		case inName:
			if n = s.scanName(p[i:]); n == 0 {
				n, err = 1, s.endName(p[i])
			}
		case inValue:
			if n = s.skipValue(p[i:]); n == 0 {
				n, err = 1, s.scanValue(p[i])
			}
		case inChunkSize, beforeChunkExt, inChunkExt, atChunkSizeEnd, atChunkEnd, atChunkLineEnd:
			if n, err = s.scanChunkLines(p[i:]); err != nil {
				return i + n, err
			}
		case inVersion, afterVersion, inStatus, afterStatus, inReason:
			err = s.scanStatusLine(p[i])
		case atLineEnd, atFieldStart, atHeadEnd:
			err = s.scanLineEnd(p[i])
		}
		if err == nil && inHead {
			if s.headBytes += n; s.headBytes > MaxHeadBytes {
				err = violation("the head or the trailers are larger than %d bytes", MaxHeadBytes)
			}
		}
		if err != nil {
			return i, err
		}
		i += n
	}
	return len(p), nil
}

// skip returns how many of the next bytes belong to the body or the chunk.
func (s *Scanner) skip(n int) int {
	n = int(min(s.left, int64(n)))
	s.left -= int64(n)
	switch {
	case s.left > 0:
	case s.state == inChunk:
		s.state = atChunkEnd
	default:
		s.endAnswer()
	}
	return n
}

// endAnswer begins to wait for the next head.
func (s *Scanner) endAnswer() {
	s.state, s.count, s.headBytes, s.isTrailer = inVersion, 0, 0, false
}

// protocol is the beginning of a status line. The minor version follows, which changes nothing but what 1.0 says of chunks.
const protocol = "HTTP/1."

// scanStatusLine judges a byte of a status line but for the last one.
func (s *Scanner) scanStatusLine(b byte) error {
	switch s.state {
	case inVersion:
		if s.count == 0 {
			s.status, s.length, s.isChunked = 0, noLength, false
		}
		if s.count < len(protocol) {
			if b != protocol[s.count] {
				return violation("the status line has byte %#02x in place of the protocol", b)
			}
			s.count++
			return nil
		}
		if !isDigit(b) {
			return violation("the version has byte %#02x", b)
		}
		s.version, s.state = b, afterVersion
	case afterVersion:
		if b != ' ' {
			return violation("byte %#02x follows the version", b)
		}
		s.state, s.count = inStatus, 0
	case inStatus:
		if !isDigit(b) {
			return violation("the status has byte %#02x", b)
		}
		s.status = 10*s.status + int(b-'0')
		if s.count++; s.count == 3 {
			s.state = afterStatus
			return checkStatus(s.status)
		}
	case afterStatus:
		switch b {
		case ' ':
			s.state = inReason
		case '\r': // without the space, which section 4 of RFC 9112 lets a recipient ignore at the end
			s.state = atLineEnd
		default:
			return violation("byte %#02x follows the status", b)
		}
	default:
		if b == '\r' {
			s.state = atLineEnd
		} else if !isText(b) {
			return violation("the reason phrase has byte %#02x", b)
		}
	}
	return nil
}

// checkStatus rejects a status that no answer to a request of this client may have.
func checkStatus(status int) error {
	switch {
	case status < minStatus || status > maxStatus:
		return violation("the status %03d is not one of 100 to 599", status)
	case status == http.StatusSwitchingProtocols:
		return violation("the status %d, though no request asks for another protocol", status)
	}
	return nil
}

// scanLineEnd judges the byte after the CR of a line of the head or the trailers, and the one after that line.
func (s *Scanner) scanLineEnd(b byte) error {
	switch {
	case s.state == atFieldStart && b == '\r':
		s.state = atHeadEnd
	case s.state == atFieldStart:
		s.state, s.count = inName, 0
		if !isToken(b) {
			return violation("a line begins with byte %#02x", b)
		}
		s.addToName([]byte{b})
	case b != '\n':
		return violation("a CR is followed by byte %#02x", b)
	case s.state == atLineEnd:
		s.state = atFieldStart
	default:
		return s.endHead()
	}
	return nil
}

// scanName returns how many of the next bytes belong to the name of a field.
func (s *Scanner) scanName(p []byte) int {
	n := 0
	for n < len(p) && isToken(p[n]) {
		n++
	}
	s.addToName(p[:n])
	return n
}

func (s *Scanner) addToName(p []byte) {
	if s.count < len(s.name) {
		copy(s.name[s.count:], p)
	}
	s.count += len(p)
}

// isNamed reports whether the current field has a name, which is given in lower case.
func (s *Scanner) isNamed(name string) bool {
	if s.count != len(name) {
		return false
	}
	for i := range len(name) {
		if lower(s.name[i]) != name[i] {
			return false
		}
	}
	return true
}

// endName judges the byte after the name of a field, and recognizes the field.
func (s *Scanner) endName(b byte) error {
	if b != ':' {
		return violation("the name of a field has byte %#02x", b)
	}
	s.field = otherField
	switch {
	case s.isTrailer:
	case s.isNamed(contentLengthName):
		s.field = contentLength
	case s.isNamed(transferEncodingName):
		s.field = transferEncoding
	}
	s.state, s.count, s.number, s.isEnded = inValue, 0, 0, false
	return nil
}

// skipValue returns how many of the next bytes belong to a value on which nothing depends.
func (s *Scanner) skipValue(p []byte) int {
	if s.field != otherField {
		return 0
	}
	for i, b := range p {
		if !isText(b) {
			return i
		}
	}
	return len(p)
}

// scanValue judges a byte of a value.
func (s *Scanner) scanValue(b byte) error {
	switch {
	case b == '\r':
		s.state = atLineEnd
		return s.endValue()
	case !isText(b):
		return violation("the value of a field has byte %#02x", b)
	case isBlank(b):
		s.isEnded = s.count > 0
		return nil
	case s.field == contentLength:
		if !isDigit(b) || s.isEnded || s.number > (math.MaxInt64-9)/10 {
			return violation("a Content-Length has byte %#02x or is too large", b)
		}
		s.number = 10*s.number + int64(b-'0')
	case s.field == transferEncoding:
		if s.isEnded || s.count == len(s.coding) {
			return violation("a transfer coding other than chunked")
		}
		s.coding[s.count] = lower(b)
	}
	s.count++
	return nil
}

// endValue judges the value of a field on which the framing depends. Several lengths must be the same.
func (s *Scanner) endValue() error {
	switch s.field {
	case contentLength:
		if s.count == 0 || s.length != noLength && s.length != s.number {
			return violation("a Content-Length is empty or differs from another")
		}
		s.length = s.number
	case transferEncoding:
		if s.isChunked || s.count != len(s.coding) || string(s.coding[:]) != chunkedCoding {
			return violation("a transfer coding other than chunked")
		}
		s.isChunked = true
	case otherField:
	}
	return nil
}

// endHead finds out how the body is framed (RFC 9112, section 6.3), or ends the answer after its trailers.
func (s *Scanner) endHead() error {
	switch {
	case s.isTrailer:
		s.endAnswer()
		return nil
	case s.isChunked && s.length != noLength:
		return violation("both a Content-Length and a Transfer-Encoding")
	case s.isChunked && s.version == '0':
		return violation("a Transfer-Encoding in HTTP/1.0")
	case s.status < http.StatusOK:
		s.state, s.count = inVersion, 0 // the bytes of interim heads add up
		return nil
	}
	hasNoBody := s.isHeadMethod.Load() || s.status == http.StatusNoContent || s.status == http.StatusNotModified || s.length == 0
	switch {
	case hasNoBody:
		s.endAnswer()
	case s.isChunked:
		s.state, s.count, s.left = inChunkSize, 0, 0
	case s.length > 0:
		s.state, s.left = inBody, s.length
	default:
		s.state = untilEnd
	}
	return nil
}

// scanChunkLines judges the bytes between the data of two chunks, and returns how many of them are sound.
func (s *Scanner) scanChunkLines(p []byte) (int, error) {
	for i, b := range p {
		if err := s.scanChunkLine(b); err != nil {
			return i, err
		}
		if s.state == inChunk || s.isTrailer {
			return i + 1, nil
		}
	}
	return len(p), nil
}

// scanChunkLine judges a byte between the data of two chunks.
func (s *Scanner) scanChunkLine(b byte) error {
	isSound := false
	switch s.state {
	case inChunkSize:
		return s.scanChunkSize(b)
	case beforeChunkExt:
		if isSound = isBlank(b) || b == ';'; b == ';' {
			s.state = inChunkExt
		}
	case inChunkExt:
		if isSound = isText(b) || b == '\r'; b == '\r' {
			s.state = atChunkSizeEnd
		}
	case atChunkSizeEnd:
		isSound, s.state = b == '\n', inChunk
		if s.left == 0 {
			s.state, s.isTrailer, s.headBytes = atFieldStart, true, 0
		}
	case atChunkEnd:
		isSound, s.state = b == '\r', atChunkLineEnd
	default:
		isSound, s.state, s.count = b == '\n', inChunkSize, 0
	}
	if !isSound {
		return violation("byte %#02x between two chunks", b)
	}
	return nil
}

// scanChunkSize judges a byte of the size of a chunk, or the one after it.
func (s *Scanner) scanChunkSize(b byte) error {
	switch {
	case isHex(b):
		if s.left > math.MaxInt64>>4 {
			return violation("a chunk is too large")
		}
		s.left = s.left<<4 | int64(hexValue(b))
		s.count++
	case s.count == 0:
		return violation("the size of a chunk has byte %#02x", b)
	case b == '\r':
		s.state = atChunkSizeEnd
	case b == ';':
		s.state = inChunkExt
	case isBlank(b):
		s.state = beforeChunkExt
	default:
		return violation("byte %#02x follows the size of a chunk", b)
	}
	return nil
}

// Error is a violation of the grammar by an answer. A request with such an answer may have run.
type Error struct{ detail string }

// Error returns what is wrong with the answer.
func (e *Error) Error() string { return "malformed answer: " + e.detail }

func violation(format string, args ...any) error { return &Error{fmt.Sprintf(format, args...)} }
