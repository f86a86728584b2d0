package entry

import (
	"context"
	"sync"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// Times of reports.
const (
	reportPause = 1500 * time.Millisecond // between reports of one upstream, of which each is priced
	reportLimit = 300 * time.Millisecond  // a report comes within milliseconds from an upstream that lives
)

// askUpstreams asks this node's share of the layered upstreams for their reports. The other nodes learn of them by
// datagrams.
func (n *Node) askUpstreams(ctx context.Context) error {
	sleep(ctx, firstPlan)
	for ctx.Err() == nil {
		began := time.Now()
		var all sync.WaitGroup
		for _, u := range n.share() {
			all.Add(1)
			go func() {
				defer all.Done()
				n.ask(ctx, u)
			}()
		}
		all.Wait()
		sleep(ctx, reportPause-time.Since(began))
	}
	return nil
}

// ask asks one upstream for its report.
func (n *Node) ask(ctx context.Context, u *fleet.Upstream) {
	limited, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	r, err := n.engines.Report(limited, u)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		rest := n.board.Strike(u)
		n.log.Info("report-missing", "upstream", u.ID, "cause", err.Error(), "rest-ms", rest.Milliseconds())
	default:
		n.board.Reported(u, r.Pace)
	}
}

// share returns the layered upstreams that this node asks: each goes to one of the live nodes of its data centre, by
// rendezvous hashing, or of all data centres if its own has none.
func (n *Node) share() []*fleet.Upstream {
	v := n.view.Load()
	if v == nil || v.Rules == nil {
		return nil
	}
	live := n.mesh.Live()
	var mine []*fleet.Upstream
	for _, s := range v.Rules.Engines() {
		for _, u := range v.List.Of(s.Name) {
			if !u.Draining && isFirst(n.config.Node, n.config.DataCentre, live, u) {
				mine = append(mine, u)
			}
		}
	}
	return mine
}

// isFirst reports whether a node comes first for an upstream among itself and other live nodes, by data centre.
func isFirst(node, centre string, live map[string]string, u *fleet.Upstream) bool {
	own := centre == u.DataCentre
	tag := board.KeyOf(u).Tag()
	for name, c := range live {
		other := c == u.DataCentre
		if other && !own || other == own && weight(name, tag) > weight(node, tag) {
			return false
		}
	}
	return true
}

func weight(node string, tag uint32) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(tag))
	_, _ = d.WriteString(node)
	return d.Sum64()
}
