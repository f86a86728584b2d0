package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestFewCountsStandForMany guards against digests that grow with the classes, and against sums of classes that make a level higher
// than all counts would: then unserved requests of a class would narrow it or more urgent ones.
func TestFewCountsStandForMany(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		all := make([]classCount, 1+random.IntN(40))
		short := 0
		for i := range all {
			all[i] = classCount{hash: uint32(i), Count: Count{Offered: 1 + random.IntN(50)}}
			if random.IntN(5) == 0 {
				all[i].Unserved = 1 + random.IntN(all[i].Offered)
				short++
			}
		}
		limit := 1 + random.IntN(MaxCounts)
		kept := make(map[uint32]Count)
		for _, c := range reduce(append([]classCount{}, all...), limit) {
			kept[c.hash] = c.Count
		}
		var want, got Count // of the classes so far
		for i, c := range all {
			want = Count{want.Offered + c.Offered, want.Unserved + c.Unserved}
			got = Count{got.Offered + kept[uint32(i)].Offered, got.Unserved + kept[uint32(i)].Unserved}
			if got.Offered < want.Offered || got.Unserved > want.Unserved || short < limit && got.Unserved != want.Unserved {
				t.Fatalf("seed %d: %+v up to class %d, want %+v", seed, got, i, want)
			}
		}
		if got.Offered != want.Offered || len(kept) > limit {
			t.Fatalf("seed %d: %d offered in %d counts, want %d in %d", seed, got.Offered, len(kept), want.Offered, limit)
		}
	}
}

// TestCountsOfManyServices guards against a service that lacks room and whose classes fall out of the digest beside busy ones.
func TestCountsOfManyServices(t *testing.T) {
	clock := newClock()
	var controllers []*Controller
	for i := range 8 {
		c := New(fmt.Sprint(i), WithClock(clock.now))
		c.SetClasses(threeClasses())
		for _, r := range []Rank{urgent, usual, patient} {
			offer(c, r, 10, func(t *Ticket) {
				if i == 5 {
					t.Refuse()
				} else {
					t.Admit()
				}
			})
		}
		controllers = append(controllers, c)
	}
	counts := CountsOf(controllers)
	offered := 0
	for _, c := range counts {
		offered += c.Offered
	}
	for _, r := range []Rank{urgent, usual, patient} {
		if got := counts[ClassHash("5", r)]; got != (Count{10, 10}) {
			t.Errorf("%+v of class %v, want 10 of 10 unserved", got, r)
		}
	}
	if len(counts) > MaxCounts || offered != 240 {
		t.Errorf("%d offered in %d counts, want 240 in %d at most", offered, len(counts), MaxCounts)
	}
}
