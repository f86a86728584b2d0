package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
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

// Periods and timeouts of polling.
const (
	listPeriod     = time.Second
	documentPeriod = 2 * time.Second
	reportPeriod   = time.Second
	requestTimeout = 2 * time.Second
	reportTimeout  = 900 * time.Millisecond
	reportWorkers  = 16
)

// every calls f at once and then once per period, with jitter so that the nodes do not poll in lockstep. It reports on
// the channel when the context has ended.
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

// pollList polls the platform's list of VMs for the membership and the control state.
func (n *Node) pollList(ctx context.Context) <-chan error {
	return every(ctx, listPeriod, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		vms, err := n.list.VMs(ctx)
		if err != nil {
			n.log.V(1).Info("list-failed", "error", err.Error())
			return
		}
		n.seedMembers(vms)
		_ = n.control.Send(ctx, kern.VMListUpdate{VMs: vms})
	})
}

// seedMembers adds the listed nodes to the membership.
func (n *Node) seedMembers(vms []store.VM) {
	var nodes []member.Node
	for _, v := range vms {
		if v.Kind == kern.EntryVMKind && !v.Leaving {
			nodes = append(nodes, member.Node{Name: v.Name, Address: v.Address, DataCentre: v.DataCentre})
		}
	}
	if n.swim.Seed(nodes) {
		// Exchange gossip with the new nodes at once, rather than when their turn to be probed comes.
		n.peer.Push()
	}
}

// pollDocument polls the platform for the environment's current release, and applies each release that it or another
// node publishes. Gossip usually brings a release sooner than the poll.
func (n *Node) pollDocument(ctx context.Context) <-chan error {
	pollEnded := every(ctx, documentPeriod, n.pollRelease)
	ended := make(chan error, 1)
	go func() {
		for {
			select {
			case <-n.documentChanged:
				applyCtx, cancel := context.WithTimeout(ctx, requestTimeout)
				n.applyRelease(applyCtx)
				cancel()
			case err := <-pollEnded:
				ended <- err
				return
			}
		}
	}()
	return ended
}

// pollRelease reads the current release from the platform and publishes it. It also retries a release whose document
// could not be read before.
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

// publishRelease publishes a release as a fact, which replaces only a fact of a lower version.
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

// applyRelease puts the latest known release in force. It reads the document from the object store or, if that fails,
// from another node.
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

// digestMismatchError says that a peer sent a document with another digest than requested.
type digestMismatchError struct{ digest string }

func (e *digestMismatchError) Error() string {
	return "a peer sent a document whose digest is not " + e.digest
}

// pollReports polls the load report of every upstream.
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
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, rtt, err := n.engines.Load(reportCtx, u)
	if err == nil {
		n.reports.Store(u.Name(), report)
	}
	_ = n.control.Send(ctx, kern.ReportUpdate{Upstream: u.Name(), Report: report, RTT: rtt, Failed: err != nil})
}

// onFact applies a fact that is new to this node. It is called with the lock of the membership held.
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
		case n.documentChanged <- struct{}{}:
		default:
		}
	}
}

// onNodes passes the live nodes to the control state. It is called with the lock of the membership held.
func (n *Node) onNodes(nodes []member.Node) {
	names := make([]string, len(nodes))
	for i, node := range nodes {
		names[i] = node.Name
	}
	n.ring.Append(event.Event{Kind: "nodes", Note: joinNames(names)})
	slices.Sort(names)
	n.crashes.SetNodes(n.config.Node, names)
	_ = n.control.Send(n.lifetime, kern.NodesUpdate{Names: names})
}

// onView applies the split models of a new View and, if its document is new, the document's limits. It is called by
// the control goroutine.
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
