package scale

import (
	"math"
	"time"
)

// Parameters of the forecast.
const (
	headroom       = 1.3              // slots provided per slot in use
	lookAhead      = 20 * time.Minute // longest time to load a model's weights
	scaleDownDelay = 10 * time.Minute // that a lower need must last before replicas are removed
	hoursPerDay    = 24
	peakDecay      = 0.7 // factor for an hour's earlier peak when a day's peak is lower
)

// Forecast tracks the demand for one model, in slots in use, and computes the number of replicas that it needs.
type Forecast struct {
	peaks          [2][hoursPerDay]float64 // highest slots in use by hour, of ordinary days and of holidays
	todayPeaks     [hoursPerDay]float64    // highest slots in use by hour, of the last 24 hours
	hour           int                     // of the last observation
	lowerNeedSince time.Time               // since when fewer replicas would suffice; zero if they would not
	replicas       int
}

// SetReplicas sets the present number of replicas, from which the forecast scales.
func (f *Forecast) SetReplicas(replicas int) { f.replicas = replicas }

// Observe records the slots in use at a time; holiday selects the peaks of holidays. An hour's earlier peak stays
// in effect until the hour has ended, because only then is it known whether this day's peak is lower.
func (f *Forecast) Observe(at time.Time, holiday bool, inUse float64) {
	peaks := &f.peaks[dayKind(holiday)]
	h := at.Hour()
	if h != f.hour {
		ended := f.hour
		peaks[ended] = max(f.todayPeaks[ended], peaks[ended]*peakDecay)
		f.todayPeaks[h] = 0
		f.hour = h
	}
	f.todayPeaks[h] = max(f.todayPeaks[h], inUse)
	peaks[h] = max(peaks[h], inUse)
}

// dayKind returns the index of a day's peaks in Forecast.peaks.
func dayKind(holiday bool) int {
	if holiday {
		return 1
	}
	return 0
}

// Replicas returns the number of replicas to hold now, between floor and ceiling. It scales up at once, for the
// slots in use now or the earlier peak of the hour that is lookAhead away, and scales down only after a lower need
// has lasted for scaleDownDelay.
func (f *Forecast) Replicas(at time.Time, holiday bool, inUse, slotsPerReplica float64, floor, ceiling int) int {
	upcoming := f.peaks[dayKind(holiday)][at.Add(lookAhead).Hour()]
	need := int(math.Ceil(max(inUse, upcoming) * headroom / max(slotsPerReplica, 1)))
	need = min(max(need, floor, 1), ceiling)
	switch {
	case need >= f.replicas:
		f.replicas = need
		f.lowerNeedSince = time.Time{}
	case f.lowerNeedSince.IsZero():
		f.lowerNeedSince = at
	case at.Sub(f.lowerNeedSince) >= scaleDownDelay:
		f.replicas = need
		f.lowerNeedSince = time.Time{}
	}
	return f.replicas
}
