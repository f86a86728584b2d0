// Package serve is the HTTP interface to callers and to operators.
package serve
