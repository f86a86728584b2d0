package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/hop"
	"rhubarbspread/io/mesh"

	"github.com/go-logr/logr"
)

func TestForwardedHeaders(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-Kept": {"a", "b"},
		"Transfer-Encoding": {"chunked"},
	}
	got := forwardedHeaders(h)
	if len(got) != 1 || len(got["X-Kept"]) != 2 {
		t.Errorf("forwarded headers: %v, want X-Kept only", got)
	}
}

func TestRequestTimeout(t *testing.T) {
	tests := []struct {
		name              string
		timeout, deadline time.Duration
		want              time.Duration
	}{
		{"no timeout", 0, 0, defaultTimeout},
		{"timeout of the route", time.Second, 0, time.Second},
		{"deadline of the caller", 0, time.Second, time.Second},
		{"shorter deadline", 2 * time.Second, time.Second, time.Second},
		{"shorter timeout", time.Second, 2 * time.Second, time.Second},
	}
	for _, tc := range tests {
		if got := requestTimeout(&rules.Route{Timeout: tc.timeout}, tc.deadline); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestReadBody(t *testing.T) {
	tests := []struct {
		name   string
		body   string
		limit  int64
		status int
	}{
		{"within the limit", "four", 4, 0},
		{"beyond the limit", "fives", 4, http.StatusRequestEntityTooLarge},
		{"no limit", strings.Repeat("x", 9000), 0, 0},
	}
	for _, tc := range tests {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(tc.body))
		h := (&Node{}).hold(r.Context())
		body, refusal := h.readBody(r, rules.Limits{BodyBytes: tc.limit})
		switch {
		case tc.status == 0 && (refusal != nil || string(body) != tc.body):
			t.Errorf("%s: %v", tc.name, refusal)
		case tc.status != 0 && (refusal == nil || refusal.Status != tc.status):
			t.Errorf("%s: %v, want status %d", tc.name, refusal, tc.status)
		}
	}
}

// TestEachUpstreamIsAssignedToOneNode checks that exactly one live node fetches an upstream's report, whatever the
// number of nodes, and that the upstreams are spread over the nodes.
func TestEachUpstreamIsAssignedToOneNode(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 20} {
		var hashes []uint32
		for i := range nodes {
			hashes = append(hashes, mesh.NameHash("node-"+strconv.Itoa(i)))
		}
		assigned := make(map[uint32]int)
		for i := range 40 {
			u := &fleet.Upstream{ID: "u" + strconv.Itoa(i)}
			owners := 0
			for j, self := range hashes {
				others := append(append([]uint32(nil), hashes[:j]...), hashes[j+1:]...)
				if isAssigned(self, others, u) {
					owners++
					assigned[self]++
				}
			}
			if owners != 1 {
				t.Fatalf("%d of %d nodes are assigned %s, want 1", owners, nodes, u.ID)
			}
		}
		for self, n := range assigned {
			if nodes <= 3 && n < 40/nodes/3 {
				t.Errorf("with %d nodes, node %d is assigned %d of 40 upstreams", nodes, self, n)
			}
		}
	}
}

// TestIdleConnectionsAreClosed checks that connections idle for longer than the configuration allows are closed, and no
// others.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{}
		idle, idleCaller := net.Pipe()
		busy, busyCaller := net.Pipe()
		defer busy.Close()
		defer busyCaller.Close()
		n.trackConn(idle, http.StateIdle)
		n.trackConn(busy, http.StateIdle)
		n.trackConn(busy, http.StateActive)
		time.Sleep(4 * time.Second)
		n.closeIdle(5 * time.Second)
		n.closeIdle(0)
		time.Sleep(2 * time.Second)
		n.closeIdle(5 * time.Second)
		if _, err := idleCaller.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("read from the idle connection: %v, want EOF", err)
		}
		if err := busyCaller.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := busyCaller.Read(make([]byte, 1)); err == io.EOF {
			t.Error("the connection with a request in flight was closed")
		}
	})
}

// TestNodeWithoutTheListOfNodesIsNotAlone guards against a restarted node that takes itself for the only one, and so
// has half of the fleet's retry budget to itself, until the store has given it the list of nodes.
func TestNodeWithoutTheListOfNodesIsNotAlone(t *testing.T) {
	const extra, most = 320, 10 // most is the part of one node of a fleet of unknown size
	n := New(Config{RetryExtra: extra, RetryWindow: 10 * time.Second}, Platform{NewEngines: func(*hop.Pool) Engines { return nil }},
		logr.Discard())
	c := newControl(n)
	c.apply(change{topic: store.Upstreams, snapshot: true})
	c.publish()
	retries := 0
	for n.budget.Take("s") {
		retries++
	}
	if retries > most {
		t.Errorf("%d retries at the start, want at most %d", retries, most)
	}
}

// TestPanicOfADutyEndsOnlyItsStep guards against a panic in a duty that cuts off all requests in flight.
func TestPanicOfADutyEndsOnlyItsStep(t *testing.T) {
	n := newTestControl().node
	steps := 0
	for range 2 {
		n.contain("plan", func() { steps++; panic("a fault") })
	}
	if steps != 2 {
		t.Errorf("%d steps, want 2", steps)
	}
}
