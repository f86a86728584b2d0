// Package robin is a baseline policy that takes upstreams in turn.
package robin
