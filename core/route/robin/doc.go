// Package robin is a baseline routing policy that chooses upstreams in round-robin order.
package robin
