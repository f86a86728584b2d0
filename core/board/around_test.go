package board

import (
	"testing"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
)

// TestPathAroundTheSlowestStage guards against a refusal because the cheapest path would delay events while another one would not.
func TestPathAroundTheSlowestStage(t *testing.T) {
	b := newBoard(newClock(), 1)
	n := need()
	n.Engine.Cards["slower"] = rules.Card{SizeMB: 250_000, DecodeFactor: 2.6, PrefillFactor: 3.2}
	cheap, full := upstream("cheap", "a", "slower", 0, 80), upstream("full", "a", "big", 0, 80)
	list := []*fleet.Upstream{cheap, full}
	b.SetUpstreams(fleet.NewList(1, list))
	capacity := n.Engine.KVCapacity(n.Engine.Cards["big"], 80)
	b.ApplyGossip(Gossip{Node: "m", Claims: map[uint32]Claim{
		KeyOf(cheap).Hash(): {InFlight: 2}, KeyOf(full).Hash(): {InFlight: 2, Reserved: 0.94 * capacity}}})
	gap := func(u *fleet.Upstream) time.Duration {
		return b.estimate(n, []Hop{{u, fleet.Range{From: 0, To: 80}}}).EventGap
	}
	for _, tc := range []struct {
		name  string
		limit time.Duration
		want  string
	}{
		{"no limit", 0, "cheap"},
		{"the cheapest path is within the limit", gap(cheap) + 1, "cheap"},
		{"only the other one is", gap(full) + 1, "full"},
		{"none is", gap(full) / 2, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			limited := *n
			limited.EventGapLimit = tc.limit
			got := ""
			if r := b.ReservePath(list, &limited); r != nil {
				got = r.Upstream.ID
				r.Cancel()
			}
			if got != tc.want {
				t.Errorf("path over %q, want %q", got, tc.want)
			}
		})
	}
}
