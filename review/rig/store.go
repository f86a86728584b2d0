//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store as it is spoken on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's store in the form "table".
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[[3]string]row // also removed ones, for the feed
	changed chan struct{}     // closed at each change
	silent  map[string]bool   // tables of the partition that is down: calls for them get no response
	born    time.Time
	calls   int
	unheard int // calls that got no response
	dead    chan struct{}
}

func newStore() *store {
	return &store{rows: make(map[[3]string]row), changed: make(chan struct{}), silent: make(map[string]bool), born: time.Now(),
		dead: make(chan struct{})}
}

// serve serves the store on an address until the process ends.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	_ = http.Serve(l, mux)
}

// isSilent reports whether a call for a table gets no response, and counts the call.
func (s *store) isSilent(table string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.silent[table] {
		s.unheard++
		return true
	}
	return false
}

// hang leaves a call without a response for good; the connection stays open and delivers nothing further.
func (s *store) hang(r *http.Request) {
	select {
	case <-r.Context().Done(): // the node gave it up
	case <-s.dead:
	}
	panic(http.ErrAbortHandler)
}

// setSilent begins or ends the outage of a table's partition. Calls that wait there at its begin get no response.
func (s *store) setSilent(table string, on bool) {
	s.mu.Lock()
	s.silent[table] = on
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

// put writes a row as the operator and the replicas do.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: raw})
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Removed: true})
}

// write applies a row under the next version; s.mu is held.
func (s *store) write(r row) {
	s.ver++
	r.Ver = s.ver
	s.rows[[3]string{r.Table, r.Part, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, ver uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": false, "ver": ver, "now-ms": time.Since(s.born).Milliseconds()})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	var in struct{ Precondition, Puts, Remove []row }
	if err != nil || json.Unmarshal(raw, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, list := range [][]row{in.Precondition, in.Puts, in.Remove} {
		for _, x := range list {
			if s.isSilent(x.Table) {
				s.hang(r)
			}
			if x.Table == "op" || x.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	var current []row
	for _, x := range in.Precondition {
		have := s.rows[[3]string{x.Table, x.Part, x.Key}]
		if have.Removed {
			have = row{}
		}
		if have.Ver != x.Ver {
			current = append(current, have)
		}
	}
	if current != nil {
		ver := s.ver
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, current, ver)
		return
	}
	for _, x := range in.Puts {
		s.write(row{Table: x.Table, Part: x.Part, Key: x.Key, Value: x.Value})
	}
	for _, x := range in.Remove {
		s.write(row{Table: x.Table, Part: x.Part, Key: x.Key, Removed: true})
	}
	ver := s.ver
	s.mu.Unlock()
	s.answer(w, http.StatusOK, nil, ver)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if s.isSilent(q.Get("table")) {
		s.hang(r)
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	var out []row
	for _, x := range s.rows {
		if x.Removed || x.Table != q.Get("table") || x.Part != q.Get("part") || x.Key < q.Get("from") ||
			q.Get("to") != "" && x.Key >= q.Get("to") {
			continue
		}
		out = append(out, x)
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	if limit, err := strconv.Atoi(q.Get("limit")); err == nil && limit < len(out) {
		out = out[:limit]
	}
	s.answer(w, http.StatusOK, out, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table := q.Get("table")
	since, _ := strconv.ParseUint(q.Get("since-rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	if s.isSilent(table) {
		s.hang(r)
	}
	time.Sleep(4 * time.Millisecond)
	for isOver := false; ; {
		s.mu.Lock()
		if s.silent[table] {
			s.unheard++
			s.mu.Unlock()
			s.hang(r)
		}
		var out []row
		for _, x := range s.rows {
			if x.Table == table && x.Ver > since {
				out = append(out, x)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(out) > 0 || isOver {
			slices.SortFunc(out, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
			s.answer(w, http.StatusOK, out, ver)
			return
		}
		select {
		case <-changed:
		case <-end:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}
