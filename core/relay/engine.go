package relay

import (
	"context"

	"rhubarbspread/core/reply"
	"rhubarbspread/core/route"
)

// Attempt is one try of a generation at one upstream.
type Attempt struct {
	id        string
	request   string
	model     string
	prompt    string
	accepted  []string
	maxTokens int
	priority  int
	upstream  *route.Upstream
}

// ID returns the identity that every message of the attempt carries.
func (a *Attempt) ID() string { return a.id }

// Request returns the identity of the request.
func (a *Attempt) Request() string { return a.request }

// Model returns the model's name.
func (a *Attempt) Model() string { return a.model }

// Prompt returns the caller's prompt.
func (a *Attempt) Prompt() string { return a.prompt }

// Accepted returns the tokens that the caller has already; generation goes on behind them.
func (a *Attempt) Accepted() []string { return a.accepted }

// MaxTokens returns the length of the whole answer in tokens.
func (a *Attempt) MaxTokens() int { return a.maxTokens }

// Priority returns the engine's priority; a higher one goes first.
func (a *Attempt) Priority() int { return a.priority }

// Upstream returns where the attempt runs.
func (a *Attempt) Upstream() *route.Upstream { return a.upstream }

// Token is one generated token as a message from an upstream.
type Token struct {
	Attempt  string
	Position int
	Text     string
	Last     bool   // the answer is complete behind Position tokens; Text is empty
	Reason   string // why a complete answer ended: "stop" or "length"
}

// Progress is what an upstream knows of an attempt.
type Progress struct {
	Known    bool
	Queued   bool
	Watched  bool // the engine itself finds out whether the attempt is stuck
	Position int  // tokens generated, those accepted before included
}

// Engine runs generations on upstreams.
type Engine interface {
	// Generate sends an attempt and hands each message to emit until the stream ends or emit fails.
	// Its outcome is Done only if the upstream ended the stream in the proper way.
	Generate(ctx context.Context, a *Attempt, emit func(Token) error) reply.Outcome
	// Probe asks over a new connection how far an attempt is.
	Probe(ctx context.Context, u *route.Upstream, attempt string) (Progress, error)
	// Drop closes the connections to an upstream, so that the next call dials anew.
	Drop(u *route.Upstream)
}

// Sink takes the answer for the caller.
type Sink interface {
	// Token takes the token of a position; an error says that the caller is gone.
	Token(position int, text string) error
}
