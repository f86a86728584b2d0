package admit

import "time"

// windowSlots is the resolution of a window.
const windowSlots = 5

// window counts the events of the latest countWindow.
type window struct {
	counts [windowSlots]int
	slot   int64 // number of the latest slot since the Unix epoch
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.counts[w.slot%windowSlots]++
}

func (w *window) count(now time.Time) int {
	w.advance(now)
	sum := 0
	for _, n := range w.counts {
		sum += n
	}
	return sum
}

// advance empties the slots that have left the window.
func (w *window) advance(now time.Time) {
	slot := now.UnixNano() / int64(countWindow/windowSlots)
	for range min(slot-w.slot, windowSlots) {
		w.slot++
		w.counts[w.slot%windowSlots] = 0
	}
	w.slot = max(w.slot, slot)
}
