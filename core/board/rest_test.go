package board

import (
	"testing"
	"time"

	"rhubarbspread/core/fleet"
)

// TestRestingUpstreamIsReservedForNothing guards against requests to an upstream that wants none: on the fallback to ejected
// ones, as a stage of a path or of a detour, after a success, and after its entry was gone for a while.
func TestRestingUpstreamIsReservedForNothing(t *testing.T) {
	const rest = 3 * time.Second
	first, second := upstream("first", "a", "big", 0, 40), upstream("second", "a", "big", 40, 80)
	other := upstream("other", "a", "big", 40, 80)
	plain := &fleet.Upstream{ID: "plain", DataCentre: "a", Slots: 6}
	reservesPlain := func(b *Board) bool { return b.ReservePlain([]*fleet.Upstream{plain}, nil) != nil }
	reservesPath := func(b *Board) bool { return b.ReservePath([]*fleet.Upstream{first, second}, need()) != nil }
	for _, tc := range []struct {
		name     string
		resting  *fleet.Upstream
		before   func(b *Board)
		reserves func(b *Board) bool
	}{
		{"the only upstream", plain, nil, reservesPlain},
		{"the only upstream, which is ejected as well", plain, func(b *Board) { b.RecordFailure(plain) }, reservesPlain},
		{"an answer comes after the refusal", plain, func(b *Board) { b.RecordResponse(plain, false, time.Millisecond) }, reservesPlain},
		{"its own fault is found", plain, (*Board).ForgetFailures, reservesPlain},
		{"its entry is gone for a while", plain, func(b *Board) {
			b.SetUpstreams(fleet.NewList(2, nil))
			b.SetUpstreams(fleet.NewList(3, []*fleet.Upstream{plain}))
		}, reservesPlain},
		{"it then asks for less", plain, func(b *Board) { b.RecordRest(plain, time.Second) }, reservesPlain},
		{"the first stage", first, nil, reservesPath},
		{"a later stage", second, nil, reservesPath},
		{"the only detour", other, nil, func(b *Board) bool {
			r := b.ReservePath([]*fleet.Upstream{first, second}, need())
			defer r.Release()
			_, ok := r.Bypass([]*fleet.Upstream{first, second, other}, need(), []string{"second"})
			return ok
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newClock()
			b := newBoard(c, 1)
			b.RecordRest(tc.resting, rest)
			if tc.before != nil {
				tc.before(b)
			}
			c.advance(rest - time.Millisecond)
			if tc.reserves(b) {
				t.Error("it is reserved before the end of its rest")
			}
			c.advance(2 * time.Millisecond)
			if !tc.reserves(b) {
				t.Error("it is not reserved after the end of its rest")
			}
		})
	}
}

// TestNewIncarnationDoesNotRest checks that an upstream that has started again under its ID is reserved at once.
func TestNewIncarnationDoesNotRest(t *testing.T) {
	b := newBoard(newClock(), 1)
	old := &fleet.Upstream{ID: "u", Incarnation: 1, Slots: 6}
	b.RecordRest(old, time.Minute)
	restarted := *old
	restarted.Incarnation = 2
	if b.ReservePlain([]*fleet.Upstream{&restarted}, nil) == nil {
		t.Error("the upstream is not reserved")
	}
}

// TestRestWait checks after how long a request can be served that only resting upstreams could serve.
func TestRestWait(t *testing.T) {
	plain := func(id string) *fleet.Upstream { return &fleet.Upstream{ID: id, Slots: 6} }
	low, low2, high := upstream("low", "a", "big", 0, 40), upstream("low2", "a", "big", 0, 40), upstream("high", "a", "big", 40, 80)
	draining := *plain("b")
	draining.Draining = true
	for _, tc := range []struct {
		name    string
		list    []*fleet.Upstream
		rests   map[string]time.Duration
		exclude []string
		layered bool
		want    time.Duration
	}{
		{"none rests", []*fleet.Upstream{plain("a")}, nil, nil, false, 0},
		{"there is none", nil, nil, nil, false, 0},
		{"another is free", []*fleet.Upstream{plain("a"), plain("b")}, map[string]time.Duration{"a": 2 * time.Second}, nil, false, 0},
		{"all rest", []*fleet.Upstream{plain("a"), plain("b")},
			map[string]time.Duration{"a": 3 * time.Second, "b": 2 * time.Second}, nil, false, 2 * time.Second},
		{"the other one drains", []*fleet.Upstream{plain("a"), &draining}, map[string]time.Duration{"a": time.Second}, nil, false, time.Second},
		{"the other one failed the request", []*fleet.Upstream{plain("a"), plain("b")},
			map[string]time.Duration{"a": time.Second}, []string{"b"}, false, time.Second},
		{"it refused the request itself", []*fleet.Upstream{plain("a")}, map[string]time.Duration{"a": time.Second}, []string{"a"}, false, time.Second},
		{"no layers without it", []*fleet.Upstream{low, high}, map[string]time.Duration{"low": time.Second}, nil, true, time.Second},
		{"another holds its layers", []*fleet.Upstream{low, low2, high}, map[string]time.Duration{"low": time.Second}, nil, true, 0},
		{"two holders of its layers rest, and a later stage longer", []*fleet.Upstream{low, low2, high},
			map[string]time.Duration{"low": time.Second, "low2": 2 * time.Second, "high": 3 * time.Second}, nil, true, 3 * time.Second},
		{"layers are missing anyway", []*fleet.Upstream{low}, map[string]time.Duration{"low": time.Second}, nil, true, 0},
	} {
		b := newBoard(newClock(), 1)
		for _, u := range tc.list {
			b.RecordRest(u, tc.rests[u.ID])
		}
		e := engine()
		if !tc.layered {
			e = nil
		}
		if got := b.RestWait(tc.list, e, tc.exclude); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
