package scale

import (
	"context"
	"slices"
	"time"

	"rhubarbspread/core/lease"
)

// Engine is one engine as its own late report shows it.
type Engine struct {
	Name     string
	Holds    []string // models that it holds
	Busy     int      // requests that run or wait there
	Checks   bool     // it refuses an order with an old number
	Draining bool     // capacity has it drained, on this holder's order or an earlier one's
	Drained  bool     // every node has been told, for long enough, to give it no new work
}

// Fleet is what a reconciler sees and does.
type Fleet interface {
	// Engines returns the engines that answer.
	Engines(ctx context.Context) []Engine
	// Drain tells every node to give an engine no new work, or to give it work again.
	Drain(ctx context.Context, name string, on bool)
	// Order tells an engine to hold just these models. The order is absolute, and carries the number.
	Order(ctx context.Context, name string, number uint64, models []string) error
}

// longestTravel is how long an order of an earlier holder may still be on its way.
const longestTravel = 10 * time.Second

// Reconciler brings engines to what is wanted while it holds the lease.
type Reconciler struct {
	lease    *lease.Lease
	fleet    Fleet
	wanted   func() map[string][]string // models by engine; an engine that is missing is left alone
	interval time.Duration              // between orders that load weights
	lastLoad time.Time
}

// NewReconciler returns a reconciler; interval keeps the weight store's rate limit.
func NewReconciler(l *lease.Lease, f Fleet, wanted func() map[string][]string, interval time.Duration) *Reconciler {
	return &Reconciler{lease: l, fleet: f, wanted: wanted, interval: interval}
}

// Step makes one round over the engines.
func (r *Reconciler) Step(ctx context.Context) {
	if _, ok := r.lease.Valid(); !ok {
		return
	}
	wanted := r.wanted()
	for _, e := range r.fleet.Engines(ctx) {
		models, managed := wanted[e.Name]
		if !managed || sameModels(e.Holds, models) {
			r.release(ctx, e)
			continue
		}
		r.change(ctx, e, models)
	}
}

// release ends a drain that has served its end, or of an engine that is no longer managed.
func (r *Reconciler) release(ctx context.Context, e Engine) {
	if e.Draining {
		r.fleet.Drain(ctx, e.Name, false)
	}
}

// change orders an engine once it is empty. An engine that gives up a model is drained first, so that it
// is never ordered out of work.
func (r *Reconciler) change(ctx context.Context, e Engine, models []string) {
	if !e.Checks && r.lease.HeldFor() < r.lease.Term()+longestTravel {
		// It would follow an order of the holder before that is still on its way: let these arrive.
		return
	}
	if losesModel(e.Holds, models) && (!e.Drained || e.Busy > 0) {
		if !e.Draining {
			r.fleet.Drain(ctx, e.Name, true)
		}
		return
	}
	if gainsModel(e.Holds, models) && time.Since(r.lastLoad) < r.interval {
		return
	}
	// Asked last of all: between this and the sending only a pause can come, for which engines check
	// numbers, and for which a holder goes on reconciling those that don't.
	number, ok := r.lease.Valid()
	if !ok {
		return
	}
	if r.fleet.Order(ctx, e.Name, number, models) == nil && gainsModel(e.Holds, models) {
		r.lastLoad = time.Now()
	}
}

func sameModels(a, b []string) bool { return !losesModel(a, b) && !losesModel(b, a) }

func losesModel(from, to []string) bool {
	return slices.ContainsFunc(from, func(m string) bool { return !slices.Contains(to, m) })
}

func gainsModel(from, to []string) bool { return losesModel(to, from) }
