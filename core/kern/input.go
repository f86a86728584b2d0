package kern

import (
	"time"

	"rhubarbspread/core/conf"
	"rhubarbspread/core/route"
	"rhubarbspread/core/store"
)

// Input is a change for the control goroutine.
type Input interface{ input() }

// NewDocument puts a version of the document in force, unless a newer one is.
type NewDocument struct {
	Version  uint64
	Document *conf.Document
}

// NewMachines is the platform's list as it was just read.
type NewMachines struct{ Machines []store.Machine }

// NewNodes are the nodes that are alive.
type NewNodes struct{ Names []string }

// NewDrain starts or ends the draining of a VM on an operator's or the capacity's behalf.
type NewDrain struct {
	Name  string
	Drain bool
}

// NewReport is an upstream's load, or the failure to get it.
type NewReport struct {
	Upstream string
	Report   route.Report
	Link     time.Duration
	Failed   bool
}

func (NewDocument) input() {}
func (NewMachines) input() {}
func (NewNodes) input()    {}
func (NewDrain) input()    {}
func (NewReport) input()   {}
