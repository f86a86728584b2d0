package board

import (
	"time"

	"rhubarbspread/core/fleet"
)

// Claim is the capacity of one upstream that a node's requests use.
type Claim struct {
	Reserved   float64 // tokens x layers that are reserved
	InFlight   int     // requests that have a stage on it
	FirstStage int     // requests that are sent to it: plain ones, and those whose first stage it runs
	Prefill    float64 // prompt tokens x layers that it has not prefilled yet
}

// add returns the sum of two claims.
func (c Claim) add(d Claim) Claim {
	return Claim{c.Reserved + d.Reserved, c.InFlight + d.InFlight, c.FirstStage + d.FirstStage, c.Prefill + d.Prefill}
}

// Gossip is what another node reports on upstreams, by the hashes of their keys.
type Gossip struct {
	Node       string
	DataCentre string
	Claims     map[uint32]Claim
	Failed     []uint32           // ejected after failures
	Refusing   []uint32           // ejected after refusals, once for each node that was refused
	Slowdowns  map[uint32]float64 // slowdowns that upstreams reported to the node
}

// peerGossip is the latest gossip of another node.
type peerGossip struct {
	Gossip
	receivedAt time.Time
}

// isRefusingPeers reports whether an upstream refuses the requests of several other nodes: it has no capacity, or a
// later stage has failed.
func (s *upstreamState) isRefusingPeers(now time.Time) bool {
	return s.refusedPeers >= minRefusedPeers && now.Sub(s.refusedPeersAt) < refusedPeersTTL
}

// Claims returns the capacity that this node's requests use, by the hash of the upstream's key.
func (b *Board) Claims() map[uint32]Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := make(map[uint32]Claim, len(b.states))
	for _, s := range b.states {
		if s.inFlight > 0 || s.firstStage > 0 {
			m[s.hash] = Claim{s.reserved, s.inFlight, s.firstStage, s.prefill}
		}
	}
	return m
}

// FailedHashes returns the hashes of the upstreams that this node ejects after timeouts or connection failures; none if
// these may be its own fault.
func (b *Board) FailedHashes() []uint32 {
	if b.isOwnFault() {
		return nil
	}
	return b.ejectedHashes(func(s *upstreamState) bool { return s.failures > 0 })
}

// RefusingHashes returns the hashes of the upstreams that this node ejects after refusals alone.
func (b *Board) RefusingHashes() []uint32 {
	return b.ejectedHashes(func(s *upstreamState) bool { return s.failures == 0 && s.refusals > 0 })
}

// ejectedHashes returns the hashes of the ejected upstreams whose state matches.
func (b *Board) ejectedHashes(matches func(*upstreamState) bool) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var hashes []uint32
	for _, s := range b.states {
		if now.Before(s.ejectedUntil) && matches(s) {
			hashes = append(hashes, s.hash)
		}
	}
	return hashes
}

// ApplyGossip stores the latest gossip of another node and drops that of nodes which sent none within claimTTL.
func (b *Board) ApplyGossip(g Gossip) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.onFreed()
	b.gossipAt = b.now()
	b.peers[g.Node] = peerGossip{g, b.gossipAt}
	byHash := make(map[uint32]*upstreamState, len(b.states))
	for _, s := range b.states {
		s.peerClaims, s.suspicions, s.refusedPeers = Claim{}, 0, 0
		byHash[s.hash] = s
	}
	now := b.now()
	for hash, slowdown := range g.Slowdowns {
		if s := byHash[hash]; s != nil && !s.slowdownIsDirect {
			s.slowdown, s.slowdownAt = slowdown, now
		}
	}
	for node, peer := range b.peers {
		if now.Sub(peer.receivedAt) > claimTTL {
			delete(b.peers, node)
			continue
		}
		for hash, c := range peer.Claims {
			if s := byHash[hash]; s != nil {
				s.peerClaims = s.peerClaims.add(c)
			}
		}
		for _, hash := range peer.Refusing {
			if s := byHash[hash]; s != nil {
				s.refusedPeers++
				if peer.receivedAt.After(s.refusedPeersAt) {
					s.refusedPeersAt = peer.receivedAt
				}
			}
		}
		for _, hash := range peer.Failed {
			if s := byHash[hash]; s != nil {
				s.suspicions++
				if peer.DataCentre == s.dataCentre {
					s.suspicions++
				}
			}
		}
	}
}

// PeerClaims returns the sum of the other nodes' claims on an upstream by their latest gossip.
func (b *Board) PeerClaims(u *fleet.Upstream) Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(KeyOf(u)).peerClaims
}

// Slowdowns returns the slowdowns that upstreams reported to this node, by the hashes of their keys.
func (b *Board) Slowdowns() map[uint32]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	m := make(map[uint32]float64)
	for _, s := range b.states {
		if s.slowdownIsDirect && now.Sub(s.slowdownAt) < slowdownTTL {
			m[s.hash] = s.slowdown
		} else {
			s.slowdownIsDirect = false
		}
	}
	return m
}
