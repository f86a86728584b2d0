package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/proxy"
	"rhubarbspread/core/rules"
	"rhubarbspread/io/hop"
	"rhubarbspread/io/mesh"

	"github.com/go-logr/logr/funcr"
)

// newExplainNode returns a node with a plain service and a model, and a function that returns what it has logged.
func newExplainNode(secret string) (*Node, func() string) {
	var mu sync.Mutex // many explanations at once write to the log
	var log strings.Builder
	n := New(Config{Node: "n1", DataCentre: "a", HeartbeatInterval: time.Second, ApplyBound: time.Hour}, Platform{
		NewEngines: func(*hop.Pool) Engines { return nil },
	}, funcr.New(func(_, line string) {
		mu.Lock()
		defer mu.Unlock()
		log.WriteString(line + "\n")
	}, funcr.Options{}), WithExplainKey(secret))
	route := func(name, service string) *rules.Route {
		return &rules.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Split: []rules.Share{{Service: service, Weight: 1}}, MaxAttempts: 2}
	}
	services := []*rules.Service{{Name: "plain"}, {Name: "empty"}, {Name: "other"}}
	split := route("split", "plain")
	split.Split = append(split.Split, rules.Share{Service: "other", Weight: 2})
	access := rules.Keyed{"caller-secret": {Name: "team-1", Priority: 3}}
	n.view.Store(&View{
		Rules: rules.New(7, []*rules.Route{route("plain", "plain"), route("empty", "empty"), split}, services, access, rules.Limits{}),
		List:  fleet.NewList(1, []*fleet.Upstream{{ID: "u1", Service: "plain", Slots: 2, DataCentre: "a"}, {ID: "u2", Service: "other", Slots: 2}}),
		Nodes: map[string]mesh.Node{},
	})
	return n, log.String
}

// askExplain sends a query to a node.
func askExplain(n *Node, method, authorization, body string) *httptest.ResponseRecorder {
	return askNode(n, method, ExplainPath, authorization, "", body)
}

// askNode sends a request to a node's metrics address.
func askNode(n *Node, method, path, authorization, contentType, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", contentType)
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	n.metricsHandler().ServeHTTP(w, r)
	return w
}

// TestExplanationsAreGuarded guards against answers to those without the secret, and against queries that take much of a node.
func TestExplanationsAreGuarded(t *testing.T) {
	const query = `{"host":"h","path":"/plain/","key":"caller-secret"}`
	for _, tc := range []struct {
		name, secret, method, authorization, body string
		isBusy                                    bool
		want                                      int
	}{
		{"off", "", http.MethodPost, "Bearer ", query, false, http.StatusNotFound},
		{"no secret", "s1", http.MethodPost, "", query, false, http.StatusUnauthorized},
		{"an empty secret", "s1", http.MethodPost, "Bearer ", query, false, http.StatusUnauthorized},
		{"a wrong secret", "s1", http.MethodPost, "Bearer s2", query, false, http.StatusUnauthorized},
		{"the secret without its scheme", "s1", http.MethodPost, "s1", query, false, http.StatusUnauthorized},
		{"another method", "s1", http.MethodGet, "Bearer s1", query, false, http.StatusMethodNotAllowed},
		{"too large", "s1", http.MethodPost, "Bearer s1", `{"host":"` + strings.Repeat("h", maxExplainBytes) + `"}`, false,
			http.StatusRequestEntityTooLarge},
		{"not JSON", "s1", http.MethodPost, "Bearer s1", "caller-secret", false, http.StatusBadRequest},
		{"a second at the same time", "s1", http.MethodPost, "Bearer s1", query, true, http.StatusTooManyRequests},
		{"in order", "s1", http.MethodPost, "Bearer s1", query, false, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n, log := newExplainNode(tc.secret)
			n.explaining.Store(tc.isBusy)
			w := askExplain(n, tc.method, tc.authorization, tc.body)
			if w.Code != tc.want {
				t.Errorf("%d %s, want %d", w.Code, w.Body, tc.want)
			}
			if strings.Contains(w.Body.String()+log(), "caller-secret") {
				t.Errorf("the caller's key is in the answer or the log: %s %s", w.Body, log())
			}
			if n.explaining.Load() != tc.isBusy {
				t.Error("the next query would be refused, or two be answered at once")
			}
		})
	}
}

// TestExplanationsOfTheFront guards against explanations that name another refusal or service than callers would get.
func TestExplanationsOfTheFront(t *testing.T) {
	for _, tc := range []struct {
		name, query              string
		decision, service, cause string
	}{
		{"sent", `{"host":"H:80","path":"/plain/x?y","key":"caller-secret"}`, DecisionSent, "plain", ""},
		{"the largest share", `{"host":"h","path":"/split/","key":"caller-secret"}`, DecisionSent, "other", ""},
		{"the service that is asked for", `{"host":"h","path":"/split/","key":"caller-secret","model":"plain"}`, DecisionSent, "plain", ""},
		{"a service that the route lacks", `{"host":"h","path":"/split/","key":"caller-secret","model":"empty"}`, DecisionRefused, "", "not configured"},
		{"no upstream", `{"host":"h","path":"/empty/","key":"caller-secret"}`, DecisionWaits, "empty", "no upstream has room"},
		{"no route", `{"host":"h","path":"/none/","key":"caller-secret"}`, DecisionRefused, "", "no route"},
		{"an unknown key", `{"host":"h","path":"/plain/","key":"other"}`, DecisionRefused, "", "the key is unknown"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n, _ := newExplainNode("s1")
			var x RouteExplanation
			if err := json.Unmarshal(askExplain(n, http.MethodPost, "Bearer s1", tc.query).Body.Bytes(), &x); err != nil {
				t.Fatal(err)
			}
			service, cause := "", ""
			if len(x.Services) > 0 {
				service = x.Services[0]
			}
			if x.Refusal != nil {
				cause = x.Refusal.Cause
			}
			if x.Decision != tc.decision || service != tc.service || !strings.Contains(cause, tc.cause) || tc.cause == "" && cause != "" {
				t.Errorf("%+v, refusal %+v; want %s by %q, %q", x, x.Refusal, tc.decision, tc.service, tc.cause)
			}
			if cause == "" && (x.Team != "team-1" || x.Priority != 3) {
				t.Errorf("team %q with priority %d, want team-1 with 3", x.Team, x.Priority)
			}
		})
	}
}

// TestExplainedPanicEndsOnlyTheAnswer guards against a fault in an explanation that ends the node or refuses all later queries.
func TestExplainedPanicEndsOnlyTheAnswer(t *testing.T) {
	n, _ := newExplainNode("s1")
	executor := n.executor
	n.executor = proxy.New(proxy.Dependencies{})
	if w := askExplain(n, http.MethodPost, "Bearer s1", `{"host":"h","path":"/plain/","key":"caller-secret"}`); w.Code != http.StatusInternalServerError {
		t.Errorf("%d for a fault, want %d", w.Code, http.StatusInternalServerError)
	}
	n.executor = executor
	if w := askExplain(n, http.MethodPost, "Bearer s1", `{"host":"h","path":"/plain/","key":"caller-secret"}`); w.Code != http.StatusOK {
		t.Errorf("%d after a panic, want %d", w.Code, http.StatusOK)
	}
}

// Queries on a request that is sent and on one that finds no room.
const (
	sentQuery   = `{"host":"h","method":"POST","path":"/plain/","key":"caller-secret"}`
	noRoomQuery = `{"host":"h","method":"POST","path":"/empty/","key":"caller-secret","deadline-ms":1000}`
)

// slowGate stands in for a wait for a lock, in virtual time.
type slowGate struct{ delay time.Duration }

// Admission returns nothing after the delay.
func (g *slowGate) Admission(string) *proxy.Admission {
	time.Sleep(g.delay)
	return nil
}

// TestExplanationsAreBounded guards against an explanation that waits for locks beyond the bound, against one that is a consequence of the
// wait, and against queries that wait behind another one.
func TestExplanationsAreBounded(t *testing.T) {
	for delay, want := range map[time.Duration]time.Duration{900 * time.Millisecond: 1800 * time.Millisecond, 5 * time.Second: explainTime} {
		synctest.Test(t, func(t *testing.T) {
			n, _ := newExplainNode("s1")
			gate := &slowGate{delay}
			n.executor = proxy.New(proxy.Dependencies{Board: n.board, Fleet: n, Budget: n.budget, Crashes: n.crashes, Meter: n.stats, Log: n.log, Gate: gate})
			began, done := time.Now(), make(chan *httptest.ResponseRecorder)
			go func() { done <- askExplain(n, http.MethodPost, "Bearer s1", noRoomQuery) }()
			synctest.Wait()
			for range 64 {
				if w := askExplain(n, http.MethodPost, "Bearer s1", sentQuery); w.Code != http.StatusTooManyRequests || time.Since(began) > 0 {
					t.Fatalf("%d after %v beside another query, want %d at once", w.Code, time.Since(began), http.StatusTooManyRequests)
				}
			}
			w := <-done
			if took := time.Since(began); took != want || w.Code != http.StatusServiceUnavailable && want == explainTime {
				t.Errorf("%d after %v, want it after %v", w.Code, took, want)
			}
			time.Sleep(2 * delay)
			synctest.Wait()
			gate.delay = 0
			after := askExplain(n, http.MethodPost, "Bearer s1", noRoomQuery)
			if after.Code != http.StatusOK || want < explainTime && w.Body.String() != after.Body.String() {
				t.Errorf("%d %s once the explanation has ended, want that of the wait, %s", after.Code, after.Body, w.Body)
			}
		})
	}
}

// TestExplanationsUnderContention guards against a deadlock or a race where many queries meet many requests at the board's lock.
func TestExplanationsUnderContention(t *testing.T) {
	n, _ := newExplainNode("s1")
	list := n.Upstreams("plain")
	var callers sync.WaitGroup
	var answered, refused atomic.Int64
	for range 32 {
		callers.Go(func() {
			for i := range 5000 {
				if res := n.board.ReservePlain(list, nil); res != nil {
					res.Release()
				}
				if i%100 > 0 {
					continue
				}
				if w := askExplain(n, http.MethodPost, "Bearer s1", sentQuery); w.Code == http.StatusOK {
					answered.Add(1)
				} else if w.Code == http.StatusTooManyRequests || w.Code == http.StatusServiceUnavailable {
					refused.Add(1)
				}
			}
		})
	}
	callers.Wait()
	if answered.Load() == 0 || answered.Load()+refused.Load() != 32*50 {
		t.Errorf("%d answers and %d refusals for 1,600 queries", answered.Load(), refused.Load())
	}
}

// TestBodiesAreExplained guards against a quarantine of a request with a body that is not found, and against a body that is logged, answered
// or without bound.
func TestBodiesAreExplained(t *testing.T) {
	n, log := newExplainNode("s1")
	doomed := proxy.Request{Method: "POST", Host: "h", URI: "/plain/", Team: rules.Team{Name: "team-1"}, Body: []byte("doomed\r\nbody")}
	for i := range 3 {
		at := time.Now().Add(time.Duration(i-3) * time.Second)
		n.crashes.RecordDeathAt(doomed.Fingerprint(), fmt.Sprint("dead", i), "a", crash.BrokeBeforeFirstToken, at, at)
	}
	for body, want := range map[string]string{
		string(doomed.Body): "upstreams died of copies of this request", "doomed": `"decision":"sent"`,
		strings.Repeat("doomed", MaxExplainedBody/6): `"decision":"sent"`, strings.Repeat("doomed", MaxExplainedBody/6+1): "too large",
	} {
		query, payload := RouteQuery{Host: "h", Method: "POST", Path: "/plain/", Key: "caller-secret"}, bytes.Buffer{}
		contentType, _ := query.WriteBody(&payload, []byte(body))
		w := askNode(n, http.MethodPost, ExplainPath, "Bearer s1", contentType, payload.String())
		if shown := w.Body.String() + log(); !strings.Contains(w.Body.String(), want) || strings.Contains(shown, "doomed") {
			t.Errorf("%d %.2000s, want %q and nothing of the body", w.Code, shown, want)
		}
	}
}

// TestLiveNodesAreNamed guards against nodes that are named without the secret, or with a wrong address.
func TestLiveNodesAreNamed(t *testing.T) {
	n, _ := newExplainNode("s1")
	n.config.MetricsAddress = "10.0.0.1:9100"
	v := View{Nodes: make(map[string]mesh.Node)}
	for i := range mesh.RelayThreshold { // so many that none has to be heard
		v.Nodes[fmt.Sprint("n", 10+i)] = mesh.Node{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7340", 10+i)), DataCentre: "b"}
	}
	n.view.Store(&v)
	if w := askNode(n, http.MethodGet, ExplainNodesPath, "Bearer s2", "", ""); w.Code != http.StatusUnauthorized {
		t.Errorf("%d %s with a wrong secret", w.Code, w.Body)
	}
	var list LiveNodes
	w := askNode(n, http.MethodGet, ExplainNodesPath, "Bearer s1", "", "")
	if err := json.Unmarshal(w.Body.Bytes(), &list); err != nil || len(list.Nodes) != len(v.Nodes) || list.Nodes[1] != (LiveNode{"n11", "b", "10.0.0.11:9100"}) {
		t.Errorf("%d %s, want all nodes by name", w.Code, w.Body)
	}
}
