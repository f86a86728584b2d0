package place

import (
	"context"

	"rhubarbspread/core/fleet"
)

// Report is what an upstream tells of itself.
type Report struct {
	Busy     bool // an order is under way
	Sequence uint64
	Layers   fleet.Range
	Pace     float64           // above 1 is slow
	Stalled  map[string]string // address of the part that is waited for, by request
}

// Order asks an upstream to hold a range of layers.
type Order struct {
	Layers   fleet.Range
	Fence    uint64
	Sequence uint64 // that the upstream must have
}

// Result is what became of an order.
type Result int

// The results of orders.
const (
	Done     Result = iota // the state holds already
	Begun                  // the upstream has begun
	Rejected               // it did not fit the upstream's state
	Failed                 // no answer; it may be carried out, also later
)

// Engines gives orders to upstreams and asks for their reports.
type Engines interface {
	Report(ctx context.Context, u *fleet.Upstream) (Report, error)
	Place(ctx context.Context, u *fleet.Upstream, o Order) (Result, error)
}
