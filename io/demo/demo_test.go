package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rhubarbspread/io/fake"
	"rhubarbspread/io/logs"
)

// start runs a demo until the end of the test.
func start(t testing.TB, c Config) *Demo {
	t.Helper()
	c.Listen, c.Admin, c.Policy = anyPort, anyPort, "finish"
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	ready := make(chan *Demo, 1)
	log := logs.New(io.Discard, false)
	logs.RedirectLogx(log)
	go func() { result <- Run(ctx, c, log, func(d *Demo) { ready <- d }) }()
	t.Cleanup(func() {
		cancel()
		if err := <-result; err != nil {
			t.Errorf("the demo failed: %v", err)
		}
	})
	select {
	case d := <-ready:
		return d
	case err := <-result:
		result <- err
		t.Fatalf("the demo did not start: %v", err)
		return nil
	}
}

func (d *Demo) post(node int, path, key, idempotency, body string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddresses()[node]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	if idempotency != "" {
		r.Header.Set("Idempotency-Key", idempotency)
	}
	return http.DefaultClient.Do(r)
}

func (d *Demo) injectFault(t *testing.T, kind, target string) {
	t.Helper()
	resp, err := http.Post("http://"+d.FaultsAddress()+"/faults", "application/json", strings.NewReader(fmt.Sprintf(`{"kind":%q,"target":%q}`, kind, target)))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		t.Fatalf("fault %s at %s: status %d", kind, target, resp.StatusCode)
	}
}

// stream requests a streamed completion and returns its text and whether the stream ended with [DONE]. It calls onToken
// with the number of tokens received so far.
func (d *Demo) stream(node int, model, prompt string, tokens int, onToken func(int)) (string, bool, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
	resp, err := d.post(node, "/v1/completions", d.Key(), "", body)
	if err != nil {
		return "", false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(resp.Body)
		return "", false, fmt.Errorf("status %d: %s", resp.StatusCode, raw)
	}
	var text strings.Builder
	complete := false
	lines := bufio.NewScanner(resp.Body)
	for n := 0; lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", false, err
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Text)
		}
		n++
		onToken(n)
	}
	return text.String(), complete, lines.Err()
}

func TestAnswersAreRight(t *testing.T) {
	d := start(t, Config{Nodes: 3, Engines: 6})
	for _, test := range []struct {
		name, path, body, prompt string
	}{
		{"assistant", "/v1/completions", `{"model":"assistant","prompt":"Where do I stand?","max_tokens":20}`, "Where do I stand?"},
		{"split model", "/v1/completions", `{"model":"drafter","prompt":"Draft a letter.","max_tokens":20}`, "Draft a letter."},
		{"chat", "/v1/chat/completions", `{"model":"assistant","messages":[{"role":"user","content":"Hello"}],"max_tokens":20}`, "Hello"},
		{"chat of a split model", "/v1/chat/completions", `{"model":"drafter","messages":[{"role":"user","content":"Hi"}],"max_tokens":20}`, "Hi"},
	} {
		t.Run(test.name, func(t *testing.T) {
			for node := range d.CallerAddresses() {
				resp, err := d.post(node, test.path, d.Key(), "", test.body)
				if err != nil {
					t.Fatal(err)
				}
				raw, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if !bytes.Contains(raw, []byte(fake.Text(test.prompt, 20))) {
					t.Errorf("node %d: status %d: %s", node, resp.StatusCode, raw)
				}
			}
		})
		t.Run(test.name+" streamed", func(t *testing.T) {
			if strings.Contains(test.path, "chat") {
				t.Skip("a chat stream differs from a completion stream in its envelope only")
			}
			text, complete, err := d.stream(0, strings.Split(test.name, " ")[0], test.prompt, 20, func(int) {})
			if test.name == "split model" {
				text, complete, err = d.stream(0, Drafter, test.prompt, 20, func(int) {})
			}
			if err != nil || !complete || text != fake.Text(test.prompt, 20) {
				t.Errorf("got %q, complete %v, error %v", text, complete, err)
			}
		})
	}
}

// TestBookingRunsOnceForOneKey sends requests with the same idempotency key concurrently to all nodes. One is executed,
// and a later one gets the stored answer.
func TestBookingRunsOnceForOneKey(t *testing.T) {
	d := start(t, Config{Nodes: 3, Engines: 1})
	var senders sync.WaitGroup
	for i := range 12 {
		senders.Go(func() {
			resp, err := d.post(i%3, "/v1/services/booking/offers", d.Key(), "plot-7", `{"plot":7}`)
			if err != nil {
				t.Error(err)
				return
			}
			_ = resp.Body.Close()
		})
	}
	senders.Wait()
	resp, err := d.post(1, "/v1/services/booking/offers", d.Key(), "plot-7", `{"plot":7}`)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Rhubarbspread-Replayed") != "true" {
		t.Errorf("the repeated request got status %d, replayed %q", resp.StatusCode, resp.Header.Get("Rhubarbspread-Replayed"))
	}
	if n := d.testbed.oracle.Counts()["plot-7"]; n != 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

// TestCrashInMidStreamIsNotSeen checks that the caller gets a complete stream although the engine that generates it
// crashes.
func TestCrashInMidStreamIsNotSeen(t *testing.T) {
	for _, test := range []struct {
		name, model, target string
	}{
		{"whole replica", Assistant, "engine-"},
		{"stage of a split model", Drafter, "layers-"},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := start(t, Config{Nodes: 1, Engines: 3})
			crashed := false
			text, complete, err := d.stream(0, test.model, "A long story", 60, func(n int) {
				if n < 10 || crashed {
					return
				}
				crashed = true
				d.crashActiveEngine(t, test.target)
			})
			if err != nil || !complete || text != fake.Text("A long story", 60) {
				t.Errorf("complete %v, error %v, %d of 60 tokens", complete, err, len(text)/8)
			}
			if !crashed {
				t.Error("no engine was crashed")
			}
		})
	}
}

// crashActiveEngine crashes one engine that is generating, among those whose names have the prefix.
func (d *Demo) crashActiveEngine(t *testing.T, prefix string) {
	t.Helper()
	before := d.progressByName(prefix)
	// The stream goes on meanwhile, so the count of the engine that generates it grows.
	for range 1000 {
		for name, n := range d.progressByName(prefix) {
			if n > before[name] {
				d.injectFault(t, fake.Crash, name)
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("no engine is generating")
}

// progressByName returns the tokens of each whole-model engine and the steps of each layer engine whose name has the
// prefix.
func (d *Demo) progressByName(prefix string) map[string]int {
	out := make(map[string]int)
	for _, e := range d.testbed.engines {
		if strings.HasPrefix(e.Name(), prefix) {
			out[e.Name()] = e.Stats().Tokens
		}
	}
	for _, e := range d.testbed.layers {
		if strings.HasPrefix(e.Name(), prefix) {
			out[e.Name()] = e.Steps()
		}
	}
	return out
}

// TestRefusalsAreProblems checks that a refused request gets a problem document (RFC 9457) with run state not-run.
func TestRefusalsAreProblems(t *testing.T) {
	d := start(t, Config{Nodes: 1, Engines: 1})
	long := strings.Repeat("x", 2<<20)
	for _, test := range []struct {
		name, path, key, body string
		status                int
	}{
		{"wrong key", "/v1/completions", "nobody", `{}`, http.StatusUnauthorized},
		{"no JSON", "/v1/completions", d.Key(), `{`, http.StatusBadRequest},
		{"unknown model", "/v1/completions", d.Key(), `{"model":"none","prompt":"x"}`, http.StatusNotFound},
		{"no prompt", "/v1/completions", d.Key(), `{"model":"assistant"}`, http.StatusBadRequest},
		{"too large", "/v1/completions", d.Key(), long, http.StatusRequestEntityTooLarge},
		{"unknown service", "/v1/services/none/x", d.Key(), `{}`, http.StatusNotFound},
		{"booking without a key", "/v1/services/booking/offers", d.Key(), `{}`, http.StatusBadRequest},
		{"no route", "/v2/x", d.Key(), `{}`, http.StatusNotFound},
	} {
		t.Run(test.name, func(t *testing.T) {
			resp, err := d.post(0, test.path, test.key, "", test.body)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			var p struct {
				RunState string `json:"run-state"`
			}
			if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != test.status || p.RunState != "not-run" || resp.Header.Get("Content-Type") != "application/problem+json" {
				t.Errorf("status %d, run-state %q, type %q", resp.StatusCode, p.RunState, resp.Header.Get("Content-Type"))
			}
		})
	}
}

// TestGoingAwayCancels checks that the engine stops generating soon after the caller disconnects in mid-stream.
func TestGoingAwayCancels(t *testing.T) {
	d := start(t, Config{Nodes: 1, Engines: 1})
	resp, err := d.post(0, "/v1/completions", d.Key(), "", `{"model":"assistant","prompt":"leaving","max_tokens":4000,"stream":true}`)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	for d.testbed.engines[0].Running() > 0 {
		time.Sleep(time.Millisecond)
	}
	if n := d.testbed.engines[0].Stats().Tokens; n > 2000 {
		t.Errorf("%d tokens were generated after the caller disconnected", n)
	}
}
