package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh"
)

// View is what traffic reads; it is never changed once published.
type View struct {
	Rules *rules.Rules // nil before the first configuration
	Raw   []byte       // of the configuration, for other nodes
	List  *fleet.List
	Items []store.FeedRow      // entries of the list, for other nodes
	Nodes map[string]mesh.Node // the other nodes
}

// change is news for the control goroutine.
type change struct {
	topic    store.Topic
	items    []store.FeedRow
	version  uint64
	snapshot bool // items are all rows
	direct   bool // from the store, not from another node
}

// control owns what the node believes; one goroutine runs it.
type control struct {
	node     *Node
	upstream map[string]*fleet.Upstream
	raws     map[string][]byte
	gone     map[string]time.Time // entries that lapsed around an outage of the store, and when they count as gone
	version  uint64
	rules    *rules.Rules
	raw      []byte
	nodes    map[string]mesh.Node
}

func newControl(n *Node) *control {
	return &control{
		node: n, upstream: make(map[string]*fleet.Upstream), raws: make(map[string][]byte), gone: make(map[string]time.Time),
		nodes: make(map[string]mesh.Node),
	}
}

// lapseCheck is how often entries that may come back are looked at.
const lapseCheck = 250 * time.Millisecond

// run takes in changes until the context ends.
func (c *control) run(ctx context.Context, changes <-chan change) error {
	tick := time.NewTicker(lapseCheck)
	defer tick.Stop()
	for {
		select {
		case ch := <-changes:
			c.take(ch)
		case <-tick.C:
			if !c.lapse() {
				continue
			}
		case <-ctx.Done():
			return nil
		}
		c.publish()
	}
}

func (c *control) take(ch change) {
	switch ch.topic {
	case store.Configuration:
		for _, it := range ch.items {
			c.configure(it)
		}
	case store.Upstreams:
		if ch.version < c.version && !(ch.snapshot && ch.direct) {
			return // from another node, and overtaken
		}
		// The newest row of a snapshot may be older than one that was removed since.
		c.version = max(c.version, ch.version)
		c.list(ch)
	case store.Nodes:
		for _, it := range ch.items {
			c.meet(it)
		}
	}
}

// configure puts a newer configuration in force; an unreadable one changes nothing.
func (c *control) configure(it store.FeedRow) {
	if it.Removed {
		return
	}
	r, err := c.node.platform.Rules(it.Value)
	if err != nil {
		c.node.log.Error(err, "configuration-unreadable")
		return
	}
	if c.rules != nil && r.Version() <= c.rules.Version() {
		return
	}
	c.rules, c.raw = r, it.Value
	c.node.log.Info("configuration", "version", r.Version(), "routes", r.Routes())
}

// list takes in entries of upstreams.
func (c *control) list(ch change) {
	seen := make(map[string]bool, len(ch.items))
	for _, it := range ch.items {
		seen[it.Key] = true
		c.entry(it)
	}
	if !ch.snapshot {
		return
	}
	for id := range c.upstream {
		if !seen[id] {
			c.entry(store.FeedRow{Key: id, Removed: true})
		}
	}
}

// entry takes in one entry. Around an outage of the store a lapsed entry counts as gone only after a while.
func (c *control) entry(it store.FeedRow) {
	old := c.upstream[it.Key]
	if it.Removed {
		if old == nil {
			return
		}
		if until := c.node.lapsesUntil(); time.Now().Before(until) && !old.Draining {
			if _, ok := c.gone[it.Key]; !ok {
				c.gone[it.Key] = until
			}
			return
		}
		c.remove(it.Key, "its entry is gone")
		return
	}
	u, err := c.node.platform.Upstream(it.Key, it.Value)
	if err != nil {
		c.node.log.Info("upstream-unreadable", "upstream", it.Key, "cause", err.Error())
		c.remove(it.Key, "its entry can't be read")
		return
	}
	delete(c.gone, it.Key)
	if old != nil && old.Incarnation == u.Incarnation && old.Draining {
		u.Draining = true // a late entry doesn't call a leaving upstream back
	}
	c.upstream[it.Key] = u
	c.raws[it.Key] = it.Value
	if old == nil || old.Incarnation != u.Incarnation || old.Draining != u.Draining || old.Layers != u.Layers || old.Address != u.Address {
		c.node.log.Info("upstream", "upstream", u.ID, "service", u.Service, "address", u.Address, "draining", u.Draining,
			"card", u.Card, "from", u.Layers.From, "to", u.Layers.To, "born", u.Incarnation)
	}
}

func (c *control) remove(id, cause string) {
	if _, ok := c.upstream[id]; !ok {
		return
	}
	delete(c.upstream, id)
	delete(c.raws, id)
	delete(c.gone, id)
	c.node.log.Info("upstream-gone", "upstream", id, "cause", cause)
}

// lapse removes entries that did not come back, and reports whether there were any.
func (c *control) lapse() bool {
	removed := false
	for id, until := range c.gone {
		if time.Now().After(until) {
			c.remove(id, "its entry lapsed and did not come back")
			removed = true
		}
	}
	return removed
}

// nodeRow is what a node writes of itself.
type nodeRow struct {
	Address    string `json:"address"` // for datagrams
	DataCentre string `json:"data-centre"`
}

func (c *control) meet(it store.FeedRow) {
	if it.Key == c.node.config.Node {
		return
	}
	if it.Removed {
		delete(c.nodes, it.Key)
		return
	}
	var row nodeRow
	err := json.Unmarshal(it.Value, &row)
	address, parseErr := netip.ParseAddrPort(row.Address)
	if err := errors.Join(err, parseErr); err != nil {
		c.node.log.Info("node-unreadable", "node", it.Key, "cause", err.Error())
		return
	}
	c.nodes[it.Key] = mesh.Node{Address: address, DataCentre: row.DataCentre}
}

func (c *control) publish() {
	v := &View{Rules: c.rules, Raw: c.raw, Nodes: make(map[string]mesh.Node, len(c.nodes))}
	list := make([]*fleet.Upstream, 0, len(c.upstream))
	for _, u := range c.upstream {
		list = append(list, u)
		v.Items = append(v.Items, store.FeedRow{Key: u.ID, Value: c.raws[u.ID]})
	}
	v.List = fleet.NewList(c.version, list)
	for name, a := range c.nodes {
		v.Nodes[name] = a
	}
	c.node.view.Store(v)
	c.node.board.SetUpstreams(v.List)
	c.node.budget.SetNodes(len(c.nodes) + 1)
	c.node.board.SetNodes(len(c.nodes) + 1)
}
