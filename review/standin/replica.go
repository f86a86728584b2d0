//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of a replica of a plain service. It runs each request that names it.
type replica struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	log                        *record
	server                     *http.Server

	crashes string         // path of requests that crash it, or ""
	crashed func(*replica) // called when one has

	layers object // of a model, which it holds and reports; nil for a plain service

	mu   sync.Mutex
	runs []run
}

// run is one request that a replica began to work on.
type run struct {
	replica, attempt, tenant, path, key string
	at                                  time.Time
}

var quiet = log.New(io.Discard, "", 0)

// startReplica starts a replica at a free port.
func startReplica(id, service, zone, ip string, out *record) *replica {
	l, err := net.Listen("tcp", ip+":0")
	fatal(err)
	p := &replica{id: id, service: service, zone: zone, address: l.Addr().String(), slots: 6, work: 20 * time.Millisecond, log: out}
	p.server = &http.Server{Handler: p, ErrorLog: quiet}
	go p.server.Serve(l)
	return p
}

// entry returns what the replica writes to servers/ID.
func (p *replica) entry(born int64) map[string]any {
	return map[string]any{"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots,
		"state": "ready", "cold-left-ms": 0, "seq": 1, "born": born}
}

// stop ends the replica and its connections.
func (p *replica) stop() { _ = p.server.Close() }

// ServeHTTP runs a request, unless it is for another replica.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Rhubarbspread-Replica-Id", p.id)
	attempt := r.Header.Get("X-Rhubarbspread-Attempt-Id")
	h.Set("X-Rhubarbspread-Attempt-Id", attempt)
	if r.URL.Path == "/health" {
		return
	}
	if p.layers != nil && strings.HasPrefix(r.URL.Path, "/api/") {
		p.serveModel(w, r)
		return
	}
	if target := r.Header.Get("X-Rhubarbspread-Target-Instance"); target != "" && target != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		h.Set("X-Rhubarbspread-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x := run{p.id, attempt, r.Header.Get("X-Rhubarbspread-Tenant"), r.URL.Path, r.Header.Get("X-Api-Key"), time.Now()}
	p.mu.Lock()
	p.runs = append(p.runs, x)
	p.mu.Unlock()
	p.log.add("run", "replica %s runs %s %s %s, tenant %q", p.id, attempt, r.Method, r.URL.Path, x.tenant)
	if p.crashes != "" && r.URL.Path == p.crashes {
		p.log.add("crash", "replica %s crashes", p.id)
		go p.crashed(p)
		p.stop()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(p.work)
	h.Set("X-Rhubarbspread-Server-Seal", "seal."+p.id+"."+attempt)
	h.Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"replica":%q,"attempt":%q,"read":%d}`, p.id, attempt, len(body))
}

// serveModel answers a call for the replica's report, and takes no orders: its state already holds.
func (p *replica) serveModel(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/report" {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(object{"phase": "combined", "models": []object{{"name": "m1", "version": 1, "adapters": []string{}}},
		"busy": false, "seq": 1, "queued": 0, "active": 0, "kv-used": 0, "kv-total": 100000, "handles": 0, "layers": p.layers, "pace": 1.0})
}

// all returns the runs so far.
func (p *replica) all() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]run{}, p.runs...)
}

// sortRuns sorts runs by their time.
func sortRuns(list []run) {
	slices.SortFunc(list, func(a, b run) int { return a.at.Compare(b.at) })
}
