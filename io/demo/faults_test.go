package demo

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rhubarbspread/io/fake"
)

// TestBookingUnderFaults sends requests with a few idempotency keys repeatedly to all nodes, while several faults at a
// time are injected at the services, the table and the list. No key may be executed twice.
func TestBookingUnderFaults(t *testing.T) {
	const keys, sends = 8, 160
	d := start(t, Config{Nodes: 3, Engines: 1})
	random := rand.New(rand.NewPCG(20261204, 3))
	faults := []struct{ kind, target string }{
		{fake.Crash, "booking-0"}, {fake.Crash, "booking-1"}, {fake.Silent, "booking-2"}, {fake.LoseAnswer, "booking-1"},
		{fake.CrossAnswers, "booking-2"}, {fake.Slow, "booking-0"}, {fake.Fail, "booking-2"}, {fake.Leave, "booking-1"},
		{fake.Down, "table"}, {fake.LoseReplies, "table"}, {fake.LoseCalls, "table"}, {fake.LateWrites, "table"}, {fake.Down, "list"},
	}
	var mu sync.Mutex
	notRun := make(map[string]int)
	answers := make(map[string]int)
	var senders sync.WaitGroup
	for i := range sends {
		if i%8 == 0 {
			f := faults[random.IntN(len(faults))]
			d.injectFault(t, f.kind, f.target)
		}
		if i%20 == 19 {
			for _, target := range []string{"booking-0", "booking-1", "booking-2", "table", "list"} {
				d.injectFault(t, fake.Restore, target)
			}
		}
		key := fmt.Sprintf("plot-%d", random.IntN(keys))
		node := random.IntN(3)
		senders.Go(func() {
			resp, err := d.post(node, "/v1/services/booking/offers", d.Key(), key, `{"plot":1}`)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			answers[key]++
			if resp.Header.Get("Rhubarbspread-Run-State") == "not-run" {
				notRun[key]++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	senders.Wait()
	for key, n := range d.testbed.oracle.Counts() {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
		// If a key was executed, the request that ran it must not have been answered as not-run.
		if n > 0 && notRun[key] == answers[key] {
			t.Errorf("%s ran, but all its %d requests were answered as not-run", key, answers[key])
		}
	}
}

// TestPlatformDown checks that, while the table, the object store and the list are down, idempotent requests still
// succeed and a booking is refused as not-run.
func TestPlatformDown(t *testing.T) {
	d := start(t, Config{Nodes: 2, Engines: 2})
	d.injectFault(t, fake.Down, "table")
	d.injectFault(t, fake.Down, "list")
	text, complete, err := d.stream(0, Assistant, "still there?", 10, func(int) {})
	if err != nil || !complete || text != fake.Text("still there?", 10) {
		t.Errorf("a completion: complete %v, error %v", complete, err)
	}
	r, err := http.NewRequest(http.MethodGet, "http://"+d.CallerAddresses()[1]+"/v1/services/booking/status/7", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+d.Key())
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("a status read: %d", resp.StatusCode)
	}
	resp, err = d.post(0, "/v1/services/booking/offers", d.Key(), "plot-1", `{}`)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Rhubarbspread-Run-State") != "not-run" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a booking: %d, %v", resp.StatusCode, resp.Header)
	}
	if n := d.testbed.oracle.Counts()["plot-1"]; n != 0 {
		t.Errorf("the booking ran %d times", n)
	}
}

// TestStopCutsNothing checks that a node that is stopped in mid-stream completes the stream, and that it then no longer
// reports itself ready.
func TestStopCutsNothing(t *testing.T) {
	d := start(t, Config{Nodes: 1, Engines: 1})
	stop := make(chan struct{})
	go func() {
		<-stop
		d.nodes[0].Stop()
	}()
	text, complete, err := d.stream(0, Assistant, "a long goodbye", 60, func(n int) {
		if n == 5 {
			close(stop)
		}
	})
	if err != nil || !complete || text != fake.Text("a long goodbye", 60) {
		t.Errorf("complete %v, error %v, %d of 60 tokens", complete, err, len(text)/8)
	}
	resp, err := http.Get("http://" + d.CallerAddresses()[0] + "/readyz")
	if err == nil {
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			t.Error("a stopping node reports itself ready")
		}
	} else if !strings.Contains(err.Error(), "refused") {
		t.Error(err)
	}
}
