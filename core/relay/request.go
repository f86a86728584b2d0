package relay

import (
	"strings"
	"time"

	"rhubarbspread/core/crash"

	"github.com/cespare/xxhash/v2"
)

// Request is a caller's request for a generation.
type Request struct {
	id          string
	team        string
	weight      float64
	model       string
	prompt      string
	maxTokens   int
	fingerprint crash.Fingerprint
	prefix      uint64
}

// prefixBytes is the part of a prompt that decides which upstream's cache suits it.
const prefixBytes = 256

// charactersPerToken estimates a prompt's length in tokens.
const charactersPerToken = 4

// NewRequest returns a request of a team for at most maxTokens tokens.
func NewRequest(id, team string, weight float64, model, prompt string, maxTokens int) *Request {
	r := &Request{id: id, team: team, weight: weight, model: model, prompt: prompt, maxTokens: maxTokens}
	r.fingerprint = crash.NewFingerprint(model, []byte(prompt))
	if len(prompt) >= prefixBytes {
		r.prefix = xxhash.Sum64String(model + "\x00" + prompt[:prefixBytes])
	}
	return r
}

// ID returns the request's identity.
func (r *Request) ID() string { return r.id }

// Model returns the model's name.
func (r *Request) Model() string { return r.model }

// Fingerprint returns what tells the request from others if it crashes upstreams.
func (r *Request) Fingerprint() crash.Fingerprint { return r.fingerprint }

// Answer is a complete generation.
type Answer struct {
	texts    []string
	reason   string
	attempts int
	stall    time.Duration
}

// Text returns the answer.
func (a *Answer) Text() string { return strings.Join(a.texts, "") }

// Tokens returns the number of tokens.
func (a *Answer) Tokens() int { return len(a.texts) }

// Reason returns "stop" or "length".
func (a *Answer) Reason() string { return a.reason }

// Attempts returns how many attempts it took.
func (a *Answer) Attempts() int { return a.attempts }

// Stall returns the longest time between two tokens.
func (a *Answer) Stall() time.Duration { return a.stall }
