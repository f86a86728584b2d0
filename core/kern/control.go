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

// EntryKind is the kind of VM that runs a node.
const EntryKind = "entry"

const (
	inboxSize   = 1024
	absentGrace = 10 * time.Second // that an upstream the list lost is kept while it still answers
	reportGrace = 3 * time.Second  // without a report after which it does not answer
)

// Control owns the control state; one goroutine changes it, and traffic reads the View.
type Control struct {
	node       string
	dataCentre string
	policy     route.Policy
	view       atomic.Pointer[View]
	inbox      chan Input
	onView     func(*View)
	seed       uint64

	version  uint64
	document *conf.Document
	keyring  *conf.Keyring
	machines map[string]*machine
	drains   map[string]bool
	nodes    []string
	pools    map[string]*limit.Pool
	stages   map[string]*chain.Stages
}

type machine struct {
	upstream *route.Upstream
	listed   bool
	leaving  bool
	absent   time.Time // since when the list lacks it
	reported time.Time
	models   []string // that an engine says it holds; nil where it does not say
	told     bool     // the upstream itself says that it is leaving
}

// ControlOption sets a part of a Control.
type ControlOption func(*Control)

// WithOnView sets what is called with each new View, on the control goroutine.
func WithOnView(f func(*View)) ControlOption { return func(c *Control) { c.onView = f } }

// WithPoolSeed fixes the random choices of all pools.
func WithPoolSeed(seed uint64) ControlOption { return func(c *Control) { c.seed = seed } }

// NewControl returns the control state of a node, with an empty View.
func NewControl(node, dataCentre string, policy route.Policy, opts ...ControlOption) *Control {
	c := &Control{
		node:       node,
		dataCentre: dataCentre,
		policy:     policy,
		inbox:      make(chan Input, inboxSize),
		onView:     func(*View) {},
		machines:   make(map[string]*machine),
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

// View returns the present control state.
func (c *Control) View() *View { return c.view.Load() }

// Send hands a change to the control goroutine; it fails only when the context ends.
func (c *Control) Send(ctx context.Context, in Input) error {
	select {
	case c.inbox <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run applies changes until the context ends, and then reports on the channel.
func (c *Control) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			select {
			case in := <-c.inbox:
				c.apply(in)
			case <-ctx.Done():
				ended <- nil
				return
			}
		}
	}()
	return ended
}

func (c *Control) apply(in Input) {
	switch in := in.(type) {
	case NewDocument:
		if in.Version <= c.version {
			return
		}
		c.version = in.Version
		c.document = in.Document
		c.keyring = conf.NewKeyring(in.Document)
	case NewMachines:
		c.applyMachines(in.Machines)
	case NewNodes:
		c.applyNodes(in.Names)
	case NewDrain:
		if in.Drain {
			c.drains[in.Name] = true
		} else {
			delete(c.drains, in.Name)
		}
	case NewReport:
		if !c.applyReport(in) {
			return
		}
	default:
		panic(fmt.Sprintf("kern: input %T", in))
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

// applyMachines joins the list with what the upstreams themselves say: one that the list lost stays
// while it answers, for the list lags and may err.
func (c *Control) applyMachines(listed []store.Machine) {
	now := time.Now()
	seen := make(map[string]bool, len(listed))
	for _, l := range listed {
		if l.Kind == EntryKind {
			continue
		}
		seen[l.Name] = true
		u := route.NewUpstream(l.Name, l.Address, l.DataCentre, l.Serves,
			route.WithLayers(l.FirstLayer, l.LastLayer), route.WithKind(l.Kind))
		m := c.machines[l.Name]
		if m == nil || *m.upstream != *u {
			m = &machine{upstream: u}
			c.machines[l.Name] = m
		}
		m.listed = true
		m.leaving = l.Leaving
	}
	for name, m := range c.machines {
		if !seen[name] {
			c.dropAbsent(name, m, now)
		}
	}
}

func (c *Control) dropAbsent(name string, m *machine, now time.Time) {
	if m.listed {
		m.listed = false
		m.absent = now
	}
	if now.Sub(m.reported) > reportGrace || now.Sub(m.absent) > absentGrace {
		delete(c.machines, name)
	}
}

// applyReport passes a report on and says whether it changes the View.
func (c *Control) applyReport(in NewReport) bool {
	m := c.machines[in.Upstream]
	if m == nil || in.Failed {
		return false
	}
	m.reported = time.Now()
	changed := m.told != in.Report.Leaving || !slices.Equal(m.models, in.Report.Models)
	m.told = in.Report.Leaving
	m.models = in.Report.Models
	for _, target := range m.serves() {
		if stages := c.stages[target]; stages != nil {
			stages.SetReport(in.Upstream, in.Report, in.Link)
			c.sizeChain(target, stages)
		} else if pool := c.pools[target]; pool != nil {
			pool.SetReport(in.Upstream, in.Report, in.Link)
		}
	}
	return changed
}

// serves returns the models or the service of an upstream: by its own word, for engines follow orders
// sooner than the list shows it, or else by the list.
func (m *machine) serves() []string {
	if first, last := m.upstream.Layers(); m.models == nil || first != last {
		return []string{m.upstream.Serves()}
	}
	return m.models
}

// sizeChain tells the admission of a split model how much its stages carry together.
func (c *Control) sizeChain(model string, stages *chain.Stages) {
	requests, rate := stages.Capacity()
	if pool := c.pools[model]; pool != nil && requests > 0 {
		pool.SetReport(model, route.Report{Slots: requests, Rate: rate}, 0)
	}
}

// publish makes the View that follows from the state.
func (c *Control) publish() {
	v := &View{version: c.version, document: c.document, nodes: c.nodes, draining: make(map[string]bool)}
	for _, m := range c.machines {
		v.upstreams = append(v.upstreams, m.upstream)
		if m.leaving || m.told || c.drains[m.upstream.Name()] {
			v.draining[m.upstream.Name()] = true
		}
	}
	slices.SortFunc(v.upstreams, func(a, b *route.Upstream) int { return cmp.Compare(a.Name(), b.Name()) })
	if c.document != nil {
		v.keyring = c.keyring
		c.fillPools(v)
	}
	v.pools = maps.Clone(c.pools)
	v.stages = maps.Clone(c.stages)
	c.view.Store(v)
	c.onView(v)
}

// fillPools gives each model and service of the document its upstreams.
func (c *Control) fillPools(v *View) {
	serving := make(map[string][]*route.Upstream)
	for _, u := range v.upstreams {
		for _, target := range c.machines[u.Name()].serves() {
			serving[target] = append(serving[target], u)
		}
	}
	wanted := make(map[string]bool)
	for name, model := range c.document.Models() {
		wanted[name] = true
		if model.Layers() > 0 {
			c.fillStages(name, model.Layers(), serving[name], v.draining)
			continue
		}
		delete(c.stages, name)
		c.fillPool(name, c.members(serving[name], v.draining))
	}
	for name := range c.document.Services() {
		wanted[name] = true
		c.fillPool(name, c.members(serving[name], v.draining))
	}
	maps.DeleteFunc(c.pools, func(name string, _ *limit.Pool) bool { return !wanted[name] })
	maps.DeleteFunc(c.stages, func(name string, _ *chain.Stages) bool { return !wanted[name] })
}

func (c *Control) members(upstreams []*route.Upstream, draining map[string]bool) []limit.Member {
	members := make([]limit.Member, len(upstreams))
	for i, u := range upstreams {
		members[i] = limit.Member{Upstream: u, Home: u.DataCentre() == c.dataCentre, Draining: draining[u.Name()]}
	}
	return members
}

func (c *Control) fillPool(target string, members []limit.Member) {
	p := c.pools[target]
	if p == nil {
		p = limit.NewPool(target, c.policy, c.poolOptions()...)
		c.pools[target] = p
	}
	p.SetPatience(c.document.Limits().Patience())
	p.SetNodes(c.node, c.nodes)
	p.SetMembers(members)
}

func (c *Control) poolOptions() []limit.PoolOption {
	if c.seed == 0 {
		return nil
	}
	return []limit.PoolOption{limit.WithSeed(c.seed)}
}

// fillStages gives a split model its stages, and its admission one seat that stands for them all.
func (c *Control) fillStages(model string, layers int, upstreams []*route.Upstream, draining map[string]bool) {
	s := c.stages[model]
	if s == nil || s.Layers() != layers {
		s = chain.NewStages(model, layers, time.Now)
		c.stages[model] = s
	}
	s.Set(upstreams, draining)
	whole := route.NewUpstream(model, "", c.dataCentre, model, route.WithLayers(0, layers))
	c.fillPool(model, []limit.Member{{Upstream: whole, Home: true}})
	c.sizeChain(model, s)
}
