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

// TestBookingUnderFaults sends a few keys again and again to all nodes while faults come and go at the
// services, the table and the list, several at once, and counts the executions.
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
	told := make(map[string]int)
	var senders sync.WaitGroup
	for i := range sends {
		if i%8 == 0 {
			f := faults[random.IntN(len(faults))]
			d.fault(t, f.kind, f.target)
		}
		if i%20 == 19 {
			for _, target := range []string{"booking-0", "booking-1", "booking-2", "table", "list"} {
				d.fault(t, fake.Restore, target)
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
			told[key]++
			if resp.Header.Get("Rhubarbspread-Run-State") == "not-run" {
				notRun[key]++
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	senders.Wait()
	for key, n := range d.world.oracle.Counts() {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
		// Were every request of a key told not-run, its execution would make one of them a lie.
		if n > 0 && notRun[key] == told[key] {
			t.Errorf("%s ran, and all its %d requests were told not-run", key, told[key])
		}
	}
}

// TestPlatformDown keeps the table, the objects and the list down: what is idempotent goes on, and a
// booking is refused truthfully.
func TestPlatformDown(t *testing.T) {
	d := start(t, Config{Nodes: 2, Engines: 2})
	d.fault(t, fake.Down, "table")
	d.fault(t, fake.Down, "list")
	text, whole, err := d.stream(0, Assistant, "still there?", 10, func(int) {})
	if err != nil || !whole || text != fake.Text("still there?", 10) {
		t.Errorf("a completion: whole %v, error %v", whole, err)
	}
	r, err := http.NewRequest(http.MethodGet, "http://"+d.Callers()[1]+"/v1/services/booking/status/7", nil)
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
	if n := d.world.oracle.Counts()["plot-1"]; n != 0 {
		t.Errorf("the booking ran %d times", n)
	}
}

// TestStopCutsNothing stops the demo while a stream runs.
func TestStopCutsNothing(t *testing.T) {
	d := start(t, Config{Nodes: 1, Engines: 1})
	stop := make(chan struct{})
	go func() {
		<-stop
		d.nodes[0].Stop()
	}()
	text, whole, err := d.stream(0, Assistant, "a long goodbye", 60, func(n int) {
		if n == 5 {
			close(stop)
		}
	})
	if err != nil || !whole || text != fake.Text("a long goodbye", 60) {
		t.Errorf("whole %v, error %v, %d of 60 tokens", whole, err, len(text)/8)
	}
	resp, err := http.Get("http://" + d.Callers()[0] + "/readyz")
	if err == nil {
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			t.Error("a stopping node says that it is ready")
		}
	} else if !strings.Contains(err.Error(), "refused") {
		t.Error(err)
	}
}
