package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/pacer"
	"rhubarbspread/core/place"
	"rhubarbspread/io/mesh"
)

// Times of fetching reports.
const (
	reportInterval = 1500 * time.Millisecond // between reports of one upstream; the platform bills each call
	reportTimeout  = 300 * time.Millisecond  // a live upstream answers within milliseconds
)

// fetchReports fetches the reports of the layered upstreams that are assigned to this node. The other nodes receive
// their contents by datagram.
func (n *Node) fetchReports(ctx context.Context) error {
	sleep(ctx, maxFleetWait)
	for ctx.Err() == nil {
		start := time.Now()
		var fetches sync.WaitGroup
		for _, u := range n.assignedUpstreams() {
			if n.board.IsResting(u) {
				continue
			}
			fetches.Add(1)
			go func() {
				defer fetches.Done()
				n.fetchReport(ctx, u)
			}()
		}
		fetches.Wait()
		sleep(ctx, reportInterval-time.Since(start))
	}
	return nil
}

// fetchReport fetches the report of one upstream.
func (n *Node) fetchReport(ctx context.Context, u *fleet.Upstream) {
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := n.engines.Report(reportCtx, u)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		ejectedFor := n.board.RecordReportError(u, err)
		n.log.Info("report-missing", "upstream", u.ID, "cause", err.Error(), "rest-ms", ejectedFor.Milliseconds())
	default:
		n.board.RecordSlowdown(u, r.Slowdown)
	}
}

// assignedUpstreams returns the layered upstreams whose reports this node fetches. Each upstream is assigned to one of
// the live nodes of its data centre by rendezvous hashing. No node fetches the reports of a data centre without nodes:
// the health of its upstreams is known from their answers alone.
func (n *Node) assignedUpstreams() []*fleet.Upstream {
	v := n.view.Load()
	if v == nil || v.Rules == nil {
		return nil
	}
	live := n.mesh.LiveNodeHashes()
	var assigned []*fleet.Upstream
	for _, s := range v.Rules.Engines() {
		for _, u := range v.List.Of(s.Name) {
			if !u.Draining && u.DataCentre == n.config.DataCentre && isAssigned(mesh.NameHash(n.config.Node), live, u) {
				assigned = append(assigned, u)
			}
		}
	}
	return assigned
}

// isAssigned reports whether a node has the highest rendezvous weight for an upstream among itself and the other live
// nodes; nodes are given by the hashes of their names.
func isAssigned(node uint32, live []uint32, u *fleet.Upstream) bool {
	hash := board.KeyOf(u).Hash()
	for _, other := range live {
		if pacer.RendezvousWeight(other, hash) > pacer.RendezvousWeight(node, hash) {
			return false
		}
	}
	return true
}

var errResting = errors.New("the upstream wants no requests now")

// restAwareEngines fetches no report of an upstream that wants rest, and so keeps the planner from sending it orders.
type restAwareEngines struct {
	place.Engines
	board *board.Board
}

// Report returns an upstream's report, or an error while it wants rest.
func (e restAwareEngines) Report(ctx context.Context, u *fleet.Upstream) (place.Report, error) {
	if e.board.IsResting(u) {
		return place.Report{}, errResting
	}
	return e.Engines.Report(ctx, u)
}
