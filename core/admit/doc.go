// Package admit decides, for the requests of one service, how much room of the upstreams each class of requests may take.
//
// Under shortage the less urgent classes are narrowed first. A controller keeps counts of what was offered and what found no
// room, on this node and by gossip on the others, and makes no decision that needs agreement between nodes.
package admit
