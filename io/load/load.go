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
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"rhubarbspread/io/fake"
	"rhubarbspread/io/frame"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config holds the settings of a load run.
type Config struct {
	Nodes         []string // IP:port on loopback
	Key           string
	Model         string
	Service       string
	Faults        string  // IP:port of the demo's fault-injection API, or ""
	Rate          float64 // requests/s
	Duration      time.Duration
	Tokens        int     // length of each answer
	StreamedShare float64 // share of completions that are streamed
	ServiceShare  float64 // share of requests that call the service
	Seed          uint64
}

// Bounds of the settings, and the timeout of one request.
const (
	maxRate        = 5000.0
	maxDuration    = 10 * time.Minute
	requestTimeout = 2 * time.Minute
)

// Validate returns all invalid settings in one error, or nil.
func (c *Config) Validate() error {
	var errs []error
	for _, n := range c.Nodes {
		a, err := netip.ParseAddrPort(n)
		if err != nil || !a.Addr().IsLoopback() {
			errs = append(errs, fmt.Errorf("-nodes: %q is not IP:port on loopback", n))
		}
	}
	if c.Rate <= 0 || c.Rate > maxRate {
		errs = append(errs, fmt.Errorf("-rate: %v is not above 0 and up to %v", c.Rate, maxRate))
	}
	if c.Duration <= 0 || c.Duration > maxDuration {
		errs = append(errs, fmt.Errorf("-duration: %v is not above 0 and up to %v", c.Duration, maxDuration))
	}
	if c.Tokens < 1 || c.StreamedShare < 0 || c.StreamedShare > 1 || c.ServiceShare < 0 || c.ServiceShare > 1 {
		errs = append(errs, errors.New("-tokens has to be positive, -streamed and -services shares from 0 to 1"))
	}
	return errors.Join(errs...)
}

// Quantiles are the quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

// Report is the result of a load run.
type Report struct {
	Offered       int        `json:"offered"`
	Answered      int        `json:"answered"`
	Wrong         int        `json:"wrong-or-partial"` // includes requests without a response
	NotRun        int        `json:"refused-not-run"`
	MayHaveRun    int        `json:"refused-may-have-run"`
	Tokens        int        `json:"tokens"`
	TokensPerSec  float64    `json:"tokens-per-second"`
	Bound         float64    `json:"bound-tokens-per-second"` // capacity of the whole-model engines
	ShareOfBound  float64    `json:"share-of-bound"`
	FirstToken    Quantiles  `json:"time-to-first-token"`
	BetweenTokens Quantiles  `json:"time-between-tokens"`
	LongestStall  float64    `json:"longest-stall-ms"`
	RepeatedKeys  int        `json:"keys-run-more-than-once"`
	Recoveries    []Recovery `json:"recoveries"`
	Points        []Point    `json:"-"`
}

// Recovery is the time that streams took to recover from an injected fault.
type Recovery struct {
	Kind   string `json:"kind"`
	Target string `json:"target"`
	// DurationMS is the time from the fault to the end of the last stall that is attributed to it, or 0 if there
	// was none.
	DurationMS float64 `json:"recovery-ms"`
}

// stall is a gap between two tokens of one answer that is longer than stallFloor.
type stall struct{ from, to time.Time }

// The gap above which a stall is recorded, and the longest time from a fault to a stall that is attributed to it.
const (
	stallFloor  = 200 * time.Millisecond
	stallWindow = 2 * time.Second
)

// Point holds the figures of one second of a run.
type Point struct {
	Second float64 // since the start of the run
	Tokens int
	Stall  float64 // longest gap between tokens that ended in this second, in milliseconds
}

// run is the state of one load run.
type run struct {
	config        Config
	client        *http.Client
	start         time.Time
	mu            sync.Mutex
	report        Report
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	seconds       map[int]*Point
	stalls        []stall
}

// Run sends the load, waits for every answer and returns the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	transport := &http.Transport{DialContext: frame.Dialing(new(net.Dialer).DialContext), MaxIdleConnsPerHost: 1024}
	r := &run{
		config:        c,
		client:        &http.Client{Transport: transport, Timeout: requestTimeout},
		start:         time.Now(),
		firstToken:    hdrhistogram.New(1, int64(requestTimeout/time.Microsecond), 3),
		betweenTokens: hdrhistogram.New(1, int64(requestTimeout/time.Microsecond), 3),
		seconds:       make(map[int]*Point),
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
		service := random.Float64() < c.ServiceShare
		streamed := random.Float64() < c.StreamedShare
		id := fmt.Sprintf("%d-%d", c.Seed, i)
		senders.Go(func() {
			if service {
				r.callService(ctx, node, id)
				return
			}
			r.requestCompletion(ctx, node, id, streamed)
		})
	}
	senders.Wait()
	return r.buildReport(ctx)
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

func (r *run) callService(ctx context.Context, node, id string) {
	resp, err := r.post(ctx, "http://"+node+"/v1/services/"+r.config.Service+"/offers", "load-"+id, []byte(`{}`))
	if err != nil {
		r.countUnanswered()
		return
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Offered++
	switch {
	case resp.StatusCode != http.StatusOK:
		r.countRefusal(resp)
	case err != nil || !bytes.Contains(raw, []byte(`"load-`+id+`"`)):
		r.report.Wrong++
	default:
		r.report.Answered++
	}
}

// countUnanswered counts a request to which the node sent no HTTP response as wrong: it is neither an answer nor a
// refusal.
func (r *run) countUnanswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Offered++
	r.report.Wrong++
}

// countRefusal counts a refusal by the run state that it reports; the caller holds the lock.
func (r *run) countRefusal(resp *http.Response) {
	if resp.Header.Get("Rhubarbspread-Run-State") == "not-run" {
		r.report.NotRun++
	} else {
		r.report.MayHaveRun++
	}
}

func (r *run) requestCompletion(ctx context.Context, node, id string, streamed bool) {
	prompt := "load " + id
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}{r.config.Model, prompt, r.config.Tokens, streamed})
	if err != nil {
		r.countUnanswered()
		return
	}
	sent := time.Now()
	resp, err := r.post(ctx, "http://"+node+"/v1/completions", "", body)
	if err != nil {
		r.countUnanswered()
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.Offered++
		r.countRefusal(resp)
		return
	}
	text, failed := "", false
	if streamed {
		text, failed = r.readStream(resp.Body, sent)
	} else {
		text = completionText(resp.Body)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Offered++
	switch {
	case failed:
		r.report.MayHaveRun++
	case text != fake.Text(prompt, r.config.Tokens):
		r.report.Wrong++
	default:
		r.report.Answered++
		r.report.Tokens += r.config.Tokens
	}
}

// chunk is a completion response or one event of its stream.
type chunk struct {
	Error   json.RawMessage `json:"error"`
	Choices []struct {
		Text   string  `json:"text"`
		Reason *string `json:"finish_reason"`
	} `json:"choices"`
}

// completionText returns the text of a completion response that is not streamed, or "" if it is malformed.
func completionText(body io.Reader) string {
	var c chunk
	if json.NewDecoder(body).Decode(&c) != nil || len(c.Choices) != 1 {
		return ""
	}
	return c.Choices[0].Text
}

// readStream records the tokens of a stream whose request was sent at the time previous. It returns the text of a
// stream that ended with [DONE], or "" for any other, and whether the stream ended with an error event.
func (r *run) readStream(body io.Reader, previous time.Time) (string, bool) {
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
			r.recordToken(n, now.Sub(previous), now)
			previous = now
			n++
			text.WriteString(c.Choices[0].Text)
		}
	}
	return "", false
}

// recordToken records token n of a stream; gap is the time since the token before it, or since the request for the
// first one.
func (r *run) recordToken(n int, gap time.Duration, now time.Time) {
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
		_ = r.firstToken.RecordValue(max(1, gap.Microseconds()))
		return
	}
	_ = r.betweenTokens.RecordValue(max(1, gap.Microseconds()))
	if gap > stallFloor {
		r.stalls = append(r.stalls, stall{from: now.Add(-gap), to: now})
	}
	ms := float64(gap) / float64(time.Millisecond)
	p.Stall = max(p.Stall, ms)
	r.report.LongestStall = max(r.report.LongestStall, ms)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: millis(50), P95: millis(95), P99: millis(99)}
}

func (r *run) buildReport(ctx context.Context) (*Report, error) {
	out := &r.report
	out.FirstToken, out.BetweenTokens = quantiles(r.firstToken), quantiles(r.betweenTokens)
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
	if err := r.readOracle(ctx); err != nil {
		return out, err
	}
	return out, r.readFaults(ctx)
}
