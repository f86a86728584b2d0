package kern

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"rhubarbspread/core/chain"
	"rhubarbspread/core/conf"
	"rhubarbspread/core/limit"
	"rhubarbspread/core/route"
	"rhubarbspread/core/store"
)

// EntryVMKind is the kind of VM that runs a node.
const EntryVMKind = "entry"

const (
	inboxSize     = 1024             // updates
	unlistedGrace = 10 * time.Second // that an upstream missing from the list is kept while it reports
	reportTimeout = 3 * time.Second  // without a report after which an upstream missing from the list is removed
)

// Control owns the control state of a node. One goroutine changes it; request handling reads the published View.
type Control struct {
	node       string
	dataCentre string
	policy     route.Policy
	view       atomic.Pointer[View]
	inbox      chan Update
	onView     func(*View)
	seed       uint64 // of the pools' random choices; zero for a random one

	version  uint64
	document *conf.Document
	keyring  *conf.Keyring
	vms      map[string]*vm  // by name, without those that run nodes
	drains   map[string]bool // ordered drains by VM
	hasList  bool            // the list of VMs was read
	nodes    []string
	pools    map[string]*limit.Pool   // by model or service
	stages   map[string]*chain.Stages // by model
}

type vm struct {
	upstream        *route.Upstream
	listed          bool      // the list shows it
	listLeaving     bool      // the list shows it as leaving
	unlistedSince   time.Time // when it went missing from the list
	lastReport      time.Time
	models          []string // that an engine reports as held; nil if it reports none
	reportedLeaving bool     // the upstream itself reports that it is leaving
}

// ControlOption sets a part of a Control.
type ControlOption func(*Control)

// WithOnView sets the function that the control goroutine calls with each new View.
func WithOnView(f func(*View)) ControlOption { return func(c *Control) { c.onView = f } }

// WithPoolSeed sets the seed of the random choices of all pools.
func WithPoolSeed(seed uint64) ControlOption { return func(c *Control) { c.seed = seed } }

// NewControl returns the control state of a node; its first View has no document and no upstreams.
func NewControl(node, dataCentre string, policy route.Policy, opts ...ControlOption) *Control {
	c := &Control{
		node:       node,
		dataCentre: dataCentre,
		policy:     policy,
		inbox:      make(chan Update, inboxSize),
		onView:     func(*View) {},
		vms:        make(map[string]*vm),
		drains:     make(map[string]bool),
		nodes:      []string{node},
		pools:      make(map[string]*limit.Pool),
		stages:     make(map[string]*chain.Stages),
	}
	for _, o := range opts {
		o(c)
	}
	c.view.Store(&View{nodes: c.nodes})
	return c
}

// View returns the latest published View.
func (c *Control) View() *View { return c.view.Load() }

// Send queues an update for the control goroutine; it fails only if the context ends first.
func (c *Control) Send(ctx context.Context, update Update) error {
	select {
	case c.inbox <- update:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run applies updates until the context ends, and then reports on the channel.
func (c *Control) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			select {
			case update := <-c.inbox:
				c.apply(update)
			case <-ctx.Done():
				ended <- nil
				return
			}
		}
	}()
	return ended
}

func (c *Control) apply(update Update) {
	switch update := update.(type) {
	case DocumentUpdate:
		if update.Version <= c.version {
			return
		}
		c.version = update.Version
		c.document = update.Document
		c.keyring = conf.NewKeyring(update.Document)
	case VMListUpdate:
		c.hasList = true
		c.applyList(update.VMs)
	case NodesUpdate:
		c.applyNodes(update.Names)
	case DrainUpdate:
		if update.Drain {
			c.drains[update.Name] = true
		} else {
			delete(c.drains, update.Name)
		}
	case ReportUpdate:
		if !c.applyReport(update) {
			return
		}
	default:
		panic(fmt.Sprintf("kern: unexpected update %T", update))
	}
	c.publish()
}

func (c *Control) applyNodes(names []string) {
	nodes := slices.Clone(names)
	if !slices.Contains(nodes, c.node) {
		nodes = append(nodes, c.node)
	}
	slices.Sort(nodes)
	c.nodes = nodes
}

// applyList merges the list with the upstreams' reports. An upstream that is missing from the list stays for
// unlistedGrace while it reports, because the list lags and may be wrong.
func (c *Control) applyList(listed []store.VM) {
	now := time.Now()
	isListed := make(map[string]bool, len(listed))
	for _, l := range listed {
		if l.Kind == EntryVMKind {
			continue
		}
		isListed[l.Name] = true
		u := route.NewUpstream(l.Name, l.Address, l.DataCentre, l.Serves,
			route.WithLayers(l.FirstLayer, l.LastLayer), route.WithKind(l.Kind))
		v := c.vms[l.Name]
		if v == nil || *v.upstream != *u {
			v = &vm{upstream: u}
			c.vms[l.Name] = v
		}
		v.listed = true
		v.listLeaving = l.Leaving
	}
	for name, v := range c.vms {
		if !isListed[name] {
			c.dropUnlisted(name, v, now)
		}
	}
}

func (c *Control) dropUnlisted(name string, v *vm, now time.Time) {
	if v.listed {
		v.listed = false
		v.unlistedSince = now
	}
	if now.Sub(v.lastReport) > reportTimeout || now.Sub(v.unlistedSince) > unlistedGrace {
		delete(c.vms, name)
	}
}

// applyReport passes a report to the upstream's pools or stages, and reports whether the View changes.
func (c *Control) applyReport(update ReportUpdate) bool {
	v := c.vms[update.Upstream]
	if v == nil || update.Failed {
		return false
	}
	v.lastReport = time.Now()
	changed := v.reportedLeaving != update.Report.Leaving || !slices.Equal(v.models, update.Report.Models)
	v.reportedLeaving = update.Report.Leaving
	v.models = update.Report.Models
	for _, target := range v.targets() {
		if stages := c.stages[target]; stages != nil {
			stages.SetReport(update.Upstream, update.Report, update.RTT)
			c.setChainCapacity(target, stages)
		} else if pool := c.pools[target]; pool != nil {
			pool.SetReport(update.Upstream, update.Report, update.RTT)
		}
	}
	return changed
}

// targets returns the models or the service that an upstream serves. A whole-model engine's report takes precedence
// over the list, because an engine follows an order before the list shows it.
func (v *vm) targets() []string {
	if first, last := v.upstream.Layers(); v.models == nil || first != last {
		return []string{v.upstream.Serves()}
	}
	return v.models
}

// setChainCapacity sets the capacity in the admission pool of a split model to that of its stages together.
func (c *Control) setChainCapacity(model string, stages *chain.Stages) {
	requests, rate := stages.Capacity()
	if pool := c.pools[model]; pool != nil && requests > 0 {
		pool.SetReport(model, route.Report{Slots: requests, Rate: rate}, 0)
	}
}

// publish builds a View from the control state and publishes it.
func (c *Control) publish() {
	view := &View{
		version: c.version, document: c.document, hasList: c.hasList, nodes: c.nodes, draining: make(map[string]bool),
	}
	for _, v := range c.vms {
		view.upstreams = append(view.upstreams, v.upstream)
		if v.listLeaving || v.reportedLeaving || c.drains[v.upstream.Name()] {
			view.draining[v.upstream.Name()] = true
		}
	}
	slices.SortFunc(view.upstreams, func(a, b *route.Upstream) int { return cmp.Compare(a.Name(), b.Name()) })
	if c.document != nil {
		view.keyring = c.keyring
		c.updatePools(view)
	}
	view.pools = maps.Clone(c.pools)
	view.stages = maps.Clone(c.stages)
	c.view.Store(view)
	c.onView(view)
}

// updatePools sets the upstreams of each model and service of the document, and removes pools and stages of others.
func (c *Control) updatePools(view *View) {
	upstreams := make(map[string][]*route.Upstream) // by model or service
	for _, u := range view.upstreams {
		for _, target := range c.vms[u.Name()].targets() {
			upstreams[target] = append(upstreams[target], u)
		}
	}
	defined := make(map[string]bool)
	for name, model := range c.document.Models() {
		defined[name] = true
		if model.Layers() > 0 {
			c.updateStages(name, model.Layers(), upstreams[name], view.draining)
			continue
		}
		delete(c.stages, name)
		c.updatePool(name, c.members(upstreams[name], view.draining))
	}
	for name := range c.document.Services() {
		defined[name] = true
		c.updatePool(name, c.members(upstreams[name], view.draining))
	}
	maps.DeleteFunc(c.pools, func(name string, _ *limit.Pool) bool { return !defined[name] })
	maps.DeleteFunc(c.stages, func(name string, _ *chain.Stages) bool { return !defined[name] })
}

func (c *Control) members(upstreams []*route.Upstream, draining map[string]bool) []limit.Member {
	members := make([]limit.Member, len(upstreams))
	for i, u := range upstreams {
		members[i] = limit.Member{Upstream: u, SameDataCentre: u.DataCentre() == c.dataCentre, Draining: draining[u.Name()]}
	}
	return members
}

func (c *Control) updatePool(target string, members []limit.Member) {
	p := c.pools[target]
	if p == nil {
		p = limit.NewPool(target, c.policy, c.poolOptions()...)
		c.pools[target] = p
	}
	p.SetPatience(c.document.Limits().MaxPredictedWait())
	p.SetNodes(c.node, c.nodes)
	p.SetMembers(members)
}

func (c *Control) poolOptions() []limit.PoolOption {
	if c.seed == 0 {
		return nil
	}
	return []limit.PoolOption{limit.WithSeed(c.seed)}
}

// updateStages sets the upstreams of a split model's stages, and in its admission pool one member that stands for the
// whole chain.
func (c *Control) updateStages(model string, layers int, upstreams []*route.Upstream, draining map[string]bool) {
	s := c.stages[model]
	if s == nil || s.Layers() != layers {
		s = chain.NewStages(model, layers, time.Now)
		c.stages[model] = s
	}
	s.Set(upstreams, draining)
	whole := route.NewUpstream(model, "", c.dataCentre, model, route.WithLayers(0, layers))
	c.updatePool(model, []limit.Member{{Upstream: whole, SameDataCentre: true}})
	c.setChainCapacity(model, s)
}
