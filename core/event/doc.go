// Package event records the timeline of a node: events stamped by a hybrid logical clock, in a bounded ring buffer.
package event
