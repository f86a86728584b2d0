package entry

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"time"

	"rhubarbspread/core/store"
)

// ExplainNodesPath is the path on the metrics address at which a node names the other ones that can be asked.
const ExplainNodesPath = ExplainPath + "/nodes"

// LiveNode is a node that can be asked for explanations.
type LiveNode struct {
	Node       string `json:"node"`
	DataCentre string `json:"data-centre"`
	Address    string `json:"address"` // IP:port of the metrics
}

// LiveNodes is a node's answer on the other nodes that it knows to be live.
type LiveNodes struct {
	Node  string     `json:"node"`
	Nodes []LiveNode `json:"nodes"`
	// AgeMS is the time since the store last answered on the rows of nodes, beyond which a new node may be missing; nil if it never
	// answered, or from a node of an older build.
	AgeMS *int64 `json:"age-ms,omitempty"`
}

// serveLiveNodes answers with the other live nodes.
func (n *Node) serveLiveNodes(w http.ResponseWriter, r *http.Request) {
	if !n.allowsExplanation(w, r, http.MethodGet) {
		return
	}
	age := n.nodesAge() // before they are read, so that it is not less than theirs
	answer := LiveNodes{Node: n.config.Node, Nodes: n.explainableNodes(), AgeMS: age}
	n.log.Info("explain-nodes", "client", r.RemoteAddr, "nodes", len(answer.Nodes))
	n.sendExplanation(w, r, answer)
}

// nodesAge returns the time since the store's latest answer on the rows of nodes in milliseconds, or nil if there was none.
func (n *Node) nodesAge() *int64 {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	at := n.storeReadAt[store.Nodes]
	if at.IsZero() {
		return nil
	}
	age := time.Since(at).Milliseconds()
	return &age
}

// explainableNodes returns the other nodes that the store lists and that may be alive. Nodes known from datagrams alone are left out:
// anyone can send one, and the command sends the operators' secret and the caller's key to the addresses named here. Metrics addresses
// are those of the rows with this node's port, which all nodes of a deployment share.
func (n *Node) explainableNodes() []LiveNode {
	_, port, err := net.SplitHostPort(n.config.MetricsAddress)
	if err != nil {
		return nil
	}
	live := n.mesh.LiveNodes()
	nodes := make([]LiveNode, 0, len(live))
	for name, node := range n.otherNodes() {
		if _, ok := live[name]; ok {
			nodes = append(nodes, LiveNode{name, node.DataCentre, net.JoinHostPort(node.Address.Addr().String(), port)})
		}
	}
	slices.SortFunc(nodes, func(a, b LiveNode) int { return cmp.Compare(a.Node, b.Node) })
	return nodes
}
