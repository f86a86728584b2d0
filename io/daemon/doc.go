// Package daemon assembles a node from its parts: control state, request handling, gossip with other nodes, clients of
// the platform, and the HTTP interfaces.
package daemon
