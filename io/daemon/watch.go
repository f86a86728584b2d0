package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbspread/core/conf"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/event"
	"rhubarbspread/core/kern"
	"rhubarbspread/core/member"
	"rhubarbspread/core/route"
	"rhubarbspread/core/store"
)

// Kinds of facts.
const (
	crashFact    = "crash"
	drainFact    = "drain"
	documentFact = "document"
)

// Constants of what is asked regularly.
const (
	listPeriod     = time.Second
	documentPeriod = 2 * time.Second
	reportPeriod   = time.Second
	requestTimeout = 2 * time.Second
	reportTimeout  = 900 * time.Millisecond
	reportWorkers  = 16
)

// every calls f once and then each period, with a jitter so that nodes do not ask in step.
func every(ctx context.Context, period time.Duration, f func(context.Context)) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			f(ctx)
			wait := time.Duration(float64(period) * (0.9 + 0.2*rand.Float64()))
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				ended <- nil
				return
			}
		}
	}()
	return ended
}

func (n *Node) pollList(ctx context.Context) <-chan error {
	return every(ctx, listPeriod, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		machines, err := n.list.VMs(ctx)
		if err != nil {
			n.log.V(1).Info("list-failed", "error", err.Error())
			return
		}
		n.seedMembers(machines)
		_ = n.control.Send(ctx, kern.VMListUpdate{VMs: machines})
	})
}

func (n *Node) seedMembers(machines []store.VM) {
	var nodes []member.Node
	for _, m := range machines {
		if m.Kind == kern.EntryKind && !m.Leaving {
			nodes = append(nodes, member.Node{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre})
		}
	}
	if n.swim.Seed(nodes) {
		// Meet them at once rather than in the course of the probes.
		n.peer.Push()
	}
}

// pollDocument asks the platform for the environment's version; peers tell of it too, and sooner.
func (n *Node) pollDocument(ctx context.Context) <-chan error {
	asked := every(ctx, documentPeriod, n.pollRelease)
	ended := make(chan error, 1)
	go func() {
		for {
			select {
			case <-n.documentNews:
				adoptCtx, cancel := context.WithTimeout(ctx, requestTimeout)
				n.applyRelease(adoptCtx)
				cancel()
			case err := <-asked:
				ended <- err
				return
			}
		}
	}()
	return ended
}

// pollRelease asks the platform; a version whose body could not be had before is tried again.
func (n *Node) pollRelease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if rel, err := n.registry.Current(ctx, n.config.Environment); err == nil {
		n.publishRelease(rel)
	} else {
		n.log.V(1).Info("document-failed", "error", err.Error())
	}
	n.applyRelease(ctx)
}

// publishRelease makes a release a fact, which wins only over an older one.
func (n *Node) publishRelease(rel conf.Release) {
	if rel.Version == 0 {
		return
	}
	raw, err := json.Marshal(rel)
	if err != nil {
		return
	}
	if n.swim.Publish(member.Fact{Kind: documentFact, Key: n.config.Environment, Version: rel.Version, Value: raw}) {
		n.peer.Push()
	}
}

// applyRelease puts the highest version known in force, with the body from the object store or from a peer.
func (n *Node) applyRelease(ctx context.Context) {
	f, ok := n.swim.Fact(documentFact, n.config.Environment)
	if !ok || f.Version <= n.control.View().Version() {
		return
	}
	var rel conf.Release
	if json.Unmarshal(f.Value, &rel) != nil || rel.Version != f.Version {
		return
	}
	d, err := n.registry.Body(ctx, rel.Digest)
	if err != nil {
		d, err = n.bodyFromPeers(ctx, rel.Digest)
	}
	if err != nil {
		n.log.Info("document-unreadable", "version", rel.Version, "error", err.Error())
		return
	}
	_ = n.control.Send(ctx, kern.DocumentUpdate{Version: rel.Version, Document: d})
}

func (n *Node) bodyFromPeers(ctx context.Context, digest string) (*conf.Document, error) {
	raw, err := n.peer.Body(ctx, digest)
	if err != nil {
		return nil, err
	}
	if conf.Digest(raw) != digest {
		return nil, &digestMismatchError{digest}
	}
	return conf.Decode(raw)
}

// digestMismatchError is a peer's document that is not the one asked for.
type digestMismatchError struct{ digest string }

func (e *digestMismatchError) Error() string { return "a peer sent another document than " + e.digest }

// pollReports asks every upstream that the node uses for its load.
func (n *Node) pollReports(ctx context.Context) <-chan error {
	return every(ctx, reportPeriod, func(ctx context.Context) {
		upstreams := make(chan *route.Upstream)
		var workers sync.WaitGroup
		for range reportWorkers {
			workers.Go(func() {
				for u := range upstreams {
					n.pollReport(ctx, u)
				}
			})
		}
		for _, u := range n.control.View().Upstreams() {
			upstreams <- u
		}
		close(upstreams)
		workers.Wait()
	})
}

func (n *Node) pollReport(ctx context.Context, u *route.Upstream) {
	askCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, link, err := n.engines.Load(askCtx, u)
	if err == nil {
		n.reports.Store(u.Name(), report)
	}
	_ = n.control.Send(ctx, kern.ReportUpdate{Upstream: u.Name(), Report: report, Link: link, Failed: err != nil})
}

// onFact takes over a fact that is new here. It is called under the lock of the membership.
func (n *Node) onFact(f member.Fact) {
	switch f.Kind {
	case crashFact:
		var m crash.Mark
		if json.Unmarshal(f.Value, &m) == nil {
			n.crashes.ApplyMark(m)
		}
	case drainFact:
		_ = n.control.Send(n.lifetime, kern.DrainUpdate{Name: f.Key, Drain: string(f.Value) != drainOff})
	case documentFact:
		select {
		case n.documentNews <- struct{}{}:
		default:
		}
	}
}

// onNodes tells the control state who is alive. It is called under the lock of the membership.
func (n *Node) onNodes(nodes []member.Node) {
	names := make([]string, len(nodes))
	for i, node := range nodes {
		names[i] = node.Name
	}
	n.ring.Append(event.Event{Kind: "nodes", Note: joinNames(names)})
	_ = n.control.Send(n.lifetime, kern.NodesUpdate{Names: names})
}

// onView puts the limits of a new document in force. It is called by the control goroutine.
func (n *Node) onView(v *kern.View) {
	n.chain.SetModels(stagesOf(v))
	if v.Version() == n.documentVersion {
		return
	}
	n.documentVersion = v.Version()
	l := v.Document().Limits()
	n.relay.SetProgressTimeout(l.ProgressTimeout())
	n.chain.SetStepTimeout(l.ProgressTimeout())
	n.budget.SetShare(l.RetryShare())
	n.crashes.SetQuarantine(l.Quarantine())
	n.ledger.SetStoredBytes(l.StoredBytes())
	n.log.Info("document-in-force", "version", v.Version(), "digest", v.Document().Digest()[:12])
	n.ring.Append(event.Event{Kind: "document", Note: v.Document().Digest()})
}
