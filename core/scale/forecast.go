package scale

import (
	"math"
	"time"
)

// Constants of the forecast.
const (
	headroom   = 1.3              // slots kept for each in use
	ahead      = 20 * time.Minute // that a load takes at worst, for which the forecast looks ahead
	downHold   = 10 * time.Minute // that a lower need must last before replicas are given up
	hoursADay  = 24
	quickForgo = 0.7 // of an hour's old peak that a new day's lower one leaves
)

// Forecast follows one model's demand, in slots in use, and says how many replicas it needs.
type Forecast struct {
	peaks   [2][hoursADay]float64 // of ordinary days and of holidays, by hour
	current [hoursADay]float64    // of this day
	hour    int                   // to which current was brought up last
	lower   time.Time             // since when fewer replicas would do
	count   int
}

// Start sets how many replicas there are, from which the first decisions go on.
func (f *Forecast) Start(replicas int) { f.count = replicas }

// Observe notes the slots in use at a time; holiday says what sort of day it is. An hour's old peak counts
// until that hour is over: only then is it known that the day's own was lower.
func (f *Forecast) Observe(at time.Time, holiday bool, inUse float64) {
	peaks := &f.peaks[kindOf(holiday)]
	h := at.Hour()
	if h != f.hour {
		over := f.hour
		peaks[over] = max(f.current[over], peaks[over]*quickForgo)
		f.current[h] = 0
		f.hour = h
	}
	f.current[h] = max(f.current[h], inUse)
	peaks[h] = max(peaks[h], inUse)
}

func kindOf(holiday bool) int {
	if holiday {
		return 1
	}
	return 0
}

// Replicas returns how many replicas to hold now: up at once, with what the hour ahead needed on the days
// before, and down only after a lower need has lasted.
func (f *Forecast) Replicas(at time.Time, holiday bool, inUse, slotsEach float64, floor, most int) int {
	soon := f.peaks[kindOf(holiday)][at.Add(ahead).Hour()]
	need := int(math.Ceil(max(inUse, soon) * headroom / max(slotsEach, 1)))
	need = min(max(need, floor, 1), most)
	switch {
	case need >= f.count:
		f.count = need
		f.lower = time.Time{}
	case f.lower.IsZero():
		f.lower = at
	case at.Sub(f.lower) >= downHold:
		f.count = need
		f.lower = time.Time{}
	}
	return f.count
}
