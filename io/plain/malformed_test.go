package plain_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"rhubarbspread/core/call"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
	"rhubarbspread/io/dial"
	"rhubarbspread/io/plain"
)

// answerOnce runs a server that answers one request with a text.
func answerOnce(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, text)
		}
	}()
	return l.Addr().String()
}

// checkUnknown checks that answers of a service leave open whether a call ran.
func checkUnknown(t *testing.T, answers ...string) {
	t.Helper()
	for _, text := range answers {
		for _, isIdempotent := range []bool{false, true} {
			u := route.NewUpstream("u", answerOnce(t, text), "dc", "booking")
			q := &call.Request{Method: http.MethodPost, Path: "/x", Key: "k", Body: []byte("{}"), Idempotent: isIdempotent}
			answer, o := plain.New(dial.NewHostCache()).Send(t.Context(), u, "a", q)
			if _, ok := o.(reply.Unknown); !ok || answer != nil {
				t.Errorf("%q, idempotent %v: outcome %#v", text, isIdempotent, o)
			}
		}
	}
}

const attemptLine = plain.AttemptHeader + ": a\r\n"

// TestAnswerWithoutAStatusIsNone guards against a service's answer with a status such as 000 that counts as the answer to a call.
func TestAnswerWithoutAStatusIsNone(t *testing.T) {
	for _, status := range []string{"000 ", "099 Low", "101 Switching Protocols", "600 High", "999 High"} {
		checkUnknown(t, "HTTP/1.1 "+status+"\r\n"+attemptLine+"Content-Length: 5\r\n\r\nwrong",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 "+status+"\r\n"+attemptLine+"\r\nwrong")
	}
}

// TestNameWithABlankOrAControlByteEndsAnAnswer guards against a service's answer in which the name of a field holds a byte that no name
// may have, and that counts as the answer to a call.
func TestNameWithABlankOrAControlByteEndsAnAnswer(t *testing.T) {
	for _, line := range []string{"X Name: a", "X-Name : a", "X-Name\t: a", " X-Name: a", "X\x00Name: a", "\nX-Name: a", "X\x7fName: a"} {
		checkUnknown(t, "HTTP/1.1 200 OK\r\n"+attemptLine+line+"\r\nContent-Length: 5\r\n\r\nwrong",
			"HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n"+attemptLine+"Content-Length: 5\r\n\r\nwrong",
			"HTTP/1.1 200 OK\r\n"+attemptLine+"Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n"+line+"\r\n\r\n")
	}
	checkUnknown(t, "HTTP/1.1 200 OK\r\n"+attemptLine+"Content-Length : 5\r\n\r\nwrong bytes",
		"HTTP/1.1 200 OK\r\n"+attemptLine+"Transfer-Encoding : chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n")
}

// TestHeadGetsItsAnswer guards against the answer to HEAD, whose length is that of another answer, being judged as one with a body.
func TestHeadGetsItsAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(plain.AttemptHeader, r.Header.Get(plain.AttemptHeader))
		_, _ = io.WriteString(w, "body")
	})}
	defer server.Close()
	go func() { _ = server.Serve(l) }()
	client, u := plain.New(dial.NewHostCache()), route.NewUpstream("u", l.Addr().String(), "dc", "booking")
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodHead, http.MethodGet} {
		answer, o := client.Send(t.Context(), u, "a", &call.Request{Method: method, Path: "/x", Idempotent: true})
		want := "body"
		if method == http.MethodHead {
			want = ""
		}
		if answer == nil || string(answer.Body) != want {
			t.Errorf("%s: answer %v, outcome %#v", method, answer, o)
		}
	}
}
