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

// Release is one version of an environment.
type Release struct {
	Environment string    `json:"environment"`
	Version     uint64    `json:"version"`
	Digest      string    `json:"digest"`
	By          string    `json:"by"`
	Token       string    `json:"token"`
	At          time.Time `json:"at"`
	From        string    `json:"from,omitempty"` // the environment it was promoted from
}

// Registry keeps the environments' documents in the platform's table and object store.
type Registry struct {
	table   store.Table
	objects store.Objects
	now     func() time.Time
}

// NewRegistry returns a registry.
func NewRegistry(table store.Table, objects store.Objects) *Registry {
	return &Registry{table: table, objects: objects, now: time.Now}
}

// ChangeError is a change of an environment that was not made.
type ChangeError struct {
	kind   ChangeKind
	detail string
	by     *Release // who was first
}

// ChangeKind is why a change was not made.
type ChangeKind int

// The kinds of ChangeError.
const (
	Raced       ChangeKind = iota // the environment has changed since the operator looked
	Unreadable                    // the document's body can't be read back
	Unreachable                   // the platform did not answer; nothing was changed
	InDoubt                       // the platform's answer was lost, and whether the change was made is not known
	NoRelease                     // the environment has no document
)

// Error returns what happened and what to do.
func (e *ChangeError) Error() string {
	if e.by != nil {
		return fmt.Sprintf("%s: version %d is by %s of %s, digest %.12s", e.detail, e.by.Version, e.by.By, e.by.At.Format(time.RFC3339), e.by.Digest)
	}
	return e.detail
}

// Kind returns why the change was not made.
func (e *ChangeError) Kind() ChangeKind { return e.kind }

// By returns the release that was first in a race, or nil.
func (e *ChangeError) By() *Release { return e.by }

func rowKey(environment string) string { return "environment/" + environment }

func logKey(environment string, version uint64) string {
	return fmt.Sprintf("environment-log/%s/%020d", environment, version)
}

func objectName(digest string) string { return "document-" + digest }

const settleTries = 10
const settlePause = 100 * time.Millisecond

// Current returns an environment's release; a version of 0 means that it has none.
func (r *Registry) Current(ctx context.Context, environment string) (Release, error) {
	row, err := r.table.Get(ctx, rowKey(environment))
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

// Body returns the document of a digest, checked against it.
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

// Put makes a document an environment's next version, if its version is still the one given.
func (r *Registry) Put(ctx context.Context, environment string, d *Document, by string, version uint64) (Release, error) {
	if err := r.objects.Put(ctx, objectName(d.Digest()), d.Body()); err != nil {
		return Release{}, &ChangeError{kind: Unreachable, detail: "the object store: " + err.Error()}
	}
	if _, err := r.Body(ctx, d.Digest()); err != nil {
		return Release{}, err
	}
	rel := r.release(environment, version+1, d.Digest(), by, "")
	return rel, r.write(ctx, rel)
}

// Promote makes the document of one environment the next version of another. It asserts both what the
// operator saw of the first, by its digest, and the version of the second.
func (r *Registry) Promote(ctx context.Context, from, to, digest, by string, version uint64) (Release, error) {
	source, err := r.Current(ctx, from)
	if err != nil {
		return Release{}, err
	}
	if source.Version == 0 {
		return Release{}, &ChangeError{kind: NoRelease, detail: from + " has no document"}
	}
	if source.Digest != digest {
		return Release{}, &ChangeError{kind: Raced, detail: from + " has changed since it was seen", by: &source}
	}
	if _, err := r.Body(ctx, digest); err != nil {
		return Release{}, err
	}
	rel := r.release(to, version+1, digest, by, from)
	// The row's version equals the release's: each release writes the row once.
	return rel, r.write(ctx, rel, store.Change{Key: rowKey(from), Version: source.Version})
}

func (r *Registry) release(environment string, version uint64, digest, by, from string) Release {
	return Release{
		Environment: environment, Version: version, Digest: digest, By: by, From: from,
		Token: uuid.NewString(), At: r.now().UTC(),
	}
}

// write commits a release and its log entry, and settles a lost answer by the release's own token.
func (r *Registry) write(ctx context.Context, rel Release, asserts ...store.Change) error {
	raw, err := json.Marshal(rel)
	if err != nil {
		return &ChangeError{kind: Unreadable, detail: err.Error()}
	}
	changes := append(asserts,
		store.Change{Key: rowKey(rel.Environment), Value: raw, Version: rel.Version - 1},
		store.Change{Key: logKey(rel.Environment, rel.Version), Value: raw})
	sent := false
	for try := 0; ; try++ {
		err := r.table.Commit(ctx, changes...)
		if err == nil {
			return nil
		}
		sent = sent || !store.Is(err, store.NotSent)
		if sent {
			done, settleErr := r.settle(ctx, rel, store.Is(err, store.Conflict))
			if done {
				return settleErr
			}
		}
		if try >= settleTries || pause(ctx) != nil {
			return r.giveUp(sent, err)
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-time.After(settlePause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Registry) giveUp(sent bool, err error) error {
	if sent {
		return &ChangeError{kind: InDoubt, detail: "the change may have been made; look at the history before another try: " + err.Error()}
	}
	return &ChangeError{kind: Unreachable, detail: "nothing was changed: " + err.Error()}
}

// settle looks whether a release was written. It is undecided while the environment still has the
// version before it and no condition has failed; the same commit may then be made again.
func (r *Registry) settle(ctx context.Context, rel Release, conflict bool) (bool, error) {
	row, err := r.table.Get(ctx, logKey(rel.Environment, rel.Version))
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
		return true, &ChangeError{kind: Raced, detail: rel.Environment + " has changed since it was seen", by: &written}
	case !conflict:
		return false, nil
	}
	current, err := r.Current(ctx, rel.Environment)
	if err != nil {
		return false, nil
	}
	if current.Version == rel.Version-1 && rel.From != "" {
		// The target is as it was, so it was the source that changed.
		if current, err = r.Current(ctx, rel.From); err != nil {
			return false, nil
		}
	}
	return true, &ChangeError{kind: Raced, detail: current.Environment + " has changed since it was seen", by: &current}
}

// History returns an environment's releases, oldest first.
func (r *Registry) History(ctx context.Context, environment string) ([]Release, error) {
	prefix := strings.TrimSuffix(logKey(environment, 0), fmt.Sprintf("%020d", 0))
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

const historyPage = 200
