package entry

import (
	"io"
	"time"
)

// linger makes the connection end soon after a refusal: what still arrives is read for a bounded time. Beyond a number, connections that
// linger count as callers' connections and give way first.
func (c *callerConn) linger() {
	hasPlace := c.node.reserveLinger()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.lingerUntil.IsZero() {
		if hasPlace {
			c.node.lingering.Add(-1)
		}
		return
	}
	c.lostTo, c.ending, c.hasPlace = "", false, hasPlace
	c.lingerUntil = time.Now().Add(lingerTime)
	_ = c.TCPConn.SetReadDeadline(c.lingerUntil)
}

// stopLinger closes a connection that lingers beyond the number of places, and reports whether it was one.
func (c *callerConn) stopLinger() bool {
	c.mu.Lock()
	isExtra := !c.lingerUntil.IsZero() && !c.hasPlace
	c.mu.Unlock()
	if !isExtra {
		return false
	}
	_ = c.TCPConn.Close()
	c.crowd.remove(c)
	if c.node.stats != nil {
		c.node.stats.Count("lingering-cut-short")
	}
	return true
}

// lingerInHandler makes the connection end soon after a refusal, and reads in a handler what still arrives: net/http may wait for as
// long as lingerTime before it closes the connection.
func (c *callerConn) lingerInHandler() {
	c.linger()
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
}

// reserveLinger counts one more lingering connection if there may be one. The count never exceeds the limit, not even for a moment, as
// it is subtracted from the connections that the limit on callers' connections counts.
func (n *Node) reserveLinger() bool {
	for {
		count := n.lingering.Load()
		if count >= int64(n.maxLingering()) {
			return false
		}
		if n.lingering.CompareAndSwap(count, count+1) {
			return true
		}
	}
}

// Close closes the connection and returns what its request held. One that lingers is read until its time is over or its caller
// has closed it.
func (c *callerConn) Close() error {
	c.endRequest()
	if c.isRefusedByServer() {
		c.linger()
	}
	c.mu.Lock()
	lingers, hasPlace := !c.lingerUntil.IsZero() && !c.closed, c.hasPlace
	c.closed = true
	c.mu.Unlock()
	if lingers {
		if hasPlace {
			defer c.node.lingering.Add(-1)
		}
		if !c.node.cutting.Load() {
			_ = c.CloseWrite()
			_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
		}
	}
	defer c.crowd.remove(c)
	return c.TCPConn.Close()
}
