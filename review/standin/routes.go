//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["routes"], machinesOf["routes"] = playRoutes, 3
}

// playRoutes removes the two routes of a deployment, one after the other.
func playRoutes(s *stage) (broken []string) {
	const (
		key     = "k1aaaaaaaaaaaaaaaaaa"
		applies = 2 * time.Second // config-apply-ms
		margin  = time.Second     // beyond it
	)
	tenants := []object{{"name": "dealer-one", "api-keys": []string{key}, "priority": 1}}
	config := func(version, routes int) object {
		c := configOf(version, tenants)
		c["routes"] = c["routes"].([]object)[:routes]
		return c
	}
	s.startSmall(config(1, 2))
	time.Sleep(4 * time.Second) // all machines have been in touch for stability-ms

	round := func(hasBook, hasStatus bool) {
		for _, m := range s.machines {
			for _, q := range []struct {
				method, path string
				isThere      bool
			}{{http.MethodPost, book, hasBook}, {http.MethodGet, status, hasStatus}} {
				r := s.call(m, q.method, host, q.path, key, 2500*time.Millisecond)
				runs := s.runsOf(r.attempt)
				switch {
				case q.isThere && (r.status != http.StatusOK || len(runs) != 1):
					fatal(fmt.Errorf("a sound request got %d (%v)", r.status, r.err))
				case !q.isThere && len(runs) > 0:
					broken = append(broken, fmt.Sprintf("CONFIG: the route was dropped more than config-apply-ms before; %s %s at %s was answered %d and ran",
						r.attempt, q.path, m.name, r.status))
				}
			}
		}
	}
	round(true, true)
	if s.trouble {
		s.log.add("config", "version 2 without the second route: acknowledged as %d", s.store.put("op", "config", config(2, 1)))
		time.Sleep(applies + margin)
		round(true, false)
		s.log.add("config", "version 3 without any route: acknowledged as %d", s.store.put("op", "config", config(3, 0)))
	}
	time.Sleep(applies + margin)
	for range 3 {
		round(!s.trouble, !s.trouble)
		time.Sleep(time.Second)
	}
	return broken
}
