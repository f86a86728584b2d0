package trial

import (
	"testing"
	"testing/synctest"
	"time"
)

// Targets of throughput.
const (
	leastShare  = 0.93 // of the bound
	refusalTime = 100 * time.Millisecond
	warmUp      = 10 * time.Second
	measured    = 20 * time.Second
)

// carry offers a share of the bound and returns the share that was carried in the measured window.
func carry(t *testing.T, s setup, demand float64) (float64, *result) {
	f := newFleet(t, s)
	defer f.stop()
	res := newResult()
	share := 0.0
	go func() {
		time.Sleep(warmUp)
		before := f.tokens()
		time.Sleep(measured)
		share = float64(f.tokens()-before) / measured.Seconds() / f.bound()
	}()
	f.run(res, load{rate: demand * f.bound() / meanTokens, duration: warmUp + measured, request: plainRequest(s.nodes)})
	return share, res
}

func throughputSetup(policy string) setup {
	return setup{
		nodes: 9, engines: mixed(30), policy: policy, lag: 2 * time.Second,
		patience: 500 * time.Millisecond, progress: time.Second, share: 0.1,
	}
}

func TestThroughput(t *testing.T) {
	for _, test := range []struct {
		policy string
		demand float64
		bound  bool // the target holds for this policy
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
		if testing.Short() && !test.bound {
			continue
		}
		t.Run(test.policy, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				share, res := carry(t, throughputSetup(test.policy), test.demand)
				t.Logf("measure=throughput policy=%s demand=%.2f carried=%.3f offered=%d answered=%d not-run=%d may-have-run=%d slowest-refusal=%v first-p50=%v first-p95=%v between-p95=%v",
					test.policy, test.demand, share, res.offered, res.answered, res.notRun, res.mayRun, res.slowest,
					quantile(res.first, 0.5), quantile(res.first, 0.95), quantile(res.between, 0.95))
				if res.wrong > 0 {
					t.Errorf("%d wrong answers", res.wrong)
				}
				if !test.bound {
					return
				}
				if share < leastShare {
					t.Errorf("carried %.3f of the bound, wanted %.2f; %v", share, leastShare, res.details)
				}
				if res.slowest > refusalTime {
					t.Errorf("the slowest refusal took %v, wanted %v; %v", res.slowest, refusalTime, res.details)
				}
			})
		})
	}
}
