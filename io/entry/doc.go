// Package entry is the daemon of an entry VM: it serves callers, routes their requests to layered upstreams and plain
// services, follows the platform's store, exchanges state with the other nodes and runs the placement planner.
package entry
