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

// Parameters of the capacity reconciler.
const (
	leaseTerm   = 10 * time.Second
	scalePeriod = time.Second
	// weightLoadInterval is the minimum time between orders that load weights, for the weight store's rate limit.
	weightLoadInterval = 5 * time.Second
	// drainPropagation is the time after the start of a drain from which an engine's report covers every request that
	// a node sent before it knew of the drain: 2 s for the fact to reach all nodes, plus the lag of the report.
	drainPropagation = 6 * time.Second
)

// engineFleet gives the lease holder's reconciler access to the engines. It manages only models for which the document
// sets a number of replicas.
type engineFleet struct {
	node          *Node
	forecasts     map[string]*scale.Forecast
	drainingSince map[string]time.Time
}

// reconcileCapacity competes for the capacity lease and, while it holds it, reconciles the models that engines hold
// with demand.
func (n *Node) reconcileCapacity(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	l := lease.New(n.table, "capacity/"+n.config.Environment,
		fmt.Sprintf("%s/%x", n.config.Node, time.Now().UnixNano()), leaseTerm)
	ef := &engineFleet{node: n, forecasts: make(map[string]*scale.Forecast), drainingSince: make(map[string]time.Time)}
	r := scale.NewReconciler(l, ef, ef.desiredModels, weightLoadInterval)
	leaseEnded := l.Run(ctx)
	stepsEnded := every(ctx, scalePeriod, r.Step)
	go func() {
		<-stepsEnded
		ended <- <-leaseEnded
	}()
	return ended
}

// Engines returns the engines that report which models they hold.
func (ef *engineFleet) Engines(context.Context) []scale.Engine {
	v := ef.node.control.View()
	var out []scale.Engine
	for _, u := range v.Upstreams() {
		report, ok := ef.reportOf(u)
		if !ok {
			continue
		}
		draining := ef.isDraining(u.Name())
		checksFencing := false
		if k := v.Document().Kind(u.Kind()); k != nil {
			checksFencing = k.ChecksFencing()
		}
		out = append(out, scale.Engine{
			Name: u.Name(), Models: report.Models, Busy: report.Running + report.Queued, ChecksFencing: checksFencing,
			Draining: draining, Drained: draining && time.Since(ef.drainingSince[u.Name()]) > drainPropagation,
		})
	}
	return out
}

// reportOf returns the latest report of an upstream, and whether it is an engine that holds whole models.
func (ef *engineFleet) reportOf(u *route.Upstream) (route.Report, bool) {
	stored, ok := ef.node.reports.Load(u.Name())
	if !ok {
		return route.Report{}, false
	}
	report := stored.(route.Report)
	first, last := u.Layers()
	return report, report.Models != nil && first == last
}

// isDraining reports whether a capacity reconciler drains an upstream, and records since when this node knows of it.
func (ef *engineFleet) isDraining(name string) bool {
	f, ok := ef.node.swim.Fact(drainFact, name)
	if !ok || string(f.Value) != drainCapacity {
		delete(ef.drainingSince, name)
		return false
	}
	if _, known := ef.drainingSince[name]; !known {
		ef.drainingSince[name] = time.Now()
	}
	return true
}

// Drain starts or ends the draining of an engine at every node.
func (ef *engineFleet) Drain(_ context.Context, name string, on bool) {
	if on {
		ef.node.drain(name, drainCapacity)
	} else {
		ef.node.drain(name, drainOff)
	}
}

// Order sends an order to an engine and records it in the timeline.
func (ef *engineFleet) Order(ctx context.Context, name string, token uint64, models []string) error {
	upstreams := ef.node.control.View().Upstreams()
	i := slices.IndexFunc(upstreams, func(u *route.Upstream) bool { return u.Name() == name })
	if i < 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	err := ef.node.engines.Order(ctx, upstreams[i], token, models)
	ef.node.ring.Append(event.Event{
		Kind: "order", Upstream: name, Note: fmt.Sprintf("number=%d models=%v error=%v", token, models, err),
	})
	return err
}

// desiredModels returns the models that each engine should hold for the demand that the engines report, or nil if no
// model is managed.
func (ef *engineFleet) desiredModels() map[string][]string {
	v := ef.node.control.View()
	if !v.Ready() {
		return nil
	}
	engines := ef.Engines(context.Background())
	var targets []scale.ReplicaTarget
	for name, m := range v.Document().Models() {
		if m.Replicas() > 0 && m.Layers() == 0 {
			targets = append(targets, scale.ReplicaTarget{Model: name, Replicas: ef.replicas(name, m.Replicas(), engines)})
		}
	}
	if len(targets) == 0 {
		return nil
	}
	slices.SortFunc(targets, func(a, b scale.ReplicaTarget) int { return cmp.Compare(a.Model, b.Model) })
	return scale.Assign(engines, targets)
}

// replicas returns the number of replicas that a model needs, at least floor.
func (ef *engineFleet) replicas(model string, floor int, engines []scale.Engine) int {
	holders, inUse, slots := 0, 0, 0
	for _, e := range engines {
		if !slices.Contains(e.Models, model) {
			continue
		}
		holders++
		inUse += e.Busy
		if stored, ok := ef.node.reports.Load(e.Name); ok {
			slots += stored.(route.Report).Slots
		}
	}
	f := ef.forecasts[model]
	if f == nil {
		f = &scale.Forecast{}
		f.SetReplicas(holders)
		ef.forecasts[model] = f
	}
	now := time.Now()
	slotsPerReplica := float64(slots) / float64(max(holders, 1))
	count := f.Replicas(now, false, float64(inUse), slotsPerReplica, floor, len(engines))
	f.Observe(now, false, float64(inUse))
	return count
}

// drain publishes to all nodes who drains an upstream, or with drainOff that nobody does.
func (n *Node) drain(name, value string) {
	n.swim.Publish(member.Fact{Kind: drainFact, Key: name, Version: uint64(n.clock.Next()), Value: []byte(value)})
	n.peer.Push()
}
