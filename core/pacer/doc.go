// Package pacer keeps the requests that all nodes send to an upstream within the limit that the upstream names.
package pacer
