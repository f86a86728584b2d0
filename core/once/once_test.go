package once_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/once"
	"rhubarbspread/core/reply"
	"rhubarbspread/io/fake"

	"pgregory.net/rapid"
)

// world is nodes with ledgers over one table, and a service that counts what it ran.
type world struct {
	table   *fake.Table
	ledgers []*once.Ledger
	starts  []int
	down    []bool // a node that can't be asked
	mu      sync.Mutex
	runs    map[string]int
}

func newWorld(nodes int) *world {
	w := &world{table: fake.NewTable(), runs: make(map[string]int)}
	for i := range nodes {
		w.ledgers = append(w.ledgers, nil)
		w.starts = append(w.starts, 0)
		w.down = append(w.down, false)
		w.start(i)
	}
	return w
}

// run counts an execution.
func (w *world) run(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[name]++
}

func (w *world) ledger(i int) *once.Ledger {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledgers[i]
}

// start gives a node a new life, which remembers nothing of the one before.
func (w *world) start(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[i]++
	w.ledgers[i] = once.New(w.table, w, fmt.Sprintf("node-%d", i), fmt.Sprintf("life-%d", w.starts[i]))
}

// Fate answers for the present life of a node.
func (w *world) Fate(_ context.Context, node, token string) (once.Fate, *once.Response, error) {
	for i := range w.ledgers {
		if fmt.Sprintf("node-%d", i) == node {
			if w.isDown(i) {
				return once.Unknown, nil, errors.New("out of reach")
			}
			fate, response := w.ledger(i).Fate(token)
			return fate, response, nil
		}
	}
	return once.Unknown, nil, errors.New("no such node")
}

func (w *world) setDown(i int, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[i] = down
}

func (w *world) isDown(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down[i]
}

func keyOf(k int) once.Key {
	return once.Key{Team: "team", Service: "booking", Key: fmt.Sprintf("key-%d", k)}
}

// end is what becomes of a licensed send.
type end int

const (
	answered     end = iota // it ran, and the answer came
	lostAnswer              // it ran, and the answer was lost
	lostCall                // it did not run, and no answer came
	notSent                 // no connection
	refused                 // the service says that it did not run
	diedBefore              // the node died before it sent
	diedAfter               // the node died after it sent
	pausedBefore            // the node slept long before it sent
	ends
)

const longPause = 30 * time.Second

// call makes one request at a node. It returns what the caller was told, "answer" or a run state, and
// whether this call ran.
func (w *world) call(i, key int, digest string, e end) (string, bool) {
	name := keyOf(key).Key
	ledger := w.ledger(i)
	license, stored, err := ledger.Begin(context.Background(), keyOf(key), digest, "request")
	var refusal *once.Error
	switch {
	case errors.As(err, &refusal):
		return string(refusal.Run()), false
	case err != nil:
		return err.Error(), false
	case stored != nil:
		return "answer", false
	}
	ctx := context.Background()
	answer := &once.Response{Status: 200, Body: []byte("done")}
	switch e {
	case pausedBefore:
		time.Sleep(longPause)
		w.run(name)
		license.End(ctx, reply.Done{}, answer)
		return "answer", true
	case answered:
		w.run(name)
		license.End(ctx, reply.Done{}, answer)
		return "answer", true
	case lostAnswer:
		w.run(name)
		license.End(ctx, reply.NewUnknown(reply.Broken, "lost"), nil)
		return string(reply.MayHaveRun), true
	case lostCall:
		license.End(ctx, reply.NewUnknown(reply.Broken, "lost"), nil)
		return string(reply.MayHaveRun), false
	case notSent:
		license.Release(ctx, "no connection")
		return string(reply.NotRun), false
	case refused:
		license.End(ctx, reply.NewRefused(503, "busy", 0), nil)
		return string(reply.NotRun), false
	case diedBefore:
		w.start(i)
		return "nothing", false
	case diedAfter:
		w.run(name)
		w.start(i)
		return "nothing", true
	}
	panic("a new end")
}

var faults = []string{fake.Down, fake.Slow, fake.LoseReplies, fake.LoseCalls, fake.LateWrites}

// step is one thing that happens in a run.
type step struct {
	kind  int // 0 to 5 a call, 6 a fault, 7 its end, 8 a node out of reach, 9 back, 10 time passes
	node  int
	key   int
	end   end
	fault string
	wait  time.Duration
	body  bool // another body than usual
}

func drawStep(rt *rapid.T) step {
	return step{
		kind:  rapid.IntRange(0, 10).Draw(rt, "kind"),
		node:  rapid.IntRange(0, nodes-1).Draw(rt, "node"),
		key:   rapid.IntRange(0, 1).Draw(rt, "key"),
		end:   end(rapid.IntRange(0, int(ends)-1).Draw(rt, "end")),
		fault: rapid.SampledFrom(faults).Draw(rt, "fault"),
		wait:  time.Duration(rapid.IntRange(0, 1500).Draw(rt, "wait")) * time.Millisecond,
		body:  rapid.IntRange(0, 9).Draw(rt, "body") == 0,
	}
}

// told is what a caller was told, and whether its own call ran.
type told struct {
	key, what string
	ran       bool
}

func (w *world) play(s step, done chan<- told) {
	digest := "body"
	if s.body {
		digest = "another body"
	}
	what, ran := w.call(s.node, s.key, digest, s.end)
	done <- told{key: keyOf(s.key).Key, what: what, ran: ran}
}

// TestAtMostOnce plays random calls, table faults, deaths and pauses at several nodes, and holds each
// key's executions against one, and each word to a caller against the executions.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 30).Draw(rt, "steps")
		var fault error
		synctest.Test(t, func(*testing.T) { fault = playAll(steps) })
		if fault != nil {
			rt.Fatal(fault)
		}
	})
}

const nodes = 3

func playAll(steps []step) error {
	w := newWorld(nodes)
	done := make(chan told, len(steps))
	calls := 0
	for _, s := range steps {
		switch s.kind {
		case 6:
			w.table.Set(s.fault)
		case 7:
			w.table.Set(fake.Up)
		case 8:
			w.setDown(s.node, true)
		case 9:
			w.setDown(s.node, false)
		case 10:
			time.Sleep(s.wait)
		default:
			calls++
			go w.play(s, done)
			// Calls overlap: the next step comes while this one may be under way.
			time.Sleep(s.wait / 10)
		}
	}
	var words []told
	for range calls {
		words = append(words, <-done)
	}
	w.table.Set(fake.Up)
	time.Sleep(time.Minute)
	for _, l := range w.ledgers {
		_ = l.Close(context.Background())
	}
	return w.check(words)
}

func (w *world) check(words []told) error {
	for key, runs := range w.runs {
		if runs > 1 {
			return fmt.Errorf("%s ran %d times", key, runs)
		}
	}
	for _, word := range words {
		if word.what == "answer" && w.runs[word.key] == 0 {
			return fmt.Errorf("%s was answered and never ran", word.key)
		}
		if word.what == string(reply.NotRun) && word.ran {
			return fmt.Errorf("%s was told not-run by the call that ran it", word.key)
		}
	}
	return nil
}

// TestNotRunIsTrue sends a key once under each fault at the time of the claim, and never again.
func TestNotRunIsTrue(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1)
				w.table.Set(fault)
				what, _ := w.call(0, 0, "body", answered)
				runs := w.runs[keyOf(0).Key]
				if (what == string(reply.NotRun)) != (runs == 0) {
					t.Errorf("told %s after %d runs", what, runs)
				}
				w.table.Set(fake.Up)
				time.Sleep(time.Minute)
				// The key must be usable again, or have its answer.
				if again, _ := w.call(0, 0, "body", answered); again != "answer" {
					t.Errorf("a repeat after the fault was told %s", again)
				}
				if runs := w.runs[keyOf(0).Key]; runs != 1 {
					t.Errorf("%d runs", runs)
				}
			})
		})
	}
}

func TestRepeat(t *testing.T) {
	for _, test := range []struct {
		name    string
		first   end
		another bool // node
		restart bool
		body    string
		want    string
	}{
		{"the answer is stored", answered, true, false, "body", "answer"},
		{"another body", answered, true, false, "other", string(reply.NotRun)},
		{"a lost answer stays open", lostAnswer, true, false, "body", string(reply.MayHaveRun)},
		{"what was not sent runs", notSent, true, false, "body", "answer"},
		{"what was refused runs", refused, true, false, "body", "answer"},
		{"a node that died before it sent", diedBefore, true, false, "body", string(reply.MayHaveRun)},
		{"a node that died after it sent", diedAfter, false, false, "body", string(reply.MayHaveRun)},
		{"the answer outlives the node", answered, true, true, "body", "answer"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(2)
				w.call(0, 0, "body", test.first)
				if test.restart {
					w.start(0)
				}
				node := 0
				if test.another {
					node = 1
				}
				if got, _ := w.call(node, 0, test.body, answered); got != test.want {
					t.Errorf("told %s, want %s", got, test.want)
				}
				if runs := w.runs[keyOf(0).Key]; runs > 1 {
					t.Errorf("%d runs", runs)
				}
			})
		})
	}
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		w.ledgers[0].SetStoredBytes(2)
		w.call(0, 0, "body", answered)
		_, _, err := w.ledgers[0].Begin(t.Context(), keyOf(0), "body", "request")
		var refusal *once.Error
		if !errors.As(err, &refusal) || refusal.Cause() != once.Withheld || refusal.Run() != reply.MayHaveRun {
			t.Errorf("got %v", err)
		}
	})
}

func TestOutcomeIsRecordedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		license, _, err := w.ledgers[0].Begin(t.Context(), keyOf(0), "body", "request")
		if err != nil {
			t.Fatal(err)
		}
		w.table.Set(fake.Down)
		license.End(t.Context(), reply.Done{}, &once.Response{Status: 200})
		time.Sleep(10 * time.Minute)
		if n := w.ledgers[0].Unrecorded(); n != 1 {
			t.Errorf("%d unrecorded during the outage", n)
		}
		w.table.Set(fake.Up)
		time.Sleep(time.Minute)
		w.start(0)
		if got, _ := w.call(1, 0, "body", answered); got != "answer" {
			t.Errorf("told %s", got)
		}
	})
}

func TestUnresolvedAndResolve(t *testing.T) {
	for _, test := range []struct {
		name string
		ran  bool
		want string
		runs int
	}{
		{"the operator found that it ran", true, "answer", 1},
		{"the operator found that it did not", false, "answer", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(2)
				w.call(0, 0, "body", lostAnswer)
				list, err := once.List(t.Context(), w.table)
				if err != nil || len(list) != 1 {
					t.Fatalf("list %v, error %v", list, err)
				}
				err = once.Resolve(t.Context(), w.table, list[0].Key, list[0].Token, test.ran, &once.Response{Status: 200}, "asked the desk")
				if err != nil {
					t.Fatal(err)
				}
				// Where the operator erred, the second run is the operator's word, not the ledger's.
				if got, _ := w.call(1, 0, "body", answered); got != test.want || w.runs[keyOf(0).Key] != test.runs {
					t.Errorf("told %s after %d runs", got, w.runs[keyOf(0).Key])
				}
				if list, _ := once.List(t.Context(), w.table); len(list) != 0 {
					t.Errorf("still listed: %v", list)
				}
			})
		})
	}
}

func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		l := once.New(table, newWorld(1), "node", "life", once.WithRetention(24*time.Hour))
		for _, test := range []struct {
			name, key string
			cause     once.Cause
		}{
			{"no UUIDv7", "plot-7", once.BadKey},
			{"an old UUIDv7", "00800000-0000-7000-8000-000000000000", once.Expired},
		} {
			_, _, err := l.Begin(t.Context(), once.Key{Team: "t", Service: "s", Key: test.key}, "body", "request")
			var refusal *once.Error
			if !errors.As(err, &refusal) || refusal.Cause() != test.cause {
				t.Errorf("%s: got %v", test.name, err)
			}
		}
	})
}
