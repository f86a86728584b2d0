// Package hop sends requests to upstreams over pooled HTTP/1.1 connections. It never retries by itself, never reuses a
// connection with unread bytes, and reports whether a request may have reached its upstream.
package hop
