// Package entry is the daemon of an entry VM before layered upstreams and plain services: the callers' front
// door, what the node follows in the platform's store, and its planner.
package entry
