package mesh

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/io/mesh/wire"

	"google.golang.org/protobuf/proto"
)

// fakeDemand stands for the admission control of one node.
type fakeDemand struct {
	own      map[uint32]admit.Count
	received map[string]map[uint32]admit.Count // by sender
}

// Counts returns this node's counts.
func (d *fakeDemand) Counts() map[uint32]admit.Count { return d.own }

// Merge stores the counts of a node or relay.
func (d *fakeDemand) Merge(node string, counts map[uint32]admit.Count) { d.received[node] = counts }

// total returns the counts that all senders reported.
func (d *fakeDemand) total() map[uint32]admit.Count {
	sum := make(map[uint32]admit.Count)
	for _, counts := range d.received {
		for class, c := range counts {
			sum[class] = admit.Count{Offered: sum[class].Offered + c.Offered, Unserved: sum[class].Unserved + c.Unserved}
		}
	}
	return sum
}

// withDemand gives each node of a group counts of its own.
func (g *group) withDemand(counts func(node int) map[uint32]admit.Count) []*fakeDemand {
	var list []*fakeDemand
	for i, m := range g.nodes {
		d := &fakeDemand{counts(i), make(map[string]map[uint32]admit.Count)}
		m.demand = d
		list = append(list, d)
	}
	return list
}

// Classes of the tests.
const (
	commonClass = 7  // of which all nodes have requests
	singleClass = 9  // of which one node has requests
	endedClass  = 11 // of which all nodes had requests until a moment
)

// checkOthersDemand checks that each node has the sums of the others.
func checkOthersDemand(t *testing.T, when string, list []*fakeDemand) {
	t.Helper()
	for i, d := range list {
		want := make(map[uint32]admit.Count)
		for j, o := range list {
			for class, c := range o.own {
				if j != i {
					want[class] = admit.Count{Offered: want[class].Offered + c.Offered, Unserved: want[class].Unserved + c.Unserved}
				}
			}
		}
		got := d.total()
		for class := range want {
			if got[class] != want[class] {
				t.Fatalf("%s: node %d has %+v of class %d, want %+v", when, i, got[class], class, want[class])
			}
		}
		if len(got) != len(want) {
			t.Fatalf("%s: node %d has the classes %v, want %v", when, i, got, want)
		}
	}
}

// TestEachNodeLearnsTheDemandAtAllOthers guards against requests that are counted twice, at the node itself, or not at all: directly
// between few nodes, through relays between many, and after counts have changed.
func TestEachNodeLearnsTheDemandAtAllOthers(t *testing.T) {
	for _, n := range []int{2, 9, 16, 17, 40, 84} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, "a", "b", "c", "d")
				list := g.withDemand(func(i int) map[uint32]admit.Count {
					counts := map[uint32]admit.Count{commonClass: {Offered: i + 3, Unserved: i % 3}, endedClass: {Offered: 5}}
					if i == 1 {
						counts[singleClass] = admit.Count{Offered: 1 << 20, Unserved: 1 << 19}
					}
					return counts
				})
				g.exchange(6)
				checkOthersDemand(t, "at first", list)
				for i, d := range list {
					d.own = map[uint32]admit.Count{commonClass: {Offered: 2*n - i, Unserved: n - i}}
				}
				g.exchange(6)
				checkOthersDemand(t, "after a change", list)
			})
		})
	}
}

// TestDigestsHoldTheClassesWithMostUnserved guards against digests that grow with the classes of a configuration or the number of
// nodes, and against a small class whose refused requests no other node learns of, so that no level rises for it.
func TestDigestsHoldTheClassesWithMostUnserved(t *testing.T) {
	for _, tc := range []struct{ nodes, classes int }{{2, 31}, {2, 32}, {2, 33}, {9, 200}, {40, 33}, {40, 200}} {
		t.Run(fmt.Sprintf("%d nodes, %d classes", tc.nodes, tc.classes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, tc.nodes, "a", "b", "c")
				unserved := uint32(tc.classes) // the class with the fewest requests, of which one is unserved
				list := g.withDemand(func(int) map[uint32]admit.Count {
					counts := map[uint32]admit.Count{unserved: {Offered: 1, Unserved: 1}}
					for class := uint32(1); class < unserved; class++ {
						counts[class] = admit.Count{Offered: 100 + int(class)}
					}
					return counts
				})
				g.exchange(6)
				kept := min(tc.classes, maxDemandClasses)
				for i, d := range list {
					for sender, counts := range d.received {
						if len(counts) != kept {
							t.Fatalf("%s sent %d classes to node %d, want %d", sender, len(counts), i, kept)
						}
					}
					got := d.total()
					if want := (admit.Count{Offered: tc.nodes - 1, Unserved: tc.nodes - 1}); got[unserved] != want {
						t.Fatalf("node %d has %+v of the class with unserved requests, want %+v", i, got[unserved], want)
					}
					for class := unserved - uint32(kept) + 1; class < unserved; class++ {
						if want := (tc.nodes - 1) * (100 + int(class)); got[class].Offered != want {
							t.Fatalf("node %d has %d requests of class %d, want %d", i, got[class].Offered, class, want)
						}
					}
				}
			})
		})
	}
}

// TestSumsHoldNoMoreClassesThanDigests guards against sums of relays that grow with the number of nodes where these have requests of
// different classes, and that lack the few classes with unserved requests.
func TestSumsHoldNoMoreClassesThanDigests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const classesPerNode = 20
		g := newGroup(t, 40, "a", "b", "c")
		list := g.withDemand(func(i int) map[uint32]admit.Count {
			counts := map[uint32]admit.Count{commonClass: {Offered: 1, Unserved: 1}}
			for j := range classesPerNode {
				counts[uint32(1000+i*classesPerNode+j)] = admit.Count{Offered: 100 + j}
			}
			return counts
		})
		g.exchange(6)
		for i, d := range list {
			for sender, counts := range d.received {
				if len(counts) != maxDemandClasses {
					t.Errorf("%s sent %d classes to node %d, want %d", sender, len(counts), i, maxDemandClasses)
				}
			}
			if got, want := d.total()[commonClass], (admit.Count{Offered: 39, Unserved: 39}); got != want {
				t.Errorf("node %d has %+v of the class with unserved requests, want %+v", i, got, want)
			}
		}
	})
}

// TestOrderOfClassesInADigest guards against classes of equal counts that change places from one digest to the next.
func TestOrderOfClassesInADigest(t *testing.T) {
	counts := map[uint32]admit.Count{1: {Offered: 5}, 2: {Offered: 9}, 3: {Offered: 2, Unserved: 1}, 4: {Offered: 9}, 5: {Offered: 3, Unserved: 1}}
	want := []uint32{5, 3, 2, 4, 1}
	for range 20 { // maps are ranged over in random order
		var got []uint32
		for _, d := range encodeDemand(counts) {
			got = append(got, d.GetClass())
		}
		if !slices.Equal(got, want) {
			t.Fatalf("classes %v, want %v", got, want)
		}
	}
}

// TestNodesOfOlderBuildsSendNoDemand guards against counts that are lost, or added to another class, where some nodes send digests
// without the field.
func TestNodesOfOlderBuildsSendNoDemand(t *testing.T) {
	for _, tc := range []struct{ nodes, older int }{{2, 1}, {9, 4}, {40, 7}} {
		t.Run(fmt.Sprintf("%d of %d nodes", tc.older, tc.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, tc.nodes, "a", "b", "c")
				list := g.withDemand(func(i int) map[uint32]admit.Count {
					return map[uint32]admit.Count{commonClass: {Offered: i + 3, Unserved: 1}}
				})
				relays := g.nodes[0].relaysOf(g.nodes[0].listedNodes())
				var newer []*fakeDemand
				older := 0
				for i, m := range g.nodes {
					if older < tc.older && !slices.Contains(relays[m.dataCentre].active, m.config.Node) || tc.nodes < RelayThreshold && i < tc.older {
						older++
						m.demand = nil
						continue
					}
					newer = append(newer, list[i])
				}
				if older != tc.older {
					t.Fatalf("%d nodes of older builds", older)
				}
				g.exchange(6)
				checkOthersDemand(t, "beside older builds", newer)
			})
		})
	}
}

// TestDemandOfOneDigest guards against a digest without the field that leaves the counts of the one before it in force, and against
// a class whose large counts change on the way.
func TestDemandOfOneDigest(t *testing.T) {
	for _, tc := range []struct {
		name   string
		counts map[uint32]admit.Count
	}{
		{"some", map[uint32]admit.Count{commonClass: {Offered: 3, Unserved: 2}}},
		{"many requests", map[uint32]admit.Count{commonClass: {Offered: 1<<31 - 1, Unserved: 1<<31 - 1}, 1<<32 - 1: {Offered: 1}}},
		{"none", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 2, "a")
				list := g.withDemand(func(int) map[uint32]admit.Count { return map[uint32]admit.Count{singleClass: {Offered: 8}} })
				g.exchange(1)
				list[1].own = tc.counts
				g.exchange(1)
				checkOthersDemand(t, "after the second digest", list)
			})
		})
	}
}

// TestCountsOfSilentNodesExpire guards against levels that stay up for a node which no longer says what it counts.
func TestCountsOfSilentNodesExpire(t *testing.T) {
	urgent, patient := admit.Rank{Secondary: 0}, admit.Rank{Secondary: 2}
	for _, n := range []int{2, 9, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, n, "a", "b", "c")
				var controllers []*admit.Controller
				silent := n - 1
				for i, m := range g.nodes {
					c := admit.New("s")
					c.SetClasses([]admit.Class{{Rank: urgent}, {Rank: patient}})
					controllers = append(controllers, c)
					m.demand = c
					if i == silent {
						m.demand = &fakeDemand{map[uint32]admit.Count{admit.ClassHash("s", urgent): {Offered: 10, Unserved: 10}},
							make(map[string]map[uint32]admit.Count)}
					}
				}
				g.exchange(6)
				checkLevels(t, "while the node sends", controllers[:silent], 1)
				g.nodes[silent].isStopped = true
				// A relay forgets a member after memberTTL, a controller a sender after a second; then levels fall within a second.
				g.exchange(int((memberTTL+2*time.Second)/gossipPeriod) + 3)
				checkLevels(t, "after its end", controllers[:silent], 0)
			})
		})
	}
}

// checkLevels checks the level of the least urgent class at each node.
func checkLevels(t *testing.T, when string, controllers []*admit.Controller, want float64) {
	t.Helper()
	for i, c := range controllers {
		if got := c.Level(); got != want {
			t.Fatalf("%s: the level at node %d is %.2f, want %.2f", when, i, got, want)
		}
	}
}

// BenchmarkDigestWithDemand measures what the counts of admission control add to a datagram: the bytes, and the time to write and
// read it.
func BenchmarkDigestWithDemand(b *testing.B) {
	for _, classes := range []int{0, 3, maxDemandClasses} {
		b.Run(fmt.Sprint(classes, " classes"), func(b *testing.B) {
			counts := make(map[uint32]admit.Count)
			for i := range classes {
				counts[NameHash(fmt.Sprint(i))] = admit.Count{Offered: 100 + i, Unserved: i}
			}
			bytes := 0
			for b.Loop() {
				raw, err := proto.Marshal(&wire.Digest{Node: "node-1", DataCentre: "a", Demand: encodeDemand(counts)})
				if err != nil {
					b.Fatal(err)
				}
				var d wire.Digest
				if err := proto.Unmarshal(raw, &d); err != nil {
					b.Fatal(err)
				}
				if len(demandOf(&d)) != classes {
					b.Fatal("classes are missing")
				}
				bytes = len(raw)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}

// BenchmarkRelayedDemand measures what a relay spends on the counts of its members in each period.
func BenchmarkRelayedDemand(b *testing.B) {
	for _, members := range []int{15, 62} {
		b.Run(fmt.Sprint(members, " members"), func(b *testing.B) {
			var digests []*wire.Digest
			for range members {
				d := &wire.Digest{}
				for i := range maxDemandClasses {
					d.Demand = append(d.Demand, &wire.Demand{Class: NameHash(fmt.Sprint(i)), Offered: 100, Unserved: 3})
				}
				digests = append(digests, d)
			}
			own := &wire.Digest{Node: "node-1"}
			for b.Loop() {
				total := newDigestSum()
				for _, d := range digests {
					total.add(d, 1)
				}
				for _, d := range digests {
					total.add(d, -1)
					total.digest(own, wire.Scope_OTHERS, 0, 0)
					total.add(d, 1)
				}
			}
		})
	}
}
