package place

import (
	"fmt"
	"testing"
	"time"

	"rhubarbspread/core/rules"
)

// today is the engine and cards of the two sites.
func today() *rules.Engine {
	return &rules.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 918_000, Step: 1020 * time.Microsecond, PerWriter: 7140 * time.Nanosecond,
		PerContext: 9560 * time.Nanosecond, ReadPerSecond: 105_000, Stride: 3, Chunk: 512, Prompt: 774, Answer: 200,
		Kinds: map[string]rules.Card{
			"a100": {SizeMB: 72_000, Pace: 2.4, Read: 3.2},
			"l40s": {SizeMB: 43_200, Pace: 5.6, Read: 2.7},
			"l4":   {SizeMB: 21_600, Pace: 16, Read: 8.2},
		},
	}
}

// fleetOf returns empty members of data centres with a number of each card.
func fleetOf(e *rules.Engine, centres map[string]map[string]int) []Member {
	var members []Member
	for centre, cards := range centres {
		for card, n := range cards {
			for i := range n {
				members = append(members, Member{
					ID: fmt.Sprintf("%s-%s-%d", centre, card, i), DataCentre: centre, Card: e.Kinds[card], Free: true,
				})
			}
		}
	}
	return members
}

func TestPrint(t *testing.T) {
	e := today()
	members := fleetOf(e, map[string]map[string]int{
		"a": {"a100": 1, "l40s": 3, "l4": 8}, "b": {"a100": 1, "l40s": 6, "l4": 5}, "c": {"a100": 2, "l40s": 2, "l4": 5},
	})
	room := make([]float64, 80)
	by := map[string][]float64{}
	n := map[string][]int{}
	moves := Plan(e, members)
	for _, mv := range moves {
		for _, m := range members {
			if m.ID == mv.ID {
				if by[m.DataCentre] == nil {
					by[m.DataCentre] = make([]float64, 80)
					n[m.DataCentre] = make([]int, 80)
				}
				r := e.Room(m.Card, mv.Layers.Len()) / float64(mv.Layers.Len())
				fmt.Println(m.ID, mv.Layers, int(r))
				for i := mv.Layers.From; i < mv.Layers.To; i++ {
					room[i] += r
					by[m.DataCentre][i] += r
					n[m.DataCentre][i]++
				}
			}
		}
	}
	for i := range 80 {
		fmt.Printf("%d: %.0fk  ", i, room[i]/1000)
		for _, d := range []string{"a", "b", "c"} {
			fmt.Printf("%s %d %.0fk ", d, n[d][i], by[d][i]/1000)
		}
		fmt.Println()
	}
}
