package hop

import (
	"errors"
	"io"
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
