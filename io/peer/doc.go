// Package peer is the protocol between nodes over drpc: liveness, facts, and the fate of tokens.
package peer
