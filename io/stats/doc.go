// Package stats keeps the metrics of one node as expvar variables, separate from those of other nodes in the same
// process.
package stats
