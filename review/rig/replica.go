//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for a replica of a plain service.
type replica struct {
	id, service, zone, address string
	rig                        *rig
	work                       time.Duration
	runs                       atomic.Int64
	mu                         sync.Mutex
	ran                        map[string]int // by attempt ID
	fail                       atomic.Pointer[failure]
}

func (x *replica) entry(state string) map[string]any {
	return map[string]any{"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 6, "state": state,
		"cold-left-ms": 0, "seq": 1, "born": x.rig.bornMS}
}

// start serves the replica and registers it.
func (r *rig) replica(id, service, zone string, work time.Duration) *replica {
	l, err := net.Listen("tcp", r.address())
	if err != nil {
		r.cannot(err)
	}
	x := &replica{id: id, service: service, zone: zone, address: l.Addr().String(), rig: r, work: work, ran: make(map[string]int)}
	server := &http.Server{Handler: x, IdleTimeout: 15 * time.Second}
	go func() { _ = server.Serve(l) }()
	r.store.put("servers", id, x.entry("ready"))
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.store.put("servers", id, x.entry("ready"))
		}
	}()
	return x
}

func (x *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Rhubarbspread-Replica-Id", x.id)
	if r.URL.Path == "/health" {
		return
	}
	body, err := io.ReadAll(r.Body)
	attempt := r.Header.Get("X-Rhubarbspread-Attempt-Id")
	h.Set("X-Rhubarbspread-Attempt-Id", attempt)
	if want := r.Header.Get("X-Rhubarbspread-Target-Instance"); want != "" && want != x.id {
		h.Set("X-Rhubarbspread-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err != nil {
		return
	}
	x.runs.Add(1)
	x.mu.Lock()
	x.ran[attempt]++
	x.mu.Unlock()
	x.rig.note("run", "replica", x.id, "service", x.service, "attempt", attempt, "tenant", r.Header.Get("X-Rhubarbspread-Tenant"), "bytes", len(body))
	time.Sleep(x.work)
	h.Set("X-Rhubarbspread-Server-Seal", "seal-"+attempt)
	if f := x.fail.Load(); f != nil && f.seen.Add(1)%f.oneIn == 0 {
		x.rig.note("fails", "replica", x.id, "attempt", attempt, "status", f.status)
		w.WriteHeader(f.status)
		_, _ = fmt.Fprintf(w, "%s failed after it ran %s\n", x.id, attempt)
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %s\n", x.id, attempt)
}

// failure is what a replica that fails a part of its requests answers after it has run them.
type failure struct {
	status int
	oneIn  int64 // every oneIn-th request fails
	seen   atomic.Int64
}

// ranAttempt returns how often the replica ran an attempt.
func (x *replica) ranAttempt(attempt string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ran[attempt]
}
