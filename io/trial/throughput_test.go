package trial

import (
	"testing"
	"testing/synctest"
	"time"
)

// Targets and times of the throughput tests.
const (
	minShare       = 0.93 // of the capacity
	maxRefusalTime = 100 * time.Millisecond
	warmUpTime     = 10 * time.Second
	measuredTime   = 20 * time.Second
)

// measureThroughput offers a share of the capacity and returns the share that was generated after the warm-up.
func measureThroughput(t *testing.T, config fleetConfig, demand float64) (float64, *result) {
	f := newFleet(t, config)
	defer f.stop()
	res := newResult()
	share := 0.0
	go func() {
		time.Sleep(warmUpTime)
		before := f.tokens()
		time.Sleep(measuredTime)
		share = float64(f.tokens()-before) / measuredTime.Seconds() / f.capacity()
	}()
	f.run(res, load{
		rate: demand * f.capacity() / meanTokens, duration: warmUpTime + measuredTime, request: plainRequest(config.nodes),
	})
	return share, res
}

func throughputConfig(policy string) fleetConfig {
	return fleetConfig{
		nodes: 9, engines: mixedEngines(30), policy: policy, reportLag: 2 * time.Second,
		patience: 500 * time.Millisecond, progressTimeout: time.Second, retryShare: 0.1,
	}
}

// TestThroughput measures the throughput of each routing policy below and above the capacity, and checks it and the
// time to refuse for the policies that have a target.
func TestThroughput(t *testing.T) {
	for _, test := range []struct {
		policy    string
		demand    float64
		hasTarget bool // the targets apply to this policy
	}{
		{"finish", 0.95, true},
		{"finish", 1.2, true},
		{"round-robin", 0.95, false},
		{"round-robin", 1.2, false},
		{"random", 0.95, false},
		{"random", 1.2, false},
		{"least-outstanding", 0.95, false},
		{"least-outstanding", 1.2, false},
	} {
		if testing.Short() && !test.hasTarget {
			continue
		}
		t.Run(test.policy, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				share, res := measureThroughput(t, throughputConfig(test.policy), test.demand)
				t.Logf("measure=throughput policy=%s demand=%.2f carried=%.3f offered=%d answered=%d not-run=%d may-have-run=%d slowest-refusal=%v first-p50=%v first-p95=%v between-p95=%v",
					test.policy, test.demand, share, res.offered, res.answered, res.notRun, res.mayHaveRun, res.slowestRefusal,
					quantile(res.firstTokens, 0.5), quantile(res.firstTokens, 0.95), quantile(res.tokenGaps, 0.95))
				if res.wrong > 0 {
					t.Errorf("%d wrong answers", res.wrong)
				}
				if !test.hasTarget {
					return
				}
				if share < minShare {
					t.Errorf("throughput is %.3f of the capacity, wanted %.2f; %v", share, minShare, res.refusals)
				}
				if res.slowestRefusal > maxRefusalTime {
					t.Errorf("the slowest refusal took %v, wanted %v; %v", res.slowestRefusal, maxRefusalTime, res.refusals)
				}
			})
		})
	}
}
