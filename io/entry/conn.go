package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"rhubarbspread/core/proxy"
	"rhubarbspread/core/quota"
	"rhubarbspread/io/ports"
)

// connHead is what a connection knows of the head that arrives on it.
type connHead struct {
	arriving bool // no request has begun since the last one
	parsed   bool // net/http has parsed or refused it, and may read behind it before the request begins
	size     ports.Head
	ended    bool // a read has failed, so that nothing more arrives
}

// isRead reports whether the next bytes are of the head.
func (h *connHead) isRead() bool { return h.arriving && !h.parsed }

// errHeadRefused is the error of a read after the connection itself has refused the head; net/http then answers nothing.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head was refused")}

// headRoom returns how many bytes of n the next read may bring. While a head arrives, it is what the configuration's limit leaves;
// net/http reads on only if the head is not complete. A head behind another request on the connection may be longer by the buffer
// of net/http, in which it began, until front looks at it as a whole.
func (c *callerConn) headRoom(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.head.isRead() {
		return n
	}
	return max(0, min(n, c.node.headLimit()-c.head.size.Bytes))
}

// chargeHead charges a part of a head that has arrived.
func (c *callerConn) chargeHead(p []byte) error {
	c.mu.Lock()
	if !c.head.isRead() {
		c.mu.Unlock()
		return nil
	}
	cost, a := c.head.size.Arrive(p), c.openAccount()
	c.mu.Unlock()
	a.Received(len(p))
	return a.Charge(cost)
}

// openAccount returns the account of the request that arrives. The caller holds c.mu.
func (c *callerConn) openAccount() *quota.Account {
	if c.account == nil {
		c.account = c.node.callerBudget.Open(c.evict)
	}
	return c.account
}

// endHead records that a read has failed, and returns the limit that has ended the read of a head, or "".
func (c *callerConn) endHead() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.ended = true
	if !c.head.isRead() {
		return ""
	}
	return c.lostTo
}

// refuseHead answers in place of net/http a head that is not read further.
func (c *callerConn) refuseHead(status int, limit string) error {
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", limitRetryAfter.Seconds())
	}
	text := http.StatusText(status) + "\n"
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(text), retryAfter, text)
	c.node.countRefusal(limit)
	c.node.log.Info("request-refused", "caller", c.RemoteAddr().String(), "status", status, "limit", limit)
	c.linger()
	return errHeadRefused
}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if cc, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, connKey{}, cc)
	}
	return ctx
}

// countRequests tells a connection when a request's head has arrived and when the request has ended. A request whose connection lost to
// a limit as the rest of its head arrived is refused: the read deadline in the past would cancel it.
func countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			defer c.endRequest()
			if limit := c.beginRequest(r.Header); limit != "" {
				c.refuseRequest(w, limit)
				return
			}
		}
		h.ServeHTTP(w, r)
	})
}

// beginRequest records that a head has arrived, and returns the limit that has ended its read nevertheless, or "".
// Lines that arrived behind another request, in the buffer of net/http, are charged only here.
func (c *callerConn) beginRequest(h http.Header) string {
	c.mu.Lock()
	c.head.arriving = false
	lostTo, missing := c.lostTo, c.head.size.Parsed(h)
	if lostTo != "" || missing == 0 {
		c.mu.Unlock()
		return lostTo
	}
	a := c.openAccount()
	c.mu.Unlock()
	if a.Charge(missing) != nil {
		return limitBytes
	}
	return ""
}

// refuseRequest answers a request whose head has arrived.
func (c *callerConn) refuseRequest(w http.ResponseWriter, limit string) {
	k := &sink{w: w, rc: http.NewResponseController(w), stopping: c.node.stopping.Load}
	w.Header().Set("Connection", "close")
	k.refuse(&proxy.Refusal{Status: http.StatusServiceUnavailable, Cause: http.StatusText(http.StatusServiceUnavailable), RetryAfter: limitRetryAfter})
	_ = k.rc.Flush()
	c.node.countRefusal(limit)
	c.node.log.Info("request-refused", "caller", c.RemoteAddr().String(), "status", http.StatusServiceUnavailable, "limit", limit)
	c.lingerInHandler()
}

// endRequest returns what the request held.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	a := c.account
	c.account = nil
	c.mu.Unlock()
	if a != nil {
		a.Close()
	}
}

// requestAccount returns the account of the request that is being served, or nil.
func (c *callerConn) requestAccount() *quota.Account {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account
}

// evict ends the read of a request that has lost its bytes, so that it is refused. A nil connection has no read to end.
func (c *callerConn) evict() { c.evictFor(limitBytes) }

// evictFor ends the read of a request that arrives, because of a limit. One that has arrived goes on.
func (c *callerConn) evictFor(limit string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.head.isRead() || c.readsBody) && c.lostTo == "" && c.lingerUntil.IsZero() {
		c.lostTo = limit
		_ = c.TCPConn.SetReadDeadline(longAgo)
	}
}

// setReadsBody records whether a body is being read. It returns the limit that has ended the read, or "".
func (c *callerConn) setReadsBody(reads bool) string {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsBody = reads
	return c.lostTo
}

// isRefusedByServer reports whether net/http has refused a head, such as one that it can't parse, of which more may arrive.
func (c *callerConn) isRefusedByServer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.arriving && c.head.size.Bytes > 0 && !c.head.ended && !c.closed
}
