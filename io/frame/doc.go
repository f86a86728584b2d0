// Package frame tells the end of an answer from that of its connection, which net/http takes for the same.
package frame
