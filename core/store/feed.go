package store

import (
	"context"
	"time"
)

// Topic is a set of rows whose changes can be followed.
type Topic int

// The topics.
const (
	Configuration Topic = iota // one row: the operators' newest configuration
	Upstreams                  // a row an upstream, written by itself
	Nodes                      // a row a node, written by itself
)

// String returns the topic's name in logs.
func (t Topic) String() string { return [...]string{"configuration", "upstreams", "nodes"}[t] }

// Item is a changed row of a topic.
type Item struct {
	Key     string
	Value   []byte
	Removed bool
	Version uint64 // of the row
}

// Feed tells changes of topics; its errors are *Error, of cause Compacted if the history is gone.
type Feed interface {
	// Snapshot returns all rows of a topic and the version that they show.
	Snapshot(ctx context.Context, t Topic) ([]Item, uint64, error)
	// Changes waits for rows that changed after a version and returns them with the version to go on from.
	Changes(ctx context.Context, t Topic, since uint64, wait time.Duration) ([]Item, uint64, error)
	// Announce writes the row of this node in the topic Nodes.
	Announce(ctx context.Context, node string, value []byte) error
}
