package daemon

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"rhubarbspread/core/event"
	"rhubarbspread/core/lease"
	"rhubarbspread/core/member"
	"rhubarbspread/core/route"
	"rhubarbspread/core/scale"
)

// Constants of capacity.
const (
	leaseTerm          = 10 * time.Second
	scalePeriod        = time.Second
	weightLoadInterval = 5 * time.Second // between loads, for the weight store's rate
	// drainPropagation is how long after a drain an engine's report shows no request that a node sent before it
	// heard: 2 s for the word to reach all, and the lag of the report.
	drainPropagation = 6 * time.Second
)

// engineFleet is the holder's side of the orders to engines. It does nothing for models whose document asks
// for no replicas.
type engineFleet struct {
	node          *Node
	forecasts     map[string]*scale.Forecast
	drainingSince map[string]time.Time
}

// reconcileCapacity contends for the lease and, while it holds it, brings engines to what demand needs.
func (n *Node) reconcileCapacity(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	l := lease.New(n.table, "capacity/"+n.config.Environment, fmt.Sprintf("%s/%x", n.config.Node, time.Now().UnixNano()), leaseTerm)
	c := &engineFleet{node: n, forecasts: make(map[string]*scale.Forecast), drainingSince: make(map[string]time.Time)}
	r := scale.NewReconciler(l, c, c.desiredModels, weightLoadInterval)
	held := l.Run(ctx)
	steps := every(ctx, scalePeriod, r.Step)
	go func() {
		<-steps
		ended <- <-held
	}()
	return ended
}

// Engines returns the engines that say which models they hold.
func (c *engineFleet) Engines(context.Context) []scale.Engine {
	v := c.node.control.View()
	var out []scale.Engine
	for _, u := range v.Upstreams() {
		report, ok := c.reportOf(u)
		if !ok {
			continue
		}
		draining := c.isDraining(u.Name())
		checks := false
		if k := v.Document().Kind(u.Kind()); k != nil {
			checks = k.ChecksFencing()
		}
		out = append(out, scale.Engine{
			Name: u.Name(), Models: report.Models, Busy: report.Running + report.Queued, ChecksFencing: checks,
			Draining: draining, Drained: draining && time.Since(c.drainingSince[u.Name()]) > drainPropagation,
		})
	}
	return out
}

// reportOf returns the report of a whole-model engine.
func (c *engineFleet) reportOf(u *route.Upstream) (route.Report, bool) {
	stored, ok := c.node.reports.Load(u.Name())
	if !ok {
		return route.Report{}, false
	}
	report := stored.(route.Report)
	first, last := u.Layers()
	return report, report.Models != nil && first == last
}

// isDraining reports whether capacity has an upstream drained, and notes since when this node knows.
func (c *engineFleet) isDraining(name string) bool {
	f, ok := c.node.swim.Fact(drainFact, name)
	if !ok || string(f.Value) != drainCapacity {
		delete(c.drainingSince, name)
		return false
	}
	if _, known := c.drainingSince[name]; !known {
		c.drainingSince[name] = time.Now()
	}
	return true
}

// Drain tells all nodes.
func (c *engineFleet) Drain(_ context.Context, name string, on bool) {
	if on {
		c.node.drain(name, drainCapacity)
	} else {
		c.node.drain(name, drainOff)
	}
}

// Order sends an order and notes it.
func (c *engineFleet) Order(ctx context.Context, name string, number uint64, models []string) error {
	upstreams := c.node.control.View().Upstreams()
	i := slices.IndexFunc(upstreams, func(u *route.Upstream) bool { return u.Name() == name })
	if i < 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	err := c.node.engines.Order(ctx, upstreams[i], number, models)
	c.node.ring.Append(event.Event{Kind: "order", Upstream: name, Note: fmt.Sprintf("number=%d models=%v error=%v", number, models, err)})
	return err
}

// desiredModels returns what engines are to hold for the demand that their reports show.
func (c *engineFleet) desiredModels() map[string][]string {
	v := c.node.control.View()
	if !v.Ready() {
		return nil
	}
	engines := c.Engines(context.Background())
	var needs []scale.ReplicaTarget
	for name, m := range v.Document().Models() {
		if m.Replicas() > 0 && m.Layers() == 0 {
			needs = append(needs, scale.ReplicaTarget{Model: name, Replicas: c.replicas(name, m.Replicas(), engines)})
		}
	}
	if len(needs) == 0 {
		return nil
	}
	slices.SortFunc(needs, func(a, b scale.ReplicaTarget) int { return cmp.Compare(a.Model, b.Model) })
	return scale.Assign(engines, needs)
}

func (c *engineFleet) replicas(model string, floor int, engines []scale.Engine) int {
	holders, inUse, slots := 0, 0, 0
	for _, e := range engines {
		if !slices.Contains(e.Models, model) {
			continue
		}
		holders++
		inUse += e.Busy
		if stored, ok := c.node.reports.Load(e.Name); ok {
			slots += stored.(route.Report).Slots
		}
	}
	f := c.forecasts[model]
	if f == nil {
		f = &scale.Forecast{}
		f.SetReplicas(holders)
		c.forecasts[model] = f
	}
	now := time.Now()
	each := float64(slots) / float64(max(holders, 1))
	count := f.Replicas(now, false, float64(inUse), each, floor, len(engines))
	f.Observe(now, false, float64(inUse))
	return count
}

// drain states to all nodes by whose word an upstream gets no new work, or that it gets it again.
func (n *Node) drain(name, value string) {
	n.swim.Publish(member.Fact{Kind: drainFact, Key: name, Version: uint64(n.clock.Next()), Value: []byte(value)})
	n.peer.Push()
}
