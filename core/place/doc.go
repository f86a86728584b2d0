// Package place decides which upstream holds which layers of a model and sends orders to load them. The upstreams' own
// reports are authoritative; a plan states only what is wanted.
package place
