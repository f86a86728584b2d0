package kern

import (
	"time"

	"rhubarbspread/core/conf"
	"rhubarbspread/core/route"
	"rhubarbspread/core/store"
)

// Input is an update that the control goroutine applies.
type Input interface{ input() }

// NewDocument puts a version of the document in force, unless the same or a newer version already is.
type NewDocument struct {
	Version  uint64
	Document *conf.Document
}

// NewMachines carries the platform's list of VMs as last read.
type NewMachines struct{ Machines []store.Machine }

// NewNodes carries the names of the live nodes.
type NewNodes struct{ Names []string }

// NewDrain starts or ends the draining of a VM, as ordered by an operator or by the capacity reconciler.
type NewDrain struct {
	Name  string
	Drain bool
}

// NewReport carries an upstream's load report, or the failure to get one.
type NewReport struct {
	Upstream string
	Report   route.Report
	Link     time.Duration // network round-trip time to the upstream
	Failed   bool          // the upstream did not answer; Report is empty
}

func (NewDocument) input() {}
func (NewMachines) input() {}
func (NewNodes) input()    {}
func (NewDrain) input()    {}
func (NewReport) input()   {}
