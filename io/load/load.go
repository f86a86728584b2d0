package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"rhubarbspread/io/fake"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config is the settings of a load.
type Config struct {
	Nodes    []string // IP:port on loopback
	Key      string
	Model    string
	Service  string
	Faults   string // IP:port of the demo's fault door, or ""
	Rate     float64
	Duration time.Duration
	Tokens   int
	Streamed float64 // share of completions that are streamed
	Services float64 // share of requests that are calls of the service
	Seed     uint64
}

// Bounds of a load.
const (
	mostRate     = 5000.0
	mostDuration = 10 * time.Minute
	requestTime  = 2 * time.Minute
)

// Validate returns every fault of the settings in one error, or nil.
func (c *Config) Validate() error {
	var faults []error
	for _, n := range c.Nodes {
		a, err := netip.ParseAddrPort(n)
		if err != nil || !a.Addr().IsLoopback() {
			faults = append(faults, fmt.Errorf("-nodes: %q is not IP:port on loopback", n))
		}
	}
	if c.Rate <= 0 || c.Rate > mostRate {
		faults = append(faults, fmt.Errorf("-rate: %v is not above 0 and up to %v", c.Rate, mostRate))
	}
	if c.Duration <= 0 || c.Duration > mostDuration {
		faults = append(faults, fmt.Errorf("-duration: %v is not above 0 and up to %v", c.Duration, mostDuration))
	}
	if c.Tokens < 1 || c.Streamed < 0 || c.Streamed > 1 || c.Services < 0 || c.Services > 1 {
		faults = append(faults, errors.New("-tokens has to be positive, -streamed and -services shares from 0 to 1"))
	}
	return errors.Join(faults...)
}

// Times are quantiles in milliseconds.
type Times struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

// Report is what a load found.
type Report struct {
	Offered       int        `json:"offered"`
	Answered      int        `json:"answered"`
	Wrong         int        `json:"wrong-or-partial"`
	NotRun        int        `json:"refused-not-run"`
	MayHaveRun    int        `json:"refused-may-have-run"`
	Tokens        int        `json:"tokens"`
	TokensPerSec  float64    `json:"tokens-per-second"`
	Bound         float64    `json:"bound-tokens-per-second"`
	Share         float64    `json:"share-of-bound"`
	First         Times      `json:"time-to-first-token"`
	Between       Times      `json:"time-between-tokens"`
	LongestStall  float64    `json:"longest-stall-ms"`
	DoubledOrders int        `json:"keys-run-more-than-once"`
	Recoveries    []Recovery `json:"recoveries"`
	Points        []Point    `json:"-"`
}

// Recovery is how long streams stalled after a fault of the demo's.
type Recovery struct {
	Kind   string  `json:"kind"`
	Target string  `json:"target"`
	Millis float64 `json:"recovery-ms"` // from the fault to the end of the last stall that it brought, or 0
}

// stall is a time between two tokens of one answer that was longer than stallFloor.
type stall struct{ from, to time.Time }

// Constants of recovery: which gaps count, and how long after a fault they may begin.
const (
	stallFloor  = 200 * time.Millisecond
	stallWindow = 2 * time.Second
)

// Point is one second of a run.
type Point struct {
	Second float64
	Tokens int
	Stall  float64 // milliseconds, the longest that ended in it
}

type run struct {
	config  Config
	client  *http.Client
	start   time.Time
	mu      sync.Mutex
	report  Report
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	seconds map[int]*Point
	stalls  []stall
}

// Run sends the load and waits for every answer.
func Run(ctx context.Context, c Config) (*Report, error) {
	r := &run{
		config: c,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Timeout: requestTime},
		start:  time.Now(),
		first:  hdrhistogram.New(1, int64(requestTime/time.Microsecond), 3), between: hdrhistogram.New(1, int64(requestTime/time.Microsecond), 3),
		seconds: make(map[int]*Point),
	}
	random := rand.New(rand.NewPCG(c.Seed, 1))
	var senders sync.WaitGroup
	for i := 0; ; i++ {
		wait := time.Duration(random.ExpFloat64() / c.Rate * float64(time.Second))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		if ctx.Err() != nil || time.Since(r.start) > c.Duration {
			break
		}
		node := c.Nodes[random.IntN(len(c.Nodes))]
		service := random.Float64() < c.Services
		streamed := random.Float64() < c.Streamed
		id := fmt.Sprintf("%d-%d", c.Seed, i)
		senders.Go(func() {
			if service {
				r.call(ctx, node, id)
				return
			}
			r.complete(ctx, node, id, streamed)
		})
	}
	senders.Wait()
	return r.finish(ctx)
}

func (r *run) post(ctx context.Context, url, key string, body []byte) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+r.config.Key)
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	return r.client.Do(q)
}

func (r *run) call(ctx context.Context, node, id string) {
	resp, err := r.post(ctx, "http://"+node+"/v1/services/"+r.config.Service+"/offers", "load-"+id, []byte(`{}`))
	if err != nil {
		r.lost()
		return
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Offered++
	switch {
	case resp.StatusCode != http.StatusOK:
		r.refused(resp)
	case err != nil || !bytes.Contains(raw, []byte(`"load-`+id+`"`)):
		r.report.Wrong++
	default:
		r.report.Answered++
	}
}

// lost counts a request whose node gave no answer at all, which is no truthful refusal either.
func (r *run) lost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Offered++
	r.report.Wrong++
}

func (r *run) refused(resp *http.Response) {
	if resp.Header.Get("Rhubarbspread-Run-State") == "not-run" {
		r.report.NotRun++
	} else {
		r.report.MayHaveRun++
	}
}

func (r *run) complete(ctx context.Context, node, id string, streamed bool) {
	prompt := "load " + id
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{r.config.Model, prompt, r.config.Tokens, streamed})
	if err != nil {
		r.lost()
		return
	}
	at := time.Now()
	resp, err := r.post(ctx, "http://"+node+"/v1/completions", "", body)
	if err != nil {
		r.lost()
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.Offered++
		r.refused(resp)
		return
	}
	text, broken := "", false
	if streamed {
		text, broken = r.readStream(resp.Body, at)
	} else {
		text = wholeText(resp.Body)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Offered++
	switch {
	case broken:
		r.report.MayHaveRun++
	case text != fake.Text(prompt, r.config.Tokens):
		r.report.Wrong++
	default:
		r.report.Answered++
		r.report.Tokens += r.config.Tokens
	}
}

type chunk struct {
	Error   json.RawMessage `json:"error"`
	Choices []struct {
		Text   string  `json:"text"`
		Reason *string `json:"finish_reason"`
	} `json:"choices"`
}

func wholeText(body io.Reader) string {
	var c chunk
	if json.NewDecoder(body).Decode(&c) != nil || len(c.Choices) != 1 {
		return ""
	}
	return c.Choices[0].Text
}

// readStream returns the text, which is cut where the mark of a whole answer is missing, and whether the
// stream ended with an error that says so.
func (r *run) readStream(body io.Reader, at time.Time) (string, bool) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for n := 0; lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), false
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) != nil {
			return "", false
		}
		if c.Error != nil {
			return "", true
		}
		if len(c.Choices) == 1 && c.Choices[0].Reason == nil {
			now := time.Now()
			r.token(n, now.Sub(at), now)
			at = now
			n++
			text.WriteString(c.Choices[0].Text)
		}
	}
	return "", false
}

func (r *run) token(n int, gap time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(now.Sub(r.start) / time.Second)
	p := r.seconds[second]
	if p == nil {
		p = &Point{Second: float64(second)}
		r.seconds[second] = p
	}
	p.Tokens++
	if n == 0 {
		_ = r.first.RecordValue(max(1, gap.Microseconds()))
		return
	}
	_ = r.between.RecordValue(max(1, gap.Microseconds()))
	if gap > stallFloor {
		r.stalls = append(r.stalls, stall{from: now.Add(-gap), to: now})
	}
	ms := float64(gap) / float64(time.Millisecond)
	p.Stall = max(p.Stall, ms)
	r.report.LongestStall = max(r.report.LongestStall, ms)
}

func times(h *hdrhistogram.Histogram) Times {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Times{P50: at(50), P95: at(95), P99: at(99)}
}

func (r *run) finish(ctx context.Context) (*Report, error) {
	out := &r.report
	out.First, out.Between = times(r.first), times(r.between)
	out.TokensPerSec = float64(out.Tokens) / time.Since(r.start).Seconds()
	for s := range int(time.Since(r.start)/time.Second) + 1 {
		if p := r.seconds[s]; p != nil {
			out.Points = append(out.Points, *p)
		} else {
			out.Points = append(out.Points, Point{Second: float64(s)})
		}
	}
	if r.config.Faults == "" {
		return out, nil
	}
	ctx = context.WithoutCancel(ctx)
	if err := r.askOracle(ctx); err != nil {
		return out, err
	}
	return out, r.askFaults(ctx)
}
