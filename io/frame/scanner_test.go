package frame

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// head returns an answer with some lines in its head and a body of five bytes.
func head(lines ...string) string {
	return "HTTP/1.1 200 OK\r\n" + strings.Join(append(lines, "Content-Length: 5"), "\r\n") + "\r\n\r\nwhole"
}

// chunked returns an answer with a body in chunks.
func chunked(body string) string {
	return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body
}

// sound are answers that the grammar allows, with the body that a recipient has to find in them.
var sound = []struct{ name, method, answer, body string }{
	{"a length", "GET", head(), "whole"},
	{"the same length twice", "GET", head("Content-Length: 5"), "whole"},
	{"a length with zeros before it", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 005\r\n\r\nwhole", "whole"},
	{"blanks around a length", "GET", "HTTP/1.1 200 OK\r\ncontent-LENGTH:\t 5 \t\r\n\r\nwhole", "whole"},
	{"neither a length nor chunks", "GET", "HTTP/1.1 200 OK\r\n\r\nwhole\x00\r\n\n", "whole\x00\r\n\n"},
	{"chunks", "GET", chunked("3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"), "whole"},
	{"chunks with extensions", "GET", chunked("3;a=b\r\nwho\r\n00002;c=\"d e\";f\r\nle\r\n000\r\n\r\n"), "whole"},
	{"the coding in capitals", "GET", "HTTP/1.1 200 OK\r\ntransfer-encoding:CHUNKED \r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "whole"},
	{"trailers", "GET", chunked("5\r\nwhole\r\n0\r\nX-Sum: 1\r\nContent-Length: 9\r\n\r\n"), "whole"},
	{"hexadecimal sizes", "GET", chunked("a\r\n0123456789\r\nB\r\n0123456789a\r\n0\r\n\r\n"), "01234567890123456789a"},
	{"unusual names", "GET", head("!#$%&'*+-.^_`|~09azAZ: 1", "x: 2", strings.Repeat("n", 300)+": 3"), "whole"},
	{"unusual values", "GET", head("A:", "B: \t ", "C:\tx\t y  z \t", "D: \"quoted\" (comment) ,;=?/\\{}[]@<>", "E: \x80\xff caf\u00e9"), "whole"},
	{"an unusual reason", "GET", "HTTP/1.1 200 \tSehr gut \xe4\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
	{"no reason", "GET", "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole", "whole"},
	{"no space before the missing reason", "GET", "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
	{"an unknown status", "GET", "HTTP/1.1 599 Unknown\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
	{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
	{"interim heads", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head(), "whole"},
	{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", ""},
	{"HEAD with chunks", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
	{"204", "POST", "HTTP/1.1 204 No Content\r\n\r\n", ""},
	{"304 with a length", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""},
	{"an empty body", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
}

// malformed are answers that the grammar does not allow.
var malformed = []struct{ name, answer string }{
	{"status 000", "HTTP/1.1 000 \r\nContent-Length: 5\r\n\r\nwhole"},
	{"status 099", "HTTP/1.1 099 Low\r\nContent-Length: 5\r\n\r\nwhole"},
	{"status 600", "HTTP/1.1 600 High\r\nContent-Length: 5\r\n\r\nwhole"},
	{"status 999", "HTTP/1.1 999 High\r\nContent-Length: 5\r\n\r\nwhole"},
	{"status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
	{"a signed status", "HTTP/1.1 +20 OK\r\nContent-Length: 5\r\n\r\nwhole"},
	{"a status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n\r\nwhole"},
	{"a status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 5\r\n\r\nwhole"},
	{"no status", "HTTP/1.1 \r\nContent-Length: 5\r\n\r\nwhole"},
	{"two spaces before the status", "HTTP/1.1  200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
	{"another protocol", "ICY 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
	{"another version", "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
	{"an empty line before the status line", "\r\n" + head()},
	{"a control byte in the reason", "HTTP/1.1 200 O\x00K\r\nContent-Length: 5\r\n\r\nwhole"},
	{"status 000 after an interim head", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\nContent-Length: 5\r\n\r\nwhole"},
	{"status 000 before a final head", "HTTP/1.1 000 \r\n\r\n" + head()},
	{"a line without a colon", head("X-Name")},
	{"an empty name", head(": value")},
	{"a folded value", head("X-Name: a", " b")},
	{"a folded first line", head(" X-Name: a")},
	{"a delimiter in a name", head("X(Name): a")},
	{"obs-text in a name", head("X\xe4Name: a")},
	{"a bare LF", "HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole"},
	{"a bare LF after a value", "HTTP/1.1 200 OK\r\nX: a\nContent-Length: 5\r\n\r\nwhole"},
	{"a bare LF as the empty line", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\nwhole"},
	{"a bare CR", head("X: a\rb")},
	{"a blank in an interim head's name", "HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\n" + head()},
	{"an empty length", "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nwhole"},
	{"a signed length", "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nwhole"},
	{"a negative length", "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nwhole"},
	{"a length in two parts", "HTTP/1.1 200 OK\r\nContent-Length: 5 0\r\n\r\nwhole"},
	{"a list of lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\nwhole"},
	{"two lengths", head("Content-Length: 4")},
	{"a length that is too large", "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\nwhole"},
	{"a length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
	{"another coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole"},
	{"two codings", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
	{"chunked twice", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
	{"no coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\nwhole"},
	{"an empty size of a chunk", chunked("\r\nwhole\r\n0\r\n\r\n")},
	{"a signed size of a chunk", chunked("+5\r\nwhole\r\n0\r\n\r\n")},
	{"a size of a chunk with a prefix", chunked("0x5\r\nwhole\r\n0\r\n\r\n")},
	{"a blank after the size of a chunk", chunked("5 \r\nwhole\r\n0\r\n\r\n")},
	{"a blank before the size of a chunk", chunked(" 5\r\nwhole\r\n0\r\n\r\n")},
	{"a bare LF after the size of a chunk", chunked("5\nwhole\r\n0\r\n\r\n")},
	{"a control byte in a chunk's extension", chunked("5;a\x00\r\nwhole\r\n0\r\n\r\n")},
	{"a size of a chunk that is too large", chunked("8000000000000000\r\nwhole\r\n0\r\n\r\n")},
	{"a chunk longer than its size", chunked("4\r\nwhole\r\n0\r\n\r\n")},
	{"a bare LF after a chunk", chunked("5\r\nwhole\n0\r\n\r\n")},
	{"a bare LF after the last chunk", chunked("5\r\nwhole\r\n0\r\n\n")},
	{"a blank in a trailer's name", chunked("5\r\nwhole\r\n0\r\nX Sum: 1\r\n\r\n")},
	{"a control byte in a trailer's name", chunked("5\r\nwhole\r\n0\r\nX\x01Sum: 1\r\n\r\n")},
	{"a control byte in a trailer's value", chunked("5\r\nwhole\r\n0\r\nX-Sum: \x01\r\n\r\n")},
	{"a head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", MaxHeadBytes/6+1)},
	{"interim heads without end", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", MaxHeadBytes/25+1)},
	{"trailers without end", chunked("0\r\n" + strings.Repeat("X: y\r\n", MaxHeadBytes/6+1))},
}

func init() {
	for b := range 0x80 {
		if b > ' ' && b != 0x7f {
			continue
		}
		for _, place := range []struct{ name, line string }{{"at the beginning of", "%cX-Name: a"}, {"in", "X-%cName: a"}, {"at the end of", "X-Name%c: a"}} {
			malformed = append(malformed, struct{ name, answer string }{
				fmt.Sprintf("byte %#02x %s a name", b, place.name), head(fmt.Sprintf(place.line, b))})
		}
		if b != ' ' && b != '\t' {
			malformed = append(malformed, struct{ name, answer string }{
				fmt.Sprintf("byte %#02x in a value", b), head(fmt.Sprintf("X-Name: a%cb", b))})
		}
	}
	for _, name := range []string{"Content-Length ", "Content Length", "Transfer-Encoding\t", "Transfer-Encoding "} {
		malformed = append(malformed, struct{ name, answer string }{
			fmt.Sprintf("a framing field with a blank in its name, %q", name),
			fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", name)})
	}
}

// scan gives a scanner an answer in pieces of a size, and returns the number of sound bytes.
func scan(method, answer string, size int) (int, error) {
	var s Scanner
	s.SetMethod(method)
	total := 0
	for p := []byte(answer); len(p) > 0; {
		n, err := s.Scan(p[:min(size, len(p))])
		total += n
		if err != nil {
			return total, err
		}
		p = p[n:]
	}
	return total, nil
}

var pieceSizes = []int{1, 2, 7, 1 << 20}

// TestSoundAnswersPass guards against answers that the grammar allows and that are rejected, or whose body net/http finds elsewhere.
func TestSoundAnswersPass(t *testing.T) {
	for _, tc := range sound {
		for _, size := range pieceSizes {
			if n, err := scan(tc.method, tc.answer, size); err != nil || n != len(tc.answer) {
				t.Errorf("%s, in pieces of %d: %d of %d bytes, %v", tc.name, size, n, len(tc.answer), err)
			}
		}
		if body, left, err := parse(tc.method, tc.answer); err != nil || body != tc.body || left != 0 {
			t.Errorf("%s: net/http finds the body %q, %d bytes left, %v", tc.name, body, left, err)
		}
	}
}

// parse returns the body that net/http finds in the final answer, and how many bytes are left after it.
func parse(method, answer string) (body string, left int, err error) {
	r := bufio.NewReader(strings.NewReader(answer))
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return "", 0, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		return string(raw), r.Buffered(), err
	}
}

// TestMalformedAnswersAreRejected guards against answers that the grammar does not allow and that pass.
func TestMalformedAnswersAreRejected(t *testing.T) {
	for _, tc := range malformed {
		want := -1
		for _, size := range pieceSizes {
			n, err := scan("GET", tc.answer, size)
			if _, ok := err.(*Error); !ok {
				t.Errorf("%s, in pieces of %d: error %v after %d of %d bytes", tc.name, size, err, n, len(tc.answer))
			}
			if want >= 0 && n != want {
				t.Errorf("%s: rejected after %d bytes in pieces of %d, after %d in others", tc.name, n, size, want)
			}
			want = n
		}
	}
}

// TestSeriesOfAnswers guards against an answer that is judged by what stood before it on its connection.
func TestSeriesOfAnswers(t *testing.T) {
	series := ""
	for _, tc := range sound {
		if tc.method != "HEAD" && tc.name != "neither a length nor chunks" {
			series += tc.answer
		}
	}
	for _, size := range pieceSizes {
		if n, err := scan("GET", series, size); err != nil {
			t.Errorf("in pieces of %d: %d of %d bytes, %v", size, n, len(series), err)
		}
		if n, err := scan("GET", series+"x", size); err == nil || n != len(series) {
			t.Errorf("in pieces of %d: a byte after the last answer is taken: %d of %d bytes, %v", size, n, len(series), err)
		}
	}
}

// FuzzFramingIsThatOfNetHTTP guards against answers in which net/http, which parses what passes, finds another end than the scanner.
func FuzzFramingIsThatOfNetHTTP(f *testing.F) {
	for _, tc := range sound {
		f.Add([]byte(tc.answer), tc.method == "HEAD")
	}
	for _, tc := range malformed {
		if len(tc.answer) < 1<<10 {
			f.Add([]byte(tc.answer), false)
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte, isHead bool) {
		method := "GET"
		if isHead {
			method = "HEAD"
		}
		var s Scanner
		s.SetMethod(method)
		for end := range len(raw) { // finds the end of the first final answer, if it has one
			if _, err := s.Scan(raw[end : end+1]); err != nil {
				return
			}
			if s.state != inVersion || s.count != 0 || s.Status() < http.StatusOK {
				continue
			}
			rest := []byte("HTTP/1.1 200 OK\r\n\r\n")
			if _, left, err := parse(method, string(append(bytes.Clone(raw[:end+1]), rest...))); err == nil && left != len(rest) {
				t.Errorf("%q: net/http leaves %d bytes of what follows, want %d", raw[:end+1], left, len(rest))
			}
			return
		}
	})
}
