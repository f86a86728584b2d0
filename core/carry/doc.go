// Package carry takes a caller's request through its attempts at upstreams to one complete answer or a truthful
// refusal.
package carry
