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

// cluster is a set of nodes whose ledgers share one table, and a service that counts its executions per key.
type cluster struct {
	table        *fake.Table
	ledgers      []*once.Ledger
	incarnations []int
	unreachable  []bool // by node: queries to it fail
	mu           sync.Mutex
	executions   map[string]int // by key
}

func newCluster(nodes int) *cluster {
	c := &cluster{table: fake.NewTable(), executions: make(map[string]int)}
	for i := range nodes {
		c.ledgers = append(c.ledgers, nil)
		c.incarnations = append(c.incarnations, 0)
		c.unreachable = append(c.unreachable, false)
		c.restart(i)
	}
	return c
}

// execute counts an execution of a key's call.
func (c *cluster) execute(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[key]++
}

func (c *cluster) ledger(i int) *once.Ledger {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledgers[i]
}

// restart replaces a node's ledger by one of the next incarnation, which has no state in memory.
func (c *cluster) restart(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnations[i]++
	c.ledgers[i] = once.New(c.table, c, fmt.Sprintf("node-%d", i), fmt.Sprintf("incarnation-%d", c.incarnations[i]))
}

// TokenState queries the current incarnation of a node.
func (c *cluster) TokenState(_ context.Context, node, token string) (once.TokenState, *once.Response, error) {
	for i := range c.ledgers {
		if fmt.Sprintf("node-%d", i) == node {
			if c.isUnreachable(i) {
				return once.Unknown, nil, errors.New("node is unreachable")
			}
			state, response := c.ledger(i).TokenState(token)
			return state, response, nil
		}
	}
	return once.Unknown, nil, errors.New("no such node")
}

func (c *cluster) setUnreachable(i int, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[i] = unreachable
}

func (c *cluster) isUnreachable(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable[i]
}

func ledgerKey(k int) once.Key {
	return once.Key{Team: "team", Service: "booking", Key: fmt.Sprintf("key-%d", k)}
}

// sendResult is what happens to a licensed send.
type sendResult int

const (
	answered          sendResult = iota // it ran, and the answer arrived
	answerLost                          // it ran, and the answer was lost
	callLost                            // it did not run, and no answer arrived
	notSent                             // the connection could not be made
	refused                             // the service answered that it did not run
	crashedBeforeSend                   // the node crashed before it sent
	crashedAfterSend                    // the node crashed after it sent
	pausedBeforeSend                    // the node was paused for a long time before it sent
	sendResults                         // the number of results
)

const nodePause = 30 * time.Second

// call makes one request at a node. It returns the caller's result, "answer" or a run state, and whether this call
// was executed.
func (c *cluster) call(i, key int, digest string, r sendResult) (string, bool) {
	name := ledgerKey(key).Key
	ledger := c.ledger(i)
	license, stored, err := ledger.Begin(context.Background(), ledgerKey(key), digest, "request")
	var refusal *once.Error
	switch {
	case errors.As(err, &refusal):
		return string(refusal.RunState()), false
	case err != nil:
		return err.Error(), false
	case stored != nil:
		return "answer", false
	}
	ctx := context.Background()
	answer := &once.Response{Status: 200, Body: []byte("done")}
	switch r {
	case pausedBeforeSend:
		time.Sleep(nodePause)
		c.execute(name)
		license.End(ctx, reply.Done{}, answer)
		return "answer", true
	case answered:
		c.execute(name)
		license.End(ctx, reply.Done{}, answer)
		return "answer", true
	case answerLost:
		c.execute(name)
		license.End(ctx, reply.NewUnknown(reply.Broken, "lost"), nil)
		return string(reply.MayHaveRun), true
	case callLost:
		license.End(ctx, reply.NewUnknown(reply.Broken, "lost"), nil)
		return string(reply.MayHaveRun), false
	case notSent:
		license.Release(ctx, "no connection")
		return string(reply.NotRun), false
	case refused:
		license.End(ctx, reply.NewRefused(503, "busy", 0), nil)
		return string(reply.NotRun), false
	case crashedBeforeSend:
		c.restart(i)
		return "nothing", false
	case crashedAfterSend:
		c.execute(name)
		c.restart(i)
		return "nothing", true
	}
	panic("unknown sendResult")
}

var faults = []string{fake.Down, fake.Slow, fake.LoseReplies, fake.LoseCalls, fake.LateWrites}

// step is one event of a generated scenario.
type step struct {
	kind   int // 0 to 5 a call, 6 a table fault, 7 its end, 8 a node becomes unreachable, 9 reachable, 10 a wait
	node   int
	key    int
	result sendResult
	fault  string
	wait   time.Duration
	body   bool // a different request body
}

func drawStep(rt *rapid.T) step {
	return step{
		kind:   rapid.IntRange(0, 10).Draw(rt, "kind"),
		node:   rapid.IntRange(0, nodes-1).Draw(rt, "node"),
		key:    rapid.IntRange(0, 1).Draw(rt, "key"),
		result: sendResult(rapid.IntRange(0, int(sendResults)-1).Draw(rt, "result")),
		fault:  rapid.SampledFrom(faults).Draw(rt, "fault"),
		wait:   time.Duration(rapid.IntRange(0, 1500).Draw(rt, "wait")) * time.Millisecond,
		body:   rapid.IntRange(0, 9).Draw(rt, "body") == 0,
	}
}

// callResult is a caller's result, and whether its own call was executed.
type callResult struct {
	key, result string
	executed    bool
}

func (c *cluster) runCall(s step, done chan<- callResult) {
	digest := "body"
	if s.body {
		digest = "another body"
	}
	result, executed := c.call(s.node, s.key, digest, s.result)
	done <- callResult{key: ledgerKey(s.key).Key, result: result, executed: executed}
}

// TestAtMostOnce runs random calls, table faults, crashes and pauses at several nodes. It checks that each key is
// executed at most once and that each caller's result agrees with the executions.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 30).Draw(rt, "steps")
		var violation error
		synctest.Test(t, func(*testing.T) { violation = runSteps(steps) })
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

const nodes = 3

func runSteps(steps []step) error {
	c := newCluster(nodes)
	done := make(chan callResult, len(steps))
	calls := 0
	for _, s := range steps {
		switch s.kind {
		case 6:
			c.table.Set(s.fault)
		case 7:
			c.table.Set(fake.Up)
		case 8:
			c.setUnreachable(s.node, true)
		case 9:
			c.setUnreachable(s.node, false)
		case 10:
			time.Sleep(s.wait)
		default:
			calls++
			go c.runCall(s, done)
			// Calls overlap: the next step may start while this one is in flight.
			time.Sleep(s.wait / 10)
		}
	}
	var results []callResult
	for range calls {
		results = append(results, <-done)
	}
	c.table.Set(fake.Up)
	time.Sleep(time.Minute)
	for _, l := range c.ledgers {
		_ = l.Close(context.Background())
	}
	return c.check(results)
}

func (c *cluster) check(results []callResult) error {
	for key, n := range c.executions {
		if n > 1 {
			return fmt.Errorf("%s was executed %d times", key, n)
		}
	}
	for _, r := range results {
		if r.result == "answer" && c.executions[r.key] == 0 {
			return fmt.Errorf("%s was answered but never executed", r.key)
		}
		if r.result == string(reply.NotRun) && r.executed {
			return fmt.Errorf("the call that executed %s returned not-run", r.key)
		}
	}
	return nil
}

// TestNotRunIsTrue claims a key under each table fault. The first result must be not-run exactly if the call was not
// executed, and a repeat after the fault must be answered after one execution in all.
func TestNotRunIsTrue(t *testing.T) {
	for _, fault := range faults {
		t.Run(fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(1)
				c.table.Set(fault)
				result, _ := c.call(0, 0, "body", answered)
				n := c.executions[ledgerKey(0).Key]
				if (result == string(reply.NotRun)) != (n == 0) {
					t.Errorf("got %s after %d executions", result, n)
				}
				c.table.Set(fake.Up)
				time.Sleep(time.Minute)
				// The key must be usable again or return its stored answer.
				if again, _ := c.call(0, 0, "body", answered); again != "answer" {
					t.Errorf("a repeat after the fault got %s", again)
				}
				if n := c.executions[ledgerKey(0).Key]; n != 1 {
					t.Errorf("%d executions, want 1", n)
				}
			})
		})
	}
}

func TestRepeat(t *testing.T) {
	for _, test := range []struct {
		name      string
		first     sendResult // of the first call
		otherNode bool       // the repeat arrives at another node
		restart   bool       // the first node restarts before the repeat
		body      string
		want      string
	}{
		{"a stored answer", answered, true, false, "body", "answer"},
		{"a different body", answered, true, false, "other", string(reply.NotRun)},
		{"a lost answer", answerLost, true, false, "body", string(reply.MayHaveRun)},
		{"a call that was not sent is executed", notSent, true, false, "body", "answer"},
		{"a refused call is executed", refused, true, false, "body", "answer"},
		{"a node crashed before it sent", crashedBeforeSend, true, false, "body", string(reply.MayHaveRun)},
		{"a node crashed after it sent", crashedAfterSend, false, false, "body", string(reply.MayHaveRun)},
		{"a stored answer after a node restart", answered, true, true, "body", "answer"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(2)
				c.call(0, 0, "body", test.first)
				if test.restart {
					c.restart(0)
				}
				node := 0
				if test.otherNode {
					node = 1
				}
				if got, _ := c.call(node, 0, test.body, answered); got != test.want {
					t.Errorf("got %s, want %s", got, test.want)
				}
				if n := c.executions[ledgerKey(0).Key]; n > 1 {
					t.Errorf("%d executions, want at most 1", n)
				}
			})
		})
	}
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		c.ledgers[0].SetStoredBytes(2)
		c.call(0, 0, "body", answered)
		_, _, err := c.ledgers[0].Begin(t.Context(), ledgerKey(0), "body", "request")
		var refusal *once.Error
		if !errors.As(err, &refusal) || refusal.Cause() != once.AnswerTooLarge || refusal.RunState() != reply.MayHaveRun {
			t.Errorf("got %v", err)
		}
	})
}

func TestOutcomeIsRecordedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		license, _, err := c.ledgers[0].Begin(t.Context(), ledgerKey(0), "body", "request")
		if err != nil {
			t.Fatal(err)
		}
		c.table.Set(fake.Down)
		license.End(t.Context(), reply.Done{}, &once.Response{Status: 200})
		time.Sleep(10 * time.Minute)
		if n := c.ledgers[0].Unrecorded(); n != 1 {
			t.Errorf("%d unrecorded outcomes during the outage, want 1", n)
		}
		c.table.Set(fake.Up)
		time.Sleep(time.Minute)
		c.restart(0)
		if got, _ := c.call(1, 0, "body", answered); got != "answer" {
			t.Errorf("got %s", got)
		}
	})
}

func TestUnresolvedAndResolve(t *testing.T) {
	for _, test := range []struct {
		name       string
		ran        bool
		want       string
		executions int
	}{
		{"the operator resolves it as run", true, "answer", 1},
		{"the operator resolves it as not run", false, "answer", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(2)
				c.call(0, 0, "body", answerLost)
				list, err := once.ListUnresolved(t.Context(), c.table)
				if err != nil || len(list) != 1 {
					t.Fatalf("list %v, error %v", list, err)
				}
				err = once.Resolve(t.Context(), c.table, list[0].Key, list[0].Token, test.ran, &once.Response{Status: 200},
					"asked the service's operator")
				if err != nil {
					t.Fatal(err)
				}
				// The call had run; resolving it as not run allows the second execution, which is the operator's
				// mistake and not the ledger's.
				if got, _ := c.call(1, 0, "body", answered); got != test.want || c.executions[ledgerKey(0).Key] != test.executions {
					t.Errorf("got %s after %d executions", got, c.executions[ledgerKey(0).Key])
				}
				if list, _ := once.ListUnresolved(t.Context(), c.table); len(list) != 0 {
					t.Errorf("still listed: %v", list)
				}
			})
		})
	}
}

func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := fake.NewTable()
		l := once.New(table, newCluster(1), "node", "incarnation", once.WithRetention(24*time.Hour))
		for _, test := range []struct {
			name, key string
			cause     once.Cause
		}{
			{"not a UUIDv7", "plot-7", once.InvalidKey},
			{"an expired UUIDv7", "00800000-0000-7000-8000-000000000000", once.KeyExpired},
		} {
			_, _, err := l.Begin(t.Context(), once.Key{Team: "t", Service: "s", Key: test.key}, "body", "request")
			var refusal *once.Error
			if !errors.As(err, &refusal) || refusal.Cause() != test.cause {
				t.Errorf("%s: got %v", test.name, err)
			}
		}
	})
}
