package trial

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// prefixRequests returns requests whose prompts begin with one of a number of long prefixes.
func prefixRequests(nodes, prefixes int) func(*rand.Rand) request {
	plain := plainRequest(nodes)
	return func(r *rand.Rand) request {
		q := plain(r)
		prefix := fmt.Sprintf("house rules of plot %d; ", r.IntN(prefixes))
		q.prompt = strings.Repeat(prefix, 2000/len(prefix)) + q.prompt
		return q
	}
}

// hitShare returns the share of prompts whose prefix was in the cache of the engine that ran them.
func (f *fleet) hitShare() float64 {
	hits, prompts := 0, 0
	for _, e := range f.engines {
		hits += e.Stats().Hits
		prompts += e.Stats().Prompts
	}
	return float64(hits) / float64(prompts)
}

// TestPrefixAffinity compares the prefix cache hits with those of random routing, and logs the ideal share, at
// which each prefix is prefilled only once in the whole fleet.
func TestPrefixAffinity(t *testing.T) {
	const prefixes = 200
	shares := make(map[string]float64)
	for _, policy := range []string{"finish", "random", "least-outstanding"} {
		synctest.Test(t, func(t *testing.T) {
			config := recoveryConfig()
			config.policy = policy
			f := newFleet(t, config)
			defer f.stop()
			res := newResult()
			f.run(res, load{rate: 0.6 * f.capacity() / meanTokens, duration: 30 * time.Second, request: prefixRequests(5, prefixes)})
			shares[policy] = f.hitShare()
			ideal := 1 - float64(prefixes)/float64(res.offered)
			t.Logf("measure=prefix policy=%s hit-share=%.3f ideal=%.3f answered=%d of %d first-p95=%v",
				policy, f.hitShare(), ideal, res.answered, res.offered, quantile(res.firstTokens, 0.95))
		})
	}
	if shares["finish"] <= shares["random"] {
		t.Errorf("hit share %.3f, random routing has %.3f", shares["finish"], shares["random"])
	}
}
