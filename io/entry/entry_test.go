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
	"rhubarbspread/io/mesh"
)

func TestPassOn(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-Kept": {"a", "b"}, "Transfer-Encoding": {"chunked"}}
	got := passOn(h)
	if len(got) != 1 || len(got["X-Kept"]) != 2 {
		t.Errorf("headers passed on: %v, want X-Kept alone", got)
	}
}

func TestPatience(t *testing.T) {
	tests := []struct {
		name              string
		timeout, deadline time.Duration
		want              time.Duration
	}{
		{"neither", 0, 0, noDeadline},
		{"the route's", time.Second, 0, time.Second},
		{"the caller's", 0, time.Second, time.Second},
		{"the shorter", 2 * time.Second, time.Second, time.Second},
		{"the shorter, other way", time.Second, 2 * time.Second, time.Second},
	}
	for _, tc := range tests {
		if got := patience(&rules.Route{Timeout: tc.timeout}, tc.deadline); got != tc.want {
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
		{"no limit told", strings.Repeat("x", 9000), 0, 0},
	}
	for _, tc := range tests {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(tc.body))
		body, refusal := readBody(r, rules.Limits{BodyBytes: tc.limit})
		switch {
		case tc.status == 0 && (refusal != nil || string(body) != tc.body):
			t.Errorf("%s: %v", tc.name, refusal)
		case tc.status != 0 && (refusal == nil || refusal.Status != tc.status):
			t.Errorf("%s: %v, want status %d", tc.name, refusal, tc.status)
		}
	}
}

// TestEachUpstreamIsAskedByOneNode: whatever the live nodes, exactly one of them asks, and all share the work.
func TestEachUpstreamIsAskedByOneNode(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 20} {
		var tags []uint32
		for i := range nodes {
			tags = append(tags, mesh.NameTag("node-"+strconv.Itoa(i)))
		}
		work := make(map[uint32]int)
		for i := range 40 {
			u := &fleet.Upstream{ID: "u" + strconv.Itoa(i)}
			askers := 0
			for j, self := range tags {
				others := append(append([]uint32(nil), tags[:j]...), tags[j+1:]...)
				if isFirst(self, others, u) {
					askers++
					work[self]++
				}
			}
			if askers != 1 {
				t.Fatalf("%d of %d nodes ask %s", askers, nodes, u.ID)
			}
		}
		for self, n := range work {
			if nodes <= 3 && n < 40/nodes/3 {
				t.Errorf("of %d nodes %d asks %d of 40 upstreams", nodes, self, n)
			}
		}
	}
}

// TestIdleConnectionsAreClosed: those idle for longer than the configuration allows, and no others.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{}
		old, oldEnd := net.Pipe()
		busy, busyEnd := net.Pipe()
		defer busy.Close()
		defer busyEnd.Close()
		n.count(old, http.StateIdle)
		n.count(busy, http.StateIdle)
		n.count(busy, http.StateActive)
		time.Sleep(4 * time.Second)
		n.closeIdle(5 * time.Second)
		n.closeIdle(0)
		time.Sleep(2 * time.Second)
		n.closeIdle(5 * time.Second)
		if _, err := oldEnd.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the idle connection: %v, want it closed", err)
		}
		if err := busyEnd.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := busyEnd.Read(make([]byte, 1)); err == io.EOF {
			t.Error("a connection with a request was closed")
		}
	})
}
