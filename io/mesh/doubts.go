package mesh

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/io/mesh/wire"

	"google.golang.org/protobuf/proto"
)

// Times of the doubts that are passed on between two periods.
const (
	factsPeriod = 100 * time.Millisecond // least time between datagrams with facts alone
	factsDelay  = 5 * time.Millisecond   // until they are sent, for those that come together
	newFactAge  = 500 * time.Millisecond // older ones are left to the periods
)

// doubtsOf returns what a digest that was on its way for a time states of upstreams that refused requests.
func doubtsOf(d *wire.Digest, onTheWay time.Duration) map[uint32]board.Doubt {
	doubts := make(map[uint32]board.Doubt, len(d.GetDoubts()))
	for _, w := range d.GetDoubts() {
		doubt := board.Doubt{
			RefusedAge: milliseconds(w.GetRefusedMs()) + onTheWay, AnsweredAge: -1, Count: int(w.GetCount()), Sources: w.GetSources(),
		}
		if w.GetAnswered() {
			doubt.AnsweredAge = milliseconds(w.GetAnsweredMs()) + onTheWay
		}
		doubts[w.GetUpstream()] = doubt
	}
	return doubts
}

func encodeDoubt(hash uint32, d board.Doubt) *wire.Doubt {
	return &wire.Doubt{
		Upstream: hash, RefusedMs: encodeAge(d.RefusedAge), Answered: d.AnsweredAge >= 0,
		AnsweredMs: encodeAge(d.AnsweredAge), Count: uint32(d.Count), Sources: d.Sources,
	}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// handleFacts applies a digest with facts alone. A relay passes on what it did not know, so that none goes round and gains the time on
// the way again.
func (m *Mesh) handleFacts(d *wire.Digest) {
	if !m.board.ApplyDoubts(doubtsOf(d, 0)) || !m.usesRelays() {
		return
	}
	select {
	case m.news <- struct{}{}:
	default:
	}
}

// sendFacts sends new doubts to the other nodes without waiting for the period: until they know, each of them sends requests
// that are refused.
func (m *Mesh) sendFacts(ctx context.Context, conn *net.UDPConn) error {
	for ctx.Err() == nil {
		isOwn := false
		select {
		case <-m.board.DoubtsChanged():
			isOwn = true
		case <-m.news:
		case <-ctx.Done():
			return nil
		}
		if !sleep(ctx, factsDelay) {
			return nil
		}
		if err := m.sendFactsOnce(conn, isOwn); err != nil {
			return err
		}
		sleep(ctx, factsPeriod)
	}
	return nil
}

// sleep waits for a time, and returns false if the context ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendFactsOnce sends the new doubts to those that this node sends its digests to.
func (m *Mesh) sendFactsOnce(conn *net.UDPConn, isOwn bool) error {
	d := m.facts()
	if len(d.GetDoubts()) == 0 {
		return nil
	}
	raw, err := proto.Marshal(d)
	if err != nil {
		return err
	}
	for _, to := range m.factsReceivers(m.knownNodes(), isOwn) {
		// The next digest of the period repeats what is lost here.
		if _, err := conn.WriteToUDPAddrPort(raw, to); err != nil {
			m.log.V(1).Info("datagram-failed", "to", to.String(), "bytes", len(raw), "cause", err.Error())
		}
	}
	return nil
}

// facts returns a digest with the new doubts alone.
func (m *Mesh) facts() *wire.Digest {
	d := &wire.Digest{Node: m.config.Node, Incarnation: m.incarnation, OnlyFacts: true}
	for hash, doubt := range m.board.Doubts() {
		if doubt.RefusedAge <= newFactAge {
			d.Doubts = append(d.Doubts, encodeDoubt(hash, doubt))
		}
	}
	return d
}

// factsReceivers returns the addresses of the nodes that understand facts alone and that this node passes them on to: all
// others, or where relays are used those of its data centre, and of a relay also its members and the other relays.
func (m *Mesh) factsReceivers(others map[string]Node, isOwn bool) []netip.AddrPort {
	if len(others) < RelayThreshold {
		return m.understanding(slices.Collect(maps.Keys(others)), others)
	}
	var names []string
	relays := m.relaysOf(others)
	isRelay := slices.Contains(relays[m.config.DataCentre].active, m.config.Node)
	switch {
	case isRelay:
		for name, n := range others {
			if n.DataCentre == m.config.DataCentre || slices.Contains(relays[n.DataCentre].active, name) {
				names = append(names, name)
			}
		}
	case isOwn:
		names = relays[m.config.DataCentre].active
	}
	return m.understanding(names, others)
}

// understanding returns the addresses of those of the named nodes that understand facts alone.
func (m *Mesh) understanding(names []string, others map[string]Node) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []netip.AddrPort
	for _, name := range names {
		if s := m.peers[name]; s != nil && s.latest.GetTakesFacts() {
			out = append(out, others[name].Address)
		}
	}
	return out
}
