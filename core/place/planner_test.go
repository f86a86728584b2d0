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

// fakeEngines are upstreams that carry out orders, or lose orders or their responses.
type fakeEngines struct {
	mu          sync.Mutex
	engine      *rules.Engine
	byID        map[string]*fakeEngine
	suspected   map[string]bool // by ID; they do not respond
	loseAnswers bool            // orders are carried out, their responses are lost
	dropOrders  bool            // orders are lost
	orders      []string        // IDs of the upstreams of all orders
}

// fakeEngine is the state of one upstream.
type fakeEngine struct {
	card        rules.Card
	layers      fleet.Range
	sequence    uint64
	incarnation int64
}

var errNoAnswer = errors.New("no answer")

func newFakeEngines(e *rules.Engine, members []Member) *fakeEngines {
	f := &fakeEngines{engine: e, byID: make(map[string]*fakeEngine), suspected: make(map[string]bool)}
	for _, m := range members {
		f.byID[m.ID] = &fakeEngine{card: m.Card, layers: m.Layers}
	}
	return f
}

func (f *fakeEngines) Report(_ context.Context, u *fleet.Upstream) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.suspected[u.ID] {
		return Report{}, errNoAnswer
	}
	e := f.byID[u.ID]
	return Report{Sequence: e.sequence, Layers: e.layers}, nil
}

func (f *fakeEngines) Place(_ context.Context, u *fleet.Upstream, o Order) (Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byID[u.ID]
	f.orders = append(f.orders, u.ID)
	if o.Layers.Len() > f.engine.MaxLayers(e.card) {
		panic(fmt.Sprintf("%s is ordered to hold %v", u.ID, o.Layers))
	}
	if f.dropOrders {
		return Failed, errNoAnswer
	}
	if o.Sequence != e.sequence {
		return Rejected, errors.New("sequence")
	}
	e.sequence++
	e.layers = o.Layers
	if f.loseAnswers {
		return Failed, errNoAnswer
	}
	return Started, nil
}

// list returns the upstreams as the platform's list shows them.
func (f *fakeEngines) list(members []Member) []*fleet.Upstream {
	var list []*fleet.Upstream
	for _, m := range members {
		e := f.byID[m.ID]
		list = append(list, &fleet.Upstream{ID: m.ID, DataCentre: m.DataCentre, Card: cardName(f.engine, m.Card),
			Layers: e.layers, Incarnation: e.incarnation})
	}
	return list
}

func cardName(e *rules.Engine, c rules.Card) string {
	for name, k := range e.Cards {
		if k == c {
			return name
		}
	}
	return ""
}

func noneSuspected(*fleet.Upstream) bool { return false }

// newPlannerTest returns a planner for fake engines, their members, and whether the planner's lease is held.
func newPlannerTest() (*Planner, *fakeEngines, []Member, *bool) {
	e := testEngine()
	members := membersOf(e, testFleets()[0].groups)
	f := newFakeEngines(e, members)
	held := true
	p := NewPlanner(f, func() (uint64, bool) { return 7, held }, logr.Discard())
	return p, f, members, &held
}

func TestPlannerFillsAnEmptyFleetOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f, members, _ := newPlannerTest()
		stale := f.list(members)
		p.Step(t.Context(), f.engine, stale, noneSuspected)
		if len(f.orders) != len(members) {
			t.Errorf("%d orders for %d empty upstreams", len(f.orders), len(members))
		}
		// The list is stale: the same upstreams still seem empty.
		p.Step(t.Context(), f.engine, stale, noneSuspected)
		if len(f.orders) != len(members) {
			t.Errorf("%d orders though all are pending", len(f.orders))
		}
	})
}

func TestPlannerWithoutLeaseOrdersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f, members, held := newPlannerTest()
		*held = false
		p.Step(t.Context(), f.engine, f.list(members), noneSuspected)
		if len(f.orders) != 0 {
			t.Errorf("%d orders without the lease", len(f.orders))
		}
	})
}

// TestNextLeaseHolderReadsBeforeItOrders checks that a new lease holder sends no orders while the list does not show
// yet what the previous one ordered before it failed.
func TestNextLeaseHolderReadsBeforeItOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, f, members, _ := newPlannerTest()
		stale := f.list(members)
		first.Step(t.Context(), f.engine, stale, noneSuspected)
		f.orders = nil
		next := NewPlanner(f, func() (uint64, bool) { return 8, true }, logr.Discard())
		next.Step(t.Context(), f.engine, stale, noneSuspected)
		if len(f.orders) != 0 {
			t.Errorf("the next lease holder sent %d orders to upstreams that hold layers", len(f.orders))
		}
	})
}

func TestLostAnswersAndOrdersAreRetried(t *testing.T) {
	tests := []struct {
		name string
		set  func(f *fakeEngines)
	}{
		{"lost responses", func(f *fakeEngines) { f.loseAnswers = true }},
		{"lost orders", func(f *fakeEngines) { f.dropOrders = true }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, f, members, _ := newPlannerTest()
				tc.set(f)
				p.Step(t.Context(), f.engine, f.list(members), noneSuspected)
				f.loseAnswers, f.dropOrders = false, false
				for range 60 {
					time.Sleep(300 * time.Millisecond)
					p.Step(t.Context(), f.engine, f.list(members), noneSuspected)
				}
				for id, e := range f.byID {
					if e.layers.Len() == 0 {
						t.Errorf("%s is still empty", id)
					}
				}
			})
		})
	}
}

func TestSuspectedUpstreamsLayersGoToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f, members, _ := newPlannerTest()
		p.Step(t.Context(), f.engine, f.list(members), noneSuspected)
		f.suspected["b-a100-0"] = true
		suspected := func(u *fleet.Upstream) bool { return f.suspected[u.ID] }
		for range 60 {
			time.Sleep(300 * time.Millisecond)
			p.Step(t.Context(), f.engine, f.list(members), suspected)
		}
		var remaining []Member
		for _, m := range members {
			if !f.suspected[m.ID] {
				m.Layers = f.byID[m.ID].layers
				remaining = append(remaining, m)
			}
		}
		if s := Summarize(f.engine, remaining); s.CompleteDataCentres != 3 {
			t.Errorf("%+v without the suspected upstream, want three complete data centres", s)
		}
	})
}

func TestRestartedUpstreamIsFilledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, f, members, _ := newPlannerTest()
		p.Step(t.Context(), f.engine, f.list(members), noneSuspected)
		f.byID["a-l4-3"] = &fakeEngine{card: f.byID["a-l4-3"].card, incarnation: 2}
		p.Step(t.Context(), f.engine, f.list(members), noneSuspected)
		if f.byID["a-l4-3"].layers.Len() == 0 {
			t.Error("a new incarnation of an upstream stays empty")
		}
	})
}
