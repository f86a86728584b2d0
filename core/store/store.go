package store

import (
	"context"
	"fmt"
)

// Row is one row of the table; version 0 means that there is no such row.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Change is a conditional write: it takes effect only if the row's version is Version, where 0 means that the row
// must not exist. A write increments the row's version. A nil value only checks the version and writes nothing.
type Change struct {
	Key     string
	Value   []byte
	Version uint64
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row; its error is an *Error.
	Get(ctx context.Context, key string) (Row, error)
	// Commit applies all changes atomically, or none; its error is an *Error.
	Commit(ctx context.Context, changes ...Change) error
	// Scan returns up to limit rows whose keys begin with prefix and are greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object under a name.
	Put(ctx context.Context, name string, data []byte) error
	// Read returns an object; for a missing one the error is an *Error of cause Missing.
	Read(ctx context.Context, name string) ([]byte, error)
}

// VM is a VM in the platform's list.
type VM struct {
	Name       string
	Address    string // IP:port of the engine, service or node on it
	DataCentre string
	Kind       string // upstream kind, or "entry" for a node
	Serves     string // model or service, or "" for a node
	FirstLayer int    // of the model's layers that it holds
	LastLayer  int    // exclusive
	Leaving    bool   // the VM is about to be removed
}

// List is the platform's list of live and leaving VMs; it lags behind their real state.
type List interface {
	// VMs returns all listed VMs.
	VMs(ctx context.Context) ([]VM, error)
}

// Cause says why a call to the platform failed.
type Cause int

// The causes of failure.
const (
	Conflict  Cause = iota // a version condition did not hold; nothing was written
	NotSent                // the call did not reach the platform; nothing was written
	Uncertain              // no answer arrived; the write may have taken effect
	Missing                // the object does not exist
	Compacted              // the feed's history no longer reaches back to the requested version
)

// Error is a failed call to the platform.
type Error struct {
	cause  Cause
	detail string
}

// NewError returns an Error with a cause and a detail.
func NewError(c Cause, detail string) *Error { return &Error{cause: c, detail: detail} }

// Error returns the cause and the detail.
func (e *Error) Error() string {
	names := [...]string{"conflict", "not sent", "outcome uncertain", "missing", "compacted"}
	return fmt.Sprintf("platform: %s: %s", names[e.cause], e.detail)
}

// Cause returns why the call failed.
func (e *Error) Cause() Cause { return e.cause }

// Is reports whether err is an *Error with cause c.
func Is(err error, c Cause) bool {
	e, ok := err.(*Error)
	return ok && e.cause == c
}
