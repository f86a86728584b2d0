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

// fleet is stand-in engines whose orders may travel for a while, and one set of drains for all nodes.
type fleet struct {
	engines []*fake.Engine
	checks  bool
	drained map[string]time.Time
	travel  time.Duration
}

func newFleet(n int, checks bool) *fleet {
	f := &fleet{checks: checks, drained: make(map[string]time.Time)}
	for i := range n {
		f.engines = append(f.engines, fake.NewEngine(fake.EngineConfig{Name: fmt.Sprint("e-", i), Model: "day", Slots: 2, Rate: 10, Fencing: checks}))
	}
	return f
}

// Engines returns what the engines report.
func (f *fleet) Engines(context.Context) []scale.Engine {
	var out []scale.Engine
	for _, e := range f.engines {
		l := e.Load()
		since, drained := f.drained[e.Name()]
		out = append(out, scale.Engine{
			Name: e.Name(), Holds: l.Models, Busy: l.Running + l.Queued, Checks: f.checks,
			Draining: drained, Drained: drained && time.Since(since) > 3*time.Second,
		})
	}
	return out
}

// Drain notes a drain.
func (f *fleet) Drain(_ context.Context, name string, on bool) {
	if on {
		f.drained[name] = time.Now()
	} else {
		delete(f.drained, name)
	}
}

// Order delivers an order after its travel.
func (f *fleet) Order(_ context.Context, name string, number uint64, models []string) error {
	for _, e := range f.engines {
		if e.Name() == name {
			time.AfterFunc(f.travel, func() { _ = e.Order(number, models) })
		}
	}
	return nil
}

func wantAll(f *fleet, model string) func() map[string][]string {
	return func() map[string][]string {
		out := make(map[string][]string)
		for _, e := range f.engines {
			out[e.Name()] = []string{model}
		}
		return out
	}
}

// TestNewestHolderWins lets a holder send orders that travel for long, then lose the lease; the next
// holder wants another model. Engines end as the newest wants, whether they check numbers or not.
func TestNewestHolderWins(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks=", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := fake.NewTable()
				f := newFleet(3, checks)
				a, b := lease.New(table, "capacity", "a", term), lease.New(table, "capacity", "b", term)
				first := scale.NewReconciler(a, f, wantAll(f, "night"), 0)
				second := scale.NewReconciler(b, f, wantAll(f, "holiday"), 0)
				f.travel = 25 * time.Second
				for range 40 {
					a.Step(t.Context())
					first.Step(t.Context())
					time.Sleep(time.Second)
				}
				f.travel = 0
				for range 120 {
					b.Step(t.Context())
					first.Step(t.Context())
					second.Step(t.Context())
					time.Sleep(time.Second)
				}
				for _, e := range f.engines {
					if got := e.Load().Models; len(got) != 1 || got[0] != "holiday" {
						t.Errorf("%s holds %v", e.Name(), got)
					}
				}
			})
		})
	}
}

// TestNoRequestIsCut orders engines to another model while one of them works.
func TestNoRequestIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		f := newFleet(1, true)
		l := lease.New(table, "capacity", "a", term)
		r := scale.NewReconciler(l, f, wantAll(f, "night"), 0)
		done := make(chan error, 1)
		go func() {
			done <- f.engines[0].Generate(context.Background(), fake.GenerateRequest{Attempt: "a", Model: "day", Prompt: "p", MaxTokens: 300}, func(fake.Message) error { return nil })
		}()
		ended := false
		for range 90 {
			l.Step(t.Context())
			r.Step(t.Context())
			select {
			case err := <-done:
				ended = true
				if err != nil {
					t.Errorf("the request ended with %v", err)
				}
			default:
			}
			if models := f.engines[0].Load().Models; !ended && models[0] != "day" {
				t.Fatal("the engine was ordered out of work")
			}
			time.Sleep(time.Second)
		}
		if models := f.engines[0].Load().Models; models[0] != "night" || len(f.drained) != 0 {
			t.Errorf("holds %v, drains %v", models, f.drained)
		}
	})
}

// TestLoadsKeepTheRate counts the loads ordered a minute.
func TestLoadsKeepTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		f := newFleet(10, true)
		l := lease.New(table, "capacity", "a", term)
		r := scale.NewReconciler(l, f, wantAll(f, "night"), 20*time.Second)
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
			t.Errorf("%d loads in 65 s at one in 20 s", loaded)
		}
	})
}

// TestForecastFollowsTheDay plays three days that halve at night: after the first, capacity is there before
// the morning, and it follows the night down.
func TestForecastFollowsTheDay(t *testing.T) {
	var f scale.Forecast
	at := time.Date(2026, 5, 4, 0, 0, 0, 0, time.UTC)
	short, held := 0, 0
	least, most := 100, 0
	for minute := range 3 * 24 * 60 {
		now := at.Add(time.Duration(minute) * time.Minute)
		inUse := 20.0
		if h := now.Hour(); h >= 8 && h < 20 {
			inUse = 40
		}
		replicas := f.Replicas(now, false, inUse, 8, 1, 30)
		f.Observe(now, false, inUse)
		if minute >= 24*60 {
			held++
			least, most = min(least, replicas), max(most, replicas)
			if float64(replicas*8) < inUse {
				short++
			}
		}
	}
	t.Logf("measure=forecast minutes=%d short=%d replicas-night=%d replicas-day=%d", held, short, least, most)
	if short > 0 || least >= most {
		t.Errorf("short in %d minutes, %d to %d replicas", short, least, most)
	}
}

// TestForecastKeepsAPeakWithinItsHour plays days whose rush begins at twenty past eight: the replicas that
// the days before needed in that hour have to be there already.
func TestForecastKeepsAPeakWithinItsHour(t *testing.T) {
	var f scale.Forecast
	at := time.Date(2026, 5, 4, 0, 0, 0, 0, time.UTC)
	short := 0
	for minute := range 3 * 24 * 60 {
		now := at.Add(time.Duration(minute) * time.Minute)
		inUse := 10.0
		if m := minute % (24 * 60); m >= 8*60+20 && m < 12*60 {
			inUse = 40
		}
		replicas := f.Replicas(now, false, inUse, 8, 1, 30)
		if minute >= 24*60 && minute%(24*60) == 8*60+19 && replicas*8 < 40 {
			short++
		}
		f.Observe(now, false, inUse)
	}
	if short > 0 {
		t.Errorf("short before the rush on %d of 2 days", short)
	}
}

// TestDrainEndsWithManagement takes an engine out of what is managed while capacity has it drained.
func TestDrainEndsWithManagement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, true)
		l := lease.New(fake.NewTable(), "capacity", "a", term)
		wanted := wantAll(f, "night")
		r := scale.NewReconciler(l, f, func() map[string][]string { return wanted() }, 0)
		l.Step(t.Context())
		r.Step(t.Context())
		if len(f.drained) != 1 {
			t.Fatalf("drains %v", f.drained)
		}
		wanted = func() map[string][]string { return nil }
		r.Step(t.Context())
		if len(f.drained) != 0 {
			t.Error("the engine stays drained")
		}
	})
}
