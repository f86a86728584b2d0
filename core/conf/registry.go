package conf

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"rhubarbspread/core/store"

	"github.com/google/uuid"
)

// Release is one version of an environment's document.
type Release struct {
	Environment  string    `json:"environment"`
	Version      uint64    `json:"version"`
	Digest       string    `json:"digest"` // of the document's body
	Author       string    `json:"by"`     // the operator who made it
	Token        string    `json:"token"`  // unique, to recognise its own write after a lost answer
	At           time.Time `json:"at"`
	PromotedFrom string    `json:"from,omitempty"` // the environment it was promoted from
}

// Registry stores the environments' releases in the platform's table and the documents in its object store.
type Registry struct {
	table   store.Table
	objects store.Objects
	now     func() time.Time
}

// NewRegistry returns a registry over a table and an object store.
func NewRegistry(table store.Table, objects store.Objects) *Registry {
	return &Registry{table: table, objects: objects, now: time.Now}
}

// ChangeError is a change of an environment that failed or whose outcome is unknown.
type ChangeError struct {
	kind   ChangeKind
	detail string
	winner *Release // that caused a conflict
}

// ChangeKind says why a change failed.
type ChangeKind int

// The kinds of ChangeError.
const (
	Conflict    ChangeKind = iota // the environment changed after the operator read it
	Unreadable                    // a stored release or document can't be read or decoded
	Unreachable                   // the platform is unreachable; nothing was changed
	InDoubt                       // the platform's answer was lost; the change may have been made
	NoRelease                     // the environment has no document
)

// Error returns the detail and, for a conflict, the release that caused it.
func (e *ChangeError) Error() string {
	if e.winner != nil {
		return fmt.Sprintf("%s: version %d is by %s of %s, digest %.12s",
			e.detail, e.winner.Version, e.winner.Author, e.winner.At.Format(time.RFC3339), e.winner.Digest)
	}
	return e.detail
}

// Kind returns why the change failed.
func (e *ChangeError) Kind() ChangeKind { return e.kind }

// Winner returns the release that caused a conflict, or nil.
func (e *ChangeError) Winner() *Release { return e.winner }

func releaseKey(environment string) string { return "environment/" + environment }

func historyKey(environment string, version uint64) string {
	return fmt.Sprintf("environment-log/%s/%020d", environment, version)
}

func objectName(digest string) string { return "document-" + digest }

const maxCommitRetries = 10
const commitRetryInterval = 100 * time.Millisecond

// Current returns an environment's current release; version 0 means that there is none.
func (r *Registry) Current(ctx context.Context, environment string) (Release, error) {
	row, err := r.table.Get(ctx, releaseKey(environment))
	if err != nil {
		return Release{}, &ChangeError{kind: Unreachable, detail: err.Error()}
	}
	return decodeRelease(environment, row)
}

func decodeRelease(environment string, row store.Row) (Release, error) {
	if row.Version == 0 {
		return Release{Environment: environment}, nil
	}
	var rel Release
	if err := json.Unmarshal(row.Value, &rel); err != nil {
		return Release{}, &ChangeError{kind: Unreadable, detail: "the environment's row: " + err.Error()}
	}
	return rel, nil
}

// Body returns the document whose body has the given digest, and verifies that.
func (r *Registry) Body(ctx context.Context, digest string) (*Document, error) {
	raw, err := r.objects.Read(ctx, objectName(digest))
	if err != nil {
		return nil, &ChangeError{kind: Unreadable, detail: "the document's body: " + err.Error()}
	}
	if Digest(raw) != digest {
		return nil, &ChangeError{kind: Unreadable, detail: "the document's body does not match its digest"}
	}
	return Decode(raw)
}

// Put makes a document the next release of an environment, provided that the environment's version is still the one
// given.
func (r *Registry) Put(
	ctx context.Context, environment string, d *Document, author string, version uint64,
) (Release, error) {
	if err := r.objects.Put(ctx, objectName(d.Digest()), d.Body()); err != nil {
		return Release{}, &ChangeError{kind: Unreachable, detail: "the object store: " + err.Error()}
	}
	if _, err := r.Body(ctx, d.Digest()); err != nil {
		return Release{}, err
	}
	rel := r.newRelease(environment, version+1, d.Digest(), author, "")
	return rel, r.write(ctx, rel)
}

// Promote makes the document of one environment the next release of another, provided that the source still has the
// given digest and the target the given version.
func (r *Registry) Promote(ctx context.Context, from, to, digest, author string, version uint64) (Release, error) {
	source, err := r.Current(ctx, from)
	if err != nil {
		return Release{}, err
	}
	if source.Version == 0 {
		return Release{}, &ChangeError{kind: NoRelease, detail: from + " has no document"}
	}
	if source.Digest != digest {
		return Release{}, &ChangeError{kind: Conflict, detail: from + " has changed since it was seen", winner: &source}
	}
	if _, err := r.Body(ctx, digest); err != nil {
		return Release{}, err
	}
	rel := r.newRelease(to, version+1, digest, author, from)
	// The row's version equals the release's version, because each release writes the row once.
	return rel, r.write(ctx, rel, store.Change{Key: releaseKey(from), Version: source.Version})
}

func (r *Registry) newRelease(environment string, version uint64, digest, author, from string) Release {
	return Release{
		Environment: environment, Version: version, Digest: digest, Author: author, PromotedFrom: from,
		Token: uuid.NewString(), At: r.now().UTC(),
	}
}

// write commits a release and its history entry. After a lost answer it finds out by the release's token whether the
// commit took effect.
func (r *Registry) write(ctx context.Context, rel Release, conditions ...store.Change) error {
	raw, err := json.Marshal(rel)
	if err != nil {
		return &ChangeError{kind: Unreadable, detail: err.Error()}
	}
	changes := append(conditions,
		store.Change{Key: releaseKey(rel.Environment), Value: raw, Version: rel.Version - 1},
		store.Change{Key: historyKey(rel.Environment, rel.Version), Value: raw})
	mayHaveCommitted := false
	for retries := 0; ; retries++ {
		err := r.table.Commit(ctx, changes...)
		if err == nil {
			return nil
		}
		mayHaveCommitted = mayHaveCommitted || !store.Is(err, store.NotSent)
		if mayHaveCommitted {
			decided, outcome := r.checkWritten(ctx, rel, store.Is(err, store.Conflict))
			if decided {
				return outcome
			}
		}
		if retries >= maxCommitRetries || pause(ctx) != nil {
			return r.retriesExhausted(mayHaveCommitted, err)
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-time.After(commitRetryInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Registry) retriesExhausted(mayHaveCommitted bool, err error) error {
	if mayHaveCommitted {
		return &ChangeError{
			kind:   InDoubt,
			detail: "the change may have been made; look at the history before another try: " + err.Error(),
		}
	}
	return &ChangeError{kind: Unreachable, detail: "nothing was changed: " + err.Error()}
}

// checkWritten finds out whether a release was written. The first result is false, and the same commit may be
// retried, if the table can't be read, or if there is no history entry of the release's version and no version
// condition has failed.
func (r *Registry) checkWritten(ctx context.Context, rel Release, conflict bool) (bool, error) {
	row, err := r.table.Get(ctx, historyKey(rel.Environment, rel.Version))
	if err != nil {
		return false, nil
	}
	written, err := decodeRelease(rel.Environment, row)
	switch {
	case err != nil:
		return true, err
	case written.Token == rel.Token:
		return true, nil
	case written.Version != 0:
		return true, &ChangeError{
			kind: Conflict, detail: rel.Environment + " has changed since it was seen", winner: &written,
		}
	case !conflict:
		return false, nil
	}
	current, err := r.Current(ctx, rel.Environment)
	if err != nil {
		return false, nil
	}
	if current.Version == rel.Version-1 && rel.PromotedFrom != "" {
		// The target is unchanged, so the source has changed.
		if current, err = r.Current(ctx, rel.PromotedFrom); err != nil {
			return false, nil
		}
	}
	return true, &ChangeError{
		kind: Conflict, detail: current.Environment + " has changed since it was seen", winner: &current,
	}
}

// History returns an environment's releases, oldest first.
func (r *Registry) History(ctx context.Context, environment string) ([]Release, error) {
	prefix := strings.TrimSuffix(historyKey(environment, 0), fmt.Sprintf("%020d", 0))
	var out []Release
	after := ""
	for {
		rows, err := r.table.Scan(ctx, prefix, after, historyPage)
		if err != nil {
			return nil, &ChangeError{kind: Unreachable, detail: err.Error()}
		}
		for _, row := range rows {
			rel, err := decodeRelease(environment, row)
			if err != nil {
				return nil, err
			}
			out = append(out, rel)
			after = row.Key
		}
		if len(rows) < historyPage {
			return out, nil
		}
	}
}

// historyPage is the number of rows per table scan.
const historyPage = 200
