// Package hop sends requests to upstreams over kept HTTP/1.1 connections. It repeats nothing by itself, never
// keeps a connection with bytes left over, and tells whether a request may have reached its upstream.
package hop
