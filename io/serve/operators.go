package serve

import (
	"bytes"
	"io"
	"net"
	"net/http"

	"rhubarbspread/io/stats"

	"github.com/go-logr/logr"
)

// Limits on the requests of all operators together.
const (
	// operatorBytes holds two and a half of the largest requests: a head of 32 KiB in the shortest lines takes 2.7 MiB.
	operatorBytes = 8 << 20
	// maxOperatorBody bounds a body; that of a drain has a name.
	maxOperatorBody = 64 << 10
)

// OperatorLimits bounds the requests at the port for operators that a node holds.
type OperatorLimits struct{ bodies bodies }

// NewOperatorLimits returns the limits; their metrics go to s.
func NewOperatorLimits(s *stats.Set, log logr.Logger) *OperatorLimits {
	refused := s.Counter("refusals-by-admin-bytes-total")
	l := &OperatorLimits{bodies{name: "admin-bytes", refused: &counter{add: func() { refused.Add(1) }}, log: log}}
	l.bodies.budget.SetLimit(operatorBytes)
	return l
}

// LimitHeads makes the heads of requests count: it sets the server's ConnState and returns the listener to serve. The server needs
// WithConn as ConnContext.
func (l *OperatorLimits) LimitHeads(s *http.Server, listener net.Listener) net.Listener {
	return l.bodies.limitHeads(s, listener)
}

// Handler returns a handler that reads a request's body within the limits before next gets it, so that a request which runs is known
// from one that still arrives.
func (l *OperatorLimits) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := l.bodies.account(r)
		defer a.Close()
		raw, refusal := l.bodies.read(w, r, maxOperatorBody, a)
		if refusal != nil {
			writeRefusal(w, refusal)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
		next.ServeHTTP(w, r)
	})
}
