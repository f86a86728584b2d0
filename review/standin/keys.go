//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["keys"], machinesOf["keys"] = playKeys, 3
}

// Names of the small deployment.
const (
	host    = "loans.example"
	book    = "/book/1"
	status  = "/status/1"
	service = "ledger"
)

type object = map[string]any

// configOf returns a configuration with two routes to the service and the given tenants.
func configOf(version int, tenants []object) object {
	return object{"version": version,
		"routes": []object{
			{"name": "r-book", "hostname": host, "prefix": "/book/", "route-type": "non_idempotent", "timeout-ms": 2500, "slo-ms": 150,
				"priority": 2, "service": service, "max-attempts": 2, "public": false},
			{"name": "r-status", "hostname": host, "prefix": "/status/", "route-type": "idempotent", "timeout-ms": 2500, "slo-ms": 150,
				"priority": 2, "service": service, "max-attempts": 2, "public": false},
		},
		"services": []object{{"name": service, "health-path": "/health", "max-conns": 52, "protocol": "h1", "tls": false}},
		"limits":   object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  tenants,
	}
}

// startSmall starts a deployment of all machines, with as many replicas and a configuration.
func (s *stage) startSmall(config object) {
	for i, m := range s.machines {
		s.addReplica(fmt.Sprintf("i-%04x", 0xa1+i), service, m.zone)
	}
	s.log.add("config", "version %v: acknowledged as %d", config["version"], s.store.put("op", "config", config))
	for _, m := range s.machines {
		m.start()
	}
	awaitReady(20*time.Second, s.machines...)
	s.log.add("ready", "all machines")
}

// playKeys takes the keys of two tenants away, one after the other. Each tenant has one key.
func playKeys(s *stage) (broken []string) {
	const (
		first, second, never = "k1aaaaaaaaaaaaaaaaaa", "k2bbbbbbbbbbbbbbbbbb", "k9neverinanyconfigur"
		applies              = 2 * time.Second // config-apply-ms
		margin               = time.Second     // beyond it
	)
	tenants := func(a, b []string) []object {
		return []object{{"name": "dealer-one", "api-keys": a, "priority": 1}, {"name": "dealer-two", "api-keys": b, "priority": 1}}
	}
	s.startSmall(configOf(1, tenants([]string{first}, []string{second})))
	time.Sleep(4 * time.Second) // all machines have been in touch for stability-ms

	// round sends a request with each key to each machine and checks the answers.
	round := func(allowed map[string]bool) {
		for _, m := range s.machines {
			for _, key := range []string{first, second, never} {
				for _, q := range []struct{ method, path string }{{http.MethodPost, book}, {http.MethodGet, status}} {
					r := s.call(m, q.method, host, q.path, key, 2500*time.Millisecond)
					runs := s.runsOf(r.attempt)
					switch {
					case allowed[key] && (r.status != http.StatusOK || len(runs) != 1):
						s.log.add("note", "%s with a key in force got %d and ran %d times", r.attempt, r.status, len(runs))
						fatal(fmt.Errorf("a sound request got %d (%v)", r.status, r.err))
					case !allowed[key] && len(runs) > 0:
						rule := "CONFIG: a key was taken away more than config-apply-ms before"
						if key == never {
							rule = "ROUTE: no configuration ever held the key"
						}
						broken = append(broken, fmt.Sprintf("%s; %s %s with key %q at %s was answered %d and ran, tenant %q",
							rule, r.attempt, q.path, key, m.name, r.status, runs[0].tenant))
					}
				}
			}
		}
	}
	round(map[string]bool{first: true, second: true})
	if s.trouble {
		s.log.add("config", "version 2 without the key of dealer-one: acknowledged as %d",
			s.store.put("op", "config", configOf(2, tenants([]string{}, []string{second}))))
		time.Sleep(1500 * time.Millisecond)
		s.log.add("config", "version 3 without the key of dealer-two: acknowledged as %d",
			s.store.put("op", "config", configOf(3, tenants([]string{}, []string{}))))
	}
	time.Sleep(applies + margin)
	for range 3 {
		round(map[string]bool{first: !s.trouble, second: !s.trouble})
		time.Sleep(500 * time.Millisecond)
	}
	return broken
}
