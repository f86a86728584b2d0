package mesh

import (
	"cmp"
	"context"
	"net"
	"time"

	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh/wire"

	"storj.io/drpc/drpcconn"
)

// fetchTimeout is the longest time of one fetch from another node.
const fetchTimeout = 800 * time.Millisecond

// NewerPeer returns the live node with the newest configuration and list, if it has a newer configuration or list than
// the given versions. A node from which a fetch has just failed is returned only if there is no other.
func (m *Mesh) NewerPeer(rulesVersion, listVersion uint64) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var newest *peerState
	for _, s := range m.peers {
		if time.Since(s.LastSeen) > peerTTL || s.RulesVersion <= rulesVersion && s.ListVersion <= listVersion {
			continue
		}
		if newest == nil || s.compareForFetch(newest) > 0 {
			newest = s
		}
	}
	if newest == nil {
		return Peer{}, false
	}
	return newest.Peer, true
}

// compareForFetch returns a positive number if a node is a better one to fetch from than another.
func (s *peerState) compareForFetch(other *peerState) int {
	reachable := func(s *peerState) int {
		if time.Since(s.fetchFailedAt) <= peerTTL {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(reachable(s), reachable(other)), cmp.Compare(s.RulesVersion, other.RulesVersion),
		cmp.Compare(s.ListVersion, other.ListVersion))
}

// recordFetch records the result of a fetch from the node at an address.
func (m *Mesh) recordFetch(address string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.peers {
		if s.RPCAddress != address {
			continue
		}
		s.fetchFailedAt = time.Time{}
		if err != nil {
			s.fetchFailedAt = time.Now()
		}
	}
}

// Fetch requests the data that is newer than the given state from the node at an address, and the rows of the nodes if
// the state has none.
func (m *Mesh) Fetch(ctx context.Context, address string, own StoreState) (StoreState, error) {
	fetched, err := fetch(ctx, address, own)
	m.recordFetch(address, err)
	return fetched, err
}

func fetch(ctx context.Context, address string, own StoreState) (StoreState, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var d net.Dialer
	tcp, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return StoreState{}, err
	}
	conn := drpcconn.New(tcp)
	defer conn.Close()
	reply, err := wire.NewDRPCMeshClient(conn).News(ctx, &wire.NewsRequest{
		Rules: own.RulesVersion, List: own.ListVersion, LacksNodes: len(own.NodeRows) == 0,
	})
	if err != nil {
		return StoreState{}, err
	}
	return StoreState{
		RawRules: reply.GetConfiguration(), ListVersion: reply.GetList(), Rows: decodeRows(reply.GetEntries()),
		NodeRows: decodeRows(reply.GetNodes()), RulesWord: decodeWord(reply.GetRulesWord()),
		ListWord: decodeWord(reply.GetListWord()),
	}, nil
}

func decodeRows(entries []*wire.Entry) []store.FeedRow {
	var rows []store.FeedRow
	for _, e := range entries {
		rows = append(rows, store.FeedRow{Key: e.GetId(), Value: e.GetValue()})
	}
	return rows
}

func encodeRows(rows []store.FeedRow) []*wire.Entry {
	var entries []*wire.Entry
	for _, row := range rows {
		entries = append(entries, &wire.Entry{Id: row.Key, Value: row.Value})
	}
	return entries
}

// server serves the RPCs of other nodes.
type server struct {
	wire.DRPCMeshUnimplementedServer
	mesh *Mesh
}

// News returns the data that is newer here than the versions in the request.
func (s *server) News(_ context.Context, in *wire.NewsRequest) (*wire.NewsReply, error) {
	state := s.mesh.storeState()
	out := &wire.NewsReply{RulesWord: encodeWord(state.RulesWord), ListWord: encodeWord(state.ListWord)}
	if state.RulesVersion > in.GetRules() {
		out.Configuration = state.RawRules
	}
	if state.ListVersion > in.GetList() {
		out.List = state.ListVersion
		out.Entries = encodeRows(state.Rows)
	}
	if in.GetLacksNodes() {
		out.Nodes = encodeRows(state.NodeRows)
	}
	return out, nil
}
