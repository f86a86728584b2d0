package store

import (
	"context"
	"fmt"
)

// Row is one row of the table; version 0 means that it is absent.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Change sets a row on the condition that its version is the one given; version 0 asks for its absence.
// A write adds one to the version. A nil value asserts the version and writes nothing.
type Change struct {
	Key     string
	Value   []byte
	Version uint64
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row; its error is an *Error.
	Get(ctx context.Context, key string) (Row, error)
	// Commit makes all changes or none; its error is an *Error.
	Commit(ctx context.Context, changes ...Change) error
	// Scan returns up to limit rows whose keys begin with prefix and follow after, in order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object under its name.
	Put(ctx context.Context, name string, data []byte) error
	// Read returns an object; a missing one is an *Error of cause Missing.
	Read(ctx context.Context, name string) ([]byte, error)
}

// Machine is one VM as the platform's list shows it.
type Machine struct {
	Name       string
	Address    string // IP:port of its engine, service or node
	DataCentre string
	Kind       string // upstream kind, or "entry" for a node
	Serves     string // model or service, or "" for a node
	FirstLayer int
	LastLayer  int
	Leaving    bool
}

// List is the platform's lagging list of live and leaving VMs.
type List interface {
	// Machines returns all VMs.
	Machines(ctx context.Context) ([]Machine, error)
}

// Cause is how a call of the platform failed.
type Cause int

// The causes of failure.
const (
	Conflict  Cause = iota // a condition did not hold, and nothing was written
	NotSent                // the call did not reach the platform, and nothing was written
	Uncertain              // no answer came, and the write may have taken effect
	Missing                // there is no such object
	Compacted              // the history that was asked for is gone
)

// Error is a failed call of the platform.
type Error struct {
	cause  Cause
	detail string
}

// NewError returns an Error.
func NewError(c Cause, detail string) *Error { return &Error{cause: c, detail: detail} }

// Error returns the cause and detail.
func (e *Error) Error() string {
	names := [...]string{"conflict", "not sent", "outcome uncertain", "missing", "compacted"}
	return fmt.Sprintf("platform: %s: %s", names[e.cause], e.detail)
}

// Cause returns how the call failed.
func (e *Error) Cause() Cause { return e.cause }

// Is reports whether err is an *Error of a cause.
func Is(err error, c Cause) bool {
	e, ok := err.(*Error)
	return ok && e.cause == c
}
