// Package plain is the HTTP client of plain services; it makes no routing or retry decisions.
package plain
