package place

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"

	"github.com/go-logr/logr"
)

// yard is engines that obey orders, lose them, or carry them out late.
type yard struct {
	mu     sync.Mutex
	engine *rules.Engine
	by     map[string]*berth
	silent map[string]bool
	lose   bool // orders are carried out and not answered
	drop   bool // orders are neither carried out nor answered
	orders []string
}

type berth struct {
	card     rules.Card
	layers   fleet.Range
	sequence uint64
	born     int64
}

var errLost = errors.New("no answer")

func newYard(e *rules.Engine, members []Member) *yard {
	y := &yard{engine: e, by: make(map[string]*berth), silent: make(map[string]bool)}
	for _, m := range members {
		y.by[m.ID] = &berth{card: m.Card, layers: m.Layers}
	}
	return y
}

func (y *yard) Report(_ context.Context, u *fleet.Upstream) (Report, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.silent[u.ID] {
		return Report{}, errLost
	}
	b := y.by[u.ID]
	return Report{Sequence: b.sequence, Layers: b.layers}, nil
}

func (y *yard) Place(_ context.Context, u *fleet.Upstream, o Order) (Result, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	b := y.by[u.ID]
	y.orders = append(y.orders, u.ID)
	if o.Layers.Len() > y.engine.MostLayers(b.card) {
		panic(fmt.Sprintf("%s is ordered to hold %v", u.ID, o.Layers))
	}
	if y.drop {
		return Failed, errLost
	}
	if o.Sequence != b.sequence {
		return Rejected, errors.New("sequence")
	}
	b.sequence++
	b.layers = o.Layers
	if y.lose {
		return Failed, errLost
	}
	return Begun, nil
}

// list is the platform's list of the yard.
func (y *yard) list(members []Member) []*fleet.Upstream {
	var list []*fleet.Upstream
	for _, m := range members {
		b := y.by[m.ID]
		list = append(list, &fleet.Upstream{ID: m.ID, DataCentre: m.DataCentre, Card: cardName(y.engine, m.Card), Layers: b.layers, Born: b.born})
	}
	return list
}

func cardName(e *rules.Engine, c rules.Card) string {
	for name, k := range e.Kinds {
		if k == c {
			return name
		}
	}
	return ""
}

func nobodySilent(*fleet.Upstream) bool { return false }

// rig is a planner before a yard.
func rig() (*Planner, *yard, []Member, *bool) {
	e := today()
	members := fleetOf(e, sites()[0].parts)
	y := newYard(e, members)
	held := true
	p := NewPlanner(y, func() (uint64, bool) { return 7, held }, logr.Discard())
	return p, y, members, &held
}

func TestPlannerFillsAnEmptyFleetOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, y, members, _ := rig()
		stale := y.list(members)
		p.Step(t.Context(), y.engine, stale, nobodySilent)
		if len(y.orders) != len(members) {
			t.Errorf("%d orders for %d empty upstreams", len(y.orders), len(members))
		}
		// The list lags: the same upstreams still look empty.
		p.Step(t.Context(), y.engine, stale, nobodySilent)
		if len(y.orders) != len(members) {
			t.Errorf("%d orders though all are under way", len(y.orders))
		}
	})
}

func TestPlannerWithoutLeaseOrdersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, y, members, held := rig()
		*held = false
		p.Step(t.Context(), y.engine, y.list(members), nobodySilent)
		if len(y.orders) != 0 {
			t.Errorf("%d orders without the lease", len(y.orders))
		}
	})
}

// TestNextHolderReadsBeforeItOrders: the holder before was lost amid its orders, and the list does not show them yet.
func TestNextHolderReadsBeforeItOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, y, members, _ := rig()
		stale := y.list(members)
		first.Step(t.Context(), y.engine, stale, nobodySilent)
		y.orders = nil
		next := NewPlanner(y, func() (uint64, bool) { return 8, true }, logr.Discard())
		next.Step(t.Context(), y.engine, stale, nobodySilent)
		if len(y.orders) != 0 {
			t.Errorf("the next holder gave %d orders to upstreams that hold layers", len(y.orders))
		}
	})
}

func TestLostAnswersAndOrdersAreMadeGood(t *testing.T) {
	tests := []struct {
		name string
		set  func(y *yard)
	}{
		{"answers are lost", func(y *yard) { y.lose = true }},
		{"orders are lost", func(y *yard) { y.drop = true }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, y, members, _ := rig()
				tc.set(y)
				p.Step(t.Context(), y.engine, y.list(members), nobodySilent)
				y.lose, y.drop = false, false
				for range 60 {
					time.Sleep(300 * time.Millisecond)
					p.Step(t.Context(), y.engine, y.list(members), nobodySilent)
				}
				for id, b := range y.by {
					if b.layers.Len() == 0 {
						t.Errorf("%s is still empty", id)
					}
				}
			})
		})
	}
}

func TestSilentUpstreamsLayersGoToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, y, members, _ := rig()
		p.Step(t.Context(), y.engine, y.list(members), nobodySilent)
		y.silent["b-a100-0"] = true
		silent := func(u *fleet.Upstream) bool { return y.silent[u.ID] }
		for range 60 {
			time.Sleep(300 * time.Millisecond)
			p.Step(t.Context(), y.engine, y.list(members), silent)
		}
		var left []Member
		for _, m := range members {
			if !y.silent[m.ID] {
				m.Layers = y.by[m.ID].layers
				left = append(left, m)
			}
		}
		if s := Summarize(y.engine, left); s.WholeCentres != 3 {
			t.Errorf("%+v without the silent upstream, want three whole data centres", s)
		}
	})
}

func TestRestartedUpstreamIsFilledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, y, members, _ := rig()
		p.Step(t.Context(), y.engine, y.list(members), nobodySilent)
		y.by["a-l4-3"] = &berth{card: y.by["a-l4-3"].card, born: 2}
		p.Step(t.Context(), y.engine, y.list(members), nobodySilent)
		if y.by["a-l4-3"].layers.Len() == 0 {
			t.Error("an upstream that started again under its ID stays empty")
		}
	})
}
