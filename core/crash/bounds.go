package crash

import (
	"cmp"
	"slices"
	"time"
)

// Limits on what is kept of the marks that other nodes, or anyone in their name, send.
const (
	maxSeen    = maxDeaths * maxSuspectParts // marks: those of all deaths that are kept, of all their suspects
	maxCleared = maxRecords                  // clearances: as many as suspects
)

// dropOlder removes the older half of the entries of a map that has reached a limit. A mark that is forgotten and comes again is known
// by its upstream and its time as that of the same death.
func dropOlder[K comparable, V any](m map[K]V, limit int, at func(V) time.Time) {
	if len(m) < limit {
		return
	}
	times := make([]time.Time, 0, len(m))
	for _, v := range m {
		times = append(times, at(v))
	}
	slices.SortFunc(times, time.Time.Compare)
	middle, older := times[len(times)/2], 0
	for k, v := range m {
		// Of entries of one time, as many go as the half requires.
		if c := cmp.Compare(at(v).Sub(middle), 0); c < 0 || c == 0 && older < len(times)/2 {
			delete(m, k)
			older++
		}
	}
}
