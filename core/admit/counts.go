package admit

import (
	"cmp"
	"slices"
)

// MaxCounts is how many classes of all services a node states to the others. Configurations with as many classes or fewer lose
// nothing by it.
const MaxCounts = 12

// classCount is the count of one class.
type classCount struct {
	hash uint32
	Count
	isKept bool
}

// CountsOf returns the counts of several services by ClassHash, in at most MaxCounts entries if there are no more services. Where
// classes are more, the service with the most unserved requests keeps most of its own.
func CountsOf(controllers []*Controller) map[uint32]Count {
	all := make([][]classCount, 0, len(controllers))
	entries := 0
	for _, c := range controllers {
		if counts := c.counts(); len(counts) > 0 {
			all = append(all, counts)
			entries += len(counts)
		}
	}
	slices.SortStableFunc(all, func(a, b []classCount) int { return cmp.Compare(unserved(b), unserved(a)) })
	sum, left := make(map[uint32]Count, min(entries, MaxCounts)), MaxCounts
	for i, counts := range all {
		if entries > MaxCounts {
			counts = reduce(counts, max(1, left-(len(all)-1-i)))
		}
		for _, c := range counts {
			sum[c.hash] = c.Count
		}
		left -= len(counts)
	}
	return sum
}

func unserved(counts []classCount) int {
	sum := 0
	for _, c := range counts {
		sum += c.Unserved
	}
	return sum
}

// reduce states the counts of a service, by rank, in at most limit entries: the most urgent class and those with the most unserved
// requests. What the others were offered counts as offered to the next more urgent class that is kept, and what they left
// unserved as of the next less urgent one. So a class sees no unserved request of a less urgent one, and its level is higher than with
// all counts only as far as less urgent classes that are not stated could give way.
func reduce(counts []classCount, limit int) []classCount {
	if len(counts) <= limit {
		return counts
	}
	order := make([]int, 0, len(counts)-1)
	for i := range counts[1:] {
		order = append(order, i+1)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(counts[b].Unserved, counts[a].Unserved), cmp.Compare(counts[b].Offered, counts[a].Offered))
	})
	counts[0].isKept = true
	for _, i := range order[:limit-1] {
		counts[i].isKept = true
	}
	kept, pending := make([]classCount, 0, limit), 0
	for _, c := range counts {
		if !c.isKept {
			kept[len(kept)-1].Offered += c.Offered
			pending += c.Unserved
			continue
		}
		c.Unserved += pending
		kept, pending = append(kept, c), 0
	}
	return kept
}
