package place

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/demand"
	"rhubarbspread/core/fleet"

	"github.com/go-logr/logr"
)

// planStep is the time between two steps of the planner in the tests.
const planStep = 300 * time.Millisecond

// shortFleet is a fleet of which one data centre has lost holders of a layer.
type shortFleet struct {
	*fakeEngines
	members    []Member
	dataCentre string
}

// newShortFleet plans a fleet of balanceCases and takes away half of the holders of the narrowest layer of a data centre, but not the
// last one of any layer.
func newShortFleet(tc balanceCase, dataCentre string) *shortFleet {
	e := unevenEngine()
	e.LoadTime = 14 * time.Second
	all := tc.members(e)
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	all = withMoves(all, Plan(e, all, WithBalancedRanges()))
	count := func(layer int) int {
		n := 0
		for _, m := range all {
			if m.DataCentre == dataCentre && contains(m.Layers, layer) {
				n++
			}
		}
		return n
	}
	narrow := 0
	for layer := range e.Layers {
		if count(layer) < count(narrow) {
			narrow = layer
		}
	}
	for lost := count(narrow) / 2; lost > 0; lost-- {
		i := slices.IndexFunc(all, func(m Member) bool {
			if m.DataCentre != dataCentre || !contains(m.Layers, narrow) {
				return false
			}
			for layer := m.Layers.From; layer < m.Layers.To; layer++ {
				if count(layer) < 2 {
					return false
				}
			}
			return true
		})
		if i < 0 {
			break
		}
		all = slices.Delete(all, i, i+1)
	}
	return &shortFleet{newFakeEngines(e, all), all, dataCentre}
}

// state returns the members with the layers that they hold now.
func (f *shortFleet) state() []Member {
	out := slices.Clone(f.members)
	for i := range out {
		out[i].Layers = f.byID[out[i].ID].layers
	}
	return out
}

func (f *shortFleet) room() float64 {
	least, _ := narrowest(f.engine, f.state(), f.dataCentre)
	return least
}

// run makes steps of a planner for a time, with what is known of the demand at each moment, and returns the time of each order.
func (f *shortFleet) run(t *testing.T, p *Planner, duration time.Duration, known func(at time.Duration) map[string]demand.Entry) []time.Duration {
	t.Helper()
	var at []time.Duration
	for began := time.Now(); time.Since(began) < duration; time.Sleep(planStep) {
		opts := []Option{WithBalancedRanges()}
		if known != nil {
			opts = append(opts, WithDemand("s", known(time.Since(began))))
		}
		before := len(f.orders)
		p.Step(t.Context(), f.engine, f.list(f.members), noneSuspected, opts...)
		if len(f.orders) > before+1 {
			t.Errorf("%d orders in one step", len(f.orders)-before)
		}
		if len(f.orders) > before {
			at = append(at, time.Since(began))
		}
	}
	return at
}

func (f *shortFleet) planner() *Planner {
	return NewPlanner(f, func() (uint64, bool) { return 7, true }, logr.Discard())
}

// shortAt returns the demand of a fleet of which one data centre lacks room.
func shortAt(dataCentre string) func(time.Duration) map[string]demand.Entry {
	return func(time.Duration) map[string]demand.Entry {
		return map[string]demand.Entry{
			dataCentre: {Rate: demand.Rate{Offered: 1e5, Unserved: 3e4, Refused: 40, Admitted: 100}},
			"other":    {Rate: demand.Rate{Offered: 1e5, Admitted: 130}},
		}
	}
}

// forEachShortFleet runs a test for each data centre of balanceCases, and returns how many there are.
func forEachShortFleet(t *testing.T, test func(t *testing.T, f func() *shortFleet)) {
	t.Helper()
	for _, tc := range balanceCases() {
		for dataCentre := range tc.counts {
			t.Run(fmt.Sprintf("%s/%d", tc.name, dataCentre), func(t *testing.T) {
				test(t, func() *shortFleet { return newShortFleet(tc, fmt.Sprint(dataCentre)) })
			})
		}
	}
}

// TestShortDataCentreGetsRoom guards against a data centre that lacks room at one layer while others of its layers have some to spare, and
// against moves without end: an upstream that loads serves nobody.
func TestShortDataCentreGetsRoom(t *testing.T) {
	raised := 0
	forEachShortFleet(t, func(t *testing.T, newFleet func() *shortFleet) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			p := f.planner()
			least := f.room()
			orders := f.run(t, p, 2*time.Minute, shortAt(f.dataCentre))
			if f.room() < least {
				t.Errorf("the narrowest layer has room for %.0f tokens, %.0f before", f.room(), least)
			}
			if p.DemandMoves() > 0 {
				raised++
				if f.room() < minRoomGain*least {
					t.Errorf("%d moves raised the room from %.0f to %.0f", p.DemandMoves(), least, f.room())
				}
			}
			if late := f.run(t, p, 2*time.Minute, shortAt(f.dataCentre)); len(late) > 0 {
				t.Errorf("after %d orders in two minutes %d more in the next two", len(orders), len(late))
			}
			for i, id := range f.orders { // the list shows orders at once, so that none is pending for long
				if j := slices.Index(f.orders[i+1:], id); j >= 0 && orders[min(len(orders)-1, i+1+j)]-orders[min(len(orders)-1, i)] < rebalanceInterval {
					t.Errorf("%s was moved twice within %v", id, rebalanceInterval)
				}
			}
		})
	})
	if raised < 4 {
		t.Errorf("moves in %d fleets alone: the test exercises little", raised)
	}
}

// TestFewUpstreamsLoadForDemand guards against a data centre that loses more room to loading upstreams than it gains: at most
// maxRebalancing of them may load at a time, if they load as fast as the configuration says.
func TestFewUpstreamsLoadForDemand(t *testing.T) {
	forEachShortFleet(t, func(t *testing.T, newFleet func() *shortFleet) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet()
			p := f.planner()
			known := shortAt(f.dataCentre)(0)
			shown := f.list(f.members) // as before a load has ended
			changedAt := make(map[string]time.Time)
			for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(planStep) {
				loading := 0
				for i, u := range f.list(f.members) {
					switch {
					case u.Layers == shown[i].Layers:
						continue
					case changedAt[u.ID].IsZero():
						changedAt[u.ID] = time.Now()
						loading++
					case time.Since(changedAt[u.ID]) >= f.engine.LoadTime*time.Duration(u.Layers.Len())/time.Duration(f.engine.Layers):
						shown[i] = u
						delete(changedAt, u.ID)
					default:
						loading++
					}
				}
				if loading > maxRebalancing {
					t.Fatalf("%d upstreams load after %v", loading, time.Since(began))
				}
				p.Step(t.Context(), f.engine, slices.Clone(shown), noneSuspected, WithBalancedRanges(), WithDemand("s", known))
			}
		})
	})
}

// TestPlanIsUnchangedWithoutShortage guards against moves for demand where there is no shortage, or for a moment alone, or where the
// demand is unknown, stale or of a data centre without upstreams: the orders must be those of a planner that knows no demand.
func TestPlanIsUnchangedWithoutShortage(t *testing.T) {
	none := func(time.Duration) map[string]demand.Entry { return nil }
	for _, known := range []struct {
		name string
		at   func(dataCentre string) func(time.Duration) map[string]demand.Entry
	}{
		{"unknown", func(string) func(time.Duration) map[string]demand.Entry { return none }},
		{"no shortage", func(dataCentre string) func(time.Duration) map[string]demand.Entry {
			return func(time.Duration) map[string]demand.Entry {
				return map[string]demand.Entry{dataCentre: {Rate: demand.Rate{Offered: 1e5, Unserved: 4e3, Refused: 4}}}
			}
		}},
		{"short for a moment each ten seconds", func(dataCentre string) func(time.Duration) map[string]demand.Entry {
			return func(at time.Duration) map[string]demand.Entry {
				if at%(10*time.Second) < shortTime-planStep {
					return shortAt(dataCentre)(at)
				}
				return nil
			}
		}},
		{"another data centre", func(string) func(time.Duration) map[string]demand.Entry { return shortAt("elsewhere") }},
	} {
		t.Run(known.name, func(t *testing.T) {
			forEachShortFleet(t, func(t *testing.T, newFleet func() *shortFleet) {
				synctest.Test(t, func(t *testing.T) {
					f, plain := newFleet(), newFleet()
					p := f.planner()
					f.run(t, p, time.Minute, known.at(f.dataCentre))
					plain.run(t, plain.planner(), time.Minute, nil)
					if !slices.Equal(f.orders, plain.orders) || !slices.Equal(f.state(), plain.state()) || p.DemandMoves() > 0 {
						t.Errorf("orders %v, without demand %v", f.orders, plain.orders)
					}
				})
			})
		})
	}
}

// TestLeaseHolderIsLostInAMoveForDemand guards against a data centre that is left with less room than before, or for which upstreams are
// moved to and fro, when the next holder takes over: right after an order, with the list from before it, or after lost orders.
func TestLeaseHolderIsLostInAMoveForDemand(t *testing.T) {
	for _, after := range []time.Duration{shortTime + planStep, 5 * time.Second, 12 * time.Second} {
		for _, losesOrders := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %v, orders lost %v", after, losesOrders), func(t *testing.T) {
				forEachShortFleet(t, func(t *testing.T, newFleet func() *shortFleet) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet()
						least := f.room()
						f.dropOrders = losesOrders
						f.run(t, f.planner(), after, shortAt(f.dataCentre))
						f.dropOrders = false
						next := f.planner()
						ordered := len(f.orders)
						stale := f.list(f.members)
						next.Step(t.Context(), f.engine, stale, noneSuspected, WithBalancedRanges(), WithDemand("s", shortAt(f.dataCentre)(0)))
						if next.DemandMoves() > 0 {
							t.Error("the next holder moved an upstream for a shortage that it had not seen for long")
						}
						f.run(t, next, 90*time.Second, shortAt(f.dataCentre))
						if f.room() < least {
							t.Errorf("room for %.0f tokens at the narrowest layer, %.0f before", f.room(), least)
						}
						if late := f.run(t, next, time.Minute/2, shortAt(f.dataCentre)); len(late) > 0 {
							t.Errorf("%d orders, still %d in the last half minute", len(f.orders)-ordered, len(late))
						}
					})
				})
			})
		}
	}
}

// TestShortageEndsWithTheScope guards against a shortage that is taken for a long one when a configuration takes the service out of scope
// and back, or when the lease was lost meanwhile.
func TestShortageEndsWithTheScope(t *testing.T) {
	for _, tc := range []struct {
		name      string
		keepsStep bool
		held      bool
	}{{"out of scope", true, true}, {"lease lost", true, false}, {"no step for long", false, true}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, held := newShortFleet(balanceCases()[0], "0"), true
				p := NewPlanner(f, func() (uint64, bool) { return 7, held }, logr.Discard())
				f.run(t, p, shortTime-planStep, shortAt("0"))
				held = tc.held
				if tc.keepsStep {
					f.run(t, p, shortTime+planStep, nil)
				} else {
					time.Sleep(shortTime + planStep)
				}
				held = true
				if f.run(t, p, shortTime-planStep, shortAt("0")); p.DemandMoves() > 0 {
					t.Error("an upstream was moved for a shortage that had been out of sight")
				}
				if f.run(t, p, shortTime, shortAt("0")); p.DemandMoves() == 0 {
					t.Error("no upstream was moved: the test exercises nothing")
				}
			})
		})
	}
}

// TestReturnedUpstreamGoesToTheNarrowestRange guards against an empty upstream of a data centre that lacks room whose range is chosen by
// the copies in other data centres or by speed, and against other ranges in a data centre that has room.
func TestReturnedUpstreamGoesToTheNarrowestRange(t *testing.T) {
	for _, opts := range [][]Option{nil, {WithBalancedRanges()}} {
		forEachShortFleet(t, func(t *testing.T, newFleet func() *shortFleet) {
			f := newFleet()
			for i, m := range f.members {
				members := slices.Clone(f.members)
				members[i].Layers = fleet.Range{}
				least, _ := narrowest(f.engine, members, m.DataCentre)
				plain, moves := Plan(f.engine, members, opts...), Plan(f.engine, members, opts...)
				fillForDemand(f.engine, members, moves, []string{f.dataCentre}, newOptions(opts))
				if m.DataCentre != f.dataCentre {
					if !slices.Equal(moves, plain) {
						t.Errorf("%s: moves %v, without demand %v", m.ID, moves, plain)
					}
					continue
				}
				if least == 0 { // a gap, which must be filled as it is without demand
					with, _ := narrowest(f.engine, withMoves(members, moves), m.DataCentre)
					if without, _ := narrowest(f.engine, withMoves(members, plain), m.DataCentre); with < without {
						t.Errorf("%s: room for %.0f tokens at the narrowest layer, %.0f without demand", m.ID, with, without)
					}
					continue
				}
				b := newBalancer(f.engine)
				for _, o := range members {
					if o.DataCentre == f.dataCentre {
						b.add(o, 1)
					}
				}
				r := moves[0].Layers
				if !slices.ContainsFunc(b.layers[r.From:r.To], func(l layerRoom) bool { return l.tokens <= least*(1+1e-6) }) {
					t.Errorf("%s: range %v has no layer that is narrowest", m.ID, r)
				}
				if r.Len() > f.engine.MaxLayers(m.Card) || f.engine.CheckLayers(r) != nil {
					t.Errorf("%s: range %v does not fit", m.ID, r)
				}
			}
		})
	}
}

// BenchmarkMoveForDemand measures the search for a move in one of six data centres of 690 upstreams.
func BenchmarkMoveForDemand(b *testing.B) {
	e := unevenEngine()
	counts := make([]map[string]int, 6)
	for i := range counts {
		counts[i] = map[string]int{"large": 5, "medium": 10, "small": 50, "tiny": 50}
	}
	members := balanceCase{"", counts}.members(e)
	members = withMoves(members, Plan(e, members, WithBalancedRanges()))
	for b.Loop() {
		newDemandSearch(e, members, "0", options{balances: true}).run()
	}
}
