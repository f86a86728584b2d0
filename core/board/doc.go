// Package board holds what one node knows of upstreams from its own requests and from the other nodes: how
// much is reserved on each, which are full, failing or silent. It picks upstreams and paths and reserves room.
package board
