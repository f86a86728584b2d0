package crash

import "time"

// Times of keeping the store's rows.
const (
	// rowSettleTime is how long after its change of a row a node does not rely on its copy of the store's rows.
	rowSettleTime = 30 * time.Second
	// rowGrace is how long a row without a quarantine is kept: a node judges the marks of a row only after it has read it.
	rowGrace = 10 * time.Second
)

// Keeper decides which quarantines the platform's store lacks, and which of its rows are no longer needed. It is not
// safe for concurrent use.
type Keeper struct {
	changedAt     map[Fingerprint]time.Time // of this node's latest change of a row
	unneededSince map[Fingerprint]time.Time // since when a row has no quarantine
}

// NewKeeper returns a keeper that has changed no rows yet.
func NewKeeper() *Keeper {
	return &Keeper{changedAt: make(map[Fingerprint]time.Time), unneededSince: make(map[Fingerprint]time.Time)}
}

// Changes returns the marks of each request in quarantine that has no row, and the rows whose quarantine has ended.
// evidence holds the marks of all requests in quarantine, stored the requests with a row.
func (k *Keeper) Changes(
	now time.Time, evidence []Mark, stored map[Fingerprint]bool,
) (missing map[Fingerprint][]Mark, ended []Fingerprint) {
	quarantined := make(map[Fingerprint][]Mark)
	for _, m := range evidence {
		quarantined[m.Fingerprint] = append(quarantined[m.Fingerprint], m)
	}
	missing = make(map[Fingerprint][]Mark)
	for f, marks := range quarantined {
		delete(k.unneededSince, f)
		if !stored[f] && !k.isSettling(f, now) {
			missing[f] = marks
		}
	}
	for f := range stored {
		if _, ok := quarantined[f]; ok || k.isSettling(f, now) {
			continue
		}
		since, ok := k.unneededSince[f]
		if !ok {
			k.unneededSince[f] = now
		} else if now.Sub(since) >= rowGrace {
			ended = append(ended, f)
		}
	}
	return missing, ended
}

// Changed records that this node wrote or removed a row.
func (k *Keeper) Changed(f Fingerprint, now time.Time) {
	delete(k.unneededSince, f)
	k.changedAt[f] = now
}

// isSettling reports whether the copy of the store's rows may not reflect this node's latest change of a row.
func (k *Keeper) isSettling(f Fingerprint, now time.Time) bool {
	at, ok := k.changedAt[f]
	if ok && now.Sub(at) >= rowSettleTime {
		delete(k.changedAt, f)
		return false
	}
	return ok
}
