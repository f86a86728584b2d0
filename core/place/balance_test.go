package place

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
)

// balanceCase is a fleet by data centre and card.
type balanceCase struct {
	name   string
	counts []map[string]int // by data centre
}

func balanceCases() []balanceCase {
	return []balanceCase{
		{"few large cards and many small ones", []map[string]int{
			{"large": 3, "tiny": 14, "small": 16}, {"large": 2, "tiny": 24, "small": 9}, {"large": 4, "tiny": 10, "small": 11}}},
		{"four kinds", []map[string]int{
			{"large": 1, "medium": 2, "small": 13, "tiny": 18}, {"large": 1, "medium": 2, "small": 20, "tiny": 9}, {"medium": 4, "small": 11, "tiny": 17}}},
		{"a data centre without large cards", []map[string]int{{"large": 6}, {"tiny": 30}}},
	}
}

func unevenEngine() *rules.Engine {
	return &rules.Engine{Layers: 80, LayerMB: 1750, TokenBytes: 492000, DecodeStep: time.Millisecond, PrefillTokensPerSecond: 196000,
		StepsPerPass: 4, PrefillChunk: 512, MeanPromptTokens: 774, MeanOutputTokens: 209, Cards: map[string]rules.Card{
			"large": {SizeMB: 72000, DecodeFactor: 2.4, PrefillFactor: 3.2}, "medium": {SizeMB: 36000, DecodeFactor: 3.1, PrefillFactor: 3.2},
			"small": {SizeMB: 21600, DecodeFactor: 16, PrefillFactor: 8.2}, "tiny": {SizeMB: 14400, DecodeFactor: 5.3, PrefillFactor: 7.9},
		}}
}

func (c balanceCase) members(e *rules.Engine) []Member {
	var members []Member
	for dataCentre, cards := range c.counts {
		for card, count := range cards {
			for i := range count {
				members = append(members, Member{ID: fmt.Sprintf("%d-%s-%02d", dataCentre, card, i), DataCentre: fmt.Sprint(dataCentre),
					Card: e.Cards[card], Available: true})
			}
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) }) // the plan depends on their order
	return members
}

func withMoves(members []Member, moves []Move) []Member {
	ranges := make(map[string]fleet.Range)
	for _, m := range moves {
		ranges[m.ID] = m.Layers
	}
	out := make([]Member, len(members))
	for i, m := range members {
		if r, ok := ranges[m.ID]; ok {
			m.Layers = r
		}
		out[i] = m
	}
	return out
}

// narrowest returns the least and the mean room of a data centre's layers in tokens.
func narrowest(e *rules.Engine, members []Member, dataCentre string) (least, mean float64) {
	b := newBalancer(e)
	for _, m := range members {
		if m.DataCentre == dataCentre {
			b.add(m, 1)
		}
	}
	least = math.Inf(1)
	for _, l := range b.layers {
		least = min(least, l.tokens)
		mean += l.tokens / float64(e.Layers)
	}
	return least, mean
}

// leastShare is the room that the narrowest layer must have, as a share of the mean. With ranges of one share of the memory it
// was about half, for which all requests of the data centre wait.
const leastShare = 0.75

// keptShare is the room that the narrowest layer must have after the loss and the return of an upstream, as a share of that before.
const keptShare = 0.9

// TestBalancedRangesLeaveNoNarrowLayer guards against a layer whose holders have half of the room that those of other layers have,
// so that the requests of a whole data centre wait for it.
func TestBalancedRangesLeaveNoNarrowLayer(t *testing.T) {
	for _, tc := range balanceCases() {
		t.Run(tc.name, func(t *testing.T) {
			e := unevenEngine()
			members := tc.members(e)
			planned := withMoves(members, Plan(e, members, WithBalancedRanges()))
			for dataCentre := range tc.counts {
				t.Run(fmt.Sprint("data centre ", dataCentre), func(t *testing.T) {
					least, mean := narrowest(e, planned, fmt.Sprint(dataCentre))
					if least < leastShare*mean {
						t.Errorf("the narrowest layer has room for %.0f tokens, %.3f of the mean, want %.2f", least, least/mean, leastShare)
					}
				})
			}
			for _, m := range planned {
				if m.Layers.Len() > e.MaxLayers(m.Card) || e.CheckLayers(m.Layers) != nil || m.Layers.Len() == 0 {
					t.Errorf("%s: %+v does not fit", m.ID, m.Layers)
				}
			}
		})
	}
}

// TestUpstreamThatReturnsFillsTheNarrowestLayers guards against an upstream that gets, after its loss, layers that have room, and
// against one that is moved though it holds layers.
func TestUpstreamThatReturnsFillsTheNarrowestLayers(t *testing.T) {
	for _, tc := range balanceCases() {
		t.Run(tc.name, func(t *testing.T) {
			e := unevenEngine()
			members := tc.members(e)
			planned := withMoves(members, Plan(e, members, WithBalancedRanges()))
			before := make(map[string]float64)
			for dataCentre := range tc.counts {
				before[fmt.Sprint(dataCentre)], _ = narrowest(e, planned, fmt.Sprint(dataCentre))
			}
			for i, m := range planned {
				held := m.Layers
				planned[i].Layers = fleet.Range{}
				moves := Plan(e, planned, WithBalancedRanges())
				if len(moves) != 1 || moves[0].ID != m.ID {
					t.Fatalf("moves %+v after the loss of %s", moves, m.ID)
				}
				if after, _ := narrowest(e, withMoves(planned, moves), m.DataCentre); after < keptShare*before[m.DataCentre] {
					t.Errorf("after the return of %s the narrowest layer has room for %.0f tokens, %.3f of that before, want %.2f", m.ID, after,
						after/before[m.DataCentre], keptShare)
				}
				planned[i].Layers = held
			}
		})
	}
}

// TestPlanIsUnchangedUnlessBalanced guards against other ranges in deployments that do not ask for balanced ones.
func TestPlanIsUnchangedUnlessBalanced(t *testing.T) {
	for _, tc := range balanceCases() {
		e := unevenEngine()
		members := tc.members(e)
		longest := make(map[float64]int) // by the memory of the card
		for _, m := range withMoves(members, Plan(e, members)) {
			if known, ok := longest[m.Card.SizeMB]; ok && known != m.Layers.Len() && len(tc.counts) == 3 {
				t.Errorf("%s: %s has %d layers, another card like it %d", tc.name, m.ID, m.Layers.Len(), known)
			}
			longest[m.Card.SizeMB] = m.Layers.Len()
		}
	}
}

// BenchmarkPlanUneven measures a plan for 690 upstreams.
func BenchmarkPlanUneven(b *testing.B) {
	e := unevenEngine()
	counts := make([]map[string]int, 6)
	for i := range counts {
		counts[i] = map[string]int{"large": 5, "medium": 10, "small": 50, "tiny": 50}
	}
	members := balanceCase{"", counts}.members(e)
	for b.Loop() {
		Plan(e, members, WithBalancedRanges())
	}
}
