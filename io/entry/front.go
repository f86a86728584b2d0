package entry

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rhubarbspread/core/proxy"
	"rhubarbspread/core/quota"
	"rhubarbspread/core/rules"
	"rhubarbspread/io/hop"
)

// Limits of callers' requests.
const (
	defaultTimeout        = 30 * time.Second       // of requests without a deadline, on routes without a timeout
	unavailableRetryAfter = time.Second            // Retry-After while the node does not know what it may serve
	elsewhereRetryAfter   = 50 * time.Millisecond  // Retry-After where another node can serve the request
	defaultBodyBytes      = 4 << 20                // largest body where the configuration sets no limit
	writeGrace            = 500 * time.Millisecond // beyond a request's deadline, for the caller to read the answer
	maxDrainedBytes       = 64 << 10               // read of a refused request's body, to keep the connection usable
)

// front serves callers.
type front struct{ node *Node }

// ServeHTTP forwards one request and its answer.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := f.node
	arrived := time.Now()
	n.activeRequests.Add(1)
	defer n.activeRequests.Add(-1)
	s := &sink{w: w, rc: http.NewResponseController(w), stopping: n.stopping.Load}
	h := n.hold(r.Context())
	defer h.account.Close()
	if !r.ProtoAtLeast(1, 1) {
		s.endsAnswer = h.conn
	}
	q, refusal := f.admit(r, arrived, h, s.rc)
	if refusal == nil {
		refusal = f.stopRefusal(q)
	}
	if !h.account.Serve() && refusal == nil {
		refusal = h.shortRefusal(quota.ErrEvicted)
	}
	if refusal == nil {
		_ = s.rc.SetWriteDeadline(q.ExpiresAt.Add(writeGrace))
		err := n.executor.Run(r.Context(), q, s)
		switch {
		case err == nil:
			s.end()
			return
		case errors.Is(err, proxy.ErrAnswerBroken), errors.Is(err, proxy.ErrCallerGone), s.headersSent:
			panic(http.ErrAbortHandler) // aborts the connection, so that the caller sees that the answer is incomplete
		case !errors.As(err, &refusal):
			refusal = &proxy.Refusal{Status: http.StatusBadGateway, Cause: err.Error()}
		}
	} else {
		n.log.Info("request-refused", "request", n.platform.Headers.ReadCallerHeaders(r.Header).ID,
			"status", refusal.Status, "cause", refusal.Cause, "limit", h.limit)
		n.countRefusal(h.limit)
	}
	h.refuse(s, r, refusal)
}

// admit reads a request and checks it against the configuration; it returns a refusal if the request can't be served.
func (f *front) admit(
	r *http.Request, arrived time.Time, h *held, rc *http.ResponseController,
) (*proxy.Request, *proxy.Refusal) {
	n := f.node
	v := n.view.Load()
	if v == nil || v.Rules == nil {
		return nil, noConfiguration()
	}
	if limit := v.Rules.Limits().HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, &proxy.Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Cause: "the headers are too large"}
	}
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	q := &proxy.Request{
		CallerHeaders: n.platform.Headers.ReadCallerHeaders(r.Header), Method: r.Method, URI: uri, Host: r.Host,
		Header: forwardedHeaders(r.Header), Team: rules.Team{Priority: -1},
	}
	refusal := f.resolve(v, q, func(t *rules.Route) string { return t.Service(rand.Float64()) })
	if refusal != nil {
		if q.Route != nil && n.lacksTeams(v.Rules) && !q.Route.Public {
			n.stats.Count("refused-without-teams")
		}
		return nil, refusal
	}
	q.ExpiresAt = arrived.Add(requestTimeout(q.Route, q.Deadline))
	if r.ContentLength == 0 {
		return q, nil
	}
	// A body may take as long as the request: its caller waits no longer.
	_ = rc.SetReadDeadline(q.ExpiresAt)
	if q.Body, refusal = h.readBody(r, v.Rules.Limits()); refusal == nil {
		_ = rc.SetReadDeadline(time.Time{})
	}
	return q, refusal
}

// noConfiguration returns the refusal of all requests until the node has a configuration.
func noConfiguration() *proxy.Refusal {
	return &proxy.Refusal{Status: http.StatusServiceUnavailable, Cause: "no configuration yet", RetryAfter: unavailableRetryAfter}
}

// resolve finds the route, the team and the service of a request; it returns a refusal if the configuration has none.
func (f *front) resolve(v *View, q *proxy.Request, choose func(*rules.Route) string) *proxy.Refusal {
	path, _, _ := strings.Cut(q.URI, "?")
	route := v.Rules.Match(q.Host, path)
	if route == nil {
		return f.configRefusal(v, http.StatusNotFound, "no route for the host and path")
	}
	q.Route = route
	if f.node.lacksTeams(v.Rules) && !route.Public {
		return &proxy.Refusal{
			Status: http.StatusServiceUnavailable, Cause: "the configuration has no teams, which the settings require",
			RetryAfter: unavailableRetryAfter,
		}
	}
	if v.Rules.NeedsKey(route) {
		team, ok := v.Rules.Team(q.APIKey)
		if !ok {
			return f.configRefusal(v, http.StatusUnauthorized, "the key is unknown")
		}
		q.Team = team
	}
	q.Service = v.Rules.Service(choose(route))
	if q.Service == nil {
		return &proxy.Refusal{
			Status: http.StatusServiceUnavailable, Cause: "the route's service is not configured",
			RetryAfter: unavailableRetryAfter,
		}
	}
	return nil
}

// stopRefusal refuses a request, such as one behind a long stream on a kept connection, that a stop may cut off before it ends;
// another node can serve it at once.
func (f *front) stopRefusal(q *proxy.Request) *proxy.Refusal {
	cutsAt := f.node.cutsAt.Load()
	if cutsAt == nil || !q.ExpiresAt.Add(writeGrace).After(*cutsAt) {
		return nil
	}
	return &proxy.Refusal{
		Status: http.StatusServiceUnavailable, Cause: "the node stops before the request's time is over", RetryAfter: elsewhereRetryAfter,
	}
}

// headerBytes returns the approximate size of a request's line and headers as received.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// requestTimeout returns how long a request may take; deadline is the time that the caller waits, or 0 if unknown.
func requestTimeout(route *rules.Route, deadline time.Duration) time.Duration {
	d := defaultTimeout
	if route.Timeout > 0 {
		d = route.Timeout
	}
	if deadline > 0 {
		d = min(d, deadline)
	}
	return d
}

// configRefusal refuses a request that the configuration does not allow; if the node may have missed a newer
// configuration, the caller may retry.
func (f *front) configRefusal(v *View, status int, cause string) *proxy.Refusal {
	if !f.node.isConfigCurrent() {
		return &proxy.Refusal{
			Status:     http.StatusServiceUnavailable,
			Cause:      cause + " in configuration " + strconv.FormatUint(v.Rules.Version(), 10) + ", which may be out of date",
			RetryAfter: unavailableRetryAfter,
		}
	}
	return &proxy.Refusal{Status: status, Cause: cause}
}

// forwardedHeaders returns the end-to-end headers, without those that apply to the caller's connection only.
func forwardedHeaders(h http.Header) http.Header {
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

// sink writes the answer to one caller.
type sink struct {
	w           http.ResponseWriter
	rc          *http.ResponseController
	headersSent bool
	stopping    func() bool
	endsAnswer  *callerConn // whose end is that of the answer, as HTTP/1.0 has no chunks; nil for other callers
}

// Begin writes the status and headers of the upstream's answer. Where the connection ends the answer, every close of it resets it until
// end is called, also one by the system.
func (s *sink) Begin(status int, h http.Header) {
	s.headersSent = true
	s.setLinger(0)
	out := s.w.Header()
	for name, values := range h {
		out[name] = values
	}
	if h.Get("Content-Type") == "" {
		out["Content-Type"] = nil // otherwise net/http would guess one
	}
	if s.stopping() {
		out.Set("Connection", "close")
	}
	s.w.WriteHeader(status)
}

// end lets the connection end an answer that is whole.
func (s *sink) end() { s.setLinger(-1) }

// setLinger sets what a close of a connection that ends the answer does: 0 resets it, -1 sends what is left.
func (s *sink) setLinger(seconds int) {
	if s.endsAnswer != nil {
		_ = s.endsAnswer.SetLinger(seconds) // fails only if the connection is gone
	}
}

// Write writes a part of the body and flushes it.
func (s *sink) Write(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.rc.Flush()
}

// Abort makes writes fail, also one that waits for the caller to read.
func (s *sink) Abort() { _ = s.rc.SetWriteDeadline(longAgo) }

// refuse answers with a refusal of the node itself.
func (s *sink) refuse(r *proxy.Refusal) {
	h := s.w.Header()
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if s.stopping() {
		h.Set("Connection", "close")
	}
	text := r.Cause + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text))) // so that the answer is complete before the connection closes
	s.w.WriteHeader(r.Status)
	_, _ = io.WriteString(s.w, text)
}
