package scale_test

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"rhubarbspread/core/scale"
)

func TestAssign(t *testing.T) {
	for _, test := range []struct {
		name    string
		holds   string // of engines a, b, c: models, "-" for none
		needs   []scale.Need
		want    string
		missing string // engines left alone
	}{
		{"enough stays", "x x -", []scale.Need{{"x", 2}}, "x x -", ""},
		{"a free engine takes what is missing", "x x -", []scale.Need{{"x", 3}}, "x x x", ""},
		{"a surplus is given up", "x x x", []scale.Need{{"x", 1}}, "x - -", ""},
		{"a surplus serves another", "x x x", []scale.Need{{"x", 1}, {"y", 1}}, "x y -", ""},
		{"an engine with an unmanaged model is left alone", "z x -", []scale.Need{{"x", 2}}, "- x x", "a"},
		{"more is needed than there is", "- - -", []scale.Need{{"x", 9}}, "x x x", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			var engines []scale.Engine
			for i, model := range strings.Fields(test.holds) {
				e := scale.Engine{Name: string(rune('a' + i))}
				if model != "-" {
					e.Holds = []string{model}
				}
				engines = append(engines, e)
			}
			got := scale.Assign(engines, test.needs)
			for i, model := range strings.Fields(test.want) {
				name := string(rune('a' + i))
				holds, ok := got[name]
				if strings.Contains(test.missing, name) {
					if ok {
						t.Errorf("%s is not left alone: %v", name, holds)
					}
					continue
				}
				if text := strings.Join(holds, ","); !ok || (text != model && (model != "-" || text != "")) {
					t.Errorf("%s holds %v, want %s; all %v", name, holds, model, slices.Collect(maps.Keys(got)))
				}
			}
		})
	}
}
