package member

// State is what a node is taken to be.
type State uint32

// The states of a node, each overriding those before it at the same incarnation.
const (
	Alive   State = iota
	Suspect       // it missed a probe, directly and through others
	Dead          // it stayed suspect for too long, or left
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "dead"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Node is one node as the others know it.
type Node struct {
	Name        string
	Address     string // IP:port for nodes
	Admin       string // IP:port for operators
	DataCentre  string
	Incarnation uint64 // grows with each start of the node, and when it refutes a suspicion
	State       State
}

// overrides reports whether news of a node replaces what is known of it.
func (n Node) overrides(known Node) bool {
	if n.Incarnation != known.Incarnation {
		return n.Incarnation > known.Incarnation
	}
	return n.State > known.State
}

// Fact is a versioned statement that every node learns; of one kind and key the highest version counts.
type Fact struct {
	Kind      string
	Key       string
	Version   uint64
	Value     []byte
	Remaining uint32 // seconds until it is forgotten, or zero for never
}

type factKey struct{ kind, key string }

// Packet is one side of an exchange between two nodes.
type Packet struct {
	From   Node
	Nodes  []Node
	Facts  []Fact
	Digest uint64 // over all facts of the sender
	Stamp  uint64 // of the sender's hybrid logical clock
	Whole  bool   // the packet holds all that the sender knows
}
