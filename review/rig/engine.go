//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// engine is a stand-in for a replica that holds a range of a model's layers. The first replica of a path writes the stream; the others
// are only named in it.
type engine struct {
	id, service, zone, card, address string
	rig                              *rig
	step                             int // by which the IDs of its events increase: how many tokens an event holds
	mu                               sync.Mutex
	from, to, seq                    int
}

// events and pause are the length of each stream and the time between its events.
const (
	events = 20
	pause  = 20 * time.Millisecond
)

func (x *engine) entry() map[string]any {
	x.mu.Lock()
	defer x.mu.Unlock()
	return map[string]any{"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 192, "state": "ready",
		"cold-left-ms": 0, "phase": "combined", "models": []map[string]any{{"name": "daka510000", "version": 1, "adapters": []string{}}},
		"seq": x.seq, "born": x.rig.bornMS, "route-type": x.card, "layers": map[string]any{"from": x.from, "to": x.to, "version": 1}}
}

// engine serves and registers a replica.
func (r *rig) engine(id, service, zone string, from, to, step int) *engine {
	l, err := net.Listen("tcp", r.address())
	if err != nil {
		r.cannot(err)
	}
	x := &engine{id: id, service: service, zone: zone, card: "a100", address: l.Addr().String(), rig: r, step: step, from: from, to: to, seq: 1}
	server := &http.Server{Handler: x, IdleTimeout: 15 * time.Second}
	go func() { _ = server.Serve(l) }()
	r.store.put("servers", id, x.entry())
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.store.put("servers", id, x.entry())
		}
	}()
	return x
}

func (x *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Rhubarbspread-Replica-Id", x.id)
	if want := r.Header.Get("X-Rhubarbspread-Target-Instance"); want != "" && want != x.id {
		h.Set("X-Rhubarbspread-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
	case "/api/report":
		x.mu.Lock()
		report := map[string]any{"phase": "combined", "models": []map[string]any{{"name": "daka510000", "version": 1, "adapters": []string{}}},
			"busy": false, "seq": x.seq, "queued": 0, "active": 0, "kv-used": 0, "kv-total": 4000000, "handles": 0, "pace": 1.0,
			"route-type": x.card, "born": x.rig.bornMS, "layers": map[string]any{"from": x.from, "to": x.to, "version": 1}, "stalled": []string{}}
		x.mu.Unlock()
		h.Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
	case "/api/order":
		x.order(w, r)
	default:
		x.stream(w, r)
	}
}

// order carries out a place order at once, and knows no request to give another path.
func (x *engine) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Operation    string
		From, To     int
		Precondition *int
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Operation != "place" && in.Operation != "repath" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if in.Operation == "repath" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case in.Precondition != nil && *in.Precondition != x.seq:
		w.WriteHeader(http.StatusConflict)
	case in.From == x.from && in.To == x.to:
	default:
		x.from, x.to, x.seq = in.From, in.To, x.seq+1
		w.WriteHeader(http.StatusAccepted)
	}
	x.rig.note("order", "replica", x.id, "from", in.From, "to", in.To)
}

// stream writes a stream, from the event after Last-Event-Id on.
func (x *engine) stream(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Rhubarbspread-Attempt-Id")
	h := w.Header()
	h.Set("X-Rhubarbspread-Attempt-Id", attempt)
	h.Set("X-Rhubarbspread-Server-Seal", "seal-"+attempt)
	h.Set("X-Rhubarbspread-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	x.rig.note("run", "replica", x.id, "service", x.service, "attempt", attempt, "after", last, "path", r.Header.Get("X-Rhubarbspread-Hop-Count"))
	rc := http.NewResponseController(w)
	for i := 1; i <= events; i++ {
		id := i * x.step
		if id <= last {
			continue
		}
		if r.Context().Err() != nil {
			x.rig.note("caller-left", "replica", x.id, "attempt", attempt, "before-event", id)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", id, i, attempt); err != nil {
			return
		}
		_ = rc.Flush()
		time.Sleep(pause)
	}
	x.rig.note("complete", "replica", x.id, "attempt", attempt)
}
