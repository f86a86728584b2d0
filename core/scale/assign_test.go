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
		name      string
		holds     string // one model per engine a, b, c; "-" for none
		targets   []scale.ReplicaTarget
		want      string
		unmanaged string // engines that the result leaves out
	}{
		{"sufficient replicas stay", "x x -", []scale.ReplicaTarget{{"x", 2}}, "x x -", ""},
		{"an empty engine gets the missing replica", "x x -", []scale.ReplicaTarget{{"x", 3}}, "x x x", ""},
		{"surplus replicas are removed", "x x x", []scale.ReplicaTarget{{"x", 1}}, "x - -", ""},
		{"a surplus replica is replaced by another model", "x x x", []scale.ReplicaTarget{{"x", 1}, {"y", 1}}, "x y -", ""},
		{"an engine with an unmanaged model is left out", "z x -", []scale.ReplicaTarget{{"x", 2}}, "- x x", "a"},
		{"more replicas needed than engines", "- - -", []scale.ReplicaTarget{{"x", 9}}, "x x x", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			var engines []scale.Engine
			for i, model := range strings.Fields(test.holds) {
				e := scale.Engine{Name: string(rune('a' + i))}
				if model != "-" {
					e.Models = []string{model}
				}
				engines = append(engines, e)
			}
			got := scale.Assign(engines, test.targets)
			for i, model := range strings.Fields(test.want) {
				name := string(rune('a' + i))
				holds, ok := got[name]
				if strings.Contains(test.unmanaged, name) {
					if ok {
						t.Errorf("%s is not left out: %v", name, holds)
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
