package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"rhubarbspread/io/fake"
)

const maxFaultBody = 1 << 16 // bytes

// endingKind maps each fault that can be injected for a limited time to the kind that ends it.
var endingKind = map[string]string{
	fake.Crash: fake.Restore, fake.Slow: fake.Restore, fake.LoseAnswer: fake.Restore,
	fake.CrossAnswers: fake.Restore, fake.Leave: fake.Restore, fake.Fail: fake.Restore, fake.Cut: fake.Heal,
	fake.Pause: fake.Resume,
	fake.Down:  fake.Up, fake.LoseReplies: fake.Up, fake.LoseCalls: fake.Up, fake.LateWrites: fake.Up,
}

// tableKinds maps the kinds that imply the table as their target to the table's own faults.
var tableKinds = map[string]string{"table-down": fake.Down, "table-slow": fake.Slow, "table-up": fake.Up}

// faultHandler serves the fault-injection API: it injects and lists faults, and returns the oracle's counts.
func (b *testbed) faultHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", b.injectFault)
	mux.HandleFunc("GET /faults", b.listFaults)
	mux.HandleFunc("GET /oracle", b.serveOracle)
	return mux
}

// injectFault sets a fault at its target; with for-ms the fault ends by itself after that time.
func (b *testbed) injectFault(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Kind   string `json:"kind"`
		Target string `json:"target"`
		ForMS  int    `json:"for-ms"`
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxFaultBody))
	if err == nil {
		err = json.Unmarshal(raw, &q)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if kind, ok := tableKinds[q.Kind]; ok {
		q.Kind, q.Target = kind, "table"
	}
	t, ok := b.targets[q.Target]
	if !ok {
		http.Error(w, fmt.Sprintf("no target %q; GET /faults lists them", q.Target), http.StatusNotFound)
		return
	}
	if !t.Set(q.Kind) {
		http.Error(w, fmt.Sprintf("%s knows no fault %q", q.Target, q.Kind), http.StatusBadRequest)
		return
	}
	b.recordFault(q.Kind, q.Target)
	if end := endingKind[q.Kind]; q.ForMS > 0 && end != "" {
		time.AfterFunc(time.Duration(q.ForMS)*time.Millisecond, func() { t.Set(end) })
	}
	w.WriteHeader(http.StatusNoContent)
}

// injectedFault is one entry of the history of injected faults.
type injectedFault struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	AtMS   int64  `json:"at-ms"` // Unix time
}

// maxHistory bounds the history; later faults are not recorded.
const maxHistory = 1000

func (b *testbed) recordFault(kind, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.history) < maxHistory {
		b.history = append(b.history, injectedFault{Kind: kind, Target: target, AtMS: time.Now().UnixMilli()})
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (b *testbed) listFaults(w http.ResponseWriter, _ *http.Request) {
	type targetFaults struct {
		Target string   `json:"target"`
		Faults []string `json:"faults"`
	}
	var targets []targetFaults
	for _, name := range slices.Sorted(maps.Keys(b.targets)) {
		faults := b.targets[name].Faults()
		if faults == nil {
			faults = []string{}
		}
		targets = append(targets, targetFaults{Target: name, Faults: faults})
	}
	b.mu.Lock()
	history := slices.Clone(b.history)
	b.mu.Unlock()
	writeJSON(w, struct {
		Targets []targetFaults  `json:"targets"`
		History []injectedFault `json:"history"`
	}{targets, history})
}

// serveOracle returns the executions of each idempotency key at the fake services, the faults that the layer engines
// found in their activations, and the capacity of the whole-model engines.
func (b *testbed) serveOracle(w http.ResponseWriter, _ *http.Request) {
	faults := 0
	for _, e := range b.layers {
		faults += e.LayerFaults()
	}
	writeJSON(w, struct {
		Executions  map[string]int `json:"executions"`
		LayerFaults int            `json:"layer-faults"`
		Capacity    float64        `json:"tokens-per-second"`
	}{b.oracle.Counts(), faults, b.capacity()})
}
