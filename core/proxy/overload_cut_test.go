package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestCutOffNodeInAnOverload guards against a node that loses sight of the others in an overload, and then takes what urgent
// requests need, and against levels that swing between nodes with old and new views.
func TestCutOffNodeInAnOverload(t *testing.T) {
	for _, calm := range overloadCalms {
		t.Run(fmt.Sprintf("%.0f a second", calm), func(t *testing.T) {
			t.Parallel()
			checkCutOff(t, calm)
		})
	}
}

func checkCutOff(t *testing.T, calm float64) {
	c := overloadCases[1]
	r := c.play(t, calm, true, overloadSeeds, func(p *overloadPlay) { p.cutAt, p.mergeAt = c.from+2*time.Second, c.from+5*time.Second })
	t.Logf("\n%s", r.table())
	atCutOff, there := 0, 0
	r.each(0, c.from, c.to, func(k *call) {
		if k.node == 0 {
			there++
			if k.inAim {
				atCutOff++
			}
		}
	})
	t.Logf("of the most urgent requests at the node that is cut off %d of %d are within objective", atCutOff, there)
	if share := r.share(0, c.from, c.to, (*call).isInAim); share < 0.95 {
		t.Errorf("%.3f of the most urgent requests within objective, want 0.95", share)
	}
	for play, samples := range r.allLevels {
		var b strings.Builder
		for i, levels := range samples {
			if at := time.Duration(i+1) * gossipPeriod; at >= c.from && at < c.to {
				fmt.Fprintf(&b, " %.2f", levels[0])
			}
		}
		t.Logf("play %d, levels of the node that is cut off from %v on:%s", play, c.from, b.String())
	}
	for node := range r.nodes {
		if swings := r.swings(node, c.from, c.to); swings > 0 {
			t.Errorf("the level of node %d fell %d times from 1 to 0 in the overload, want 0", node, swings)
		}
	}
}

// swings returns how many times the level of a node fell from 1 to 0 in a time, in all plays.
func (r *overloadRun) swings(node int, from, to time.Duration) int {
	count := 0
	for _, samples := range r.allLevels {
		isHigh := false
		for i, levels := range samples {
			if at := time.Duration(i+1) * gossipPeriod; at < from || at >= to {
				continue
			}
			switch level := levels[node]; {
			case level == 1:
				isHigh = true
			case level == 0 && isHigh:
				isHigh = false
				count++
			}
		}
	}
	return count
}
