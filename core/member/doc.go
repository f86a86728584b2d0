// Package member implements the nodes' membership by the SWIM protocol, and the gossip of versioned facts.
package member
