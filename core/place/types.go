package place

import (
	"context"

	"rhubarbspread/core/fleet"
)

// Report is an upstream's report on its own state.
type Report struct {
	Busy      bool              // an order is being carried out
	Sequence  uint64            // version of its state, which an order must name
	Layers    fleet.Range       // that it holds
	Slowdown  float64           // factor on its processing times, above 1 is slow
	StalledOn map[string]string // address of the stage that it waits for, by request ID
}

// Order asks an upstream to hold a range of layers.
type Order struct {
	Layers       fleet.Range
	FencingToken uint64 // of the sender's lease
	Sequence     uint64 // the upstream rejects the order unless this is its own Sequence
}

// Result is the outcome of an order.
type Result int

// The results of orders.
const (
	Done     Result = iota // the upstream already holds the layers
	Started                // the upstream started to carry it out
	Rejected               // the upstream's state does not allow it
	Failed                 // no response; the order may still be carried out
)

// Engines requests reports from upstreams and sends them orders.
type Engines interface {
	Report(ctx context.Context, u *fleet.Upstream) (Report, error)
	Place(ctx context.Context, u *fleet.Upstream, o Order) (Result, error)
}
