package rules

import (
	"fmt"
	"testing"
)

// TestUnevenCards guards against parts for uneven cards that take effect where cards differ little in memory.
func TestUnevenCards(t *testing.T) {
	for _, tc := range []struct {
		sizes []float64
		want  bool
	}{{[]float64{72000, 43200, 21600}, false}, {[]float64{72000, 14400}, true}, {[]float64{80000}, false}, {nil, false}} {
		e := &Engine{Cards: make(map[string]Card)}
		for i, size := range tc.sizes {
			e.Cards[fmt.Sprint(i)] = Card{SizeMB: size, DecodeFactor: 1, PrefillFactor: 1}
		}
		if got := e.HasUnevenCards(); got != tc.want {
			t.Errorf("cards of %v MB are uneven: %v, want %v", tc.sizes, got, tc.want)
		}
	}
}
