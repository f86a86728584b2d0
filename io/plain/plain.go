package plain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"rhubarbspread/core/call"
	"rhubarbspread/core/once"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
	"rhubarbspread/io/dial"
	"rhubarbspread/io/model"
)

// Headers of the requests to plain services and of their answers.
const (
	AttemptHeader  = "Rhubarbspread-Attempt"   // ID of the attempt, which the service echoes
	RunStateHeader = "Rhubarbspread-Run-State" // "not-run" in the refusal of a call that did not run
	KeyHeader      = "Idempotency-Key"         // of a call that may not be repeated
)

// maxAnswerBytes bounds a service's answer.
const maxAnswerBytes = 8 << 20

// Client sends calls to the upstreams of plain services.
type Client struct{ hosts *dial.HostCache }

// New returns a client that takes its hosts from a cache.
func New(hosts *dial.HostCache) *Client { return &Client{hosts: hosts} }

// Send sends one attempt. A call that may not be repeated uses a new connection, on which net/http doesn't retry.
func (c *Client) Send(
	ctx context.Context, u *route.Upstream, attempt string, q *call.Request,
) (*once.Response, reply.Outcome) {
	h := c.hosts.Host(u.Name(), u.Address())
	path := q.Path
	if q.Query != "" {
		path += "?" + q.Query
	}
	r, err := h.Request(ctx, q.Method, path, q.Body)
	if err != nil {
		return nil, reply.NewNotSent(err.Error())
	}
	if q.ContentType != "" {
		r.Header.Set("Content-Type", q.ContentType)
	}
	r.Header.Set(AttemptHeader, attempt)
	send := h.Do
	if !q.Idempotent {
		r.Header.Set(KeyHeader, q.Key)
		send = h.DoNewConn
	}
	resp, err := send(r)
	if err != nil {
		return nil, model.OutcomeOfError(ctx, err)
	}
	defer resp.Body.Close()
	return readAnswer(ctx, resp, attempt, q.Idempotent)
}

// readAnswer reads an answer and checks that it is complete and belongs to the attempt. It does not return one whose status promises
// that a call did not run which may not be repeated: the service may have run it unless it states otherwise.
func readAnswer(ctx context.Context, resp *http.Response, attempt string, isIdempotent bool) (*once.Response, reply.Outcome) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		if ctx.Err() != nil {
			return nil, reply.NewUnknown(reply.Silent, "no whole answer in time")
		}
		return nil, reply.NewUnknown(reply.Broken, err.Error())
	}
	if len(body) > maxAnswerBytes {
		return nil, reply.NewUnknown(reply.Failed, fmt.Sprintf("the answer is longer than %d bytes", maxAnswerBytes))
	}
	if echo := resp.Header.Get(AttemptHeader); echo != attempt {
		return nil, reply.NewUnknown(reply.Failed, "the answer belongs to another attempt")
	}
	statesNotRun := resp.Header.Get(RunStateHeader) == string(reply.NotRun)
	switch {
	case statesNotRun && resp.StatusCode >= http.StatusBadRequest:
		return nil, reply.NewRefused(resp.StatusCode, "the service refused", retryAfter(resp))
	case statesNotRun:
		return nil, reply.NewUnknown(reply.Failed, fmt.Sprintf("status %d of a call that the service states not to have run", resp.StatusCode))
	case resp.StatusCode >= http.StatusInternalServerError, !isIdempotent && reply.PromisesNotRun(resp.StatusCode):
		return nil, reply.NewUnknown(reply.Failed, fmt.Sprintf("status %d", resp.StatusCode))
	}
	return &once.Response{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}, reply.Done{}
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
