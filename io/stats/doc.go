// Package stats holds a node's expvar figures, apart from those of other nodes in the process.
package stats
