package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"rhubarbspread/core/quota"
	"rhubarbspread/core/reply"
	"rhubarbspread/io/ports"

	"github.com/go-logr/logr"
)

// Limits on the requests of all callers together.
const (
	// bodiesAtLeast is how many bodies of the largest size the budget holds at least: a body whose buffer grows is held twice, and
	// large bodies leave an eighth of the budget to small ones.
	bodiesAtLeast = 2.5
	// shortRetryAfter is the Retry-After of a refusal for lack of bytes. Requests that stop lose theirs in less.
	shortRetryAfter = time.Second
	// lingerTime is for a refused caller to read the answer: what still arrives is read for that long, as a connection that is closed
	// with unread bytes is reset.
	lingerTime = 500 * time.Millisecond
)

// connKey is the key of a request's net.Conn in its context.
type connKey struct{}

// WithConn adds a connection to the context of its requests; servers of Handler need it as their ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// bodies bounds the requests of callers, or of operators, that a node holds.
type bodies struct {
	name    string // of the limit, for logs
	budget  quota.Budget
	refused *counter
	log     logr.Logger
}

// open returns the account of a request. When it loses its bytes, the read of its body ends.
func (b *bodies) open(r *http.Request, limit int64) *quota.Account {
	b.budget.SetLimit(max(quota.DefaultLimit, int64(bodiesAtLeast*float64(limit))))
	return b.account(r)
}

// account is open without a change of the budget.
func (b *bodies) account(r *http.Request) *quota.Account {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	if h, ok := c.(*headConn); ok {
		a, _ := h.request(r.Header)
		return a
	}
	return b.budget.Open(func() {
		if c != nil {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	})
}

// read reads a body of at most limit bytes, charged to an account that the caller closes.
func (b *bodies) read(w http.ResponseWriter, r *http.Request, limit int64, a *quota.Account) ([]byte, *reply.Refusal) {
	err := chargeRest(r, a)
	var raw []byte
	if err == nil {
		raw, err = ports.ReadBody(r.Body, r.ContentLength, limit, a)
	}
	if err == nil && !a.Serve() {
		err = quota.ErrEvicted
	}
	switch {
	case err == nil:
		return raw, nil
	case errors.Is(err, ports.ErrTooLarge):
		b.linger(w, r)
		return nil, reply.NewRefusal(http.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("a body may have %d bytes", limit))
	case errors.Is(err, quota.ErrShort), errors.Is(err, quota.ErrEvicted):
		b.logRefusal(r.RemoteAddr, err)
		b.linger(w, r)
		return nil, shortRefusal(err)
	}
	return nil, badRequest("bad-body", err.Error())
}

// chargeRest charges the lines of a head that arrived behind another request, in the buffer of net/http.
func chargeRest(r *http.Request, a *quota.Account) error {
	h, ok := r.Context().Value(connKey{}).(*headConn)
	if !ok {
		return nil
	}
	if _, cost := h.request(r.Header); cost > 0 { // a charge of nothing would wait for room as well
		return a.Charge(cost)
	}
	return nil
}

// logRefusal counts and logs a refusal for lack of bytes.
func (b *bodies) logRefusal(caller string, cause error) {
	b.refused.add()
	b.log.Info("request-refused", "caller", caller, "status", http.StatusServiceUnavailable, "limit", b.name, "cause", cause.Error())
}

// linger makes the connection of a refused request end after the answer. net/http reads on until the deadline, or 256 KiB.
func (b *bodies) linger(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	switch c := r.Context().Value(connKey{}).(type) {
	case *headConn:
		c.linger()
	case net.Conn:
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	}
}
