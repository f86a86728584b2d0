//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() {
	cases["recover"], machinesOf["recover"] = playRecover, 3
}

// playRecover ends a day with a kill of all processes. While the machines recover, all replicas of the service crash together
// and are back some seconds later. The clients read one status.
func playRecover(s *stage) (broken []string) {
	const (
		key       = "k1aaaaaaaaaaaaaaaaaa"
		down      = 800 * time.Millisecond
		crashAt   = 4 * time.Second         // after the kill
		crashed   = 4500 * time.Millisecond // until the replicas are back
		recovery  = 12 * time.Second        // recovery-s
		perSecond = 150
		share     = 0.25 // of the requests that must be served
	)
	for i := range 6 { // a second service, of which nothing is asked
		s.addReplica(fmt.Sprintf("i-%04x", 0xd1+i), "drafting", s.zones[i%3])
	}
	s.startSmall(configOf(1, []object{{"name": "dealer-one", "api-keys": []string{key}, "priority": 1}}))
	ledgers := s.replicas[6:9:9]
	for _, p := range ledgers {
		p.work = 60 * time.Millisecond
	}
	var mu sync.Mutex
	var results []result
	stop := make(chan struct{})
	var calls sync.WaitGroup
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / perSecond):
			}
			calls.Add(1)
			go func() {
				defer calls.Done()
				r := s.call(s.machines[i%len(s.machines)], http.MethodGet, host, status, key, 2500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			}()
		}
	}()
	time.Sleep(6 * time.Second)
	faultAt := time.Now()
	only := os.Getenv("ONLY") // "kill" or "crash" plays one of the two disruptions alone
	if s.trouble && only != "crash" {
		s.log.add("trouble", "all processes are killed")
		for _, m := range s.machines {
			m.kill()
		}
		time.Sleep(down)
		for _, m := range s.machines {
			m.start()
		}
		s.log.add("started", "all processes")
	}
	backAt := time.Now()
	if s.trouble && only != "kill" {
		time.Sleep(time.Until(faultAt.Add(crashAt)))
		old := ledgers
		for _, p := range old {
			s.log.add("trouble", "replica %s crashes", p.id)
			p.stop()
		}
		time.AfterFunc(3700*time.Millisecond, func() { // three heartbeat intervals of silence
			for _, p := range old {
				s.store.remove("servers", p.id)
			}
		})
		time.Sleep(crashed)
		for i, p := range old {
			s.addReplica(fmt.Sprintf("i-%04x", 0xc1+i), service, p.zone).work = 60 * time.Millisecond
		}
	}
	time.Sleep(time.Until(backAt.Add(recovery + 8*time.Second)))
	close(stop)
	calls.Wait()
	count := func(from, to time.Time) (sent, served int) {
		for _, r := range results {
			if r.sentAt.Before(from) || !r.sentAt.Before(to) {
				continue
			}
			sent++
			if r.status == http.StatusOK && r.sealed {
				served++
			}
		}
		return sent, served
	}
	sentBefore, before := count(faultAt.Add(-4*time.Second), faultAt)
	sent, served := count(backAt.Add(recovery), backAt.Add(recovery+7*time.Second))
	s.log.add("total", "before the fault %d of %d were served; later than recovery-s after the machines were back %d of %d", before, sentBefore,
		served, sent)
	fmt.Printf("served before %d of %d, after %d of %d\n", before, sentBefore, served, sent)
	if only == "crash" {
		return nil // no final fault, so the rule does not apply
	}
	if float64(before) >= share*float64(sentBefore) && float64(served) < share*float64(sent) {
		broken = append(broken, fmt.Sprintf("RECOVER: %d of %d requests sent later than recovery-s after the machines were back were served", served, sent))
	}
	return broken
}
