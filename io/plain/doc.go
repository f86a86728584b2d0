// Package plain reaches plain services over HTTP; it decides nothing.
package plain
