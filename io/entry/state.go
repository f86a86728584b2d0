package entry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/netip"
	"slices"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/pacer"
	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh"
)

// View is a snapshot of the store's data that request handling reads; it is immutable.
type View struct {
	Rules    *rules.Rules // nil before the first configuration
	RawRules []byte       // encoded configuration, for other nodes
	List     *fleet.List
	Rows     []store.FeedRow      // entries of the upstreams, for other nodes
	NodeRows []store.FeedRow      // rows that nodes write, for other nodes
	Nodes    map[string]mesh.Node // other nodes in the store's list
	// Quarantines holds the requests in quarantine that have a row.
	Quarantines map[crash.Fingerprint]bool
}

// change holds changed rows of a topic for the control goroutine.
type change struct {
	topic     store.Topic
	rows      []store.FeedRow
	word      mesh.Word      // of the store, which covers the rows
	since     store.Revision // after which the rows changed; zero for a snapshot
	snapshot  bool           // rows are all rows of the topic
	fromStore bool           // read from the store, not fetched from another node
	from      mesh.Peer      // from which it was fetched; the zero Peer if it was read from the store
}

// control maintains the node's copy of the store's data; one goroutine runs it.
type control struct {
	node         *Node
	upstreams    map[string]*fleet.Upstream
	rawEntries   map[string][]byte    // encoded entries of the upstreams
	unusable     map[string]string    // why entries name no upstream of a configured service, by key
	expiring     map[string]time.Time // when entries that expired around an outage of the store count as removed
	list         store.Revision       // that the upstreams reflect at least
	rules        *rules.Rules
	rawRules     []byte
	unreadable   store.Revision // of a configuration that can't be decoded, until a newer one is in force; zero for none
	nodes        map[string]mesh.Node
	rawNodes     map[string][]byte          // rows that nodes write; empty until they have been read
	hasReadNodes bool                       // the rows of nodes have been read from the store
	quarantines  map[crash.Fingerprint]bool // those that have a row; replaced when it changes

	logsEntries    bool // each changed entry of the change that is being applied is logged
	changedEntries int  // of that change
}

func newControl(n *Node) *control {
	return &control{
		node: n, upstreams: make(map[string]*fleet.Upstream), rawEntries: make(map[string][]byte),
		unusable: make(map[string]string), expiring: make(map[string]time.Time), nodes: make(map[string]mesh.Node),
		rawNodes: make(map[string][]byte), quarantines: make(map[crash.Fingerprint]bool),
	}
}

// expiryInterval is the time between checks for expired entries that have not reappeared.
const expiryInterval = 250 * time.Millisecond

// run applies changes until the context is canceled.
func (c *control) run(ctx context.Context, changes <-chan change) error {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case ch := <-changes:
			c.handle(ch)
			continue
		case <-tick.C:
			if !c.removeExpired() {
				continue
			}
		case <-ctx.Done():
			return nil
		}
		c.publish()
	}
}

// handle puts a change in force, and then records the word of the store that came with it.
func (c *control) handle(ch change) {
	if !c.apply(ch) {
		return
	}
	if len(ch.rows) > 0 || ch.snapshot {
		c.publish()
	}
	c.node.addWord(ch)
}

// apply applies a change of any topic, and returns false if it is older than what the node has.
func (c *control) apply(ch change) bool {
	switch ch.topic {
	case store.Configuration:
		for _, row := range ch.rows {
			c.applyConfiguration(row, ch)
		}
		// No word of the store covers what is in force while there is a newer configuration that can't be decoded.
		isReadable := c.unreadable == store.Revision{}
		c.node.lacksNewestRules.Store(!isReadable)
		return isReadable
	case store.Upstreams:
		through := ch.word.Through
		if through.Compare(c.list) < 0 {
			return false
		}
		if !ch.snapshot && through.Era == c.list.Era {
			ch.rows = rowsAfter(ch.rows, c.list) // the others are applied, or have changed again
		}
		c.list = through
		c.applyUpstreams(ch)
	case store.Nodes:
		return c.applyNodes(ch)
	}
	return true
}

// rowsAfter returns the rows that changed after a revision of the same era.
func rowsAfter(rows []store.FeedRow, r store.Revision) []store.FeedRow {
	return slices.DeleteFunc(slices.Clone(rows), func(row store.FeedRow) bool { return row.Version <= r.Number })
}

// applyNodes applies changed rows of nodes, or all of them. Those that another node had tell nothing to one that has read the store,
// as they name no revision.
func (c *control) applyNodes(ch change) bool {
	if !ch.fromStore && c.hasReadNodes {
		return false
	}
	c.hasReadNodes = c.hasReadNodes || ch.fromStore
	if ch.snapshot {
		c.quarantines, c.rawNodes = make(map[crash.Fingerprint]bool), make(map[string][]byte)
		c.nodes = make(map[string]mesh.Node)
	}
	for _, row := range ch.rows {
		c.applyNodeRow(row)
	}
	if _, ok := c.rawNodes[c.node.config.Node]; !ok && ch.fromStore && c.node.announced.Load() {
		select {
		case c.node.rowLost <- struct{}{}:
		default: // it is about to be written
		}
	}
	return true
}

// applyConfiguration puts a newer configuration in force; one that can't be decoded changes nothing.
func (c *control) applyConfiguration(row store.FeedRow, ch change) {
	if row.Removed {
		return
	}
	r, err := c.node.platform.DecodeRules(row.Value)
	if err != nil {
		c.unreadable = ch.word.Changed
		c.node.log.Error(err, "configuration-unreadable")
		return
	}
	if ch.word.Changed.Compare(c.unreadable) >= 0 {
		c.unreadable = store.Revision{}
	}
	if c.rules != nil && r.Version() <= c.rules.Version() {
		return
	}
	c.rules, c.rawRules = r, row.Value
	c.node.sizeBudget(r)
	c.node.logConfiguration(r, ch)
}

// maxEntryLines is how many changed entries that come together are logged one by one.
const maxEntryLines = 16

// applyUpstreams applies changed entries, or a whole list, of upstreams.
func (c *control) applyUpstreams(ch change) {
	c.logsEntries, c.changedEntries = len(ch.rows) <= maxEntryLines, 0
	defer func() {
		if !c.logsEntries && c.changedEntries > 0 {
			c.node.log.Info("upstreams", "changed", c.changedEntries, "listed", len(c.upstreams), "version", ch.word.Through.Number)
		}
	}()
	listed := make(map[string]bool, len(ch.rows))
	for _, row := range ch.rows {
		listed[row.Key] = true
		c.applyEntry(row)
	}
	if !ch.snapshot {
		return
	}
	for id := range c.upstreams {
		if !listed[id] {
			c.applyEntry(store.FeedRow{Key: id, Removed: true})
		}
	}
}

// applyEntry applies one entry. Around an outage of the store, an expired entry counts as removed only after a grace
// period.
func (c *control) applyEntry(row store.FeedRow) {
	old := c.upstreams[row.Key]
	if row.Removed {
		if old == nil {
			return
		}
		if graceEnd := c.node.expiryGraceEnd(); time.Now().Before(graceEnd) && !old.Draining {
			if _, ok := c.expiring[row.Key]; !ok {
				c.expiring[row.Key] = graceEnd
			}
			return
		}
		c.remove(row.Key, "its entry is gone")
		return
	}
	u, err := c.node.platform.DecodeUpstream(row.Key, row.Value)
	if err != nil {
		c.node.log.Info("upstream-unreadable", "upstream", row.Key, "cause", err.Error())
		c.remove(row.Key, "its entry can't be read")
		return
	}
	delete(c.expiring, row.Key)
	if old != nil && old.Incarnation == u.Incarnation && old.Draining {
		u.Draining = true // a late entry doesn't end the draining of an upstream
	}
	c.upstreams[row.Key] = u
	c.rawEntries[row.Key] = row.Value
	if old == nil || old.Incarnation != u.Incarnation || old.Draining != u.Draining || old.Layers != u.Layers ||
		old.Address != u.Address {
		c.changedEntries++
		if !c.logsEntries {
			return
		}
		c.node.log.Info("upstream", "upstream", u.ID, "service", u.Service, "address", u.Address, "draining", u.Draining,
			"card", u.Card, "from", u.Layers.From, "to", u.Layers.To, "born", u.Incarnation)
	}
}

// remove removes an upstream and logs the cause.
func (c *control) remove(id, cause string) {
	if _, ok := c.upstreams[id]; !ok {
		return
	}
	delete(c.upstreams, id)
	delete(c.rawEntries, id)
	delete(c.unusable, id)
	delete(c.expiring, id)
	c.node.log.Info("upstream-gone", "upstream", id, "cause", cause)
}

// isUsable reports whether an entry names an upstream of a service of the configuration in force, and logs why it names none when
// that changes.
func (c *control) isUsable(u *fleet.Upstream) bool {
	cause := ""
	if c.rules != nil {
		if err := c.rules.CheckUpstream(u); err != nil {
			cause = err.Error()
		}
	}
	switch old, ok := c.unusable[u.ID]; {
	case cause == "" && ok:
		delete(c.unusable, u.ID)
		c.node.log.Info("upstream-usable", "upstream", u.ID, "rules", c.rules.Version())
	case cause != old:
		c.unusable[u.ID] = cause
		c.node.log.Info("upstream-unusable", "upstream", u.ID, "cause", cause, "rules", c.rules.Version())
	}
	return cause == ""
}

// removeExpired removes expired entries that have not reappeared, and reports whether there were any.
func (c *control) removeExpired() bool {
	removed := false
	for id, graceEnd := range c.expiring {
		if time.Now().After(graceEnd) {
			c.remove(id, "its entry expired and did not reappear")
			removed = true
		}
	}
	return removed
}

// applyNodeRow applies a row that a node has written: that of a node or of a quarantined request.
func (c *control) applyNodeRow(row store.FeedRow) {
	if row.Removed {
		delete(c.rawNodes, row.Key)
	} else {
		c.rawNodes[row.Key] = row.Value
	}
	if !c.applyQuarantine(row) {
		c.applyNode(row)
	}
}

// nodeRow is the row in which a node announces itself.
type nodeRow struct {
	Address    string  `json:"address"` // IP:port for datagrams
	DataCentre string  `json:"data-centre"`
	Capacity   float64 `json:"capacity,omitempty"` // see mesh.Node
}

// applyNode applies the row of another node.
func (c *control) applyNode(row store.FeedRow) {
	if row.Key == c.node.config.Node {
		return
	}
	if row.Removed {
		delete(c.nodes, row.Key)
		return
	}
	var node nodeRow
	err := json.Unmarshal(row.Value, &node)
	address, parseErr := netip.ParseAddrPort(node.Address)
	if err := errors.Join(err, parseErr); err != nil {
		c.node.log.Info("node-unreadable", "node", row.Key, "cause", err.Error())
		return
	}
	c.nodes[row.Key] = mesh.Node{Address: address, DataCentre: node.DataCentre, Capacity: node.Capacity}
}

// publish replaces the view by the current state and passes that on to the board and the retry budget.
func (c *control) publish() {
	v := &View{Rules: c.rules, RawRules: c.rawRules, Nodes: make(map[string]mesh.Node, len(c.nodes)),
		Quarantines: c.quarantines}
	list := make([]*fleet.Upstream, 0, len(c.upstreams))
	for _, u := range c.upstreams {
		if c.isUsable(u) {
			list = append(list, u)
		}
		if _, ok := c.expiring[u.ID]; !ok { // another node would take it for an entry that has reappeared
			v.Rows = append(v.Rows, store.FeedRow{Key: u.ID, Value: c.rawEntries[u.ID]})
		}
	}
	v.List = fleet.NewList(c.list.Number, list)
	for name, node := range c.nodes {
		v.Nodes[name] = node
	}
	for key, value := range c.rawNodes {
		v.NodeRows = append(v.NodeRows, store.FeedRow{Key: key, Value: value})
	}
	c.node.admissions.configure(c.rules)
	c.node.admissions.measure(v)
	c.node.view.Store(v)
	c.node.board.SetUpstreams(v.List)
	if len(c.rawNodes) > 0 { // until then the node must not take itself for the only one
		c.node.budget.SetNodes(len(c.nodes) + 1)
		names := append(slices.Collect(maps.Keys(c.nodes)), c.node.config.Node)
		slices.Sort(names)
		c.node.crashes.SetNodes(c.node.config.Node, names)
	}
	c.node.board.SetNodes(len(c.nodes) + 1)
	if len(c.rawNodes) > 0 {
		var others []uint32
		for name := range c.nodes {
			others = append(others, mesh.NameHash(name))
		}
		c.node.board.SetSharers(pacer.NewSharers(mesh.NameHash(c.node.config.Node), others))
	}
}
