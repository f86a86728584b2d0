package store

import (
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

// Feed reports changes of topics. Its errors are *Error, with cause Compacted if the history no longer reaches back
// far enough.
type Feed interface {
	// Snapshot returns all rows of a topic and the feed version that they reflect.
	Snapshot(ctx context.Context, t Topic) ([]FeedRow, uint64, error)
	// Changes waits for rows that changed after a feed version and returns them with the version to continue from. The
	// context bounds the call, also where its connection has gone silent.
	Changes(ctx context.Context, t Topic, since uint64, wait time.Duration) ([]FeedRow, uint64, error)
	// Write writes a row of the topic Nodes, or removes it if the value is nil.
	Write(ctx context.Context, key string, value []byte) error
}
