package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"rhubarbspread/core/chain"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/event"
	"rhubarbspread/core/kern"
	"rhubarbspread/io/serve"
)

// Values of a drain fact, which say who drains the upstream VM.
const (
	drainOff      = "" // nobody
	drainOperator = "operator"
	drainCapacity = "capacity" // the reconciler, before an engine loses a model
)

func joinNames(names []string) string { return strings.Join(names, ",") }

// stagesOf returns the stages of each split model, keyed by the model's name.
func stagesOf(v *kern.View) map[string]*chain.Stages {
	out := make(map[string]*chain.Stages)
	for name := range v.Pools() {
		if s := v.Stages(name); s != nil {
			out[name] = s
		}
	}
	return out
}

// adminHandler returns the admin interface, which has its own port and key.
func (n *Node) adminHandler() (http.Handler, error) {
	return serve.NewAdminHandler(n.config.AdminKey, []serve.AdminRoute{
		{Method: http.MethodGet, Path: "/v1/status", Handler: n.serveStatus},
		{Method: http.MethodGet, Path: "/v1/nodes", Handler: n.serveNodes},
		{Method: http.MethodGet, Path: "/v1/upstreams", Handler: n.serveUpstreams},
		{Method: http.MethodGet, Path: "/v1/timeline", Handler: n.serveTimeline},
		{Method: http.MethodGet, Path: "/v1/quarantine", Handler: n.serveQuarantine},
		{Method: http.MethodDelete, Path: "/v1/quarantine/:fingerprint", Handler: n.serveQuarantineClear},
		{Method: http.MethodPost, Path: "/v1/drain", Handler: n.serveDrain},
		{Method: http.MethodGet, Path: "/debug/vars", Handler: n.stats.Handler().ServeHTTP},
	})
}

// Status is what a node reports about itself.
type Status struct {
	Node        string `json:"node"`
	DataCentre  string `json:"data-centre"`
	Environment string `json:"environment"`
	Version     uint64 `json:"version"` // of the document in force
	Digest      string `json:"digest"`  // of the document in force
	Ready       bool   `json:"ready"`
	InFlight    int64  `json:"in-flight"`  // requests
	Unrecorded  int64  `json:"unrecorded"` // outcomes not yet written to the ledger's table
	Nodes       int    `json:"nodes"`      // live ones, including this one
	Upstreams   int    `json:"upstreams"`
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	v := n.control.View()
	s := Status{
		Node: n.config.Node, DataCentre: n.config.DataCentre, Environment: n.config.Environment,
		Version: v.Version(), Ready: v.Ready(), InFlight: n.callers.InFlight(),
		Unrecorded: n.ledger.Unrecorded(), Nodes: len(n.swim.Alive()), Upstreams: len(v.Upstreams()),
	}
	if d := v.Document(); d != nil {
		s.Digest = d.Digest()
	}
	serve.JSON(w, s)
}

// NodeStatus is the status of a node as another node sees it.
type NodeStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Address    string `json:"address"`
	Admin      string `json:"admin"`
	State      string `json:"state"`
}

func (n *Node) serveNodes(w http.ResponseWriter, _ *http.Request) {
	statuses := []NodeStatus{}
	for _, m := range n.swim.All() {
		statuses = append(statuses, NodeStatus{
			Name: m.Name, DataCentre: m.DataCentre, Address: m.Address, Admin: m.Admin, State: m.State.String(),
		})
	}
	serve.JSON(w, struct {
		Nodes []NodeStatus `json:"nodes"`
	}{statuses})
}

// UpstreamStatus is the status of an upstream as one node sees it.
type UpstreamStatus struct {
	Name        string  `json:"name"`
	DataCentre  string  `json:"data-centre"`
	Serves      string  `json:"serves"`
	Layers      string  `json:"layers,omitempty"`
	Draining    bool    `json:"draining"`
	Available   bool    `json:"fit"`               // it may get new requests
	InFlight    int     `json:"in-flight"`         // requests from this node
	Window      int     `json:"window"`            // largest number of requests in flight from this node
	Slots       int     `json:"slots"`             // largest number of concurrent requests
	Rate        float64 `json:"tokens-per-second"` // of one stream
	RoundTripMS float64 `json:"link-ms"`           // round-trip time
	Failures    int     `json:"failures"`          // consecutive ones
}

func (n *Node) serveUpstreams(w http.ResponseWriter, _ *http.Request) {
	serve.JSON(w, struct {
		Upstreams []UpstreamStatus `json:"upstreams"`
	}{upstreamStatuses(n.control.View())})
}

func upstreamStatuses(v *kern.View) []UpstreamStatus {
	byName := make(map[string]UpstreamStatus)
	for _, pool := range v.Pools() {
		states, _ := pool.State()
		for _, s := range states {
			byName[s.Upstream] = UpstreamStatus{
				Available: s.Available, InFlight: s.InFlight, Window: s.Window, Slots: s.Slots, Rate: s.Rate,
				RoundTripMS: float64(s.RTT) / float64(time.Millisecond), Failures: s.Failures,
			}
		}
	}
	statuses := []UpstreamStatus{}
	for _, u := range v.Upstreams() {
		status := byName[u.Name()]
		status.Name, status.DataCentre, status.Serves = u.Name(), u.DataCentre(), u.Serves()
		status.Draining = v.Draining(u.Name())
		if stages := v.Stages(u.Serves()); stages != nil {
			first, last := u.Layers()
			status.Layers = layersText(first, last)
			status.Available = stages.Usable(u.Name())
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (n *Node) serveTimeline(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f := event.Filter{
		Request: q.Get("request"), Team: q.Get("team"), Upstream: q.Get("upstream"),
		Node: q.Get("node"), Kind: q.Get("kind"),
	}
	if since := q.Get("since"); since != "" {
		t, err := time.Parse(time.RFC3339, since)
		if err != nil {
			http.Error(w, "since: "+err.Error(), http.StatusBadRequest)
			return
		}
		f.Since = event.StampOf(t)
	}
	events := n.ring.Select(f)
	if events == nil {
		events = []event.Event{}
	}
	serve.JSON(w, struct {
		Events []event.Event `json:"events"`
	}{events})
}

func (n *Node) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	entries := n.crashes.List()
	if entries == nil {
		entries = []crash.Entry{}
	}
	serve.JSON(w, struct {
		Quarantine []crash.Entry `json:"quarantine"`
	}{entries})
}

func (n *Node) serveQuarantineClear(w http.ResponseWriter, r *http.Request) {
	fingerprint := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	n.publishMark(n.crashes.Clear(crash.Fingerprint(fingerprint)))
	w.WriteHeader(http.StatusNoContent)
}

// serveDrain starts or ends the draining of an upstream VM on all nodes.
func (n *Node) serveDrain(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Name  string `json:"name"`
		Drain bool   `json:"drain"`
	}
	raw, err := io.ReadAll(r.Body) // serve.OperatorLimits bounds it
	if err == nil {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !n.hasUpstream(body.Name) {
		http.Error(w, "no upstream "+body.Name, http.StatusNotFound)
		return
	}
	value := drainOff
	if body.Drain {
		value = drainOperator
	}
	n.drain(body.Name, value)
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) hasUpstream(upstream string) bool {
	for _, u := range n.control.View().Upstreams() {
		if u.Name() == upstream {
			return true
		}
	}
	return false
}

func layersText(first, last int) string { return fmt.Sprintf("%d-%d", first, last-1) }
