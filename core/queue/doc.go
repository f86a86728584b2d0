// Package queue orders the requests of one service that wait at a node for capacity of its upstreams, by what their waiting
// costs, and offers them turns when capacity may have become free.
package queue
