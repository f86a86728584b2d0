package carry

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

// Facts is what a caller's headers say.
type Facts struct {
	ID         string // of the caller's attempt
	Key        string
	LastEvent  string        // behind which a stream goes on, or ""
	Deadline   time.Duration // that the caller waits, or 0
	Prompt     int           // tokens
	MostOutput int           // tokens
	Hint       int           // tokens of output that the caller expects, or 0
}

// Request is one attempt of a caller.
type Request struct {
	Facts
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	Route   *rules.Route
	Service *rules.Service
	Team    rules.Team
	Until   time.Time // the caller or the route waits no longer
}

// priority returns the request's rank, 0 being the highest.
func (q *Request) priority() int {
	if q.Team.Name != "" && q.Team.Priority >= 0 {
		return q.Team.Priority
	}
	return q.Route.Priority
}

// Send is one attempt at an upstream.
type Send struct {
	*Request
	Upstream  *fleet.Upstream
	Hops      []board.Hop
	Left      time.Duration // until the caller leaves
	LastEvent string
	Team      string
	Priority  int // -1 for none
}

// Load is what an upstream tells of itself.
type Load struct{ Running, Waiting, Slots int }

// Verdict is what an upstream's headers say of an answer.
type Verdict struct {
	Foreign bool   // it bears another ID
	NotRun  bool   // the upstream did not run the request and never will
	Sealed  bool   // it bears the upstream's seal
	Culprit string // address of the part at fault, or ""
	Load    *Load  // or nil
}

// Answer is an upstream's answer whose body is still to be read.
type Answer struct {
	Verdict
	Status int
	Header http.Header
	Body   io.ReadCloser // Close gives the connection up unless the body was read to its end
}

// Transport sends attempts. Its error is a *SendError.
type Transport interface {
	Send(ctx context.Context, s *Send) (*Answer, error)
	// HasConnection reports whether a connection to an upstream is kept.
	HasConnection(u *fleet.Upstream) bool
	// Reach opens and closes a connection to an upstream.
	Reach(ctx context.Context, u *fleet.Upstream) error
}

// SendError is an attempt without an answer.
type SendError struct {
	sent bool
	err  error
}

// NewSendError returns a SendError; sent means that a byte of the request may have reached the upstream.
func NewSendError(sent bool, err error) *SendError { return &SendError{sent, err} }

// Error returns the cause.
func (e *SendError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.err }

// Sent reports whether the request may have reached the upstream.
func (e *SendError) Sent() bool { return e.sent }

// Sink takes an answer to the caller.
type Sink interface {
	// Begin writes the status and headers.
	Begin(status int, h http.Header)
	// Write writes a piece of the body at once.
	Write(p []byte) error
}

// Engines asks upstreams for reports and leads running requests along other paths.
type Engines interface {
	Report(ctx context.Context, u *fleet.Upstream) (place.Report, error)
	// Repath leads the request of an ID along another path. With its error it names the part at fault, by address.
	Repath(ctx context.Context, u *fleet.Upstream, id string, hops []board.Hop) (string, error)
}

// Meter counts what operators look at. Names of times end in their unit.
type Meter interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// World is what a carrier sees of the fleet at the time of an attempt.
type World interface {
	// Upstreams returns a service's upstreams.
	Upstreams(service string) []*fleet.Upstream
	// DataCentre returns the node's own.
	DataCentre() string
	// Versions returns those of the configuration and of the list of upstreams, for logs.
	Versions() (configuration, list uint64)
}
