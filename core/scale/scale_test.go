package scale_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/lease"
	"rhubarbspread/core/scale"
	"rhubarbspread/io/fake"
)

const term = 10 * time.Second

// fleet is a set of fake engines, to which orders may be delayed, and the drains that all nodes apply.
type fleet struct {
	engines       []*fake.Engine
	checksFencing bool
	drainStart    map[string]time.Time // by engine
	orderDelay    time.Duration
}

func newFleet(n int, checks bool) *fleet {
	f := &fleet{checksFencing: checks, drainStart: make(map[string]time.Time)}
	for i := range n {
		f.engines = append(f.engines, fake.NewEngine(fake.EngineConfig{
			Name: fmt.Sprint("e-", i), Model: "day", Slots: 2, Rate: 10, ChecksFencing: checks,
		}))
	}
	return f
}

// Engines returns what the engines report.
func (f *fleet) Engines(context.Context) []scale.Engine {
	var out []scale.Engine
	for _, e := range f.engines {
		l := e.Load()
		since, draining := f.drainStart[e.Name()]
		out = append(out, scale.Engine{
			Name: e.Name(), Models: l.Models, Busy: l.Running + l.Queued, ChecksFencing: f.checksFencing,
			Draining: draining, Drained: draining && time.Since(since) > 3*time.Second,
		})
	}
	return out
}

// Drain starts or ends the drain of an engine.
func (f *fleet) Drain(_ context.Context, name string, on bool) {
	if on {
		f.drainStart[name] = time.Now()
	} else {
		delete(f.drainStart, name)
	}
}

// Order delivers an order after orderDelay.
func (f *fleet) Order(_ context.Context, name string, token uint64, models []string) error {
	for _, e := range f.engines {
		if e.Name() == name {
			time.AfterFunc(f.orderDelay, func() { _ = e.Order(token, models) })
		}
	}
	return nil
}

// desireAll returns a function by which each engine should hold one model.
func desireAll(f *fleet, model string) func() map[string][]string {
	return func() map[string][]string {
		out := make(map[string][]string)
		for _, e := range f.engines {
			out[e.Name()] = []string{model}
		}
		return out
	}
}

// TestNewestHolderWins has a lease holder send orders that arrive late, after it has lost the lease to a holder with
// another desired model. Engines must end with the model of the new holder, whether or not they check fencing tokens.
func TestNewestHolderWins(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks=", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := fake.NewTable()
				f := newFleet(3, checks)
				a, b := lease.New(table, "capacity", "a", term), lease.New(table, "capacity", "b", term)
				first := scale.NewReconciler(a, f, desireAll(f, "night"), 0)
				second := scale.NewReconciler(b, f, desireAll(f, "holiday"), 0)
				f.orderDelay = 25 * time.Second
				for range 40 {
					a.Step(t.Context())
					first.Step(t.Context())
					time.Sleep(time.Second)
				}
				f.orderDelay = 0
				for range 120 {
					b.Step(t.Context())
					first.Step(t.Context())
					second.Step(t.Context())
					time.Sleep(time.Second)
				}
				for _, e := range f.engines {
					if got := e.Load().Models; len(got) != 1 || got[0] != "holiday" {
						t.Errorf("%s holds %v, want holiday", e.Name(), got)
					}
				}
			})
		})
	}
}

// TestNoRequestIsCut orders an engine to another model while it serves a request, which must complete before the
// change.
func TestNoRequestIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		f := newFleet(1, true)
		l := lease.New(table, "capacity", "a", term)
		r := scale.NewReconciler(l, f, desireAll(f, "night"), 0)
		done := make(chan error, 1)
		go func() {
			done <- f.engines[0].Generate(context.Background(),
				fake.GenerateRequest{Attempt: "a", Model: "day", Prompt: "p", MaxTokens: 300},
				func(fake.Message) error { return nil })
		}()
		completed := false
		for range 90 {
			l.Step(t.Context())
			r.Step(t.Context())
			select {
			case err := <-done:
				completed = true
				if err != nil {
					t.Errorf("the request failed: %v", err)
				}
			default:
			}
			if models := f.engines[0].Load().Models; !completed && models[0] != "day" {
				t.Fatal("the engine lost the model while it served a request")
			}
			time.Sleep(time.Second)
		}
		if models := f.engines[0].Load().Models; models[0] != "night" || len(f.drainStart) != 0 {
			t.Errorf("holds %v, draining %v", models, f.drainStart)
		}
	})
}

// TestLoadsKeepTheRate checks that ordered loads of weights keep the minimum interval.
func TestLoadsKeepTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		f := newFleet(10, true)
		l := lease.New(table, "capacity", "a", term)
		r := scale.NewReconciler(l, f, desireAll(f, "night"), 20*time.Second)
		for range 65 {
			l.Step(t.Context())
			r.Step(t.Context())
			time.Sleep(time.Second)
		}
		loaded := 0
		for _, e := range f.engines {
			if e.Load().Models[0] == "night" {
				loaded++
			}
		}
		if loaded < 2 || loaded > 4 {
			t.Errorf("%d loads in 65 s at one per 20 s, want 2 to 4", loaded)
		}
	})
}

// TestForecastFollowsTheDay simulates three days on which demand halves at night. After the first day, the replicas
// must be there before the morning, and fewer at night.
func TestForecastFollowsTheDay(t *testing.T) {
	var f scale.Forecast
	at := time.Date(2026, 5, 4, 0, 0, 0, 0, time.UTC)
	shortMinutes, minutes := 0, 0
	fewest, most := 100, 0
	for minute := range 3 * 24 * 60 {
		now := at.Add(time.Duration(minute) * time.Minute)
		inUse := 20.0
		if h := now.Hour(); h >= 8 && h < 20 {
			inUse = 40
		}
		replicas := f.Replicas(now, false, inUse, 8, 1, 30)
		f.Observe(now, false, inUse)
		if minute >= 24*60 {
			minutes++
			fewest, most = min(fewest, replicas), max(most, replicas)
			if float64(replicas*8) < inUse {
				shortMinutes++
			}
		}
	}
	t.Logf("measure=forecast minutes=%d short=%d replicas-night=%d replicas-day=%d", minutes, shortMinutes, fewest, most)
	if shortMinutes > 0 || fewest >= most {
		t.Errorf("too few replicas in %d minutes; %d to %d replicas", shortMinutes, fewest, most)
	}
}

// TestForecastKeepsAPeakWithinItsHour simulates days on which demand rises at 08:20. The replicas that the previous
// days needed in that hour must be there already at 08:19.
func TestForecastKeepsAPeakWithinItsHour(t *testing.T) {
	var f scale.Forecast
	at := time.Date(2026, 5, 4, 0, 0, 0, 0, time.UTC)
	shortDays := 0
	for minute := range 3 * 24 * 60 {
		now := at.Add(time.Duration(minute) * time.Minute)
		inUse := 10.0
		if m := minute % (24 * 60); m >= 8*60+20 && m < 12*60 {
			inUse = 40
		}
		replicas := f.Replicas(now, false, inUse, 8, 1, 30)
		if minute >= 24*60 && minute%(24*60) == 8*60+19 && replicas*8 < 40 {
			shortDays++
		}
		f.Observe(now, false, inUse)
	}
	if shortDays > 0 {
		t.Errorf("too few replicas before the rise on %d of 2 days", shortDays)
	}
}

// TestDrainEndsWithManagement stops managing an engine while the reconciler drains it: the drain must end.
func TestDrainEndsWithManagement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, true)
		l := lease.New(fake.NewTable(), "capacity", "a", term)
		desired := desireAll(f, "night")
		r := scale.NewReconciler(l, f, func() map[string][]string { return desired() }, 0)
		l.Step(t.Context())
		r.Step(t.Context())
		if len(f.drainStart) != 1 {
			t.Fatalf("draining %v, want one engine", f.drainStart)
		}
		desired = func() map[string][]string { return nil }
		r.Step(t.Context())
		if len(f.drainStart) != 0 {
			t.Error("the engine is still draining")
		}
	})
}
