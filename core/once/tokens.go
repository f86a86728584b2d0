package once

import (
	"container/list"
	"sync"
)

// TokenState is the state of a token as the node that issued it knows it.
type TokenState string

// The states of a token.
const (
	Undecided TokenState = "undecided" // the claim is being written, or its answer was lost
	Licensed  TokenState = "licensed"  // the call may have been sent
	Answered  TokenState = "answered"  // the call's answer is known, but not yet recorded in the row
	Revoked   TokenState = "given-up"  // the call has not run under the token and never will
	Unknown   TokenState = "unknown"   // the node has no record of the token, so the call may have been sent
)

// maxTokens bounds the tokens kept. A token that is evicted becomes Unknown, which is safe: no other claim replaces
// its row.
const maxTokens = 100_000

type tokenEntry struct {
	token    string
	state    TokenState
	response *Response
}

// tokens holds the states of the tokens that this node issued, up to maxTokens.
type tokens struct {
	mu    sync.Mutex
	order *list.List // of tokenEntry, oldest first
	byID  map[string]*list.Element
}

func newTokens() *tokens {
	return &tokens{order: list.New(), byID: make(map[string]*list.Element)}
}

func (t *tokens) set(token string, state TokenState, r *Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byID[token]; e != nil {
		e.Value = tokenEntry{token: token, state: state, response: r}
		return
	}
	t.byID[token] = t.order.PushBack(tokenEntry{token: token, state: state, response: r})
	if t.order.Len() > maxTokens {
		oldest := t.order.Front()
		delete(t.byID, oldest.Value.(tokenEntry).token)
		t.order.Remove(oldest)
	}
}

// forget drops a token once its row records the outcome.
func (t *tokens) forget(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byID[token]; e != nil {
		t.order.Remove(e)
		delete(t.byID, token)
	}
}

func (t *tokens) get(token string) (TokenState, *Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[token]
	if e == nil {
		return Unknown, nil
	}
	entry := e.Value.(tokenEntry)
	return entry.state, entry.response
}
