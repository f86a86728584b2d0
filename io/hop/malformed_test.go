package hop

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

// second is an answer with the ID of the request, where the body of another one is due.
const second = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwrong"

// malformedAnswer is an answer that HTTP does not allow.
type malformedAnswer struct{ name, text string }

// checkRejected checks that answers count as none, of requests that may have run, and that their connections are not kept.
func checkRejected(t *testing.T, answers []malformedAnswer) {
	t.Helper()
	for _, tc := range answers {
		for _, isRelayed := range []bool{false, true} {
			s := serveCut(t, tc.text, false)
			p, relayed := relayable()
			relayed.Store(isRelayed)
			resp, err := p.Do(t.Context(), s.call("1"))
			if err == nil {
				body, readErr := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if readErr == nil {
					t.Errorf("%s, relayed %v: status %d, body %.60q", tc.name, isRelayed, resp.StatusCode, body)
				}
			}
			var e *Error
			if err != nil && (!errors.As(err, &e) || !e.Sent()) {
				t.Errorf("%s, relayed %v: error %v, want one of a request that may have run", tc.name, isRelayed, err)
			}
			if p.HasIdle(s.call("1").Target) {
				t.Errorf("%s, relayed %v: the connection is kept", tc.name, isRelayed)
			}
		}
	}
}

// TestAnswerWithoutAStatusIsNone guards against an answer with a status such as 000 that counts as an interim one, so that its body
// is read as the answer, or that is passed on.
func TestAnswerWithoutAStatusIsNone(t *testing.T) {
	var answers []malformedAnswer
	for _, status := range []string{"000 ", "000 OK", "001 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK", "+20 OK", "-01 OK", "2e2 OK", "20 OK", "0200 OK"} {
		head := "HTTP/1.1 " + status + "\r\nX-Id: 1\r\n"
		answers = append(answers,
			malformedAnswer{status + " with an answer as its body", head + "Content-Length: " + itoa(5) + "\r\n\r\n" + second},
			malformedAnswer{status + " with a length", head + "Content-Length: 5\r\n\r\nwrong"},
			malformedAnswer{status + " without a length", head + "\r\nwrong"},
			malformedAnswer{status + " after an interim head", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwrong"},
			malformedAnswer{status + " before another answer", head + "\r\n" + second})
	}
	checkRejected(t, answers)
}

// TestManyInterimHeadsPrecedeAnAnswer guards against a sound answer that is lost because more than two interim heads come before it.
func TestManyInterimHeadsPrecedeAnAnswer(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	s := serve(t, func(int64) (string, bool) { return interim + interim + interim + interim + answerTo("1", "yes"), false })
	if body, err := do(t, newPool(), s.call("1")); err != nil || body != "yes" {
		t.Errorf("%q, %v", body, err)
	}
}

// TestNameWithABlankOrAControlByteEndsAnAnswer guards against an answer in which the name of a field holds a byte that no name may have,
// and that is passed on with that line or, as the field frames it or the line ends the head, with another body.
func TestNameWithABlankOrAControlByteEndsAnAnswer(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	var answers []malformedAnswer
	for b := range 0x80 {
		if b > ' ' && b != 0x7f {
			continue
		}
		for _, format := range []string{"%cX-Name: a\r\n", "X-%cName: a\r\n", "X-Name%c: a\r\n"} {
			line := fmt.Sprintf(format, b)
			answers = append(answers,
				malformedAnswer{fmt.Sprintf("%q", line), begin + line + "Content-Length: 5\r\n\r\nwrong"},
				malformedAnswer{fmt.Sprintf("%q in an interim head", line), "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + second},
				malformedAnswer{fmt.Sprintf("%q in trailers", line), begin + "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n" + line + "\r\n"})
		}
		answers = append(answers,
			malformedAnswer{fmt.Sprintf("a length after byte %#02x", b), begin + fmt.Sprintf("Content-Length%c: 5\r\n\r\nwrong bytes", b)},
			malformedAnswer{fmt.Sprintf("chunks after byte %#02x", b), begin + fmt.Sprintf("Transfer-Encoding%c: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", b)},
			malformedAnswer{fmt.Sprintf("both after byte %#02x", b), begin + fmt.Sprintf("Transfer-Encoding%c: chunked\r\nContent-Length: 5\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", b)})
	}
	checkRejected(t, answers)
}

// TestUnusualFieldsArePassedOn guards against sound answers that are rejected, or changed, for names and values that few servers send.
func TestUnusualFieldsArePassedOn(t *testing.T) {
	names := map[string]string{
		"X!#$%&'*+-.^_`|~9": "tchar", "X-Empty": "", "X-Quoted": `"a, b"; c=(d)`, "X-Blanks": "a \t b", "X-Obs": "caf\xe9 \x80\xff",
		"X" + strings.Repeat("-Long", 200): strings.Repeat("v", 8<<10),
	}
	text := "HTTP/1.1 200 \r\nX-Id: 1\r\nx-lower:  a\t\r\n"
	for name, value := range names {
		text += name + ":" + value + "\r\n"
	}
	for _, rest := range []string{"Content-Length: 3\r\n\r\nyes", "Transfer-Encoding: chunked\r\n\r\n3;a=\"b c\";d\r\nyes\r\n0\r\nX-Sum: 1\r\n\r\n", "\r\nyes"} {
		s := serve(t, func(int64) (string, bool) { return text + rest, true })
		resp, err := newPool().Do(t.Context(), s.call("1"))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || string(body) != "yes" || resp.Header.Get("X-Lower") != "a" {
			t.Errorf("%q: body %q, %v, header %v", rest, body, err, resp.Header)
		}
		for name, value := range names {
			if got := resp.Header.Values(name); len(got) != 1 || got[0] != value {
				t.Errorf("%.30s: %.60q", name, got)
			}
		}
	}
}
