//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["drain"], machinesOf["drain"] = playDrain, 3
}

// playDrain takes two replicas away that never report draining. Before the second one leaves, the store turns one machine
// away, and the processes on the two others are killed at once; they start again after half a second.
func playDrain(s *stage) (broken []string) {
	const (
		key     = "k1aaaaaaaaaaaaaaaaaa"
		drains  = 2 * time.Second         // drain-ms
		stable  = 3 * time.Second         // stability-ms
		refused = 8500 * time.Millisecond // for which the store turns the machine away
	)
	early := s.addReplica("i-00e1", service, s.zones[0])
	late := s.addReplica("i-00e2", service, s.zones[1])
	s.startSmall(configOf(1, []object{{"name": "dealer-one", "api-keys": []string{key}, "priority": 1}}))
	a, others := s.machines[0], s.machines[1:]
	time.Sleep(3 * time.Second)
	s.log.add("leaves", "%s leaves the list, acknowledged as %d; it serves on for a while", early.id, s.store.remove("servers", early.id))
	time.Sleep(2 * time.Second)
	shutAt := time.Now()
	if s.trouble {
		s.log.add("trouble", "the store turns %s away with 503", a.name)
		s.store.setShut(a.name, true)
	}
	time.Sleep(time.Second)
	if s.trouble {
		for _, m := range others {
			s.log.add("trouble", "the process on %s is killed", m.name)
			m.kill()
		}
		time.Sleep(200 * time.Millisecond)
	}
	goneAt := time.Now()
	s.log.add("leaves", "%s leaves the list, acknowledged as %d; it serves on for a while", late.id, s.store.remove("servers", late.id))
	inTouch := goneAt
	if s.trouble {
		time.Sleep(300 * time.Millisecond)
		for _, m := range others {
			m.start()
		}
		s.log.add("started", "both processes")
		inTouch = time.Now().Add(stable)
	}
	awaitReady(20*time.Second, others...)
	counted := goneAt.Add(drains)
	if inTouch.After(counted) {
		counted = inTouch
	}
	time.Sleep(time.Until(counted) + 200*time.Millisecond)
	s.log.add("counted", "from here on the two machines are in touch, and drain-ms is over")
	for time.Since(shutAt) < refused {
		var calls sync.WaitGroup
		for i := range 4 * len(others) {
			calls.Add(1)
			go func() {
				defer calls.Done()
				s.call(others[i%len(others)], http.MethodGet, host, status, key, 2500*time.Millisecond)
			}()
		}
		calls.Wait()
		time.Sleep(50 * time.Millisecond)
	}
	if s.trouble {
		shutFor := time.Since(shutAt)
		s.store.setShut(a.name, false)
		s.log.add("trouble", "the store serves %s again after %.1f s", a.name, shutFor.Seconds())
	}
	for _, x := range late.all() {
		if x.at.After(counted) {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %.1f s after its leaving was acknowledged", x.attempt, late.id,
				x.at.Sub(goneAt).Seconds()))
		}
	}
	return broken
}
