// Package reach decides from the outcomes of new connections whether this node is cut off from the upstreams, and in which
// order other nodes are tried as relays. It opens no connections itself.
package reach
