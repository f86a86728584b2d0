package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// crashingPart begins the IDs of parts that crash upstreams.
const crashingPart = "c0"

// partTraffic is the traffic of requests whose prompts share parts.
type partTraffic struct {
	fleet     *crasherFleet
	perSecond float64 // requests that crash upstreams
	crashing  int     // parts that crash upstreams
	isFirst   bool    // these parts are the first ones of their prompts
	sent      int
}

// Parts that the requests share with each other, beside the crashing ones.
const (
	firstPart   = "f1"
	middleParts = 6
)

// tick sends the requests of one tick: a sound one, and crashing ones at their rate.
func (p *partTraffic) tick() {
	f := p.fleet
	p.sent++
	middle := fmt.Sprintf("ab%02d", f.random.IntN(middleParts))
	f.askWithParts(f.random.IntN(len(f.nodes)), fmt.Sprint("sound-", p.sent), []string{firstPart, middle, "aa"})
	if p.crashing == 0 || f.random.Float64() >= p.perSecond*tickLength.Seconds() {
		return
	}
	part := fmt.Sprint(crashingPart, f.random.IntN(p.crashing))
	parts := []string{firstPart, middle, part, "bb"}
	if p.isFirst {
		parts = []string{part, middle, "bb"}
	}
	f.askWithParts(f.random.IntN(len(f.nodes)), fmt.Sprint("poisoned-", p.sent), parts)
}

// TestRequestsWithCrashingPartAreRefused guards against requests that are sent on though upstreams died of a part that
// they share with others.
func TestRequestsWithCrashingPartAreRefused(t *testing.T) {
	tests := []struct {
		name      string
		nodes     int
		perSecond float64
		crashing  int
		isFirst   bool
	}{
		{"a fifth of the traffic", crasherNodes, 13, 1, false},
		{"one request a second", crasherNodes, 1, 1, false},
		{"few nodes", 5, 4, 1, false},
		{"two parts", crasherNodes, 6, 2, false},
		{"the first part of its prompts", crasherNodes, 4, 1, true},
	}
	for _, tc := range tests {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newCrasherFleet(t, tc.nodes, seed)
					traffic := &partTraffic{fleet: f, perSecond: tc.perSecond, crashing: tc.crashing, isFirst: tc.isFirst}
					f.run(30*time.Second, func(time.Duration) { traffic.tick() })
					f.checkSends()
				})
			})
		}
	}
}
