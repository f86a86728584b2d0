package demand

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rate is the demand for one service, over rateWindow.
type Rate struct {
	Offered  float64 // tokens a second of the requests that arrived, prompt and expected output
	Unserved float64 // tokens a second of those that were refused for lack of room or waited too long
	Admitted float64 // requests a second that got room
	Refused  float64 // requests a second that count as unserved
}

// plus returns the sum of two rates.
func (r Rate) plus(o Rate) Rate {
	return Rate{r.Offered + o.Offered, r.Unserved + o.Unserved, r.Admitted + o.Admitted, r.Refused + o.Refused}
}

// UnservedShare returns the share of the offered tokens that was unserved, from 0 to 1.
func (r Rate) UnservedShare() float64 {
	if r.Unserved <= 0 {
		return 0
	}
	return min(1, r.Unserved/max(r.Offered, r.Unserved))
}

// Thresholds of a shortage.
const (
	// shortShare is the share of unserved tokens at which a data centre lacks room: 95 in 100 within objective is the edge of overload
	// (docs/design/overload.md, B4).
	shortShare = 0.05
	// leastRefused is the number of unserved requests a second below which nothing is concluded; a single large request may fit no path.
	leastRefused = 1
)

// IsShort reports whether the data centre lacks room for the service.
func (r Rate) IsShort() bool { return r.Refused >= leastRefused && r.UnservedShare() >= shortShare }

// Entry is a rate with its age.
type Entry struct {
	Rate
	Age time.Duration // since its oldest part was stated
}

// Hash returns the hash by which nodes name a service in a data centre.
func Hash(dataCentre, service string) uint32 {
	return uint32(xxhash.Sum64String(dataCentre + "\x00" + service))
}
