package trial

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// maxFairnessFactor is the highest allowed p95 time to first token of the other teams while one team floods, divided by
// that without the flood.
const maxFairnessFactor = 1.2

// teamRequests returns requests of ten teams, three of which send three times as many as the others; the share of
// team-0 is multiplied by flood.
func teamRequests(nodes int, flood float64) func(*rand.Rand) request {
	weights := []float64{1, 3, 3, 3, 1, 1, 1, 1, 1, 1}
	weights[0] *= flood
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	plain := plainRequest(nodes)
	return func(r *rand.Rand) request {
		q := plain(r)
		pick := r.Float64() * sum
		for i, w := range weights {
			if pick -= w; pick < 0 {
				q.team = fmt.Sprintf("team-%d", i)
				break
			}
		}
		return q
	}
}

// fairnessSeries is the number of arrival series whose times to first token are pooled: one series has only 70 requests
// beyond its p95, too few for a stable result.
const fairnessSeries = 3

// TestFairness checks that a team that floods the fleet hardly delays the first tokens of the other teams.
func TestFairness(t *testing.T) {
	// The weights of the teams sum to 16 without the flood and to 25 with it: the flood raises the load to
	// 1.1 of the fleet's capacity.
	const baseDemand = 0.7
	baseline, flooded := newResult(), newResult()
	for series := range uint64(fairnessSeries) {
		floodRun(t, baseline, series, baseDemand, 1)
		floodRun(t, flooded, series, baseDemand*25/16, 10)
	}
	before, after := quantile(others(baseline), 0.95), quantile(others(flooded), 0.95)
	factor := float64(after) / float64(before)
	t.Logf("measure=fairness others-p95-alone=%v others-p95-flooded=%v factor=%.2f flooder-answered=%d of others %d, refused=%d, refusals %v",
		before, after, factor, len(flooded.byTeam["team-0"]), len(others(flooded)), flooded.notRun, flooded.refusals)
	if factor > maxFairnessFactor {
		t.Errorf("others' first token p95 rose by %.2f, wanted at most %.1f", factor, maxFairnessFactor)
	}
}

// floodRun offers a share of the capacity to a new fleet, with the share of team-0 multiplied by flood.
func floodRun(t *testing.T, res *result, series uint64, demand, flood float64) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, recoveryConfig())
		defer f.stop()
		rate := demand * f.capacity() / meanTokens
		f.run(res, load{rate: rate, duration: 20 * time.Second, request: teamRequests(5, flood), series: series})
	})
}

// others returns the times to first token of all teams except team-0, which floods.
func others(res *result) []time.Duration {
	var out []time.Duration
	for team, times := range res.byTeam {
		if team != "team-0" {
			out = append(out, times...)
		}
	}
	return out
}
