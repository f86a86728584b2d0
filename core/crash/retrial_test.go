package crash_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rhubarbspread/core/crash"
)

// quarantineNodes are nodes that get copies of one request and tell each other of deaths and clearances.
type quarantineNodes struct {
	now        time.Time
	stamp      uint64
	registries []*crash.Registry
	events     eventQueue
	downUntil  time.Time // when the upstreams are back
	isCrashing bool      // an upstream that begins to run a copy dies
	sentAt     []time.Time
	served     int
	upstreams  int // that died
}

const markDelay = 200 * time.Millisecond // until a mark reaches the other nodes

func newQuarantineNodes(n int) *quarantineNodes {
	q := &quarantineNodes{now: time.Unix(1000, 0)}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("node-", i))
	}
	for i := range n {
		r := crash.NewRegistry(func() time.Time { return q.now }, q.nextStamp, 10*time.Minute, crash.WithSettleTime(markDelay))
		r.SetNodes(names[i], names)
		q.registries = append(q.registries, r)
	}
	return q
}

func (q *quarantineNodes) nextStamp() uint64 { q.stamp++; return q.stamp }

// tell sends a mark from a node to all others.
func (q *quarantineNodes) tell(from *crash.Registry, m crash.Mark) {
	q.after(markDelay, func() {
		m.Age += markDelay
		for _, r := range q.registries {
			if r != from {
				r.ApplyMark(m)
			}
		}
	})
}

// die records the death of an upstream that ran a copy for a time.
func (q *quarantineNodes) die(r *crash.Registry, ran time.Duration) {
	q.upstreams++
	id := fmt.Sprint("u", q.upstreams)
	m, _ := r.RecordDeathAt("f", id, "dc-"+id, crash.BrokeBeforeFirstToken, q.now.Add(-ran), q.now)
	q.tell(r, m)
}

// request is a copy that comes to a node.
func (q *quarantineNodes) request(r *crash.Registry) {
	const runTime = 30 * time.Millisecond
	if _, ok := r.Verdict("f").(crash.Quarantined); ok && !r.TakeTrial("f") || q.now.Before(q.downUntil) {
		return
	}
	q.sentAt = append(q.sentAt, q.now)
	begun := r.Stamp()
	q.after(runTime, func() {
		if q.isCrashing {
			q.die(r, runTime)
			return
		}
		q.served++
		if m, ok := r.Completed("f", begun); ok {
			q.tell(r, m)
		}
	})
}

// play sends copies to random nodes at a rate per second for a time.
func (q *quarantineNodes) play(random *rand.Rand, rate float64, d time.Duration) {
	end := q.now.Add(d)
	var next func()
	next = func() {
		q.request(q.registries[random.IntN(len(q.registries))])
		q.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	q.after(0, next)
	for len(q.events) > 0 && q.events[0].at.Before(end) {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now, q.events = end, nil
}

// TestSoundRequestLeavesQuarantine guards against a sound request that is refused for ten minutes, at all nodes, because its upstreams
// died together while they ran it.
func TestSoundRequestLeavesQuarantine(t *testing.T) {
	const (
		outage   = 4500 * time.Millisecond
		recovery = 12 * time.Second // from the crash on
	)
	for _, nodes := range []int{1, 3, 9, 84} {
		for _, rate := range []float64{2, 20, 200} {
			for seed := range uint64(3) {
				q := newQuarantineNodes(nodes)
				for i := range 3 {
					q.die(q.registries[i%nodes], 20*time.Millisecond)
				}
				q.downUntil = q.now.Add(outage)
				random := rand.New(rand.NewPCG(seed, 1))
				q.play(random, rate, recovery)
				q.served = 0
				q.play(random, rate, 7*time.Second)
				if want := int(7 * rate / 2); q.served < want {
					t.Errorf("%d nodes, %v a second, seed %d: %d requests served in 7 s, want %d at least", nodes, rate, seed, q.served, want)
				}
			}
		}
	}
}

// TestCrashingRequestIsTriedSeldom guards against trials of a request that crashes upstreams: at most three may reach upstreams later
// than 3 s after it has crashed the third.
func TestCrashingRequestIsTriedSeldom(t *testing.T) {
	const stability, most = 3 * time.Second, 3
	for _, nodes := range []int{1, 3, 9, 84} {
		for _, rate := range []float64{0.5, 2, 20, 200} {
			for seed := range uint64(3) {
				q := newQuarantineNodes(nodes)
				q.isCrashing = true
				q.play(rand.New(rand.NewPCG(seed, 2)), rate, 90*time.Second)
				if len(q.sentAt) < 3 {
					continue
				}
				late := 0
				for _, at := range q.sentAt {
					if at.Sub(q.sentAt[2]) > stability {
						late++
					}
				}
				if late > most {
					t.Errorf("%d nodes, %v a second, seed %d: %d late sends of %d, want %d at most", nodes, rate, seed, late, len(q.sentAt), most)
				}
			}
		}
	}
}

// event runs a function at a time.
type event struct {
	at  time.Time
	run func()
}

// eventQueue is a heap of events by their times.
type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push appends an event.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (q *quarantineNodes) after(d time.Duration, run func()) {
	heap.Push(&q.events, event{q.now.Add(d), run})
}

// TestRowOfAQuarantineTellsNoTime guards against rows of the store, whose marks have no age: their deaths counted as later ones, on trial, so
// that the request was not tried for ten minutes. A row may be read before or after other nodes tell of the same deaths.
func TestRowOfAQuarantineTellsNoTime(t *testing.T) {
	const bound = 5 * time.Second // since the row was read
	for _, tc := range []struct {
		name               string
		age                time.Duration // of the deaths when the row is read
		isOwn, isRowBefore bool
	}{
		{"own deaths, soon", time.Second, true, false}, {"own deaths, late", 10 * time.Second, true, false},
		{"after others told, soon", time.Second, false, false}, {"after others told, late", 10 * time.Second, false, false},
		{"before others tell, soon", time.Second, false, true}, {"before others tell, late", 10 * time.Second, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := newQuarantineNodes(2)
			from, r := q.registries[0], q.registries[1]
			if tc.isOwn {
				r = from
			}
			for range 2 {
				q.die(from, 20*time.Millisecond)
			}
			q.now = q.now.Add(tc.age)
			told := from.Evidence()
			readRow := func() {
				for _, m := range told {
					m.Age, m.Ran, m.Quarantined = 0, 0, true
					r.ApplyStored(m)
				}
			}
			if tc.isRowBefore {
				readRow()
			}
			for _, m := range told {
				r.ApplyMark(m)
			}
			if !tc.isRowBefore {
				readRow()
			}
			for start := q.now; q.now.Sub(start) < bound; q.now = q.now.Add(10 * time.Millisecond) {
				if _, ok := r.Verdict("f").(crash.Quarantined); ok && r.TakeTrial("f") {
					return
				}
			}
			t.Errorf("not tried within %v", bound)
		})
	}
}
