// Package peer is the protocol between nodes over dRPC: probes, gossip, and queries of token states and documents.
package peer
