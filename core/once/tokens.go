package once

import (
	"container/list"
	"sync"
)

// Fate is what a node knows of a token of its own.
type Fate string

// The fates of a token.
const (
	Undecided Fate = "undecided" // the insert's answer was lost and is being settled
	Licensed  Fate = "licensed"  // it may have been sent
	Answered  Fate = "answered"  // its answer is known, and the row does not show it yet
	GivenUp   Fate = "given-up"  // it was never sent and never will be
	Unknown   Fate = "unknown"   // the node knows nothing of it, which is not the same as given up
)

// maxTokens bounds the remembered tokens; one that is forgotten is unknown, which is safe.
const maxTokens = 100_000

type tokenState struct {
	token    string
	fate     Fate
	response *Response
}

// tokens remembers the fates of one node's tokens.
type tokens struct {
	mu    sync.Mutex
	order *list.List
	byID  map[string]*list.Element
}

func newTokens() *tokens {
	return &tokens{order: list.New(), byID: make(map[string]*list.Element)}
}

func (t *tokens) set(token string, f Fate, r *Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byID[token]; e != nil {
		e.Value = tokenState{token: token, fate: f, response: r}
		return
	}
	t.byID[token] = t.order.PushBack(tokenState{token: token, fate: f, response: r})
	if t.order.Len() > maxTokens {
		oldest := t.order.Front()
		delete(t.byID, oldest.Value.(tokenState).token)
		t.order.Remove(oldest)
	}
}

// forget drops a token whose fate the row shows.
func (t *tokens) forget(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byID[token]; e != nil {
		t.order.Remove(e)
		delete(t.byID, token)
	}
}

func (t *tokens) get(token string) (Fate, *Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[token]
	if e == nil {
		return Unknown, nil
	}
	s := e.Value.(tokenState)
	return s.fate, s.response
}
