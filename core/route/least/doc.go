// Package least is a baseline routing policy that chooses the upstream with this node's fewest requests in flight.
package least
