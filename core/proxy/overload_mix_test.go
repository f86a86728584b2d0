package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var (
	// mixedCallers begin with 17 to 20 s; 5 in 100 of the requests, of all classes, are of a team with the highest priority.
	mixedCallers = overloadMix{deadlines: 3 * time.Second, teamShare: 0.05}
	// mixedSizes has large requests, as many as the floor of the largest tenth covers.
	mixedSizes = overloadMix{deadlines: 3 * time.Second, bigShare: 0.1}
)

// teamSeeds are played for the small team alone, of which one play has 20 to 30 requests in an overload.
var teamSeeds = []uint64{2, 4, 6, 8}

const (
	mixedCallersCalm = 72 // requests a second
	// mixedSizesCalm has the tokens of the above, as the mean request is 1.33 times as large.
	mixedSizesCalm = 54
)

// TestOverloadWithMixedCallers guards against a small team with the highest priority that closes the classes of all others, and
// against callers who come back and are not recognized because callers begin with different times.
func TestOverloadWithMixedCallers(t *testing.T) { checkMix(t, mixedCallers, mixedCallersCalm) }

// TestOverloadWithMixedSizes guards against large requests that take the room of several others under shortage, and against large
// ones that are starved.
func TestOverloadWithMixedSizes(t *testing.T) { checkMix(t, mixedSizes, mixedSizesCalm) }

func checkMix(t *testing.T, mix overloadMix, calm float64) {
	for _, c := range overloadCases {
		c.mix = mix
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.check(t, calm)
		})
	}
}

// mixChecks returns the checks of a mixed play: what a team with the highest priority gets, as it fits alone, and that large
// requests are served at least half as often as their class.
func (c *overloadCase) mixChecks(t *testing.T, r *overloadRun) []overloadCheck {
	var checks []overloadCheck
	if c.mix.teamShare > 0 {
		isFirst := func(c *call) bool { return c.team.Name == "first" }
		r := c.play(t, r.calm, true, teamSeeds, func(*overloadPlay) {})
		checks = append(checks, overloadCheck{"the team with the highest priority within objective",
			r.shareOf(anyClass, c.from, c.to, isFirst, (*call).isInAim), 0.95})
	}
	if c.mix.bigShare > 0 {
		isBig, isServed := func(c *call) bool { return c.isBig }, func(c *call) bool { return c.isServed }
		for class := range r.routes {
			checks = append(checks, overloadCheck{fmt.Sprintf("large requests of class %d served", class),
				r.shareOf(class, c.from, c.to, isBig, isServed), 0.5 * r.share(class, c.from, c.to, isServed)})
		}
	}
	return checks
}

// shareOf returns the share of some calls of a class that arrive in a time for which something holds.
func (r *overloadRun) shareOf(class int, from, to time.Duration, isOf, holds func(*call) bool) float64 {
	count, all := 0, 0
	r.each(class, from, to, func(c *call) {
		if !isOf(c) {
			return
		}
		all++
		if holds(c) {
			count++
		}
	})
	return float64(count) / float64(max(1, all))
}

// losses returns, for each second and class, how many calls arrive, how many of these are within objective, and why the others are
// not.
func (r *overloadRun) losses() string {
	var b strings.Builder
	for from := time.Duration(0); from < r.duration; from += time.Second {
		fmt.Fprintf(&b, "%4v", from)
		for class, route := range r.routes {
			causes, all, again := make(map[string]int), 0, 0
			r.each(class, from, from+time.Second, func(c *call) {
				all++
				causes[c.loss()]++
				if c.inAim && c.tries > 1 {
					again++
				}
			})
			fmt.Fprintf(&b, " | %s %3d in aim %3d (%2d again) refused %2d %2d left %2d broken %2d late %2d gap %2d lost %5.1f", route.Name, all,
				causes[""], again, causes["refused"], causes["refused again"], causes["left"], causes["broken"], causes["late"], causes["gap"],
				float64(all-causes[""])*route.worth)
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}

// loss returns why the call is not within objective, or "".
func (c *call) loss() string {
	switch {
	case c.inAim:
		return ""
	case c.isRefused && c.tries > 1:
		return "refused again"
	case c.isRefused:
		return "refused"
	case c.hasLeft:
		return "left"
	case c.isBroken:
		return "broken"
	case c.isLateFirst:
		return "late"
	}
	return "gap"
}
