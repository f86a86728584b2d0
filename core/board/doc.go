// Package board tracks the load and health of upstreams as one node sees them, from its own requests and from the
// gossip of the other nodes. It picks upstreams for plain requests and paths of stages for generations, and reserves
// capacity on them.
package board
