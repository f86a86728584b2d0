// Package mesh is what nodes on the platform tell each other: datagrams with what they hold and which versions
// they know, and the configuration and upstreams for a node that the store does not answer.
package mesh
