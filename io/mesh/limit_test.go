package mesh

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/proxy"
)

// The users' bound on the requests to an upstream that names a limit.
const (
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitExtra      = 5
	limitTellTime   = 500 * time.Millisecond // after which a node that passed on an answer with the limit is bound
	limitSettleTime = 3 * time.Second        // after an upstream first named its limit
)

// arrival is a request that reached an upstream.
type arrival struct {
	at   time.Time
	node int
}

// namedLimits holds the limits that upstreams name, and the requests that reach them.
type namedLimits struct {
	mu       sync.Mutex
	limits   map[string]float64           // by upstream; those without one name none
	arrivals map[string][]arrival         // by upstream, since it named the present limit
	toldAt   map[string]map[int]time.Time // by upstream: when each node passed on its first answer with the limit
}

// name makes an upstream name a limit from now on; a negative one makes it name none.
func (l *namedLimits) name(upstream string, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.arrivals, upstream)
	l.toldAt[upstream] = make(map[int]time.Time)
	if l.limits[upstream] = perSecond; perSecond < 0 {
		delete(l.limits, upstream)
	}
}

// arrive records a request of a node, and returns what the answer says of the limit.
func (l *namedLimits) arrive(node int, upstream string) proxy.RequestLimit {
	if l == nil {
		return proxy.RequestLimit{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[upstream] = append(l.arrivals[upstream], arrival{time.Now(), node})
	perSecond, ok := l.limits[upstream]
	return proxy.RequestLimit{Stated: ok, PerSecond: perSecond}
}

// tell records that a node passes on an answer.
func (l *namedLimits) tell(node int, upstream string, limit proxy.RequestLimit) {
	if l == nil || !limit.Stated {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.toldAt[upstream][node]; !ok {
		l.toldAt[upstream][node] = time.Now()
	}
}

// check fails if an upstream got more requests in some window than its limit allows.
func (l *namedLimits) check(t *testing.T) {
	t.Helper()
	for upstream, perSecond := range l.limits {
		told := slices.Collect(maps.Values(l.toldAt[upstream]))
		if len(told) == 0 {
			t.Errorf("%s never named its limit: the test exercises nothing", upstream)
			continue
		}
		from := slices.MinFunc(told, time.Time.Compare).Add(limitSettleTime)
		var times []time.Time
		for _, a := range l.arrivals[upstream] {
			toldAt, ok := l.toldAt[upstream][a.node]
			if ok && a.at.Sub(toldAt) >= limitTellTime && !a.at.Before(from) {
				times = append(times, a.at)
			}
		}
		allowed, most := limitFactor*perSecond*limitWindow.Seconds()+limitExtra, 0
		for first, last := 0, 0; last < len(times); last++ {
			for times[last].Sub(times[first]) > limitWindow {
				first++
			}
			most = max(most, last-first+1)
		}
		if float64(most) > allowed {
			t.Errorf("%s names %v a second and got %d requests in %v, allowed %v", upstream, perSecond, most, limitWindow, allowed)
		}
	}
}

// limitCase is a fleet in which some upstreams name limits.
type limitCase struct {
	name    string
	nodes   int
	limited int     // upstreams of limitUpstreams that name a limit
	limit   float64 // requests a second
	disturb func(f *crasherFleet, elapsed time.Duration)
}

const limitUpstreams = 12

// play sends one request a tick for 25 s, with limits from second 3 on.
func (tc limitCase) play(t *testing.T, seed uint64) *crasherFleet {
	f := newCrasherFleet(t, tc.nodes, seed)
	f.upstreams = f.upstreams[:limitUpstreams]
	f.limits = &namedLimits{limits: make(map[string]float64), arrivals: make(map[string][]arrival),
		toldAt: make(map[string]map[int]time.Time)}
	f.run(25*time.Second, func(elapsed time.Duration) {
		if elapsed == 3*time.Second {
			for _, u := range f.upstreams[:tc.limited] {
				f.limits.name(u.ID, tc.limit)
			}
		}
		if tc.disturb != nil {
			tc.disturb(f, elapsed)
		}
		f.ask(f.random.IntN(len(f.nodes)), fmt.Sprint("tick-", elapsed))
	})
	return f
}

// TestLimitsOfUpstreamsAreKept guards against nodes that together send an upstream more requests than the limit that it
// names, and against refusals while other upstreams are free.
func TestLimitsOfUpstreamsAreKept(t *testing.T) {
	for _, tc := range []limitCase{
		{"half of what they get", 9, 8, 4, nil},
		{"half of what they get, many nodes", 84, 8, 4, nil},
		{"less than one a second", 9, 8, 0.4, nil},
		{"none at all", 9, 6, 0, nil},
		{"more than they get", 24, 8, 50, nil},
		{"restarted nodes", crasherNodes, 8, 3, func(f *crasherFleet, elapsed time.Duration) {
			if elapsed%(3*time.Second) == 0 {
				for i := range len(f.nodes) / 2 {
					f.restart(i)
				}
			}
		}},
		{"a cut", crasherNodes, 8, 3, cutFrom(6 * time.Second)},
		{"a burst", 9, 8, 4, func(f *crasherFleet, elapsed time.Duration) {
			if elapsed > 10*time.Second && elapsed < 14*time.Second {
				for i := range 4 {
					f.ask(f.random.IntN(len(f.nodes)), fmt.Sprint("burst-", elapsed, i))
				}
			}
		}},
		{"a lower limit", 9, 8, 8, func(f *crasherFleet, elapsed time.Duration) {
			if elapsed == 9*time.Second {
				for _, u := range f.upstreams[:8] {
					f.limits.name(u.ID, 2)
				}
			}
		}},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := tc.play(t, seed)
					f.limits.check(t)
					for _, s := range f.sound {
						if !s.isServed {
							t.Errorf("a request was refused while upstreams without a limit were free")
							break
						}
					}
				})
			})
		}
	}
}

// TestLiftedLimitIsForgotten guards against nodes that go on keeping a limit that its upstream no longer names.
func TestLiftedLimitIsForgotten(t *testing.T) {
	for _, nodes := range []int{9, crasherNodes} {
		synctest.Test(t, func(t *testing.T) {
			tc := limitCase{"", nodes, limitUpstreams, 1, func(f *crasherFleet, elapsed time.Duration) {
				if elapsed == 9*time.Second {
					for _, u := range f.upstreams {
						f.limits.name(u.ID, -1)
					}
				}
			}}
			f := tc.play(t, 0)
			asked, served := 0, 0
			for _, s := range f.sound {
				if time.Since(s.askedAt) < 10*time.Second {
					asked++
					if s.isServed {
						served++
					}
				}
			}
			if served < asked {
				t.Errorf("%d nodes: %d of %d requests were served though no upstream has named a limit for seconds", nodes, served, asked)
			}
		})
	}
}
