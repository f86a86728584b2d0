package ports

// What a head takes.
const (
	// headHeldTimes is how many times a head is held: as it arrived and as parsed, in a buffer that doubles.
	headHeldTimes = 3
	// HeadLineBytes is what each line takes beside that. In heads of short lines up to 290 bytes a line were measured, for entries in the
	// maps of net/http, of the request and of its attempt.
	HeadLineBytes = 320
	// minLineBytes is the size of the shortest header line.
	minLineBytes = 4
)

// HeadCost returns the most memory that a head of a number of bytes takes.
func HeadCost(size int) int64 {
	return int64(size)*headHeldTimes + int64(size)/minLineBytes*HeadLineBytes
}

// Head counts a request's head while it arrives. The zero value is one of which nothing has arrived.
type Head struct {
	Bytes    int
	lines    int  // that have been counted
	lineSize int  // of the line that arrives, without its end
	isWhole  bool // its last line has arrived
}

// Arrive counts a part that has arrived, and returns what it takes. What follows the empty line behind the head counts as bytes alone.
func (h *Head) Arrive(p []byte) int64 {
	h.Bytes += len(p)
	return int64(len(p))*headHeldTimes + int64(h.countLines(p))*HeadLineBytes
}

// Parsed returns what the lines of the whole head take that have not been counted: they arrived behind another request, in the buffer of
// net/http.
func (h *Head) Parsed(header map[string][]string) int64 {
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	return int64(max(0, lines-h.lines)) * HeadLineBytes
}

// countLines counts the lines that end in a part, and returns their number.
func (h *Head) countLines(p []byte) int {
	before := h.lines
	for _, b := range p {
		switch {
		case h.isWhole:
			return h.lines - before
		case b != '\n' && b != '\r':
			h.lineSize++
		case b == '\r':
		case h.lineSize > 0:
			h.lines, h.lineSize = h.lines+1, 0
		default:
			h.isWhole = h.lines > 0 // net/http refuses an empty line before the head
		}
	}
	return h.lines - before
}
