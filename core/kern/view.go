package kern

import (
	"rhubarbspread/core/chain"
	"rhubarbspread/core/conf"
	"rhubarbspread/core/limit"
	"rhubarbspread/core/route"
)

// View is an immutable snapshot of the control state, which request handling reads.
type View struct {
	version   uint64
	document  *conf.Document
	keyring   *conf.Keyring
	hasList   bool
	upstreams []*route.Upstream
	draining  map[string]bool // by upstream
	nodes     []string
	pools     map[string]*limit.Pool   // by model or service
	stages    map[string]*chain.Stages // by model
}

// Ready reports whether a document is in force and the list of VMs was read, without which no upstream is known.
func (v *View) Ready() bool { return v.document != nil && v.hasList }

// Version returns the version of the document in force.
func (v *View) Version() uint64 { return v.version }

// Document returns the document in force, or nil.
func (v *View) Document() *conf.Document { return v.document }

// Keyring returns the index of the teams' keys, or nil before the first document.
func (v *View) Keyring() *conf.Keyring { return v.keyring }

// Upstreams returns all known upstreams, sorted by name.
func (v *View) Upstreams() []*route.Upstream { return v.upstreams }

// Draining reports whether an upstream is draining, so that it gets no new work.
func (v *View) Draining(name string) bool { return v.draining[name] }

// Nodes returns the sorted names of the live nodes, including this one.
func (v *View) Nodes() []string { return v.nodes }

// Pool returns the admission pool of a model or service, or nil.
func (v *View) Pool(target string) *limit.Pool { return v.pools[target] }

// Pools returns all admission pools by model or service.
func (v *View) Pools() map[string]*limit.Pool { return v.pools }

// Stages returns the stages of a split model, or nil.
func (v *View) Stages(model string) *chain.Stages { return v.stages[model] }
