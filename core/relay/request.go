package relay

import (
	"slices"
	"strings"
	"time"

	"rhubarbspread/core/crash"

	"github.com/cespare/xxhash/v2"
)

// Request is a caller's request to generate an answer.
type Request struct {
	id          string
	team        string
	weight      float64
	model       string
	prompt      string
	maxTokens   int
	fingerprint crash.Fingerprint
	parts       []crash.Fingerprint // of the prompt, that other requests may share
	prefix      uint64
}

// prefixBytes is the length of the prompt prefix that is hashed for prefix cache affinity.
const prefixBytes = 256

// charactersPerToken estimates the number of tokens of a prompt.
const charactersPerToken = 4

// NewRequest returns a team's request for an answer of at most maxTokens tokens. A prompt shorter than prefixBytes
// has no prefix hash.
func NewRequest(id, team string, weight float64, model, prompt string, maxTokens int) *Request {
	r := &Request{id: id, team: team, weight: weight, model: model, prompt: prompt, maxTokens: maxTokens}
	r.fingerprint = crash.NewFingerprint(model, []byte(prompt))
	if len(prompt) >= prefixBytes {
		r.prefix = xxhash.Sum64String(model + "\x00" + prompt[:prefixBytes])
	}
	return r
}

// WithParts sets the parts of the prompt in order, such as the messages of a chat, and returns the request. Requests that
// share a part other than the last are suspected together when upstreams die.
func (r *Request) WithParts(parts []string) *Request {
	r.parts = crash.NewPartFingerprints(r.model, parts)
	return r
}

// suspects returns the fingerprints that the request may be suspected by: of its parts, then its own.
func (r *Request) suspects() []crash.Fingerprint {
	return append(slices.Clone(r.parts), r.fingerprint)
}

// ID returns the request's ID.
func (r *Request) ID() string { return r.id }

// Model returns the model's name.
func (r *Request) Model() string { return r.model }

// Fingerprint returns the hash by which crash detection recognizes identical requests.
func (r *Request) Fingerprint() crash.Fingerprint { return r.fingerprint }

// Answer is a complete generated answer.
type Answer struct {
	texts    []string
	reason   string
	attempts int
	stall    time.Duration // longest time between two tokens
}

// Text returns the answer's text.
func (a *Answer) Text() string { return strings.Join(a.texts, "") }

// Tokens returns the number of tokens.
func (a *Answer) Tokens() int { return len(a.texts) }

// Reason returns the finish reason, "stop" or "length".
func (a *Answer) Reason() string { return a.reason }

// Attempts returns the number of attempts that the answer took.
func (a *Answer) Attempts() int { return a.attempts }

// Stall returns the longest time between two consecutive tokens.
func (a *Answer) Stall() time.Duration { return a.stall }
