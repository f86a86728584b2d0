package admit

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rank orders requests by priority; lower is more urgent.
type Rank struct {
	Primary   int // priority of the team, or that of the route where the team has none
	Secondary int // priority of the route
}

// RankOf returns the rank of a request; teamPriority is negative if the team has none.
func RankOf(teamPriority, routePriority int) Rank {
	if teamPriority < 0 {
		teamPriority = routePriority
	}
	return Rank{Primary: teamPriority, Secondary: routePriority}
}

// Compare returns a negative number if r is more urgent than o, zero if they are equal, and a positive number otherwise.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Primary, o.Primary), cmp.Compare(r.Secondary, o.Secondary))
}

// ClassHash returns the hash by which nodes name a class of a service in gossip.
func ClassHash(service string, r Rank) uint32 {
	return uint32(xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%d", service, r.Primary, r.Secondary)))
}

// Class is the requests of one rank, with the objectives of their routes.
type Class struct {
	Rank       Rank
	FirstEvent time.Duration // objective for the time to the first event; 0 for none
	EventGap   time.Duration // objective for the time between events; 0 for none
}

// Request is what admission knows of a request.
type Request struct {
	Rank   Rank
	Team   string
	Tokens float64       // prompt and expected output
	Left   time.Duration // until the caller's deadline; 0 if unknown
}

// Count counts the requests of one class in the latest window.
type Count struct {
	Offered  int
	Unserved int // of these, the ones that were refused for lack of capacity or have waited too long
}

// Limits bound the capacity that a request may take.
type Limits struct {
	FirstEvent time.Duration // predicted time to the first event; 0 for no limit
	EventGap   time.Duration // predicted time between events; 0 for no limit
	KVShare    float64       // share of an upstream's KV cache that may be reserved
	LinkShare  float64       // share of the node's budget on a link between data centres that may be used; 0 for all
	Level      float64       // of the request's class, from 0 to 1
	Age        time.Duration // of the oldest counts of other nodes that the level rests on; 0 for none
	Raised     bool          // the request's class, team or size has been admitted too seldom
}
