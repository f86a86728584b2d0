package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"rhubarbspread/core/store"
)

const maxBodyBytes = 16 << 20

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeRefusal answers that the request did not run.
func writeRefusal(w http.ResponseWriter) {
	w.Header().Set("Rhubarbspread-Run-State", "not-run")
	writeJSON(w, http.StatusServiceUnavailable, struct {
		RunState string `json:"run-state"`
		Detail   string `json:"detail"`
	}{"not-run", "refused"})
}

// abortConnection closes the connection without an answer.
func abortConnection() { panic(http.ErrAbortHandler) }

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(raw, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.serveGenerate)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Load()) })
	mux.HandleFunc("GET /v1/attempts/{id...}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, e.Attempt(r.PathValue("id")))
	})
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	return mux
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var q GenerateRequest
	if !readJSON(w, r, &q) {
		return
	}
	if e.recordArrival() {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	started := false
	err := e.Generate(r.Context(), q, func(m Message) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
		}
		raw, err := json.Marshal(m)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", raw); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	})
	switch {
	case errors.Is(err, ErrRefused):
		writeRefusal(w)
	case err != nil:
		abortConnection()
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Number uint64   `json:"number"`
		Models []string `json:"models"`
	}
	if !readJSON(w, r, &q) {
		return
	}
	if err := e.Order(q.Number, q.Models); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Handler returns the service's HTTP API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Load()) })
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if s.state.has(Fail) {
		w.Header().Set("Rhubarbspread-Attempt", r.Header.Get("Rhubarbspread-Attempt"))
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		abortConnection()
	}
	a, err := s.Handle(r.Context(), r.Header.Get("Rhubarbspread-Attempt"), r.Header.Get("Idempotency-Key"), r.URL.Path)
	switch {
	case errors.Is(err, ErrRefused):
		w.Header().Set("Rhubarbspread-Attempt", r.Header.Get("Rhubarbspread-Attempt"))
		writeRefusal(w)
		return
	case err != nil:
		abortConnection()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Rhubarbspread-Attempt", a.attempt)
	_, _ = w.Write(a.body)
}

type wireRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Handler returns the HTTP API of the table and the objects.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/row", t.serveRow)
	mux.HandleFunc("GET /v1/rows", t.serveRows)
	mux.HandleFunc("POST /v1/commit", t.serveCommit)
	mux.HandleFunc("PUT /v1/objects/{name}", t.servePut)
	mux.HandleFunc("GET /v1/objects/{name}", t.serveRead)
	return mux
}

// writeError answers a failed call, or aborts the connection if the answer is to be lost. A table that is down refuses
// before it reads the call; over HTTP a client can't tell this from a lost answer.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case store.Is(err, store.Conflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case store.Is(err, store.Missing):
		http.Error(w, err.Error(), http.StatusNotFound)
	case store.Is(err, store.NotSent):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		abortConnection()
	}
}

func (t *Table) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := t.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, wireRow(row))
}

func (t *Table) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "limit", http.StatusBadRequest)
		return
	}
	rows, err := t.Scan(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	out := struct {
		Rows []wireRow `json:"rows"`
	}{make([]wireRow, len(rows))}
	for i, row := range rows {
		out.Rows[i] = wireRow(row)
	}
	writeJSON(w, http.StatusOK, out)
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Changes []wireRow `json:"changes"`
	}
	if !readJSON(w, r, &q) {
		return
	}
	changes := make([]store.Change, len(q.Changes))
	for i, c := range q.Changes {
		changes[i] = store.Change{Key: c.Key, Value: c.Value, Version: c.Version}
	}
	if err := t.Commit(r.Context(), changes...); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Table) servePut(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Data []byte `json:"data"`
	}
	if !readJSON(w, r, &q) {
		return
	}
	if err := t.Put(r.Context(), r.PathValue("name"), q.Data); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Table) serveRead(w http.ResponseWriter, r *http.Request) {
	data, err := t.Read(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Data []byte `json:"data"`
	}{data})
}

// Handler returns the HTTP API of the VM list.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, r *http.Request) {
		vms, err := l.VMs(r.Context())
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, listBody(vms))
	})
	return mux
}

type wireVM struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	Kind       string `json:"kind"`
	Serves     string `json:"serves"`
	FirstLayer int    `json:"first-layer"`
	LastLayer  int    `json:"last-layer"`
	Leaving    bool   `json:"leaving"`
}

func listBody(vms []store.VM) any {
	out := struct {
		VMs []wireVM `json:"machines"`
	}{make([]wireVM, len(vms))}
	for i, vm := range vms {
		out.VMs[i] = wireVM(vm)
	}
	return out
}
