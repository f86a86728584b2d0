package entry

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rhubarbspread/core/carry"
	"rhubarbspread/core/rules"
	"rhubarbspread/io/hop"
)

// Constants of the front door.
const (
	noDeadline   = 30 * time.Second       // for callers that tell none, on routes without a time-out
	comeBack     = time.Second            // asked of callers while the node can't tell what it may serve
	bodyDefault  = 4 << 20                // bytes, until a configuration tells a limit
	bodyTime     = 10 * time.Second       // in which a caller's body must be in
	writeGrace   = 500 * time.Millisecond // beyond a request's time for a caller to read its answer
	drainedBytes = 64 << 10               // of a body that a refusal still reads, so that the connection lives
)

// front is the callers' door.
type front struct{ node *Node }

// ServeHTTP carries one request.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := f.node
	arrived := time.Now()
	n.active.Add(1)
	defer n.active.Add(-1)
	s := &sink{w: w, rc: http.NewResponseController(w), stopping: n.stopping.Load}
	q, refusal := f.admit(r, arrived)
	if refusal == nil {
		_ = s.rc.SetWriteDeadline(q.ExpiresAt.Add(writeGrace))
		err := n.carrier.Run(r.Context(), q, s)
		switch {
		case err == nil:
			return
		case errors.Is(err, carry.ErrAnswerBroken), errors.Is(err, carry.ErrCallerGone), s.begun:
			panic(http.ErrAbortHandler) // the caller must see that the answer is not whole
		case !errors.As(err, &refusal):
			refusal = &carry.Refusal{Status: http.StatusBadGateway, Cause: err.Error()}
		}
	} else {
		n.log.Info("request-refused", "request", n.platform.Wire.Facts(r.Header).ID, "status", refusal.Status, "cause", refusal.Cause)
		_, _ = io.CopyN(io.Discard, r.Body, drainedBytes)
	}
	s.refuse(refusal)
}

// admit reads a request and checks it against the configuration.
func (f *front) admit(r *http.Request, arrived time.Time) (*carry.Request, *carry.Refusal) {
	n := f.node
	v := n.view.Load()
	if v == nil || v.Rules == nil {
		return nil, &carry.Refusal{Status: http.StatusServiceUnavailable, Cause: "no configuration yet", RetryAfter: comeBack}
	}
	if most := v.Rules.Limits().HeaderBytes; most > 0 && headerBytes(r) > most {
		return nil, &carry.Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Cause: "the headers are too large"}
	}
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(uri, "?")
	route := v.Rules.Match(r.Host, path)
	if route == nil {
		return nil, f.denied(v, http.StatusNotFound, "no route for the host and path")
	}
	q := &carry.Request{
		CallerHeaders: n.platform.Wire.Facts(r.Header), Method: r.Method, URI: uri, Host: r.Host, Route: route,
		Header: passOn(r.Header), Team: rules.Team{Priority: -1},
	}
	if v.Rules.NeedsKey(route) {
		team, ok := v.Rules.Team(q.APIKey)
		if !ok {
			return nil, f.denied(v, http.StatusUnauthorized, "the key is unknown")
		}
		q.Team = team
	}
	q.Service = v.Rules.Service(route.Service(rand.Float64()))
	if q.Service == nil {
		return nil, &carry.Refusal{Status: http.StatusServiceUnavailable, Cause: "the route's service is not configured", RetryAfter: comeBack}
	}
	q.ExpiresAt = arrived.Add(patience(route, q.Deadline))
	var refusal *carry.Refusal
	q.Body, refusal = readBody(r, v.Rules.Limits())
	return q, refusal
}

// headerBytes returns the size of a request's line and headers as they came, by and large.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// patience returns how long a request may take.
func patience(route *rules.Route, deadline time.Duration) time.Duration {
	d := noDeadline
	if route.Timeout > 0 {
		d = route.Timeout
	}
	if deadline > 0 {
		d = min(d, deadline)
	}
	return d
}

// denied refuses for good what the configuration lacks, unless the node may have missed a newer one.
func (f *front) denied(v *View, status int, cause string) *carry.Refusal {
	if !f.node.isCurrent() {
		return &carry.Refusal{
			Status:     http.StatusServiceUnavailable,
			Cause:      cause + " in configuration " + strconv.FormatUint(v.Rules.Version(), 10) + ", which may be out of date",
			RetryAfter: comeBack,
		}
	}
	return &carry.Refusal{Status: status, Cause: cause}
}

// passOn returns the headers that are not of the caller's connection alone.
func passOn(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hop.PerConnection(name) {
			out[name] = values
		}
	}
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}

func readBody(r *http.Request, limits rules.Limits) ([]byte, *carry.Refusal) {
	most := limits.BodyBytes
	if most <= 0 {
		most = bodyDefault
	}
	if r.ContentLength > most {
		return nil, &carry.Refusal{Status: http.StatusRequestEntityTooLarge, Cause: "the body is too large"}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err != nil {
		return nil, &carry.Refusal{Status: http.StatusBadRequest, Cause: "the body broke off: " + err.Error()}
	}
	if int64(len(body)) > most {
		return nil, &carry.Refusal{Status: http.StatusRequestEntityTooLarge, Cause: "the body is too large"}
	}
	return body, nil
}

// sink takes an answer to one caller.
type sink struct {
	w        http.ResponseWriter
	rc       *http.ResponseController
	begun    bool
	stopping func() bool
}

// Begin writes the status and headers as the upstream gave them.
func (s *sink) Begin(status int, h http.Header) {
	s.begun = true
	out := s.w.Header()
	for name, values := range h {
		out[name] = values
	}
	if h.Get("Content-Type") == "" {
		out["Content-Type"] = nil // or net/http would guess one
	}
	if s.stopping() {
		out.Set("Connection", "close")
	}
	s.w.WriteHeader(status)
}

// Write passes a piece of the body on at once.
func (s *sink) Write(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.rc.Flush()
}

// refuse answers with a status of the router's own.
func (s *sink) refuse(r *carry.Refusal) {
	h := s.w.Header()
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if s.stopping() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	s.w.WriteHeader(r.Status)
	_, _ = io.WriteString(s.w, r.Cause+"\n")
}
