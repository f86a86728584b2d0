package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/demand"
	"rhubarbspread/io/mesh/wire"

	"google.golang.org/protobuf/proto"
)

// loadCentres are the data centres of the tests.
var loadCentres = []string{"a", "b", "c"}

// settlePeriods is the number of periods in which demand reaches all nodes, also with one of two relays: each of three hops waits
// for up to two turns.
const settlePeriods = 3 * 2 * loadPeriods

// meters returns a meter for each node of a group. Each keeps its demand for as long as the test runs, since ask is called
// in each period.
func (g *group) meters(services ...string) []*demand.Meter {
	var list []*demand.Meter
	for _, m := range g.nodes {
		meter := demand.New(m.dataCentre)
		meter.Configure(services, loadCentres)
		m.meter = meter
		list = append(list, meter)
	}
	return list
}

// exchangeLoad delivers the datagrams of some periods in each of which each running node is asked for 150 tokens, 1,000 a second.
func (g *group) exchangeLoad(periods int) {
	for range periods {
		for _, m := range g.nodes {
			if m.meter != nil && !m.isStopped {
				m.meter.Offer("s", 1000*gossipPeriod.Seconds())
			}
		}
		g.exchange(1)
	}
}

// checkKnown checks that a node knows the demand of each data centre to within a tenth; none is wanted where a rate is negative.
func checkKnown(t *testing.T, when string, node int, meter *demand.Meter, want map[string]float64) {
	t.Helper()
	known := meter.ByDataCentre("s")
	for dataCentre, rate := range want {
		e, ok := known[dataCentre]
		if ok != (rate >= 0) || ok && (e.Offered < 0.9*rate || e.Offered > 1.1*rate) {
			t.Errorf("%s: node %d knows %.0f tokens a second of %s (%v), want %.0f", when, node, e.Offered, dataCentre, ok, rate)
		}
	}
}

// demandOfNodes returns the demand of each data centre if each running node is asked for 1,000 tokens a second.
func (g *group) demandOfNodes() map[string]float64 {
	want := make(map[string]float64)
	for _, m := range g.nodes {
		if !m.isStopped && m.meter != nil {
			want[m.dataCentre] += 1000
		}
	}
	return want
}

// TestEachNodeKnowsTheDemandOfEachDataCentre guards against demand that is counted twice or gets lost on its way, directly and
// through relays, beside older builds, and after the loss of relays.
func TestEachNodeKnowsTheDemandOfEachDataCentre(t *testing.T) {
	for _, tc := range []struct {
		name         string
		nodes, older int
		losesRelays  bool
	}{
		{"two", 2, 0, false}, {"nine", 9, 0, false}, {"forty", 40, 0, false}, {"with turns of relays", 84, 0, false},
		{"some of older builds", 9, 3, false}, {"some of older builds behind relays", 40, 6, false},
		{"one relay of each lost", 40, 0, true}, {"one relay of each lost, with turns", 84, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, tc.nodes, loadCentres...)
				list := g.meters("s")
				relays := g.nodes[0].relaysOf(g.nodes[0].listedNodes())
				for i := len(g.nodes) - 1; i >= 0 && tc.older > 0; i-- {
					isRelay := false
					for _, set := range relays {
						isRelay = isRelay || tc.nodes > RelayThreshold && (set.active[0] == g.nodes[i].config.Node || set.active[1] == g.nodes[i].config.Node)
					}
					if !isRelay {
						g.nodes[i].meter, tc.older = nil, tc.older-1
					}
				}
				g.exchangeLoad(settlePeriods)
				if tc.losesRelays {
					for _, m := range g.nodes {
						m.isStopped = relays[m.dataCentre].active[0] == m.config.Node
					}
					g.exchangeLoad(2 * settlePeriods)
				}
				want := g.demandOfNodes()
				for i, m := range g.nodes {
					if !m.isStopped && m.meter != nil {
						checkKnown(t, "at the end", i, list[i], want)
					}
				}
			})
		})
	}
}

// TestDemandOfACutDataCentreExpires guards against decisions that rest on the demand of a data centre that nobody hears any more.
func TestDemandOfACutDataCentreExpires(t *testing.T) {
	for _, n := range []int{9, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, loadCentres...)
				list := g.meters("s")
				g.exchangeLoad(settlePeriods)
				whole := g.demandOfNodes()
				g.cutDataCentre = "b"
				g.exchangeLoad(int(5 * time.Second / gossipPeriod))
				for i, m := range g.nodes {
					want := map[string]float64{"a": whole["a"], "b": -1, "c": whole["c"]}
					if m.dataCentre == "b" {
						want = map[string]float64{"a": -1, "b": whole["b"], "c": -1}
					}
					checkKnown(t, "while cut off", i, list[i], want)
				}
				g.cutDataCentre = ""
				g.exchangeLoad(settlePeriods)
				for i := range g.nodes {
					checkKnown(t, "afterwards", i, list[i], whole)
				}
			})
		})
	}
}

// TestDemandFitsAMembersBytes guards against digests whose demand and class counts take more than the 5 KB/s of a plain member at 370
// nodes in six data centres: it sends its own digest to two relays and gets one sum in each period. The largest of both are taken.
func TestDemandFitsAMembersBytes(t *testing.T) {
	const target = 5000.0
	meter := demand.New("a")
	m := &Mesh{meter: meter}
	entries := make(map[uint32]demand.Entry)
	for i := range demand.MaxEntries {
		entries[NameHash(fmt.Sprint(i))] = demand.Entry{Rate: demand.Rate{Offered: 1e6, Unserved: 9e5, Admitted: 1500, Refused: 1400},
			Age: 3 * time.Second}
	}
	counts := make(map[uint32]admit.Count)
	for i := range 32 {
		counts[NameHash(fmt.Sprint(i))] = admit.Count{Offered: 9000, Unserved: 8000}
	}
	empty := bytesOf(t, &wire.Digest{Node: "n"})
	perPeriod := 3 * float64(bytesOf(t, &wire.Digest{Node: "n", Demand: encodeDemand(counts)})-empty)
	loads := m.loads(loadPeriods, func(*demand.Meter) map[uint32]demand.Entry { return entries })
	perPeriod += 3 * float64(bytesOf(t, &wire.Digest{Node: "n", Loads: loads})-empty) / loadPeriods
	if got := perPeriod / gossipPeriod.Seconds(); got > target {
		t.Errorf("%.0f bytes a second, want %.0f at most", got, target)
	} else {
		t.Logf("%.0f bytes a second", got)
	}
}

func bytesOf(t *testing.T, d *wire.Digest) int {
	t.Helper()
	raw, err := proto.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return len(raw)
}
