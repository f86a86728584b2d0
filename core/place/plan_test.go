package place

import (
	"fmt"
	"testing"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"

	"pgregory.net/rapid"
)

// testEngine returns an engine with three kinds of cards.
func testEngine() *rules.Engine {
	return &rules.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 918_000, DecodeStep: 1020 * time.Microsecond,
		PerSequence: 7140 * time.Nanosecond, PerContextK: 9560 * time.Nanosecond, PrefillTokensPerSecond: 105_000,
		StepsPerPass: 3, PrefillChunk: 512, MeanPromptTokens: 774, MeanOutputTokens: 200,
		LoadTime: 14 * time.Second, ParallelLoads: 5,
		Cards: map[string]rules.Card{
			"a100": {SizeMB: 72_000, DecodeFactor: 2.4, PrefillFactor: 3.2},
			"l40s": {SizeMB: 43_200, DecodeFactor: 5.6, PrefillFactor: 2.7},
			"l4":   {SizeMB: 21_600, DecodeFactor: 16, PrefillFactor: 8.2},
		},
	}
}

// cardGroup is a number of cards of one kind in a data centre.
type cardGroup struct {
	dataCentre, card string
	count            int
}

func testFleets() []struct {
	name   string
	groups []cardGroup
} {
	return []struct {
		name   string
		groups []cardGroup
	}{
		{"33 cards", []cardGroup{
			{"a", "a100", 1}, {"a", "l40s", 3}, {"a", "l4", 8}, {"b", "a100", 1}, {"b", "l40s", 6}, {"b", "l4", 5},
			{"c", "a100", 2}, {"c", "l40s", 2}, {"c", "l4", 5},
		}},
		{"86 cards", []cardGroup{
			{"a", "a100", 2}, {"a", "l40s", 9}, {"a", "l4", 22}, {"b", "a100", 2}, {"b", "l40s", 15}, {"b", "l4", 12},
			{"c", "a100", 4}, {"c", "l40s", 6}, {"c", "l4", 14},
		}},
		{"four data centres", []cardGroup{
			{"a", "a100", 2}, {"a", "l40s", 7}, {"a", "l4", 15}, {"b", "a100", 1}, {"b", "l40s", 11}, {"b", "l4", 8},
			{"c", "a100", 3}, {"c", "l40s", 5}, {"c", "l4", 10}, {"d", "a100", 2}, {"d", "l40s", 7}, {"d", "l4", 15},
		}},
		{"one kind", []cardGroup{{"a", "l4", 16}, {"b", "l4", 16}}},
	}
}

func membersOf(e *rules.Engine, groups []cardGroup) []Member {
	var members []Member
	for _, g := range groups {
		for i := range g.count {
			members = append(members, Member{
				ID: fmt.Sprintf("%s-%s-%d", g.dataCentre, g.card, i), DataCentre: g.dataCentre, Card: e.Cards[g.card],
				Available: true,
			})
		}
	}
	return members
}

// applyMoves carries out moves and fails if one exceeds the model or the memory of a card.
func applyMoves(t interface{ Fatalf(string, ...any) }, e *rules.Engine, members []Member, moves []Move) {
	for _, m := range moves {
		for i := range members {
			if members[i].ID != m.ID {
				continue
			}
			if m.Layers.From < 0 || m.Layers.To > e.Layers || m.Layers.Len() > e.MaxLayers(members[i].Card) {
				t.Fatalf("%s is to hold %v, its card fits %d layers", m.ID, m.Layers, e.MaxLayers(members[i].Card))
			}
			members[i].Layers = m.Layers
		}
	}
}

func TestEachDataCentreHoldsTheModel(t *testing.T) {
	for _, tc := range testFleets() {
		t.Run(tc.name, func(t *testing.T) {
			e := testEngine()
			members := membersOf(e, tc.groups)
			applyMoves(t, e, members, Plan(e, members))
			dataCentres := make(map[string]bool)
			for _, g := range tc.groups {
				dataCentres[g.dataCentre] = true
			}
			if s := Summarize(e, members); s.CompleteDataCentres != len(dataCentres) {
				t.Errorf("%d of %d data centres hold all layers: %+v", s.CompleteDataCentres, len(dataCentres), s)
			}
		})
	}
}

// TestPlanOfAnyFleet checks for any set of cards that no upstream gets more layers than fit, and that a data centre
// holds all layers if its memory is at least one and a half times the model.
func TestPlanOfAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := testEngine()
		var groups []cardGroup
		memoryMB := make(map[string]float64)
		for _, dataCentre := range []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "centres")] {
			for _, card := range []string{"a100", "l40s", "l4"} {
				n := rapid.IntRange(0, 12).Draw(t, dataCentre+card)
				groups = append(groups, cardGroup{dataCentre, card, n})
				memoryMB[dataCentre] += float64(n) * e.Cards[card].SizeMB
			}
		}
		members := membersOf(e, groups)
		applyMoves(t, e, members, Plan(e, members))
		for dataCentre, mb := range memoryMB {
			if mb < 1.5*float64(e.Layers)*e.LayerMB {
				continue
			}
			held := make([]bool, e.Layers)
			for _, m := range members {
				for i := m.Layers.From; m.DataCentre == dataCentre && i < m.Layers.To; i++ {
					held[i] = true
				}
			}
			for i, h := range held {
				if !h {
					t.Fatalf("data centre %s of %.0f MB lacks layer %d", dataCentre, mb, i)
				}
			}
		}
	})
}

// TestRebalancingEnds checks that rebalancing of an unchanged fleet ends after a few moves. Extending ranges by one
// layer at a time made 69 orders in 48 seconds.
func TestRebalancingEnds(t *testing.T) {
	for _, tc := range testFleets() {
		t.Run(tc.name, func(t *testing.T) {
			e := testEngine()
			members := membersOf(e, tc.groups)
			applyMoves(t, e, members, Plan(e, members))
			maxMoves := len(members) / 10
			for n := 0; ; n++ {
				m, ok := Rebalance(e, members)
				if !ok {
					return
				}
				if n >= maxMoves {
					t.Fatalf("move %d in an unchanged fleet: %v", n+1, m)
				}
				applyMoves(t, e, members, []Move{m})
			}
		})
	}
}

// TestRebalancingCompletesADataCentreAgain removes upstreams one after the other. As long as the cards of a data
// centre can hold the model, a few moves complete it again, and each improves the coverage.
func TestRebalancingCompletesADataCentreAgain(t *testing.T) {
	e := testEngine()
	members := membersOf(e, testFleets()[0].groups)
	applyMoves(t, e, members, Plan(e, members))
	for _, lost := range []string{"b-a100-0", "a-l40s-1", "c-l40s-0", "b-l4-2"} {
		members = without(members, lost)
		for n := 0; n < 6; n++ {
			m, ok := Rebalance(e, members)
			if !ok {
				break
			}
			before := coverageOf(e, members).value()
			applyMoves(t, e, members, []Move{m})
			if after := coverageOf(e, members).value(); after <= before {
				t.Errorf("after the loss of %s, %v does not improve the coverage: %v to %v", lost, m, before, after)
			}
		}
		if s := Summarize(e, members); s.CompleteDataCentres != 3 || s.MinCopies < 3 {
			t.Errorf("after the loss of %s: %+v, want three complete data centres", lost, s)
		}
	}
}

func without(members []Member, id string) []Member {
	var rest []Member
	for _, m := range members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return rest
}

func TestBusyAndLoadedUpstreamsGetNoOrder(t *testing.T) {
	e := testEngine()
	members := membersOf(e, []cardGroup{{"a", "l4", 2}})
	members[0].Available = false
	members[1].Layers = fleet.Range{From: 0, To: 8}
	if moves := Plan(e, members); len(moves) != 0 {
		t.Errorf("moves %v for a busy upstream and one that holds layers, want none", moves)
	}
}
