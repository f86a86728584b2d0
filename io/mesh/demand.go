package mesh

import (
	"cmp"
	"slices"

	"rhubarbspread/core/admit"
	"rhubarbspread/io/mesh/wire"
)

// maxDemandClasses bounds the classes in a digest, so that a configuration with many of them does not fill datagrams: this many
// take 2.9 KB/s of a member behind relays, of 5 KB/s for all that it sends and gets on demand.
const maxDemandClasses = admit.MaxCounts

// encodeDemand returns the counts of as many classes as a digest holds.
func encodeDemand(counts map[uint32]admit.Count) []*wire.Demand {
	list := make([]*wire.Demand, 0, len(counts))
	for hash, c := range counts {
		list = append(list, &wire.Demand{Class: hash, Offered: uint32(c.Offered), Unserved: uint32(c.Unserved)})
	}
	return mostDemand(list)
}

// mostDemand returns the classes with the most unserved requests, which levels depend on, and of the others those with the most
// requests.
func mostDemand(list []*wire.Demand) []*wire.Demand {
	slices.SortFunc(list, func(a, b *wire.Demand) int {
		return cmp.Or(cmp.Compare(b.GetUnserved(), a.GetUnserved()), cmp.Compare(b.GetOffered(), a.GetOffered()),
			cmp.Compare(a.GetClass(), b.GetClass()))
	})
	return list[:min(len(list), maxDemandClasses)]
}

// demandOf returns the counts that a digest states.
func demandOf(d *wire.Digest) map[uint32]admit.Count {
	counts := make(map[uint32]admit.Count, len(d.GetDemand()))
	for _, c := range d.GetDemand() {
		counts[c.GetClass()] = admit.Count{Offered: int(c.GetOffered()), Unserved: int(c.GetUnserved())}
	}
	return counts
}
