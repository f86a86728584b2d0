package pacer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	minSenders = 2 // nodes that may send to an upstream, so that one may be down
	// unknownNodes is how many nodes are taken to share a limit until their list is known.
	unknownNodes = 32
)

// Sharers is the nodes that share the limits of upstreams; it is immutable. The zero value stands for an unknown list.
type Sharers struct {
	self   uint32 // hashes of the names
	others []uint32
}

// NewSharers returns the sharers for a node and the others in the list of nodes, by the hashes of their names.
func NewSharers(self uint32, others []uint32) *Sharers { return &Sharers{self, others} }

// Share returns this node's part, from 0 to 1, of a limit in requests a second. An upstream that takes few requests gets
// them from few nodes, which rendezvous hashing chooses: a bucket of one request for each of many nodes would let more
// through at once than the limit allows in seconds.
func (s *Sharers) Share(upstream uint32, perSecond float64) float64 {
	if len(s.others) == 0 && s.self == 0 {
		return 1.0 / unknownNodes
	}
	senders := min(len(s.others)+1, max(minSenders, int(min(perSecond, float64(len(s.others)+1)))))
	rank := 0
	for _, other := range s.others {
		if RendezvousWeight(other, upstream) > RendezvousWeight(s.self, upstream) {
			rank++
		}
	}
	if rank >= senders {
		return 0
	}
	return 1 / float64(senders)
}

// RendezvousWeight returns a hash of a node and an upstream, which are given by their own hashes.
func RendezvousWeight(node, upstream uint32) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:4], node)
	binary.LittleEndian.PutUint32(b[4:], upstream)
	return xxhash.Sum64(b[:])
}
