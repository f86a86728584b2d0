package scale

import (
	"cmp"
	"slices"
)

// ReplicaTarget is the desired number of replicas of a model.
type ReplicaTarget struct {
	Model    string
	Replicas int
}

// Assign returns the models that each engine should hold, by engine name. An engine keeps the models that are still
// needed. Missing replicas go to engines that keep none, and an engine that is not needed gets an empty list.
// Engines that hold a model without a Need are not managed, and are left out.
func Assign(engines []Engine, needs []ReplicaTarget) map[string][]string {
	sorted := slices.SortedFunc(slices.Values(engines), func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	remaining := make(map[string]int)
	for _, n := range needs {
		remaining[n.Model] = n.Replicas
	}
	out := make(map[string][]string)
	var free []string
	for _, e := range sorted {
		kept, managed := keptModels(e, remaining)
		if !managed {
			continue
		}
		out[e.Name] = kept
		if len(kept) == 0 {
			free = append(free, e.Name)
		}
	}
	for _, n := range needs {
		for ; remaining[n.Model] > 0 && len(free) > 0; remaining[n.Model]-- {
			out[free[0]] = []string{n.Model}
			free = free[1:]
		}
	}
	return out
}

// keptModels returns the models that an engine keeps, and false if it holds one that is not managed. It subtracts the
// kept ones from the replicas that remain to be placed.
func keptModels(e Engine, remaining map[string]int) ([]string, bool) {
	kept := []string{}
	for _, m := range e.Models {
		need, managed := remaining[m]
		if !managed {
			return nil, false
		}
		if need > 0 {
			remaining[m]--
			kept = append(kept, m)
		}
	}
	return kept, true
}
