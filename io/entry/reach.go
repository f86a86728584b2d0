package entry

import (
	"context"
	"net"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/reach"
	"rhubarbspread/io/hop"
	"rhubarbspread/io/tunnel"
)

// setUpReach sets up how the node connects to upstreams and how it does so for other nodes.
func (n *Node) setUpReach(tracker *reach.Tracker) {
	n.reach = newReacher(n.dial, tracker)
	n.reach.dataCentre = n.config.DataCentre
	n.reach.relays, n.reach.upstreams = n.relays, n.allUpstreams
	n.reach.count, n.reach.changed = n.stats.Count, n.reachChanged
	n.tunnels = tunnel.New(n.dialForOther, func() bool { return n.stopping.Load() || tracker.IsCut() },
		tunnel.WithLimit(maxTunnels(&n.config)), tunnel.WithOnLimit(n.logClosed))
	n.stats.Gauge("tunnels-open", func() any { return n.tunnels.Open() })
	n.stats.Gauge("cut-off", func() any {
		if tracker.IsCut() {
			return 1
		}
		return 0
	})
}

// relays returns the other nodes that may connect to upstreams for this one. Their tunnels use the TCP port with the number
// of the UDP port for datagrams.
func (n *Node) relays() []reach.Relay {
	nodes := n.mesh.LiveNodes()
	relays := make([]reach.Relay, 0, len(nodes))
	for name, node := range nodes {
		relays = append(relays, reach.Relay{Name: name, DataCentre: node.DataCentre, Address: node.Address.String()})
	}
	return relays
}

// allUpstreams returns a copy of the list of upstreams.
func (n *Node) allUpstreams() []*fleet.Upstream {
	v := n.view.Load()
	if v == nil || v.List == nil {
		return nil
	}
	return v.List.All()
}

// dialForOther connects to a listed upstream for another node, by this node itself only: a connection passes one relay.
func (n *Node) dialForOther(ctx context.Context, address string) (net.Conn, error) {
	for _, u := range n.allUpstreams() {
		if u.Address == address {
			return n.reach.dialDirect(ctx, hop.Target{ID: u.ID, Address: u.Address})
		}
	}
	return nil, tunnel.ErrForeign
}

// isAtFault reports whether an upstream that nothing reaches says more about this node than about the upstream.
func (n *Node) isAtFault() bool {
	v := n.view.Load()
	return v != nil && v.List != nil && n.reach.tracker.IsAtFault(v.List.Len())
}

// reachChanged applies the begin or the end of a cut: connections of the kind that is no longer wanted are closed, since they
// may hang or cost another node's link.
func (n *Node) reachChanged(change reach.Change) {
	isCut := change == reach.CutOff
	n.pool.DropIdle(!isCut)
	if !isCut {
		n.log.Info("cut-ended", "ms", time.Since(n.cutAt).Milliseconds())
		return
	}
	n.cutAt = time.Now()
	n.board.ForgetFailures()
	relay := ""
	if last := n.reach.lastRelay.Load(); last != nil {
		relay = last.relay
	}
	n.stats.Count("cuts")
	n.log.Info("cut-off", "upstreams", describeEvidence(n.reach.tracker.Evidence()), "relay", relay,
		"listed", len(n.allUpstreams()))
}

// tunnelPoll is the time between looks at the number of tunnels while the node stops.
const tunnelPoll = 20 * time.Millisecond

// awaitTunnels waits until other nodes no longer use this one as a relay, or the context ends.
func (n *Node) awaitTunnels(ctx context.Context) {
	for ctx.Err() == nil && n.tunnels.Open() > 0 {
		sleep(ctx, tunnelPoll)
	}
	if open := n.tunnels.Open(); open > 0 {
		n.log.Info("tunnels-cut", "open", open)
	}
}
