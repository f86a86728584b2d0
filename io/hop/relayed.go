package hop

import (
	"context"
	"errors"
	"net"
	"time"
)

// RelayedConn is a connection to an upstream that another node passes on. A DialFunc returns it in place of a *net.TCPConn.
type RelayedConn struct {
	*net.TCPConn
	Relay string // name of the node
}

// unansweredTime is how long an exchange without an answer must have lasted to be reported although its caller left.
const unansweredTime = 300 * time.Millisecond

// WithOnUnanswered sets a function that is called after an exchange which broke off or was given up in vain, unless a
// relay passes its connection on. It must not block.
func WithOnUnanswered(f func(Target)) PoolOption { return func(p *Pool) { p.onUnanswered = f } }

// DropIdle closes the idle connections that relays pass on, or those that they don't.
func (p *Pool) DropIdle(relayed bool) {
	p.closeIdle(func(cn *conn) bool { return (cn.relay != "") == relayed })
}

// isOldRelayed reports whether a relay has passed the connection on for so long that it may be about to stop.
func (c *conn) isOldRelayed() bool { return c.relay != "" && time.Since(c.openedAt) > maxRelayedAge }

// fail closes the connection after an error, and draws the conclusions about others like it: a direct one is reported, and if
// it gave no answer the idle ones to the same upstream are closed, as they may have gone silent too; if one through a relay was
// too slow, the idle ones through the same relay are closed, as the relay may hang.
func (x *exchange) fail() {
	x.abort()
	wasGivenUp, isLong := x.ctx.Err() != nil, time.Since(x.startedAt) >= unansweredTime
	hasCallerLeft := errors.Is(context.Cause(x.ctx), context.Canceled)
	relay := x.conn.relay
	switch {
	case hasCallerLeft && (x.isAnswered || !isLong):
	case relay == "":
		if wasGivenUp && isLong && !x.isAnswered {
			x.pool.closeIdle(func(cn *conn) bool { return cn.relay == "" && cn.target == x.conn.target })
		}
		x.pool.onUnanswered(x.conn.target)
	case wasGivenUp:
		x.pool.closeIdle(func(cn *conn) bool { return cn.relay == relay })
	}
}
