package once

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbspread/core/reply"
	"rhubarbspread/core/store"

	"github.com/google/uuid"
)

// Timeouts and limits of the ledger.
const (
	tableTimeout         = 500 * time.Millisecond // of one call to the table
	rereadTimeout        = time.Second            // of reading a row back after a failed write
	rereadInterval       = 20 * time.Millisecond
	recordWait           = 250 * time.Millisecond // that a caller waits for its outcome to be recorded
	recordBackoff        = 100 * time.Millisecond // before the first retry of recording an outcome
	maxRecordBackoff     = 5 * time.Second
	maxKeyBytes          = 255
	inProgressRetryAfter = time.Second
)

// Peers queries other nodes for the state of their tokens.
type Peers interface {
	// TokenState returns the state of a token as the node that issued it knows it; an error means that the node is
	// unreachable.
	TokenState(ctx context.Context, node, token string) (TokenState, *Response, error)
}

// Ledger licenses the sends of non-idempotent calls on one node.
type Ledger struct {
	table       store.Table
	peers       Peers
	node        string
	incarnation string
	now         func() time.Time
	storedBytes atomic.Int64 // limit of a stored answer
	retention   atomic.Int64 // a time.Duration; zero accepts keys of any age and form
	sequence    atomic.Uint64
	tokens      *tokens
	recording   sync.WaitGroup
	unrecorded  atomic.Int64 // outcomes not yet written
	closed      chan struct{}
	closeOnce   sync.Once
}

// Option sets a part of a Ledger.
type Option func(*Ledger)

// WithClock sets the wall clock, which is used only to date rows and to check the age of UUIDv7 keys.
func WithClock(now func() time.Time) Option { return func(l *Ledger) { l.now = now } }

// WithStoredBytes limits the size of answers stored for repeats.
func WithStoredBytes(n int) Option { return func(l *Ledger) { l.storedBytes.Store(int64(n)) } }

// WithRetention limits the age of keys; the ledger then accepts only UUIDv7 keys.
func WithRetention(d time.Duration) Option { return func(l *Ledger) { l.retention.Store(int64(d)) } }

const defaultStoredBytes = 64 << 10

// New returns the ledger of one incarnation of a node; no two incarnations of a node may share a name.
func New(table store.Table, peers Peers, node, incarnation string, opts ...Option) *Ledger {
	l := &Ledger{table: table, peers: peers, node: node, incarnation: incarnation, now: time.Now,
		tokens: newTokens(), closed: make(chan struct{})}
	l.storedBytes.Store(defaultStoredBytes)
	for _, o := range opts {
		o(l)
	}
	return l
}

// SetStoredBytes changes the size limit of answers stored for repeats.
func (l *Ledger) SetStoredBytes(n int) { l.storedBytes.Store(int64(n)) }

// Unrecorded returns the number of outcomes that are not yet written to the table.
func (l *Ledger) Unrecorded() int64 { return l.unrecorded.Load() }

// License is the right to send one call once.
type License struct {
	ledger  *Ledger
	key     Key
	row     Row
	version uint64 // of the row that the next write replaces
}

// Token returns the license's unique token, which is sent with the call.
func (li *License) Token() string { return li.row.Token }

// Begin returns a license to send, or the stored answer of an earlier send, or an *Error.
func (l *Ledger) Begin(ctx context.Context, k Key, digest, request string) (*License, *Response, error) {
	if err := l.checkKey(k); err != nil {
		return nil, nil, err
	}
	li := &License{ledger: l, key: k, row: Row{
		Digest: digest, Token: l.newToken(), Node: l.node, Request: request, State: Started, At: l.now(),
	}}
	for {
		current, err := l.claim(ctx, li)
		if err != nil {
			return nil, nil, err
		}
		if current == nil {
			return li, nil, nil
		}
		// The call of a replaceable row never runs under its token; examine has set the version to replace.
		response, replaceable, err := l.examine(ctx, li, current)
		if !replaceable {
			return nil, response, err
		}
		li.row.Token = l.newToken()
	}
}

func (l *Ledger) newToken() string {
	return fmt.Sprintf("%s/%s/%d", l.node, l.incarnation, l.sequence.Add(1))
}

// claim writes the license's row if the stored row still has the expected version. It returns nil if the license is
// confirmed, and otherwise the row that is stored.
func (l *Ledger) claim(ctx context.Context, li *License) (*store.Row, error) {
	l.tokens.set(li.row.Token, Undecided, nil)
	err := l.commit(ctx, store.Change{Key: li.key.rowKey(), Value: li.row.encode(), Version: li.version})
	if err == nil {
		return nil, li.confirm()
	}
	if store.Is(err, store.NotSent) {
		l.tokens.set(li.row.Token, Revoked, nil)
		return nil, &Error{cause: TableUnavailable, detail: err.Error(), retryAfter: time.Second}
	}
	current, readErr := l.reread(ctx, li.key)
	if readErr != nil {
		l.tokens.set(li.row.Token, Revoked, nil)
		return nil, &Error{cause: TableUnavailable, detail: readErr.Error(), retryAfter: time.Second}
	}
	if current.Version == 0 || current.Version == li.version {
		// The write may still take effect after this read, so its token must never be used.
		l.tokens.set(li.row.Token, Revoked, nil)
		return nil, &Error{
			cause: TableUnavailable, detail: "the write's answer was lost: " + err.Error(), retryAfter: time.Second,
		}
	}
	row, decodeErr := decodeRow(current.Value)
	if decodeErr != nil {
		l.tokens.set(li.row.Token, Revoked, nil)
		return nil, decodeErr
	}
	if row.Token == li.row.Token {
		return nil, li.confirm()
	}
	l.tokens.set(li.row.Token, Revoked, nil)
	return &current, nil
}

// confirm marks the license's token as licensed after its row was written.
func (li *License) confirm() error {
	li.version++
	li.ledger.tokens.set(li.row.Token, Licensed, nil)
	return nil
}

// reread reads a row until the table answers or rereadTimeout has passed.
func (l *Ledger) reread(ctx context.Context, k Key) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, rereadTimeout)
	defer cancel()
	for {
		row, err := l.get(ctx, k.rowKey())
		if err == nil {
			return row, nil
		}
		select {
		case <-time.After(rereadInterval):
		case <-ctx.Done():
			return store.Row{}, err
		}
	}
}

func (l *Ledger) get(ctx context.Context, key string) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return l.table.Get(ctx, key)
}

func (l *Ledger) commit(ctx context.Context, c store.Change) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return l.table.Commit(ctx, c)
}

// examine returns the stored answer or the error that an existing row means for a repeated call, and whether the
// row may be replaced by a new claim.
func (l *Ledger) examine(ctx context.Context, li *License, current *store.Row) (*Response, bool, error) {
	li.version = current.Version
	row, err := decodeRow(current.Value)
	if err != nil {
		return nil, false, err
	}
	if row.Digest != li.row.Digest {
		return nil, false, &Error{cause: BodyMismatch, detail: "the key was used with another body"}
	}
	switch row.State {
	case Finished:
		return storedAnswer(row.Response)
	case Abandoned:
		return nil, true, nil
	case AnswerLost:
		return nil, false, &Error{cause: OutcomeUnknown, detail: "the call was sent and its answer was lost: " + row.Note}
	case Started:
		return l.examineStarted(ctx, li, current, row)
	}
	return nil, false, &Error{cause: Corrupt, detail: "a row of state " + string(row.State)}
}

func storedAnswer(r *Response) (*Response, bool, error) {
	if r == nil || r.TooLarge {
		return nil, false, &Error{cause: AnswerTooLarge, detail: "the call has run; its answer was too large to keep"}
	}
	return r, false, nil
}

// examineStarted queries the node that issued a started row's token.
func (l *Ledger) examineStarted(
	ctx context.Context, li *License, current *store.Row, row *Row,
) (*Response, bool, error) {
	state, response, err := l.tokenState(ctx, row)
	if err != nil {
		return nil, false, &Error{
			cause:  OutcomeUnknown,
			detail: fmt.Sprintf("node %s, which may have sent it, can't be asked: %v", row.Node, err),
		}
	}
	switch state {
	case Revoked:
		return nil, true, nil
	case Answered:
		return storedAnswer(response)
	case Licensed, Undecided:
		return nil, false, &Error{
			cause: InProgress, detail: "a request with this key is under way", retryAfter: inProgressRetryAfter,
		}
	case Unknown:
		// A node forgets a token once the row records the outcome, which may have happened after the row was read.
		if fresh, err := l.get(ctx, li.key.rowKey()); err == nil && fresh.Version != current.Version {
			return l.examine(ctx, li, &fresh)
		}
		return nil, false, &Error{
			cause: OutcomeUnknown, detail: "node " + row.Node + " restarted and can't say whether it sent it",
		}
	}
	return nil, false, &Error{cause: OutcomeUnknown, detail: "a fate of " + string(state)}
}

func (l *Ledger) tokenState(ctx context.Context, row *Row) (TokenState, *Response, error) {
	if row.Node == l.node {
		state, response := l.tokens.get(row.Token)
		return state, response, nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return l.peers.TokenState(ctx, row.Node, row.Token)
}

// TokenState returns the state of a token that this node issued; other nodes query it.
func (l *Ledger) TokenState(token string) (TokenState, *Response) { return l.tokens.get(token) }

// checkKey rejects malformed keys and, under a retention, keys whose rows may have been deleted.
func (l *Ledger) checkKey(k Key) error {
	if k.Key == "" || len(k.Key) > maxKeyBytes {
		return &Error{
			cause:  InvalidKey,
			detail: fmt.Sprintf("a call that is not idempotent needs an Idempotency-Key of 1 to %d bytes", maxKeyBytes),
		}
	}
	retention := time.Duration(l.retention.Load())
	if retention == 0 {
		return nil
	}
	id, err := uuid.Parse(k.Key)
	if err != nil || id.Version() != 7 {
		return &Error{cause: InvalidKey, detail: "under a retention the Idempotency-Key has to be a UUIDv7"}
	}
	sec, nsec := id.Time().UnixTime()
	if l.now().Sub(time.Unix(sec, nsec)) > retention {
		return &Error{cause: KeyExpired, detail: "the key is older than " + retention.String()}
	}
	return nil
}

// finalState maps the outcome of a send to the row's final state.
func finalState(o reply.Outcome) State {
	switch o.(type) {
	case reply.Done:
		return Finished
	case reply.NotSent, reply.Refused:
		return Abandoned
	case reply.Unknown:
		return AnswerLost
	}
	panic(fmt.Sprintf("once: unexpected outcome %T", o))
}
