package model

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"rhubarbspread/core/relay"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
	"rhubarbspread/io/dial"
)

// maxLineBytes bounds a line of a stream, and the body of an error response.
const maxLineBytes = 1 << 20

// Client sends requests to model engines.
type Client struct{ hosts *dial.HostCache }

// New returns a client that takes its hosts from a cache.
func New(hosts *dial.HostCache) *Client { return &Client{hosts: hosts} }

func (c *Client) host(u *route.Upstream) *dial.Host { return c.hosts.Host(u.Name(), u.Address()) }

// Generate sends an attempt and passes each message of the stream to emit. The outcome is Done only if the stream
// ended with its last message.
func (c *Client) Generate(ctx context.Context, a *relay.Attempt, emit func(relay.Token) error) reply.Outcome {
	body, err := json.Marshal(struct {
		Attempt   string   `json:"attempt"`
		Request   string   `json:"request"`
		Model     string   `json:"model"`
		Prompt    string   `json:"prompt"`
		Accepted  []string `json:"accepted"`
		MaxTokens int      `json:"max-tokens"`
		Priority  int      `json:"priority"`
	}{a.ID(), a.Request(), a.Model(), a.Prompt(), a.Accepted(), a.MaxTokens(), a.Priority()})
	if err != nil {
		return reply.NewNotSent(err.Error())
	}
	h := c.host(a.Upstream())
	r, err := h.Request(ctx, http.MethodPost, "/v1/generate", body)
	if err != nil {
		return reply.NewNotSent(err.Error())
	}
	resp, err := h.Do(r)
	if err != nil {
		return OutcomeOfError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return outcomeOfStatus(ctx, resp)
	}
	return readStream(ctx, resp.Body, emit)
}

// OutcomeOfError returns the outcome of an attempt whose request failed with an error.
func OutcomeOfError(ctx context.Context, err error) reply.Outcome {
	var e *dial.Error
	switch {
	case errors.As(err, &e) && !e.Sent():
		return reply.NewNotSent(e.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return reply.NewUnknown(reply.Silent, "no answer in time")
	case ctx.Err() != nil:
		return reply.NewUnknown(reply.Canceled, "canceled")
	}
	return reply.NewUnknown(reply.Broken, err.Error())
}

// outcomeOfStatus returns the outcome of a response with an error status: refused if the engine states in a whole response
// that it did not run the request, and otherwise unknown, since the request may have run.
func outcomeOfStatus(ctx context.Context, resp *http.Response) reply.Outcome {
	var body struct {
		RunState string `json:"run-state"`
		Detail   string `json:"detail"`
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
	if err != nil {
		return OutcomeOfError(ctx, &streamError{err})
	}
	if json.Unmarshal(raw, &body) == nil && body.RunState == string(reply.NotRun) {
		return reply.NewRefused(resp.StatusCode, body.Detail, 0)
	}
	return reply.NewUnknown(reply.Failed, fmt.Sprintf("status %d", resp.StatusCode))
}

func readStream(ctx context.Context, body io.Reader, emit func(relay.Token) error) reply.Outcome {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for lines.Scan() {
		token, ok, err := ParseLine(lines.Bytes())
		if err != nil {
			return reply.NewUnknown(reply.Broken, err.Error())
		}
		if !ok {
			continue
		}
		if err := emit(token); err != nil {
			return reply.NewUnknown(reply.Canceled, err.Error())
		}
		if token.Last {
			return reply.Done{}
		}
	}
	if err := lines.Err(); err != nil {
		return OutcomeOfError(ctx, &streamError{err})
	}
	return reply.NewUnknown(reply.Broken, "the stream ended without its last message")
}

// streamError is a failure to read a response body. It is no *dial.Error, so that the request counts as sent.
type streamError struct{ err error }

func (e *streamError) Error() string { return e.err.Error() }

// ParseLine parses one line of a stream of server-sent events; ok is false for a line without data.
func ParseLine(line []byte) (t relay.Token, ok bool, err error) {
	data, found := strings.CutPrefix(string(line), "data: ")
	if !found {
		return t, false, nil
	}
	var m struct {
		Attempt  string `json:"attempt"`
		Position int    `json:"position"`
		Text     string `json:"text"`
		Last     bool   `json:"last"`
		Reason   string `json:"reason"`
	}
	if err := json.Unmarshal([]byte(data), &m); err != nil {
		return t, false, fmt.Errorf("model: a message that is no JSON: %w", err)
	}
	if m.Position < 0 {
		return t, false, fmt.Errorf("model: position %d", m.Position)
	}
	return relay.Token{Attempt: m.Attempt, Position: m.Position, Text: m.Text, Last: m.Last, Reason: m.Reason}, true, nil
}

// Probe asks an engine over a new connection for the progress of an attempt.
func (c *Client) Probe(ctx context.Context, u *route.Upstream, attempt string) (relay.Progress, error) {
	var p struct {
		Known    bool `json:"known"`
		Queued   bool `json:"queued"`
		Position int  `json:"position"`
	}
	_, err := c.host(u).JSON(ctx, true, http.MethodGet, "/v1/attempts/"+url.PathEscape(attempt), nil, &p)
	return relay.Progress{Known: p.Known, Queued: p.Queued, Position: p.Position}, err
}

// CloseConnections closes the connections to an upstream, so that the next request dials a new one.
func (c *Client) CloseConnections(u *route.Upstream) { c.host(u).CloseConnections() }

// Order tells an engine to hold exactly these models. The fencing token lets the engine reject an order of an
// earlier lease holder.
func (c *Client) Order(ctx context.Context, u *route.Upstream, token uint64, models []string) error {
	body := struct {
		Token  uint64   `json:"number"`
		Models []string `json:"models"`
	}{token, models}
	_, err := c.host(u).JSON(ctx, true, http.MethodPost, "/v1/orders", body, nil)
	return err
}

// Load asks an upstream, engine or plain service, for its load report and returns how long the request took.
func (c *Client) Load(ctx context.Context, u *route.Upstream) (route.Report, time.Duration, error) {
	var l struct {
		Slots   int     `json:"slots"`
		Running int     `json:"running"`
		Queued  int     `json:"queued"`
		Rate    float64 `json:"tokens-per-second"`
		Leaving bool    `json:"leaving"`
		// Models is null for an upstream that is no engine.
		Models []string `json:"models"`
	}
	start := time.Now()
	_, err := c.host(u).JSON(ctx, false, http.MethodGet, "/v1/load", nil, &l)
	report := route.Report{
		Slots: l.Slots, Running: l.Running, Queued: l.Queued, Rate: l.Rate, Leaving: l.Leaving, Models: l.Models,
	}
	return report, time.Since(start), err
}
