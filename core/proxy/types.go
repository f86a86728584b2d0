package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/place"
	"rhubarbspread/core/rules"
)

// CallerHeaders holds the values of a caller's request headers.
type CallerHeaders struct {
	ID                   string // of the caller's attempt
	APIKey               string
	LastEventID          string        // ID of the event after which a stream resumes, or ""
	Deadline             time.Duration // time that the caller waits, or 0 if unknown
	PromptTokens         int
	MaxOutputTokens      int      // 0 if unknown
	ExpectedOutputTokens int      // 0 if unknown
	PromptParts          []string // IDs of the parts of the prompt in order; the last belongs to the request or its session
}

// Request is one attempt of a caller with its route, service and team.
type Request struct {
	CallerHeaders
	Method    string
	URI       string
	Host      string
	Header    http.Header
	Body      []byte
	Route     *rules.Route
	Service   *rules.Service
	Team      rules.Team
	ExpiresAt time.Time // deadline of the caller or the route
}

// priority returns the request's priority; 0 is the highest.
func (q *Request) priority() int {
	if q.Team.Name != "" && q.Team.Priority >= 0 {
		return q.Team.Priority
	}
	return q.Route.Priority
}

// Send is one attempt at an upstream.
type Send struct {
	*Request
	Upstream    *fleet.Upstream
	Hops        []board.Hop
	Remaining   time.Duration // time until the deadline
	ResumeAfter string        // ID of the event after which the stream resumes, or ""
	Team        string
	Priority    int // -1 for none
}

// Load holds the numbers of requests and slots that an upstream reports with an answer.
type Load struct{ Running, Waiting, Slots int }

// AnswerInfo classifies an answer by the upstream's headers.
type AnswerInfo struct {
	IDMismatch    bool   // the answer has the ID of another request
	IDMissing     bool   // the answer has no ID
	NotRun        bool   // the upstream did not run the request and never will
	Sealed        bool   // the answer has the seal header of the upstream
	FailedAddress string // address of the stage at fault, or ""
	Load          *Load  // nil if not reported
	RequestLimit  RequestLimit
	Rest          Rest
}

// Rest is what a refusal says about the time for which its upstream wants no requests from this node.
type Rest struct {
	For        time.Duration // 0 if none is named
	Unreadable bool          // the refusal names something that is no time
}

// RequestLimit is what an answer says about the requests that its upstream takes from all nodes together.
type RequestLimit struct {
	Stated     bool    // the answer names a limit
	PerSecond  float64 // requests a second, if stated; zero or more
	Unreadable bool    // the answer names something that is no number of requests
}

// Answer is an upstream's answer with its unread body.
type Answer struct {
	AnswerInfo
	Status int
	Header http.Header
	Body   io.ReadCloser // Close drops the connection unless the body was read to its end
	// EndsWithConnection is set if the answer states neither its length nor its chunks, so that an end of the connection
	// may also be that of the upstream.
	EndsWithConnection bool
}

// isComplete reports whether an answer that was read to its end is a success and complete beyond doubt.
func (a *Answer) isComplete() bool {
	return a.Status < http.StatusMultipleChoices && !a.EndsWithConnection
}

// Transport sends attempts to upstreams.
type Transport interface {
	// Send returns the answer as soon as its headers arrive. Its error is a *SendError.
	Send(ctx context.Context, s *Send) (*Answer, error)
	// HasConnection reports whether a reusable connection to an upstream is open.
	HasConnection(u *fleet.Upstream) bool
	// Probe opens and closes a connection to an upstream.
	Probe(ctx context.Context, u *fleet.Upstream) error
}

// SendError is the error of an attempt that got no answer.
type SendError struct {
	sent bool
	err  error
}

// NewSendError returns a SendError; sent says whether a byte of the request may have reached the upstream.
func NewSendError(sent bool, err error) *SendError { return &SendError{sent, err} }

// Error returns the cause.
func (e *SendError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.err }

// Sent reports whether the request may have reached the upstream.
func (e *SendError) Sent() bool { return e.sent }

// Sink writes an answer to the caller.
type Sink interface {
	// Begin writes the status and headers.
	Begin(status int, h http.Header)
	// Write writes and flushes a piece of the body.
	Write(p []byte) error
}

// Aborter is a Sink whose answer can be given up from another goroutine.
type Aborter interface {
	// Abort makes the current write and all later ones fail. It does not block.
	Abort()
}

// Engines controls model engines: it fetches reports and moves running requests to other paths.
type Engines interface {
	// Report fetches the current report of an upstream.
	Report(ctx context.Context, u *fleet.Upstream) (place.Report, error)
	// Reroute moves a running request to another path. With an error it returns the address of the stage at fault,
	// or "".
	Reroute(ctx context.Context, u *fleet.Upstream, id string, hops []board.Hop) (string, error)
}

// Meter records metrics for operators. Names of durations end in their unit.
type Meter interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// FleetView is the view of the fleet at the time of an attempt.
type FleetView interface {
	// Upstreams returns a service's upstreams.
	Upstreams(service string) []*fleet.Upstream
	// DataCentre returns the data centre of this node.
	DataCentre() string
	// Versions returns the versions of the configuration and of the list of upstreams, for logs.
	Versions() (configuration, list uint64)
}
