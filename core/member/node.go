package member

// State is the liveness of a node as another node sees it.
type State uint32

// The states of a node, each overriding those before it at the same incarnation.
const (
	Alive   State = iota
	Suspect       // it answered neither a direct nor an indirect probe
	Dead          // its suspicion timed out, or it left
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "dead"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Node is a member as the other nodes know it.
type Node struct {
	Name        string
	Address     string // IP:port for other nodes
	Admin       string // IP:port for operators
	DataCentre  string
	Incarnation uint64 // increases when the node starts and when it refutes a suspicion
	State       State
}

// overrides reports whether a received state of a node replaces the known one.
func (n Node) overrides(known Node) bool {
	if n.Incarnation != known.Incarnation {
		return n.Incarnation > known.Incarnation
	}
	return n.State > known.State
}

// Fact is a versioned value that gossip replicates to every node; for a kind and key the highest version wins.
type Fact struct {
	Kind      string
	Key       string
	Version   uint64
	Value     []byte
	Remaining uint32 // seconds until it expires, or zero for never
}

type factKey struct{ kind, key string }

// Packet is the gossip that one node sends in an exchange with another.
type Packet struct {
	From   Node
	Nodes  []Node
	Facts  []Fact
	Digest uint64 // of all facts of the sender
	Stamp  uint64 // time of the sender's hybrid logical clock
	Whole  bool   // the packet holds all nodes and facts that the sender knows
}
