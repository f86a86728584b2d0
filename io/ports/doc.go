// Package ports bounds what the clients of an HTTP server make it hold: connections, and the bodies that it reads.
package ports
