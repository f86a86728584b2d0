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

const faultBody = 1 << 16

// ends tells which order ends a fault that was ordered for a time.
var ends = map[string]string{
	fake.Crash: fake.Restore, fake.Slow: fake.Restore, fake.LoseAnswer: fake.Restore,
	fake.CrossAnswers: fake.Restore, fake.Leave: fake.Restore, fake.Fail: fake.Restore, fake.Cut: fake.Heal,
	fake.Down: fake.Up, fake.LoseReplies: fake.Up, fake.LoseCalls: fake.Up, fake.LateWrites: fake.Up,
}

// tableKinds are orders that name the table in themselves.
var tableKinds = map[string]string{"table-down": fake.Down, "table-slow": fake.Slow, "table-up": fake.Up}

// faultDoor lets people and tests bring faults about, and look at what the oracle counted.
func (w *world) faultDoor() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", w.order)
	mux.HandleFunc("GET /faults", w.listFaults)
	mux.HandleFunc("GET /oracle", w.tellOracle)
	return mux
}

func (w *world) order(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Kind   string `json:"kind"`
		Target string `json:"target"`
		ForMS  int    `json:"for-ms"`
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, faultBody))
	if err == nil {
		err = json.Unmarshal(raw, &q)
	}
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if kind, ok := tableKinds[q.Kind]; ok {
		q.Kind, q.Target = kind, "table"
	}
	t, ok := w.targets[q.Target]
	if !ok {
		http.Error(rw, fmt.Sprintf("no target %q; GET /faults lists them", q.Target), http.StatusNotFound)
		return
	}
	if !t.Set(q.Kind) {
		http.Error(rw, fmt.Sprintf("%s knows no fault %q", q.Target, q.Kind), http.StatusBadRequest)
		return
	}
	w.remember(q.Kind, q.Target)
	if end := ends[q.Kind]; q.ForMS > 0 && end != "" {
		time.AfterFunc(time.Duration(q.ForMS)*time.Millisecond, func() { t.Set(end) })
	}
	rw.WriteHeader(http.StatusNoContent)
}

// ordered is a fault that somebody ordered.
type ordered struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	AtMS   int64  `json:"at-ms"` // since 1970
}

// mostHistory bounds the remembered orders.
const mostHistory = 1000

func (w *world) remember(kind, target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.history) < mostHistory {
		w.history = append(w.history, ordered{Kind: kind, Target: target, AtMS: time.Now().UnixMilli()})
	}
}

func answer(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(v)
}

func (w *world) listFaults(rw http.ResponseWriter, _ *http.Request) {
	type line struct {
		Target string   `json:"target"`
		Faults []string `json:"faults"`
	}
	var lines []line
	for _, name := range slices.Sorted(maps.Keys(w.targets)) {
		faults := w.targets[name].Faults()
		if faults == nil {
			faults = []string{}
		}
		lines = append(lines, line{Target: name, Faults: faults})
	}
	w.mu.Lock()
	history := slices.Clone(w.history)
	w.mu.Unlock()
	answer(rw, struct {
		Targets []line    `json:"targets"`
		History []ordered `json:"history"`
	}{lines, history})
}

func (w *world) tellOracle(rw http.ResponseWriter, _ *http.Request) {
	faults := 0
	for _, e := range w.layers {
		faults += e.LayerFaults()
	}
	answer(rw, struct {
		Executions  map[string]int `json:"executions"`
		LayerFaults int            `json:"layer-faults"`
		Capacity    float64        `json:"tokens-per-second"`
	}{w.oracle.Counts(), faults, w.capacity()})
}
