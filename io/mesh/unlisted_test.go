package mesh

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/retry"
	"rhubarbspread/io/mesh/wire"

	"github.com/go-logr/logr/funcr"
)

// unlistedNode returns a mesh that knows a number of listed nodes, and its counters and log lines.
func unlistedNode(listed int) (m *Mesh, counts map[string]int, lines *[]string) {
	nodes := make(map[string]Node)
	for i := range listed {
		nodes[fmt.Sprint("listed-", i)] = Node{DataCentre: "z"}
	}
	counts, lines = make(map[string]int), new([]string)
	log := funcr.New(func(_, args string) { *lines = append(*lines, args) }, funcr.Options{})
	m = New(Config{Node: "self", DataCentre: "z"}, board.New(), func() StoreState { return StoreState{} },
		func() map[string]Node { return nodes }, nil, retry.NewWindow(0.1, 10, time.Second), log,
		WithCounter(func(name string) { counts[name]++ }))
	return m, counts, lines
}

// TestInventedNodesLeaveRoomForListedOnes guards against datagrams of invented nodes that grow without bound, that keep the store's
// nodes out, or that fill the log.
func TestInventedNodesLeaveRoomForListedOnes(t *testing.T) {
	for _, tc := range []struct {
		name     string
		invented int // nodes
		claims   int // of each of them
		kept     int // of these nodes
	}{
		{"short datagrams", 3000, 0, maxUnlisted},
		{"datagrams with many claims", 100, 5000, maxUnlistedBytes / 35_000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const listed = 1000
				m, counts, lines := unlistedNode(listed)
				send := func(prefix string, n int) {
					for i := range n {
						d := &wire.Digest{Node: fmt.Sprint(prefix, i), Incarnation: 1, Sequence: 1, DataCentre: "z"}
						if strings.HasPrefix(prefix, "invented") {
							for c := range tc.claims {
								d.Claims = append(d.Claims, &wire.Claim{Upstream: uint32(c + 1)})
							}
						}
						m.handleDigest(d)
					}
				}
				send("invented-", tc.invented)
				send("listed-", listed)
				if got := len(m.peers) - listed; got > tc.kept || got < tc.kept*9/10 {
					t.Errorf("%d invented nodes kept, want %d", got, tc.kept)
				}
				for i := range listed {
					if m.peers[fmt.Sprint("listed-", i)] == nil {
						t.Fatalf("listed node %d is not kept", i)
					}
				}
				if got := counts[counterUnlisted]; got < tc.invented-tc.kept || len(*lines) != 1 {
					t.Errorf("%d refusals counted, want %d; %d log lines, want 1", got, tc.invented-tc.kept, len(*lines))
				}
				time.Sleep(peerTTL + time.Millisecond)
				m.dropSilentUnlisted(m.listedNodes())
				if len(m.peers) != listed {
					t.Errorf("%d nodes after the invented ones fell silent, want %d", len(m.peers), listed)
				}
				send("started-", 1)
				if m.peers["started-0"] == nil {
					t.Error("a node that has just started is not kept")
				}
			})
		})
	}
}

// TestUnreadableDatagramsFillNoLog guards against datagrams without meaning, or with an invalid address, that crowd other lines out of
// the log.
func TestUnreadableDatagramsFillNoLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, counts, lines := unlistedNode(0)
		const nodes, periods = 50, 100
		for range periods {
			for i := range nodes {
				m.handleDigest(&wire.Digest{Node: fmt.Sprint(i), Incarnation: uint64(time.Now().UnixNano()), Address: "nowhere"})
			}
			m.knownNodes()
			time.Sleep(gossipPeriod)
		}
		seconds := periods * int(gossipPeriod) / int(time.Second)
		if got := counts[counterUnreadable]; got != nodes*periods || len(*lines) > seconds+1 {
			t.Errorf("%d counted, want %d; %d log lines in %d s, want one a second", got, nodes*periods, len(*lines), seconds)
		}
	})
}
