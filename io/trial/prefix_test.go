package trial

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// prefixed returns requests that share one of many long prompt beginnings.
func prefixed(nodes, prefixes int) func(*rand.Rand) one {
	plain := plainRequest(nodes)
	return func(r *rand.Rand) one {
		q := plain(r)
		head := fmt.Sprintf("house rules of plot %d; ", r.IntN(prefixes))
		q.prompt = strings.Repeat(head, 2000/len(head)) + q.prompt
		return q
	}
}

// hitShare returns the share of prompts whose beginning an engine had in its cache.
func (f *fleet) hitShare() float64 {
	hits, prompts := 0, 0
	for _, e := range f.engines {
		hits += e.Stats().Hits
		prompts += e.Stats().Prompts
	}
	return float64(hits) / float64(prompts)
}

// TestPrefixAffinity compares the cache's hits with random placement, and with the ideal in which each
// beginning is read once in the whole fleet.
func TestPrefixAffinity(t *testing.T) {
	const prefixes = 200
	shares := make(map[string]float64)
	for _, policy := range []string{"finish", "random", "least-outstanding"} {
		synctest.Test(t, func(t *testing.T) {
			s := recoverySetup()
			s.policy = policy
			f := newFleet(t, s)
			defer f.stop()
			res := newResult()
			f.run(res, load{rate: 0.6 * f.bound() / meanTokens, duration: 30 * time.Second, request: prefixed(5, prefixes)})
			shares[policy] = f.hitShare()
			ideal := 1 - float64(prefixes)/float64(res.offered)
			t.Logf("measure=prefix policy=%s hit-share=%.3f ideal=%.3f answered=%d of %d first-p95=%v",
				policy, f.hitShare(), ideal, res.answered, res.offered, quantile(res.first, 0.95))
		})
	}
	if shares["finish"] <= shares["random"] {
		t.Errorf("hit share %.3f, random placement has %.3f", shares["finish"], shares["random"])
	}
}
