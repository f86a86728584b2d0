//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["poison"], machinesOf["poison"] = playPoison, 9
}

// playPoison replaces six machines in both plays, as on days before, and three more as the disruption. Then it sends a request again and again that crashes each replica
// which begins to run it.
func playPoison(s *stage) (broken []string) {
	const (
		key     = "k1aaaaaaaaaaaaaaaaaa"
		poison  = "/book/poison"
		stable  = 3 * time.Second // stability-ms
		backIn  = 3 * time.Second // until a crashed replica is back
		earlier = 6               // machines that were replaced on the days before, three a day
		allowed = 3               // retries that may reach replicas later than stable after the third crash
	)
	var mu sync.Mutex // guards the replicas that come back
	back := 0
	var crashed func(p *replica)
	crashed = func(p *replica) {
		time.Sleep(backIn)
		mu.Lock()
		defer mu.Unlock()
		back++
		n := startReplica(fmt.Sprintf("i-%04x", 0xb000+back), service, p.zone, network+"100", s.log)
		n.crashes, n.crashed = poison, crashed
		s.replicas = append(s.replicas, n)
		s.log.add("replica", "%s is back as %s at %s, version %d", p.id, n.id, n.address, s.store.put("servers", n.id, n.entry(time.Now().UnixMilli())))
		time.Sleep(600 * time.Millisecond) // three heartbeat intervals after its crash
		s.store.remove("servers", p.id)
	}
	s.startSmall(configOf(1, []object{{"name": "dealer-one", "api-keys": []string{key}, "priority": 1}}))
	for _, p := range s.replicas {
		p.crashes, p.crashed = poison, crashed
	}
	live := append([]*machine{}, s.machines...)
	for i, m := range live { // three a day, one in each zone: two days before, and the day that is played
		kind := "before"
		if i >= earlier {
			kind = "trouble"
		}
		if kind == "trouble" && !s.trouble {
			break
		}
		s.log.add(kind, "%s is gone for good", m.name)
		m.kill()
		time.Sleep(time.Second)
		n := s.addMachine(fmt.Sprintf("front-%s-%d", m.zone, 4+i/len(s.zones)), m.zone)
		n.start()
		s.log.add(kind, "%s comes at another address", n.name)
		live[i] = n
	}
	awaitReady(20*time.Second, live...)
	time.Sleep(stable + 10*time.Second) // all of them are in touch, and know the others
	for i := range 30 {
		s.call(live[i%len(live)], http.MethodPost, host, poison, key, 2500*time.Millisecond)
		s.call(live[(i+4)%len(live)], http.MethodGet, host, status, key, 2500*time.Millisecond)
		time.Sleep(time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	var arrivals []run
	for _, p := range s.replicas {
		for _, x := range p.all() {
			if x.path == poison {
				arrivals = append(arrivals, x)
			}
		}
	}
	sortRuns(arrivals)
	s.log.add("total", "the request crashed %d replicas", len(arrivals))
	if len(arrivals) <= 3 {
		return nil
	}
	late := 0
	for _, x := range arrivals {
		if x.at.Sub(arrivals[2].at) > stable {
			late++
		}
	}
	s.log.add("total", "%d of the arrivals came later than stability-ms after the third crash", late)
	if late > allowed {
		broken = append(broken, fmt.Sprintf("BUDGET: a request that had crashed three replicas reached %d more, later than stability-ms after that", late))
	}
	return broken
}
