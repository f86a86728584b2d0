package entry

import (
	"cmp"
	"net"
	"net/http"
	"time"

	"rhubarbspread/core/rules"
	"rhubarbspread/io/ports"
)

// Limits on what all callers together make a node hold.
const (
	// nodeBytes is what a node takes without callers; 12 to 25 MiB were measured.
	nodeBytes = 24 << 20
	// connBytes is what a caller's connection takes beside its request: two buffers of net/http of 4 KiB each, of which one holds
	// what arrives behind a request, a goroutine and its stack.
	connBytes = 24 << 10
	// callerBytesShare is the part of the memory left by these that requests may take; the collector needs the other half.
	callerBytesShare = 0.5
	// bodiesAtLeast is how many of the largest requests the budget holds at least: a body whose buffer grows is held twice, and
	// large requests leave an eighth of the budget to small ones.
	bodiesAtLeast = 2.5
	// defaultHeadBytes is the largest head where the configuration sets no limit.
	defaultHeadBytes = 64 << 10
	// defaultMemoryMB and defaultMaxFDs hold where the settings state none: those of the smallest VM in use.
	defaultMemoryMB = 136
	defaultMaxFDs   = 2870
)

// Times for callers that are refused.
const (
	// lingerTime and lingerBytes bound what is read from a refused caller after the answer. A connection that is closed before
	// that is reset, and the caller may lose the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// restTime is for the rest of a refused request's body, so that the connection stays usable.
	restTime = 200 * time.Millisecond
	// lingerShare is the divisor of the limit on callers' connections that gives how many refused ones may stay open beyond it.
	lingerShare = 6
	// limitRetryAfter is the Retry-After of a refusal by a limit. Requests that stop lose their bytes in half that time.
	limitRetryAfter = time.Second
)

// callerBytes returns how many bytes all requests of callers may hold together while a number of connections is open. headBytes is the
// most that a head may take.
func callerBytes(c *Config, headBytes, bodyBytes, conns int64) int64 {
	memory := float64(cmp.Or(c.MemoryMB, defaultMemoryMB)) * memoryShare * (1 << 20)
	rest := memory - nodeBytes - connBytes*float64(conns)
	return max(int64(rest*callerBytesShare), int64(bodiesAtLeast*float64(headBytes+bodyBytes)))
}

// Bytes that answers to all callers together may hold: a share of the soft memory limit, and a bound that the smallest VM in use reaches.
const (
	answerBytesShare = 0.2
	maxAnswerBytes   = 16 << 20
)

// answerBytes returns how many bytes answers to all callers may hold together.
func answerBytes(c *Config) int64 {
	return min(maxAnswerBytes, int64(float64(cmp.Or(c.MemoryMB, defaultMemoryMB))*memoryShare*answerBytesShare*(1<<20)))
}

// bodyLimit returns the largest body that a caller may send.
func bodyLimit(limits rules.Limits) int64 {
	if limits.BodyBytes <= 0 {
		return defaultBodyBytes
	}
	return limits.BodyBytes
}

// sizeBudget sets the budget of callers' bytes by the settings and the configuration in force.
func (n *Node) sizeBudget(r *rules.Rules) {
	var limits rules.Limits
	if r != nil {
		limits = r.Limits()
	}
	n.bodyBytes.Store(bodyLimit(limits))
	n.resizeBudget()
}

// resizeBudget sets the budget of callers' bytes by the connections that are open. Room for the most connections is not kept free: a
// few bodies of the largest size would fill the rest on the smallest VM.
func (n *Node) resizeBudget() {
	c := n.settings.Load()
	if c == nil {
		c = &Config{}
	}
	n.callerBudget.SetLimit(callerBytes(c, ports.HeadCost(n.headLimit()), n.bodyBytes.Load(), n.callerConns.Load()))
}

// currentRules returns the configuration in force, or nil.
func (n *Node) currentRules() *rules.Rules {
	if v := n.view.Load(); v != nil {
		return v.Rules
	}
	return nil
}

// filesReserved is how many of a node's descriptors are for files; sockets and pipes share the rest.
const filesReserved = 200

// callerConnShare is the part of a node's sockets that are for callers. Each request that runs needs another one to an upstream, and
// refused ones a sixth; with the tunnels' fifth a tenth is left for the store, other nodes and the ports for metrics and checks.
const callerConnShare = 0.32

// maxCallerConns returns how many connections of callers a node keeps open.
func maxCallerConns(c *Config) int {
	return max(1, int(callerConnShare*float64(cmp.Or(c.MaxFDs, defaultMaxFDs)-filesReserved)))
}

// connLimit returns how many connections of callers the node keeps open by the settings in force.
func (n *Node) connLimit() int {
	if c := n.settings.Load(); c != nil {
		return maxCallerConns(c)
	}
	return maxCallerConns(&Config{})
}

// maxLingering returns how many refused connections may stay open for a while.
func (n *Node) maxLingering() int { return max(1, n.connLimit()/lingerShare) }

// headLimit returns the largest head that a caller may send.
func (n *Node) headLimit() int {
	if r := n.currentRules(); r != nil && r.Limits().HeaderBytes > 0 {
		return r.Limits().HeaderBytes
	}
	return defaultHeadBytes
}

// countRefusal counts a refusal by a limit, unless its name is "".
func (n *Node) countRefusal(limit string) {
	if limit != "" && n.stats != nil {
		n.stats.Count("refused-by-" + limit)
	}
}

// Limits of the servers of the readiness check and of the metrics page, whose requests are a few lines.
const (
	sideConns       = 32
	sideHeadBytes   = 4 << 10 // net/http adds 4 KiB
	sideTimeout     = 10 * time.Second
	sideIdleTimeout = time.Minute // longer than the pauses between checks and between collections of metrics
)

// sideServer returns the server of a port that is not for callers, whose connections and requests are limited.
func (n *Node) sideServer(h http.Handler, name string) *http.Server {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: sideTimeout, WriteTimeout: sideTimeout, IdleTimeout: sideIdleTimeout,
		MaxHeaderBytes: sideHeadBytes, ErrorLog: discardLog(),
	}
	ports.LimitConns(s, sideConns, true, func(c net.Conn) { n.logClosed(name+"-connections", c.RemoteAddr().String()) })
	return s
}

// logClosed counts and logs a connection that a limit has refused or closed.
func (n *Node) logClosed(limit, client string) {
	n.countRefusal(limit)
	n.log.Info("connection-closed", "caller", client, "limit", limit)
}

// tunnelShare is the part of a node's sockets that gives how many tunnels of other nodes it opens; each takes two sockets.
const tunnelShare = 0.1

// maxTunnels returns how many tunnels of other nodes may be open.
func maxTunnels(c *Config) int {
	return max(1, int(tunnelShare*float64(cmp.Or(c.MaxFDs, defaultMaxFDs)-filesReserved)))
}

// controlConnShare is the part of a node's sockets that other nodes' RPCs may have, out of the tenth that callers, upstreams and tunnels
// leave.
const controlConnShare = 0.04

// maxControlConns returns how many connections of other nodes' RPCs may be open.
func maxControlConns(c *Config) int {
	return max(1, int(controlConnShare*float64(cmp.Or(c.MaxFDs, defaultMaxFDs)-filesReserved)))
}
