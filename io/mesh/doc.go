// Package mesh exchanges state between the nodes. Datagrams carry the capacity that a node has reserved, the health of
// upstreams, crash marks, counts of retries, and the versions of the store's data that it has. An RPC returns newer
// configuration and upstreams, and the list of nodes, to a node that the store does not answer.
package mesh
