package entry

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/fleet"
	"rhubarbspread/io/mesh"

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
		rest := n.board.RecordFailure(u)
		n.log.Info("report-missing", "upstream", u.ID, "cause", err.Error(), "rest-ms", rest.Milliseconds())
	default:
		n.board.RecordSlowdown(u, r.Slowdown)
	}
}

// share returns the layered upstreams of its data centre that this node asks: each goes to one of the live nodes there,
// by rendezvous hashing. Those of a data centre without nodes are asked by nobody and known by their answers alone.
func (n *Node) share() []*fleet.Upstream {
	v := n.view.Load()
	if v == nil || v.Rules == nil {
		return nil
	}
	live := n.mesh.Live()
	var mine []*fleet.Upstream
	for _, s := range v.Rules.Engines() {
		for _, u := range v.List.Of(s.Name) {
			if !u.Draining && u.DataCentre == n.config.DataCentre && isFirst(mesh.NameTag(n.config.Node), live, u) {
				mine = append(mine, u)
			}
		}
	}
	return mine
}

// isFirst reports whether a node comes first for an upstream among itself and other live nodes.
func isFirst(node uint32, live []uint32, u *fleet.Upstream) bool {
	tag := board.KeyOf(u).Hash()
	for _, other := range live {
		if weight(other, tag) > weight(node, tag) {
			return false
		}
	}
	return true
}

func weight(node, upstream uint32) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:4], node)
	binary.LittleEndian.PutUint32(b[4:], upstream)
	return xxhash.Sum64(b[:])
}
