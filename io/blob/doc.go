// Package blob reaches the platform's object store over HTTP.
package blob
