package scale

import (
	"context"
	"slices"
	"time"

	"rhubarbspread/core/lease"
)

// Engine is the state of an engine by its last report, which may be outdated.
type Engine struct {
	Name          string
	Models        []string // models that it holds
	Busy          int      // requests running or queued on it
	ChecksFencing bool     // it rejects an order with an outdated fencing token
	Draining      bool     // a reconciler, of this lease holder or an earlier one, is draining it
	Drained       bool     // its drain has lasted long enough that every node gives it no new work
}

// Fleet gives a Reconciler access to the engines.
type Fleet interface {
	// Engines returns the engines that report.
	Engines(ctx context.Context) []Engine
	// Drain starts or ends the draining of an engine at every node.
	Drain(ctx context.Context, name string, on bool)
	// Order tells an engine to hold exactly these models; token is the lease's fencing token.
	Order(ctx context.Context, name string, token uint64, models []string) error
}

// maxOrderDelay is how long an order of an earlier lease holder may be in transit.
const maxOrderDelay = 10 * time.Second

// Reconciler orders engines to hold the desired models while it holds the lease.
type Reconciler struct {
	lease        *lease.Lease
	fleet        Fleet
	desired      func() map[string][]string // models by engine; an engine without an entry is not managed
	loadInterval time.Duration              // minimum time between orders that load weights
	lastLoad     time.Time
}

// NewReconciler returns a Reconciler. The desired function returns the models by engine; loadInterval is the
// minimum time between orders that load weights, which keeps the weight store's rate limit.
func NewReconciler(
	l *lease.Lease, f Fleet, desired func() map[string][]string, loadInterval time.Duration,
) *Reconciler {
	return &Reconciler{lease: l, fleet: f, desired: desired, loadInterval: loadInterval}
}

// Step reconciles each engine once.
func (r *Reconciler) Step(ctx context.Context) {
	if _, ok := r.lease.Valid(); !ok {
		return
	}
	desired := r.desired()
	for _, e := range r.fleet.Engines(ctx) {
		models, managed := desired[e.Name]
		if !managed || sameModels(e.Models, models) {
			r.endDrain(ctx, e)
			continue
		}
		r.change(ctx, e, models)
	}
}

// endDrain ends the drain of an engine that holds the desired models or is no longer managed.
func (r *Reconciler) endDrain(ctx context.Context, e Engine) {
	if e.Draining {
		r.fleet.Drain(ctx, e.Name, false)
	}
}

// change orders an engine to hold other models. An engine that loses a model is first drained until it is idle, so
// that an order never cuts off a request.
func (r *Reconciler) change(ctx context.Context, e Engine, models []string) {
	if !e.ChecksFencing && r.lease.HeldFor() < r.lease.Term()+maxOrderDelay {
		// The engine would still follow an order of the earlier lease holder; wait until all of those have arrived.
		return
	}
	if losesModel(e.Models, models) && (!e.Drained || e.Busy > 0) {
		if !e.Draining {
			r.fleet.Drain(ctx, e.Name, true)
		}
		return
	}
	if gainsModel(e.Models, models) && time.Since(r.lastLoad) < r.loadInterval {
		return
	}
	// The lease is checked last, so that only a pause of this process can let it expire before the order is sent.
	// Engines that check fencing tokens reject such an order; the current holder keeps reconciling those that do
	// not.
	token, ok := r.lease.Valid()
	if !ok {
		return
	}
	if r.fleet.Order(ctx, e.Name, token, models) == nil && gainsModel(e.Models, models) {
		r.lastLoad = time.Now()
	}
}

func sameModels(a, b []string) bool { return !losesModel(a, b) && !losesModel(b, a) }

func losesModel(from, to []string) bool {
	return slices.ContainsFunc(from, func(m string) bool { return !slices.Contains(to, m) })
}

func gainsModel(from, to []string) bool { return losesModel(to, from) }
