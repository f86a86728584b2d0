package ports

import "time"

// Choice finds the connection that gives way among those offered: of the lowest rank, the one whose time is the earliest. The zero value
// has none.
type Choice[C any] struct {
	Victim C
	rank   int
	isMade bool // a connection has been offered
	at     time.Time
}

// Offer adds a connection with its rank and the time since when it has waited or its request has run.
func (v *Choice[C]) Offer(c C, rank int, at time.Time) {
	if !v.isMade || rank < v.rank || rank == v.rank && at.Before(v.at) {
		*v = Choice[C]{c, rank, true, at}
	}
}
