package kern

import (
	"time"

	"rhubarbspread/core/conf"
	"rhubarbspread/core/route"
	"rhubarbspread/core/store"
)

// Update is a change of the control state that the control goroutine applies.
type Update interface{ update() }

// DocumentUpdate puts a version of the document in force, unless the same or a newer version already is.
type DocumentUpdate struct {
	Version  uint64
	Document *conf.Document
}

// VMListUpdate carries the platform's list of VMs as last read.
type VMListUpdate struct{ VMs []store.VM }

// NodesUpdate carries the names of the live nodes.
type NodesUpdate struct{ Names []string }

// DrainUpdate starts or ends the draining of a VM, as ordered by an operator or by the capacity reconciler.
type DrainUpdate struct {
	Name  string
	Drain bool
}

// ReportUpdate carries an upstream's load report, or the failure to get one.
type ReportUpdate struct {
	Upstream string
	Report   route.Report
	RTT      time.Duration // network round-trip time to the upstream
	Failed   bool          // the upstream did not answer; Report is empty
}

func (DocumentUpdate) update() {}
func (VMListUpdate) update()   {}
func (NodesUpdate) update()    {}
func (DrainUpdate) update()    {}
func (ReportUpdate) update()   {}
