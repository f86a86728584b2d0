package proxy

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// overloadCase is a play with calm traffic, then an overload, then calm traffic again.
type overloadCase struct {
	name     string
	from, to time.Duration                   // of the overload
	factor   func(class, centre int) float64 // on the calm traffic in the overload
	most     float64
	fails    bool // half of the capacity is gone in the overload, rather than that the traffic grows
	// edgeFrom and edgeTo bound the factor on the traffic of the overload between which its edge lies.
	edgeFrom, edgeTo float64
	mix              overloadMix
}

var overloadCases = []overloadCase{
	{name: "half of the capacity gone", from: 7 * time.Second, to: 13 * time.Second, fails: true, most: 1,
		factor: func(int, int) float64 { return 1 }, edgeFrom: 0.5, edgeTo: 0.7},
	{name: "one class at eight times its traffic", from: 4 * time.Second, to: 11 * time.Second, most: 8, factor: classFlood,
		edgeFrom: 0.5, edgeTo: 0.7},
	{name: "one data centre at three and a half times its traffic", from: 4 * time.Second, to: 13 * time.Second, most: 3.5,
		factor: func(_, centre int) float64 {
			if centre == 0 {
				return 3.5
			}
			return 1
		}, edgeFrom: 0.6, edgeTo: 0.8},
}

// classFlood is the least urgent class at eight times its traffic.
func classFlood(class, _ int) float64 {
	if class == 2 {
		return 8
	}
	return 1
}

// overloadSeeds are played one after the other: at the edge a single play may or may not collapse without admission control.
var overloadSeeds = []uint64{2, 4}

const (
	recoveryTime = 2 * time.Second // after the end of an overload
	settleTime   = 2 * time.Second // after the beginning of an overload; the answers of the time before end in it
	calmTail     = 4 * time.Second // that is played after the end
	edgeSteps    = 5
	edgeStep     = 5 * time.Second // of steady traffic, of which the last edgeWindow counts
	edgeWindow   = 4 * time.Second
	edgeShare    = 0.95 // within objective at the edge
)

// overloadCalms are the calm loads of the plays, in requests a second: at the lower one, less is late without admission control.
var overloadCalms = []float64{72, 78}

// play plays the case at a calm load, with or without admission control.
func (c *overloadCase) play(t *testing.T, calm float64, admits bool, seeds []uint64, change func(*overloadPlay)) *overloadRun {
	p := &overloadPlay{calm: calm, admits: admits, most: c.most, mix: c.mix, duration: c.to + calmTail,
		rate: func(at time.Duration, class, centre int) float64 {
			if at < c.from || at >= c.to {
				return 1
			}
			return c.factor(class, centre)
		}}
	if c.fails {
		p.failAt, p.restartAt = c.from, c.to
	}
	change(p)
	return playInBubble(t, p, seeds)
}

// playInBubble plays with each seed and returns the last play with the calls and levels of all.
func playInBubble(t *testing.T, p *overloadPlay, seeds []uint64) *overloadRun {
	var r *overloadRun
	var calls []*call
	var levels [][][]float64
	for _, seed := range seeds {
		p.seed = seed
		synctest.Test(t, func(*testing.T) { r = p.play() })
		calls, levels = append(calls, r.calls...), append(levels, r.levels)
	}
	r.calls, r.plays, r.allLevels = calls, len(seeds), levels
	return r
}

// edge returns how many answers a second are within objective at the most traffic at which 95 in 100 are. The traffic grows in
// steps, as the upstreams fill up some seconds after it has grown.
func (c *overloadCase) edge(t *testing.T, calm float64, admits bool) float64 {
	p := &overloadPlay{calm: calm, admits: admits, most: c.most, mix: c.mix, duration: edgeSteps * edgeStep, failed: c.fails}
	p.rate = func(at time.Duration, class, centre int) float64 {
		return c.factor(class, centre) * (c.edgeFrom + (c.edgeTo-c.edgeFrom)*float64(at/edgeStep)/(edgeSteps-1))
	}
	r := playInBubble(t, p, overloadSeeds[:1])
	edge := 0.0
	for to := edgeStep; to <= p.duration; to += edgeStep {
		share := r.share(anyClass, to-edgeWindow, to, (*call).isInAim)
		t.Logf("%.0f requests a second: %.3f within objective", r.offered(to-1), share)
		if share < edgeShare { // at the end of the play the last streams run with fewer beside them, which says nothing
			break
		}
		edge = share * r.offered(to-1)
	}
	return edge
}

// offered returns the mean of the requests a second at a time.
func (r *overloadRun) offered(at time.Duration) float64 {
	sum := 0.0
	for class, t := range r.routes {
		for centre := range overloadCentres {
			sum += r.calm * t.share * r.rate(at, class, centre) / float64(len(overloadCentres))
		}
	}
	return sum
}

const anyClass = -1

func (c *call) isInAim() bool { return c.inAim }

// each calls f for the calls of a class that arrive in a time.
func (r *overloadRun) each(class int, from, to time.Duration, f func(*call)) {
	for _, c := range r.calls {
		if c.at >= from && c.at < to && (class == anyClass || class == c.class) {
			f(c)
		}
	}
}

// share returns the share of the calls of a class that arrive in a time for which something holds.
func (r *overloadRun) share(class int, from, to time.Duration, holds func(*call) bool) float64 {
	count, all := 0, 0
	r.each(class, from, to, func(c *call) {
		all++
		if holds(c) {
			count++
		}
	})
	return float64(count) / float64(max(1, all))
}

// worth returns the worth of the answers within objective to the calls that arrive in a time.
func (r *overloadRun) worth(from, to time.Duration) float64 {
	sum := 0.0
	r.each(anyClass, from, to, func(c *call) {
		if c.inAim {
			sum += r.routes[c.class].worth
		}
	})
	return sum
}

// offeredWorth returns the worth of the calls that arrive in a time, the most that worth can reach.
func (r *overloadRun) offeredWorth(from, to time.Duration) float64 {
	sum := 0.0
	r.each(anyClass, from, to, func(c *call) { sum += r.routes[c.class].worth })
	return sum
}

// goodput returns how many answers within objective begin in a time, a second of one play.
func (r *overloadRun) goodput(from, to time.Duration) float64 {
	count := 0
	for _, c := range r.calls {
		if c.inAim && c.answeredAt >= from && c.answeredAt < to {
			count++
		}
	}
	return float64(count) / (to - from).Seconds() / float64(r.plays)
}

// TestOverload guards against an overload in which everybody is admitted and everybody is late, in which urgent requests lose
// to others, or in which capacity is left free, and against one that outlasts its cause.
func TestOverload(t *testing.T) {
	for _, c := range overloadCases {
		for _, calm := range overloadCalms {
			t.Run(fmt.Sprintf("%s, %.0f a second", c.name, calm), func(t *testing.T) {
				t.Parallel()
				c.check(t, calm)
			})
		}
	}
}

// overloadCheck is a figure with its lower bound.
type overloadCheck struct {
	name      string
	got, want float64
}

// check plays the case with and without admission control, and checks the targets of docs/design/overload.md.
func (c *overloadCase) check(t *testing.T, calm float64) {
	none := func(*overloadPlay) {}
	before, r, edge := c.play(t, calm, false, overloadSeeds, none), c.play(t, calm, true, overloadSeeds, none), c.edge(t, calm, true)
	t.Logf("edge %.0f a second; worth of all calls %.0f", edge, r.offeredWorth(c.from, c.to+recoveryTime))
	t.Logf("before:\n%sadmission:\n%slosses:\n%s", before.table(), r.table(), r.losses())
	calmShare := r.share(anyClass, 0, 2*time.Second, (*call).isInAim)
	served := func(class int) float64 {
		return r.share(class, c.from, c.to, func(c *call) bool { return c.isServed })
	}
	checks := []overloadCheck{
		{"the most urgent class within objective", r.share(0, c.from, c.to, (*call).isInAim), 0.95},
		{"worth within objective", r.worth(c.from, c.to+recoveryTime), 1.15 * before.worth(c.from, c.to+recoveryTime)},
		{"second class served", served(1), 0.25 * served(anyClass)},
		{"third class served", served(2), 0.25 * served(anyClass)},
		{"answers within objective a second", r.goodput(c.from+settleTime, c.to), 0.9 * edge},
		{"recovery", r.share(anyClass, c.to+recoveryTime, c.to+calmTail, (*call).isInAim), 0.9 * calmShare},
	}
	for _, check := range append(checks, c.mixChecks(t, r)...) {
		t.Run(check.name, func(t *testing.T) {
			t.Logf("%.3f, want %.3f", check.got, check.want)
			if check.got < check.want {
				t.Errorf("%.3f, want %.3f", check.got, check.want)
			}
		})
	}
}

// table returns what became of the calls that arrive in each two seconds, by class.
func (r *overloadRun) table() string {
	var b strings.Builder
	const bin = 2 * time.Second
	for from := time.Duration(0); from < r.duration; from += bin {
		var all, inAim, atOnce, served, refused, left, broken [3]int
		r.each(anyClass, from, from+bin, func(c *call) {
			all[c.class]++
			for counts, is := range map[*[3]int]bool{&inAim: c.inAim, &atOnce: c.isAtOnce, &served: c.isServed, &refused: c.isRefused,
				&left: c.hasLeft, &broken: c.isBroken} {
				if is {
					counts[c.class]++
				}
			}
		})
		level := 0.0
		if n := int(from / gossipPeriod); r.admits && n < len(r.levels) {
			level = r.levels[n][0]
		}
		fmt.Fprintf(&b, "%4v good/s %3.0f all %v in aim %v at once %v served %v refused %v left %v broken %v level %.1f\n", from,
			r.goodput(from, from+bin), all, inAim, atOnce, served, refused, left, broken, level)
	}
	m := r.model
	fmt.Fprintf(&b, "%d arrivals, %d refused by upstreams, %d preempted\n", m.arrivals, m.refused, m.preempted)
	return b.String()
}
