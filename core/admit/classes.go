package admit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"rhubarbspread/core/rules"
)

// Mode says for which services admission control is in force.
type Mode string

// The modes.
const (
	Auto Mode = "auto" // services with an engine whose routes differ in priority, or whose cards are uneven
	On   Mode = "on"   // all services with an engine
	Off  Mode = "off"
)

// ParseMode returns the mode of a name.
func ParseMode(name string) (Mode, error) {
	if m := Mode(name); slices.Contains([]Mode{Auto, On, Off}, m) {
		return m, nil
	}
	return "", fmt.Errorf("admission mode %q is not %s, %s or %s", name, Auto, On, Off)
}

// ClassesOf returns the classes of a service's requests in a configuration, or none if admission control is not in force for it.
func ClassesOf(r *rules.Rules, service *rules.Service, mode Mode) []Class {
	if service.Engine == nil || mode == Off {
		return nil
	}
	classes := make(map[Rank]Class)
	priorities := make(map[int]bool)
	for _, route := range r.RoutesTo(service.Name) {
		if route.Kind != rules.Streaming {
			continue
		}
		priorities[route.Priority] = true
		for _, team := range r.TeamPriorities() {
			rank := RankOf(team, route.Priority)
			c := classes[rank]
			classes[rank] = Class{rank, least(c.FirstEvent, route.LatencyObjective), least(c.EventGap, route.EventGapObjective)}
		}
	}
	if mode == Auto && len(priorities) < 2 && !service.Engine.HasUnevenCards() {
		return nil
	}
	return slices.SortedFunc(maps.Values(classes), func(a, b Class) int { return a.Rank.Compare(b.Rank) })
}

// Compete reports whether requests of more and less urgent routes compete for capacity.
func Compete(classes []Class) bool {
	return slices.ContainsFunc(classes, func(c Class) bool { return c.Rank.Secondary != classes[0].Rank.Secondary })
}

// least returns the smaller of two objectives, of which 0 is none.
func least(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return cmp.Or(a, b)
	}
	return min(a, b)
}
