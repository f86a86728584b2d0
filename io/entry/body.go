package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"rhubarbspread/core/proxy"
	"rhubarbspread/core/quota"
	"rhubarbspread/core/rules"
	"rhubarbspread/io/ports"
)

// Names of the added limits, for logs and counters.
const (
	limitBytes    = "caller-bytes"
	limitBodyTime = "body-time"
	limitHead     = "max-header-bytes"
)

// held is what a request holds of the budget, and the connection that it came on.
type held struct {
	account *quota.Account
	conn    *callerConn // nil if it is not TCP
	limit   string      // the limit that refused the request, or ""
	hasBody bool        // the whole body has been read
}

// connKey is the key of a request's *callerConn in its context.
type connKey struct{}

// hold returns what a request holds from now on. Its account has to be closed.
func (n *Node) hold(ctx context.Context) *held {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	if c != nil {
		if a := c.requestAccount(); a != nil {
			return &held{account: a, conn: c}
		}
	}
	return &held{account: n.callerBudget.Open(func() { c.evict() }), conn: c}
}

// shortRefusal returns the refusal of a request whose bytes are not free or went to others.
func (h *held) shortRefusal(err error) *proxy.Refusal {
	h.limit = limitBytes
	return &proxy.Refusal{Status: http.StatusServiceUnavailable, Cause: err.Error(), RetryAfter: limitRetryAfter}
}

// readBody reads a request's body within the limits.
func (h *held) readBody(r *http.Request, limits rules.Limits) ([]byte, *proxy.Refusal) {
	h.conn.setReadsBody(true)
	body, err := ports.ReadBody(r.Body, r.ContentLength, bodyLimit(limits), h.account)
	limit := h.conn.setReadsBody(false)
	switch {
	case err == nil && limit == "":
		h.hasBody = true
		return body, nil
	case errors.Is(err, ports.ErrTooLarge):
		return nil, &proxy.Refusal{Status: http.StatusRequestEntityTooLarge, Cause: err.Error()}
	case errors.Is(err, quota.ErrShort), errors.Is(err, quota.ErrEvicted):
		return nil, h.shortRefusal(err)
	case limit != "": // also if the body is there: the read deadline in the past would cancel the request
		h.limit = limit
		return nil, &proxy.Refusal{Status: http.StatusServiceUnavailable, Cause: "the connection made no progress and was needed", RetryAfter: limitRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		h.limit = limitBodyTime
		return nil, &proxy.Refusal{Status: http.StatusRequestTimeout, Cause: "the body did not arrive within the request's time"}
	}
	return nil, &proxy.Refusal{Status: http.StatusBadRequest, Cause: "the body broke off: " + err.Error()}
}

// refuse answers with a refusal. If the body has not arrived by then, the connection is closed, after a bounded time in which what
// still arrives is read.
func (h *held) refuse(s *sink, r *http.Request, refusal *proxy.Refusal) {
	if h.hasRead(s, r, refusal.Status) {
		s.refuse(refusal)
		return
	}
	s.w.Header().Set("Connection", "close")
	s.refuse(refusal)
	_ = s.rc.Flush()
	h.account.Close()
	if h.conn != nil {
		h.conn.lingerInHandler()
	}
}

// hasRead reads the rest of a refused request's body for a short time, and reports whether it has ended.
func (h *held) hasRead(s *sink, r *http.Request, status int) bool {
	switch {
	case h.limit != "" || status == http.StatusRequestEntityTooLarge:
		return false
	case r.ContentLength == 0 || h.hasBody:
		return true
	case strings.EqualFold(r.Header.Get("Expect"), "100-continue"):
		return false // a read would ask the caller for the body
	}
	_ = s.rc.SetReadDeadline(time.Now().Add(restTime))
	if _, err := io.CopyN(io.Discard, r.Body, maxDrainedBytes); err != io.EOF {
		return false
	}
	_ = s.rc.SetReadDeadline(time.Time{})
	return true
}
