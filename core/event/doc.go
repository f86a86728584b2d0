// Package event keeps the time line: events stamped by a hybrid logical clock in a bounded ring.
package event
