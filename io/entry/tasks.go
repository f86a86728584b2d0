package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"
	"time"

	"rhubarbspread/core/store"
	"rhubarbspread/io/hop"

	"github.com/go-logr/logr"
)

// tasks runs the background goroutines of a node; each reports its end on done.
type tasks struct {
	log   logr.Logger
	count int
	done  chan error
}

// start runs a task and logs its error.
func (t *tasks) start(name string, f func() error) {
	t.count++
	go func() {
		err := f()
		if err != nil {
			t.log.Error(err, "duty-failed", "duty", name)
		}
		t.done <- err
	}()
}

// maxTasks is the capacity of the channels of tasks and of changes.
const maxTasks = 16

// startTasks starts the background goroutines.
func (n *Node) startTasks(ctx context.Context) *tasks {
	running := &tasks{log: n.log, done: make(chan error, maxTasks)}
	changes := make(chan change, maxTasks)
	c := newControl(n)
	running.start("control", func() error { return c.run(ctx, changes) })
	for _, topic := range []store.Topic{store.Configuration, store.Upstreams, store.Nodes} {
		running.start("follow-"+topic.String(), func() error { return n.followTopic(ctx, topic, changes) })
	}
	running.start("announce", func() error { return n.announce(ctx) })
	running.start("mesh", func() error { return n.mesh.Run(ctx) })
	running.start("ask-around", func() error { return n.fetchFromNodes(ctx, changes) })
	running.start("plan", func() error { return n.plan(ctx) })
	running.start("sweep", func() error { return n.sweep(ctx) })
	running.start("reload", func() error { return n.reload(ctx) })
	running.start("ask-upstreams", func() error { return n.fetchReports(ctx) })
	running.start("reach", func() error { return n.reach.run(ctx) })
	running.start("tunnels", func() error { return n.tunnels.Run(ctx, n.config.DatagramAddress) })
	leaseDone := n.lease.Run(ctx)
	running.start("lease", func() error { return <-leaseDone })
	return running
}

// announce writes this node's row to the store, with retries until that succeeds, and again when the row is lost.
func (n *Node) announce(ctx context.Context) error {
	raw, err := json.Marshal(nodeRow{n.config.DatagramAddress, n.config.DataCentre, n.config.capacity()})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err := n.platform.Feed.Write(ctx, n.config.Node, raw); err != nil {
			sleep(ctx, maxRetryBackoff)
			continue
		}
		n.announced.Store(true)
		select {
		case <-n.rowLost:
			n.log.Info("announce-again", "cause", "the store no longer has this node's row")
		case <-ctx.Done():
		}
	}
	return nil
}

// contain runs a step of a duty that serving does not need. A panic ends only the step, as the end of the process would cut off the
// requests in flight.
func (n *Node) contain(duty string, step func()) {
	defer func() {
		if cause := recover(); cause != nil {
			n.stats.Count("duty-panics")
			n.log.Error(fmt.Errorf("panic: %v", cause), "duty-failed", "duty", duty, "stack", string(debug.Stack()))
		}
	}()
	step()
}

// plan runs the placement planner and keeps the rows of quarantined requests; both act only while this node holds the
// lease.
func (n *Node) plan(ctx context.Context) error {
	n.awaitFleet(ctx)
	shortages := newDemandLog(n.log)
	for ctx.Err() == nil {
		v := n.view.Load()
		if v != nil && v.Rules != nil {
			for _, s := range v.Rules.Engines() {
				opts := n.admissions.planOptions(s.Name)
				n.contain("plan", func() { n.planner.Step(ctx, s.Engine, v.List.Of(s.Name), n.board.IsSuspected, opts...) })
			}
		}
		if _, held := n.lease.Valid(); held && v != nil {
			for service := range n.admissions.all() {
				shortages.write(service, n.admissions.meter.ByDataCentre(service))
			}
			n.keepQuarantines(ctx, v)
		}
		sleep(ctx, planInterval)
	}
	return nil
}

// awaitFleet waits until the number of listed upstreams has not changed for more than a heartbeat interval, or the
// longest wait is over: a plan for a part of the fleet gives its upstreams too many layers.
func (n *Node) awaitFleet(ctx context.Context) {
	count, changedAt := 0, time.Now()
	for ctx.Err() == nil && time.Since(n.started) < maxFleetWait {
		sleep(ctx, planInterval)
		if v := n.view.Load(); v != nil && v.List.Len() != count {
			count, changedAt = v.List.Len(), time.Now()
		}
		if count > 0 && time.Since(changedAt) > n.config.HeartbeatInterval+planInterval {
			return
		}
	}
}

// sweep closes idle connections of callers and unneeded connections to upstreams.
func (n *Node) sweep(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		v := n.view.Load()
		if v != nil && v.Rules != nil {
			n.closeIdleBy(v.Rules.Limits().IdleTimeout, v.Rules.Version())
		}
		n.pool.Sweep(func(t hop.Target) bool {
			if v == nil {
				return true
			}
			u := v.List.Get(t.ID)
			return u != nil && u.Address == t.Address
		})
	}
	return nil
}
