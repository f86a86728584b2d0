// Package store holds the interfaces through which core uses the platform's table service, object store, VM list
// and change feed.
package store
