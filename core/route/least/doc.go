// Package least is a baseline policy that takes the upstream with the fewest requests of this node in flight.
package least
