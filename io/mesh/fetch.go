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

// NewerPeer returns the live node with the newest configuration and list, if it has a newer configuration than a version, or
// knows of a change of the list after a revision. A node from which a fetch has just failed is returned only if there is no
// other.
func (m *Mesh) NewerPeer(rulesVersion uint64, list store.Revision) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var newest *peerState
	for _, s := range m.peers {
		if time.Since(s.LastSeen) > peerTTL || s.RulesVersion <= rulesVersion && !s.HasNewerList(list) {
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

// HasNewerList reports whether a node knows of a change of the list after a revision.
func (p *Peer) HasNewerList(r store.Revision) bool { return p.ListWord.Changed.Compare(r) > 0 }

// compareForFetch returns a positive number if a node is a better one to fetch from than another.
func (s *peerState) compareForFetch(other *peerState) int {
	reachable := func(s *peerState) int {
		if time.Since(s.fetchFailedAt) <= peerTTL {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(reachable(s), reachable(other)), cmp.Compare(s.RulesVersion, other.RulesVersion),
		s.ListWord.Through.Compare(other.ListWord.Through))
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

// Fetch requests the data that is newer than the given state from another node, and the rows of the nodes if the state has
// none. Without a list in the answer, the answer has no ListWord either.
func (m *Mesh) Fetch(ctx context.Context, p Peer, own StoreState) (StoreState, error) {
	fetched, err := fetch(ctx, p, own)
	m.recordFetch(p.RPCAddress, err)
	return fetched, err
}

func fetch(ctx context.Context, p Peer, own StoreState) (StoreState, error) {
	askedAt := time.Now() // the other node states ages later than this
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var d net.Dialer
	tcp, err := d.DialContext(ctx, "tcp", p.RPCAddress)
	if err != nil {
		return StoreState{}, err
	}
	conn := drpcconn.New(tcp)
	defer conn.Close()
	request := &wire.NewsRequest{
		Rules: own.RulesVersion, List: own.ListWord.Through.Number, LacksNodes: len(own.NodeRows) == 0,
	}
	if p.HasNewerList(own.ListWord.Through) {
		request.List = 0 // numbers of a later era may be lower
	}
	reply, err := wire.NewDRPCMeshClient(conn).News(ctx, request)
	if err != nil {
		return StoreState{}, err
	}
	fetched := StoreState{
		RawRules: reply.GetConfiguration(), NodeRows: decodeRows(reply.GetNodes()), RulesWord: decodeWord(reply.GetRulesWord(), askedAt), From: p,
	}
	if reply.GetList() > 0 {
		fetched.Rows, fetched.ListWord = decodeRows(reply.GetEntries()), decodeWord(reply.GetListWord(), askedAt)
	}
	return fetched, nil
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
func (s *server) News(ctx context.Context, in *wire.NewsRequest) (*wire.NewsReply, error) {
	now := time.Now()
	state := s.mesh.storeState()
	out := &wire.NewsReply{RulesWord: encodeWord(state.RulesWord, now), ListWord: encodeWord(state.ListWord, now)}
	if state.RulesVersion > in.GetRules() {
		out.Configuration = state.RawRules
	}
	if state.ListWord.Through.Number > in.GetList() {
		out.List = state.ListWord.Through.Number
		out.Entries = encodeRows(state.Rows)
	}
	if in.GetLacksNodes() {
		out.Nodes = encodeRows(state.NodeRows)
	}
	return out, s.mesh.holdAnswer(ctx, out)
}
