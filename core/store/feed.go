package store

import (
	"cmp"
	"context"
	"time"
)

// Topic is a set of rows whose changes the feed reports.
type Topic int

// The topics.
const (
	Configuration Topic = iota // one row: the operators' latest configuration
	Upstreams                  // one row per upstream, written by the upstream
	Nodes                      // rows that nodes write: one per node, and one per request in quarantine
)

// String returns the topic's name as logs show it.
func (t Topic) String() string { return [...]string{"configuration", "upstreams", "nodes"}[t] }

// FeedRow is a row of a topic, or its removal.
type FeedRow struct {
	Key     string
	Value   []byte
	Removed bool
	Version uint64 // of the row
}

// Revision is a state of the store that a feed has reached.
type Revision struct {
	Era    uint64 // rises when the store comes back from an older copy, in which numbers are given out again
	Number uint64 // of the newest change of any table
}

// Compare returns a negative number if a revision is older than another one, 0 if they are equal, and a positive one otherwise.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Feed reports changes of topics. Its errors are *Error, with cause Compacted if the history no longer reaches back
// far enough, or to another era.
type Feed interface {
	// Snapshot returns all rows of a topic and the revision that they reflect.
	Snapshot(ctx context.Context, t Topic) ([]FeedRow, Revision, error)
	// Changes waits for rows that changed after a revision and returns them with the revision to continue from. The
	// context bounds the call, also where its connection has gone silent.
	Changes(ctx context.Context, t Topic, since Revision, wait time.Duration) ([]FeedRow, Revision, error)
	// Write writes a row of the topic Nodes, or removes it if the value is nil.
	Write(ctx context.Context, key string, value []byte) error
}
