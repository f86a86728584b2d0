//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store, as PROTOCOL.md has it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// answer is the store's answer to a call about rows.
type answer struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Ver       uint64 `json:"ver"`
	NowMS     int64  `json:"now-ms"`
}

// platformStore is a stand-in of the platform's store with the calls that the system makes. It is linearizable and loses
// nothing. Each machine reaches it at an address of its own, so that it can turn a single machine away.
type platformStore struct {
	started time.Time
	mu      sync.Mutex
	rows    map[string]row
	history []row
	ver     uint64
	changed chan struct{} // closed at the next change
	doors   map[string]*door
}

// door is the address at which one machine reaches the store.
type door struct {
	address string
	mu      sync.Mutex
	shut    bool // answers 503 to each call
}

func newStore() *platformStore {
	return &platformStore{started: time.Now(), rows: make(map[string]row), changed: make(chan struct{}), doors: make(map[string]*door)}
}

// open opens the address of one machine.
func (s *platformStore) open(machine, ip string) *door {
	l, err := net.Listen("tcp", ip+":0")
	fatal(err)
	d := &door{address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed(d))
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.isShut() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go server.Serve(l)
	s.doors[machine] = d
	return d
}

func (d *door) isShut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shut
}

// setShut sets whether the store turns the machine away. Calls that wait get 503 too.
func (s *platformStore) setShut(machine string, shut bool) {
	d := s.doors[machine]
	d.mu.Lock()
	d.shut = shut
	d.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// wake wakes the calls that wait for a change; the caller holds the lock.
func (s *platformStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a replica does, and returns its version. The return is the acknowledgement.
func (s *platformStore) put(table, key string, value any) uint64 {
	raw, err := json.Marshal(value)
	fatal(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(row{Table: table, Key: key, Value: raw})
}

// remove removes a row and returns the version of the removal.
func (s *platformStore) remove(table, key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(row{Table: table, Key: key, Removed: true})
}

// write applies a change; the caller holds the lock.
func (s *platformStore) write(r row) uint64 {
	s.ver++
	r.Ver = s.ver
	id := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Removed {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	s.wake()
	return s.ver
}

func (s *platformStore) reply(w http.ResponseWriter, status int, a answer) {
	a.NowMS = time.Since(s.started).Milliseconds()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *platformStore) transact(w http.ResponseWriter, r *http.Request) {
	var body struct{ Precondition, Puts, Remove []row }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond) // tx-ms
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range append(append([]row{}, body.Puts...), body.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	failed := false
	for _, p := range body.Precondition {
		have := s.rows[p.Table+"\x00"+p.Part+"\x00"+p.Key]
		failed = failed || have.Ver != p.Ver
		if have.Ver != 0 {
			current = append(current, have)
		}
	}
	if failed {
		s.reply(w, http.StatusPreconditionFailed, answer{Rows: current, Ver: s.ver})
		return
	}
	for _, p := range body.Puts {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, p := range body.Remove {
		s.write(row{Table: p.Table, Part: p.Part, Key: p.Key, Removed: true})
	}
	s.reply(w, http.StatusOK, answer{Ver: s.ver})
}

func (s *platformStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{Ver: s.ver}
	for _, have := range s.rows {
		if have.Table == q.Get("table") && have.Part == q.Get("part") && have.Key >= q.Get("from") &&
			(q.Get("to") == "" || have.Key < q.Get("to")) {
			a.Rows = append(a.Rows, have)
		}
	}
	slices.SortFunc(a.Rows, func(x, y row) int { return strings.Compare(x.Key, y.Key) })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	if len(a.Rows) > limit {
		a.Rows, a.Truncated = a.Rows[:limit], true
	}
	s.reply(w, http.StatusOK, a)
}

func (s *platformStore) feed(d *door) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		since, _ := strconv.ParseUint(q.Get("since-rev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		end := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			a := answer{Ver: s.ver}
			latest := make(map[string]int)
			for _, h := range s.history {
				if h.Table != q.Get("table") || h.Ver <= since {
					continue
				}
				if i, ok := latest[h.Part+"\x00"+h.Key]; ok { // only a row's latest change
					a.Rows[i].Ver = 0
				}
				latest[h.Part+"\x00"+h.Key] = len(a.Rows)
				a.Rows = append(a.Rows, h)
			}
			a.Rows = slices.DeleteFunc(a.Rows, func(h row) bool { return h.Ver == 0 })
			changed := s.changed
			s.mu.Unlock()
			if d.isShut() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if len(a.Rows) > 0 {
				s.reply(w, http.StatusOK, a)
				return
			}
			select {
			case <-changed:
			case <-end:
				s.reply(w, http.StatusOK, a)
				return
			case <-r.Context().Done():
				return
			}
		}
	}
}
