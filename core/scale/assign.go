package scale

import (
	"cmp"
	"slices"
)

// Need is how many replicas of a model are to be held.
type Need struct {
	Model    string
	Replicas int
}

// Assign returns which models each engine is to hold. An engine keeps what it holds where that is needed;
// what is missing goes to engines that are free, and an engine that nobody needs is to hold nothing.
// Engines that hold a model without a Need are left out.
func Assign(engines []Engine, needs []Need) map[string][]string {
	sorted := slices.SortedFunc(slices.Values(engines), func(a, b Engine) int { return cmp.Compare(a.Name, b.Name) })
	left := make(map[string]int)
	for _, n := range needs {
		left[n.Model] = n.Replicas
	}
	out := make(map[string][]string)
	var free []string
	for _, e := range sorted {
		kept, managed := keep(e, left)
		if !managed {
			continue
		}
		out[e.Name] = kept
		if len(kept) == 0 {
			free = append(free, e.Name)
		}
	}
	for _, n := range needs {
		for ; left[n.Model] > 0 && len(free) > 0; left[n.Model]-- {
			out[free[0]] = []string{n.Model}
			free = free[1:]
		}
	}
	return out
}

// keep returns what an engine goes on holding, and false where it holds a model that is not managed.
func keep(e Engine, left map[string]int) ([]string, bool) {
	kept := []string{}
	for _, m := range e.Holds {
		need, managed := left[m]
		if !managed {
			return nil, false
		}
		if need > 0 {
			left[m]--
			kept = append(kept, m)
		}
	}
	return kept, true
}
