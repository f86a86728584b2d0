// Package frame judges the answers that a connection brings, as they are read; what it lets through, net/http parses.
package frame
