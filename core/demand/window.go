package demand

import "time"

// Time over which rates are measured. A stream holds its room for seconds, so that a shorter window shows bursts alone.
const (
	rateWindow  = 3 * time.Second
	windowSlots = 6
)

// window sums the demand of the latest rateWindow at one node.
type window struct {
	slots [windowSlots]Rate // tokens and requests, not a second
	slot  int64             // number of the latest slot since the Unix epoch
}

// at returns the slot of a moment, and empties the slots that have left the window.
func (w *window) at(now time.Time) *Rate {
	slot := now.UnixNano() / int64(rateWindow/windowSlots)
	for range min(slot-w.slot, windowSlots) {
		w.slot++
		w.slots[w.slot%windowSlots] = Rate{}
	}
	w.slot = max(w.slot, slot)
	return &w.slots[w.slot%windowSlots]
}

// rate returns the demand a second, over the time that the slots cover: the latest one has not ended.
func (w *window) rate(now time.Time) Rate {
	w.at(now)
	var sum Rate
	for _, s := range w.slots {
		sum = sum.plus(s)
	}
	slotTime := rateWindow / windowSlots
	seconds := (rateWindow - slotTime + time.Duration(now.UnixNano()%int64(slotTime))).Seconds()
	return Rate{sum.Offered / seconds, sum.Unserved / seconds, sum.Admitted / seconds, sum.Refused / seconds}
}
