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
// Engines that hold a model without a target are not managed, and are left out.
func Assign(engines []Engine, targets []ReplicaTarget) map[string][]string {
	sorted := slices.SortedFunc(slices.Values(engines), func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	remaining := make(map[string]int)
	for _, t := range targets {
		remaining[t.Model] = t.Replicas
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
	for _, t := range targets {
		for ; remaining[t.Model] > 0 && len(free) > 0; remaining[t.Model]-- {
			out[free[0]] = []string{t.Model}
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
		left, managed := remaining[m]
		if !managed {
			return nil, false
		}
		if left > 0 {
			remaining[m]--
			kept = append(kept, m)
		}
	}
	return kept, true
}
