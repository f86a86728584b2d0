//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["broken-promise"] = brokenPromise }

// brokenPromise lets one replica of seven fail a part of the requests that it has run, with a 503 that does not say that it has not
// run them. Its health check stays good.
func brokenPromise(r *rig) int {
	const key = "n2ctnfzs989anu6wsjnb"
	r.config(configOf(3, "wuno96b", key))
	var replicas []*replica
	for i, zone := range []string{"sapporo", "asahikawa", "hakodate", "sapporo", "asahikawa", "hakodate", "sapporo"} {
		replicas = append(replicas, r.replica(fmt.Sprintf("i-%d", i), "wuno96b", zone, 15*time.Millisecond))
	}
	r.startNodes("sapporo", "asahikawa", "hakodate")
	time.Sleep(2 * time.Second)
	if r.trouble {
		replicas[0].fail.Store(&failure{status: http.StatusServiceUnavailable, oneIn: 3}) // of every three in a row, one
		r.note("grey-begins", "replica", replicas[0].id)
	}
	var mu sync.Mutex
	promised, ran := 0, 0
	var all sync.WaitGroup
	for i := range 65 { // for 6.5 s
		for j, n := range r.nodes {
			all.Add(1)
			go func() {
				defer all.Done()
				attempt := fmt.Sprintf("b%d-%d", i, j)
				a := r.send(n, "POST", "/puxa403/2f", key, attempt, 2500*time.Millisecond, []byte("plot 7"))
				switch a.status {
				case 429, 503, 408, 421:
				default:
					return
				}
				mu.Lock()
				defer mu.Unlock()
				promised++
				for _, x := range replicas {
					if x.ranAttempt(attempt) > 0 {
						ran++
						r.note("promise-broken", "attempt", attempt, "status", a.status, "replica", x.id)
					}
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	fmt.Printf("%d requests were answered with a promise that they have not run; %d of them had run\n", promised, ran)
	if ran > 0 {
		return broken
	}
	return held
}
