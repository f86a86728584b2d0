// Package store is what core asks of the platform's table service, object store and list.
package store
