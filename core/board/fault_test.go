package board

import (
	"testing"
	"time"

	"rhubarbspread/core/fleet"
)

// TestNodeAtFaultBlamesNoUpstream guards against a node that is cut off and makes the others avoid sound upstreams.
func TestNodeAtFaultBlamesNoUpstream(t *testing.T) {
	for _, isOwnFault := range []bool{false, true} {
		c := newClock()
		b := newBoard(c, 1)
		b.dataCentre = "here"
		b.isOwnFault = func() bool { return isOwnFault }
		var list []*fleet.Upstream
		for _, id := range []string{"u", "v", "w", "x"} {
			list = append(list, upstream(id, "a", "big", 0, 80))
		}
		b.SetUpstreams(fleet.NewList(1, list))
		for _, u := range list[:partitionFailures] {
			b.RecordFailure(u)
		}
		if got := len(b.FailedHashes()); got > 0 == isOwnFault {
			t.Errorf("own fault: %v, %d failures are gossiped", isOwnFault, got)
		}
		if got := b.isPartitioned("a", c.now()); got == isOwnFault {
			t.Errorf("own fault: %v, the data centre counts as unreachable: %v", isOwnFault, got)
		}
	}
}

// TestOnlyOwnFailuresAreForgotten checks what a node that finds itself cut off keeps.
func TestOnlyOwnFailuresAreForgotten(t *testing.T) {
	for _, test := range []struct {
		name     string
		setup    func(b *Board, u *fleet.Upstream)
		excluded bool
	}{
		{"a failure", func(b *Board, u *fleet.Upstream) { b.RecordFailure(u) }, false},
		{"a partition", func(b *Board, u *fleet.Upstream) {
			for _, id := range []string{"x", "y", "z"} {
				b.RecordFailure(upstream(id, u.DataCentre, "big", 0, 80))
			}
		}, false},
		{"a refusal", func(b *Board, u *fleet.Upstream) { b.RecordRefusal(u, "") }, true},
		{"refusals to others", func(b *Board, u *fleet.Upstream) {
			b.ApplyGossip(Gossip{Node: "x", Refusing: []uint32{KeyOf(u).Hash()}})
			b.ApplyGossip(Gossip{Node: "y", Refusing: []uint32{KeyOf(u).Hash()}})
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newClock()
			b := newBoard(c, 1)
			b.dataCentre = "here"
			u := upstream("u", "a", "big", 0, 80)
			b.SetUpstreams(fleet.NewList(1, []*fleet.Upstream{u}))
			test.setup(b, u)
			if !b.isExcluded(u, b.state(KeyOf(u)), c.now().Add(time.Millisecond)) {
				t.Fatal("the upstream is not excluded before")
			}
			freed := b.CapacityFreed()
			b.ForgetFailures()
			if got := b.isExcluded(u, b.state(KeyOf(u)), c.now().Add(time.Millisecond)); got != test.excluded {
				t.Errorf("excluded: %v, want %v", got, test.excluded)
			}
			select {
			case <-freed:
			default:
				t.Error("requests that wait for capacity are not woken")
			}
		})
	}
}
