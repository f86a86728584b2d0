package relay

import (
	"context"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
)

// Attempt is one attempt to generate an answer, at one upstream.
type Attempt struct {
	id        string
	request   string
	model     string
	prompt    string
	accepted  []string
	maxTokens int
	priority  int
	upstream  *route.Upstream
	suspects  []crash.Fingerprint
}

// Suspects returns the fingerprints that the request may be suspected by when an upstream dies: of the parts of its
// prompt that others may share, then its own.
func (a *Attempt) Suspects() []crash.Fingerprint { return a.suspects }

// ID returns the attempt's ID, which every message of the attempt carries.
func (a *Attempt) ID() string { return a.id }

// Request returns the request's ID.
func (a *Attempt) Request() string { return a.request }

// Model returns the model's name.
func (a *Attempt) Model() string { return a.model }

// Prompt returns the caller's prompt.
func (a *Attempt) Prompt() string { return a.prompt }

// Accepted returns the tokens that the caller already has; generation continues after them.
func (a *Attempt) Accepted() []string { return a.accepted }

// MaxTokens returns the length of the whole answer in tokens.
func (a *Attempt) MaxTokens() int { return a.maxTokens }

// Priority returns the scheduling priority at the upstream; higher values run first.
func (a *Attempt) Priority() int { return a.priority }

// Upstream returns the upstream that runs the attempt.
func (a *Attempt) Upstream() *route.Upstream { return a.upstream }

// Token is a message from an upstream: one generated token, or the end of the answer.
type Token struct {
	Attempt  string // ID
	Position int
	Text     string
	Last     bool   // the answer is complete with Position tokens; Text is empty
	Reason   string // finish reason with Last: "stop" or "length"
}

// Progress is what an upstream reports about an attempt.
type Progress struct {
	Known         bool // the upstream has the attempt
	Queued        bool // the attempt waits in the upstream's queue
	SelfMonitored bool // the engine detects stuck attempts itself
	Position      int  // tokens generated, including those accepted before
}

// Engine runs attempts on upstreams.
type Engine interface {
	// Generate sends an attempt and passes each message to emit until the stream ends or emit fails.
	// The outcome is Done only if the upstream terminated the stream properly.
	Generate(ctx context.Context, a *Attempt, emit func(Token) error) reply.Outcome
	// Probe asks an upstream over a new connection for an attempt's progress.
	Probe(ctx context.Context, u *route.Upstream, attempt string) (Progress, error)
	// CloseConnections closes the connections to an upstream, so that the next call dials a new one.
	CloseConnections(u *route.Upstream)
}

// Sink delivers an answer to the caller.
type Sink interface {
	// Token delivers the token at a position; it returns an error if the caller has disconnected.
	Token(position int, text string) error
}
