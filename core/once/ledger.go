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

// Constants of the ledger.
const (
	tableTimeout   = 500 * time.Millisecond // of one call of the table
	settleTime     = time.Second            // in which a lost answer must be settled
	settlePause    = 20 * time.Millisecond
	recordWait     = 250 * time.Millisecond // that a caller waits for its outcome to be recorded
	recordPause    = 100 * time.Millisecond
	recordPauseMax = 5 * time.Second
	maxKeyBytes    = 255
	runningRetry   = time.Second
)

// Peers asks other nodes for the fate of their tokens.
type Peers interface {
	// Fate returns what the node that made a token knows of it; an error means that it can't be asked.
	Fate(ctx context.Context, node, token string) (Fate, *Response, error)
}

// Ledger licenses the sends of one node.
type Ledger struct {
	table       store.Table
	peers       Peers
	node        string
	incarnation string
	now         func() time.Time
	stored      atomic.Int64
	retention   atomic.Int64
	sequence    atomic.Uint64
	tokens      *tokens
	recording   sync.WaitGroup
	unrecorded  atomic.Int64
	closed      chan struct{}
	closeOnce   sync.Once
}

// Option sets a part of a Ledger.
type Option func(*Ledger)

// WithClock sets the source of wall time, which only dates rows and judges UUIDv7 keys.
func WithClock(now func() time.Time) Option { return func(l *Ledger) { l.now = now } }

// WithStoredBytes bounds the answers that are kept for repeats.
func WithStoredBytes(n int) Option { return func(l *Ledger) { l.stored.Store(int64(n)) } }

// WithRetention bounds the age of keys; only UUIDv7 keys are taken then.
func WithRetention(d time.Duration) Option { return func(l *Ledger) { l.retention.Store(int64(d)) } }

const defaultStored = 64 << 10

// New returns the ledger of one incarnation of a node; no two incarnations may share a name.
func New(table store.Table, peers Peers, node, incarnation string, opts ...Option) *Ledger {
	l := &Ledger{table: table, peers: peers, node: node, incarnation: incarnation, now: time.Now,
		tokens: newTokens(), closed: make(chan struct{})}
	l.stored.Store(defaultStored)
	for _, o := range opts {
		o(l)
	}
	return l
}

// SetStoredBytes changes the bound on answers kept for repeats.
func (l *Ledger) SetStoredBytes(n int) { l.stored.Store(int64(n)) }

// Unrecorded returns how many outcomes wait to be written.
func (l *Ledger) Unrecorded() int64 { return l.unrecorded.Load() }

// License is the right to send one call once.
type License struct {
	ledger  *Ledger
	key     Key
	row     Row
	version uint64
}

// Token returns the license's own identity, which goes with the call.
func (c *License) Token() string { return c.row.Token }

// Begin returns a license to send, or the stored answer of an earlier send, or an *Error.
func (l *Ledger) Begin(ctx context.Context, k Key, digest, request string) (*License, *Response, error) {
	if err := l.checkKey(k); err != nil {
		return nil, nil, err
	}
	c := &License{ledger: l, key: k, row: Row{
		Digest: digest, Token: l.newToken(), Node: l.node, Request: request, State: Started, At: l.now(),
	}}
	for {
		current, err := l.claim(ctx, c)
		if err != nil {
			return nil, nil, err
		}
		if current == nil {
			return c, nil, nil
		}
		// A retired row's token will never send; examine notes the version to claim over.
		response, retired, err := l.examine(ctx, c, current)
		if !retired {
			return nil, response, err
		}
		c.row.Token = l.newToken()
	}
}

func (l *Ledger) newToken() string {
	return fmt.Sprintf("%s/%s/%d", l.node, l.incarnation, l.sequence.Add(1))
}

// claim writes the license's row over the version it expects. It returns nil where the license holds,
// and otherwise the row that stands.
func (l *Ledger) claim(ctx context.Context, c *License) (*store.Row, error) {
	l.tokens.set(c.row.Token, Undecided, nil)
	err := l.commit(ctx, store.Change{Key: c.key.row(), Value: c.row.encode(), Version: c.version})
	if err == nil {
		return nil, c.hold()
	}
	if store.Is(err, store.NotSent) {
		l.tokens.set(c.row.Token, GivenUp, nil)
		return nil, &Error{cause: TableDown, detail: err.Error(), retryAfter: time.Second}
	}
	current, readErr := l.settle(ctx, c.key)
	if readErr != nil {
		l.tokens.set(c.row.Token, GivenUp, nil)
		return nil, &Error{cause: TableDown, detail: readErr.Error(), retryAfter: time.Second}
	}
	if current.Version == 0 || current.Version == c.version {
		// The write may still take effect after this read, so that its token must never be used.
		l.tokens.set(c.row.Token, GivenUp, nil)
		return nil, &Error{cause: TableDown, detail: "the write's answer was lost: " + err.Error(), retryAfter: time.Second}
	}
	row, decodeErr := decodeRow(current.Value)
	if decodeErr != nil {
		l.tokens.set(c.row.Token, GivenUp, nil)
		return nil, decodeErr
	}
	if row.Token == c.row.Token {
		return nil, c.hold()
	}
	l.tokens.set(c.row.Token, GivenUp, nil)
	return &current, nil
}

// hold turns a settled claim into the license.
func (c *License) hold() error {
	c.version++
	c.ledger.tokens.set(c.row.Token, Licensed, nil)
	return nil
}

// settle reads a row until the table answers or the time is over.
func (l *Ledger) settle(ctx context.Context, k Key) (store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for {
		row, err := l.get(ctx, k.row())
		if err == nil {
			return row, nil
		}
		select {
		case <-time.After(settlePause):
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

// examine reads what a standing row means for a repeat. It reports whether the row may be claimed over.
func (l *Ledger) examine(ctx context.Context, c *License, current *store.Row) (*Response, bool, error) {
	c.version = current.Version
	row, err := decodeRow(current.Value)
	if err != nil {
		return nil, false, err
	}
	if row.Digest != c.row.Digest {
		return nil, false, &Error{cause: OtherBody, detail: "the key was used with another body"}
	}
	switch row.State {
	case Finished:
		return stored(row.Response)
	case Abandoned:
		return nil, true, nil
	case Lost:
		return nil, false, &Error{cause: Unsettled, detail: "the call was sent and its answer was lost: " + row.Note}
	case Started:
		return l.askFate(ctx, c, current, row)
	}
	return nil, false, &Error{cause: Corrupt, detail: "a row of state " + string(row.State)}
}

func stored(r *Response) (*Response, bool, error) {
	if r == nil || r.TooLarge {
		return nil, false, &Error{cause: Withheld, detail: "the call has run; its answer was too large to keep"}
	}
	return r, false, nil
}

// askFate asks the node that holds a started row's token.
func (l *Ledger) askFate(ctx context.Context, c *License, seen *store.Row, row *Row) (*Response, bool, error) {
	fate, response, err := l.fateOf(ctx, row)
	if err != nil {
		return nil, false, &Error{cause: Unsettled, detail: fmt.Sprintf("node %s, which may have sent it, can't be asked: %v", row.Node, err)}
	}
	switch fate {
	case GivenUp:
		return nil, true, nil
	case Answered:
		return stored(response)
	case Licensed, Undecided:
		return nil, false, &Error{cause: Running, detail: "a request with this key is under way", retryAfter: runningRetry}
	case Unknown:
		// A node forgets a token once the row shows its end, which may have been since the row was read.
		if fresh, err := l.get(ctx, c.key.row()); err == nil && fresh.Version != seen.Version {
			return l.examine(ctx, c, &fresh)
		}
		return nil, false, &Error{cause: Unsettled, detail: "node " + row.Node + " restarted and can't say whether it sent it"}
	}
	return nil, false, &Error{cause: Unsettled, detail: "a fate of " + string(fate)}
}

func (l *Ledger) fateOf(ctx context.Context, row *Row) (Fate, *Response, error) {
	if row.Node == l.node {
		fate, response := l.tokens.get(row.Token)
		return fate, response, nil
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return l.peers.Fate(ctx, row.Node, row.Token)
}

// Fate returns what this node knows of a token, for other nodes.
func (l *Ledger) Fate(token string) (Fate, *Response) { return l.tokens.get(token) }

// checkKey refuses what is no key, and under a retention what the ledger may have forgotten.
func (l *Ledger) checkKey(k Key) error {
	if k.Key == "" || len(k.Key) > maxKeyBytes {
		return &Error{cause: BadKey, detail: fmt.Sprintf("a call that is not idempotent needs an Idempotency-Key of 1 to %d bytes", maxKeyBytes)}
	}
	retention := time.Duration(l.retention.Load())
	if retention == 0 {
		return nil
	}
	id, err := uuid.Parse(k.Key)
	if err != nil || id.Version() != 7 {
		return &Error{cause: BadKey, detail: "under a retention the Idempotency-Key has to be a UUIDv7"}
	}
	sec, nsec := id.Time().UnixTime()
	if l.now().Sub(time.Unix(sec, nsec)) > retention {
		return &Error{cause: Expired, detail: "the key is older than " + retention.String()}
	}
	return nil
}

// stateOf maps an outcome onto the row's last state.
func stateOf(o reply.Outcome) State {
	switch o.(type) {
	case reply.Done:
		return Finished
	case reply.NotSent, reply.Refused:
		return Abandoned
	case reply.Unknown:
		return Lost
	}
	panic(fmt.Sprintf("once: outcome %T", o))
}
