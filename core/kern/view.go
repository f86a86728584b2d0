package kern

import (
	"rhubarbspread/core/chain"
	"rhubarbspread/core/conf"
	"rhubarbspread/core/limit"
	"rhubarbspread/core/route"
)

// View is the control state that traffic reads; it never changes once published.
type View struct {
	version   uint64
	document  *conf.Document
	keyring   *conf.Keyring
	upstreams []*route.Upstream
	draining  map[string]bool
	nodes     []string
	pools     map[string]*limit.Pool
	stages    map[string]*chain.Stages
}

// Ready reports whether a document is in force.
func (v *View) Ready() bool { return v.document != nil }

// Version returns the version of the document in force.
func (v *View) Version() uint64 { return v.version }

// Document returns the document in force, or nil.
func (v *View) Document() *conf.Document { return v.document }

// Keyring returns the teams' keys; it is nil before the first document.
func (v *View) Keyring() *conf.Keyring { return v.keyring }

// Upstreams returns all upstreams known.
func (v *View) Upstreams() []*route.Upstream { return v.upstreams }

// Draining reports whether an upstream gets no new work.
func (v *View) Draining(name string) bool { return v.draining[name] }

// Nodes returns the names of the nodes that are alive, this one included.
func (v *View) Nodes() []string { return v.nodes }

// Pool returns the admission of a model or service, or nil.
func (v *View) Pool(target string) *limit.Pool { return v.pools[target] }

// Pools returns all admissions by model or service.
func (v *View) Pools() map[string]*limit.Pool { return v.pools }

// Stages returns the stages of a split model, or nil.
func (v *View) Stages(model string) *chain.Stages { return v.stages[model] }
