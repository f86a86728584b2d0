package place

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
)

// TestOddRangesOfLayersEndNoPlan guards against an entry with an impossible range of layers that ends the node which plans.
func TestOddRangesOfLayersEndNoPlan(t *testing.T) {
	const huge = 1 << 50
	e := testEngine()
	for _, r := range []fleet.Range{{From: -3, To: 40}, {From: 40, To: huge}, {From: -huge, To: huge}, {From: 50, To: 20}, {From: 90, To: 95}, {From: huge, To: -huge}} {
		members := membersOf(e, testFleets()[0].groups)
		members[0].Layers = r
		if len(Plan(e, members)) == 0 {
			t.Errorf("%v: no plan for the sound members", r)
		}
	}
}

// TestUpstreamBeyondTheModelEndsNoPlanner guards against one entry or report of layers that the model does not have, which ended
// the process of the node that plans, and with it all requests in flight there.
func TestUpstreamBeyondTheModelEndsNoPlanner(t *testing.T) {
	const lastLayers = 20 // of the model
	tests := []struct {
		name   string
		change func(*planningSteps)
	}{
		{"in the list", func(s *planningSteps) { s.list[0].Layers = fleet.Range{From: s.engine.Layers - lastLayers, To: 1000} }},
		{"wholly beyond", func(s *planningSteps) { s.list[0].Layers = fleet.Range{From: 1000, To: 1010} }},
		{"below zero", func(s *planningSteps) { s.list[0].Layers = fleet.Range{From: -5, To: 10} }},
		{"in a report", func(s *planningSteps) {
			s.list[0].Layers = fleet.Range{}
			s.engines.byID[s.list[0].ID].layers = fleet.Range{From: 0, To: 1000}
		}},
		{"in an order for a larger model", func(s *planningSteps) {
			s.planner.pending[s.list[0].ID] = pendingOrder{
				layers: fleet.Range{From: s.engine.Layers, To: s.engine.Layers + lastLayers}, expiresAt: time.Now().Add(time.Hour),
			}
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newPlanningSteps(t.Context())
				tc.change(s)
				for range 20 {
					time.Sleep(stableTime)
					s.step()
				}
				for _, id := range s.engines.orders {
					if r := s.engines.byID[id].layers; r.From < 0 || r.To > s.engine.Layers {
						t.Errorf("%s was ordered to hold %v of %d layers", id, r, s.engine.Layers)
					}
				}
			})
		})
	}
}

// planningSteps is a planner that plans again and again for a fleet that holds its layers.
type planningSteps struct {
	ctx     context.Context
	planner *Planner
	engines *fakeEngines
	engine  *rules.Engine
	list    []*fleet.Upstream
}

func newPlanningSteps(ctx context.Context) *planningSteps {
	p, engines, members, _ := newPlannerTest()
	e := engines.engine
	for i := range members {
		members[i].Available = true
	}
	for _, m := range Plan(e, members) {
		engines.byID[m.ID].layers = m.Layers
	}
	return &planningSteps{ctx: ctx, planner: p, engines: engines, engine: e, list: engines.list(members)}
}

func (s *planningSteps) step() { s.planner.Step(s.ctx, s.engine, s.list, noneSuspected) }
