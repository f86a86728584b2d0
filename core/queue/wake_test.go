package queue

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// TestWakesAreJoined guards against a storm of searches while capacity becomes free often, and against a wake that is lost.
func TestWakesAreJoined(t *testing.T) {
	for _, tc := range []struct {
		name     string
		interval time.Duration
		wakes    int // one each 5 ms, from 0 on
		turns    int // of a single request within 150 ms, which finds no capacity
	}{
		{"without an interval", 0, 20, 20},
		{"one wake is sent at once", WakeInterval, 1, 1},
		{"two wakes", WakeInterval, 2, 2},
		{"wakes from 0 to 45 ms", WakeInterval, 10, 2},
		{"wakes from 0 to 75 ms", WakeInterval, 16, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := New(WithWakeInterval(tc.interval))
				w := q.Join(Entry{})
				passAll(map[*Waiter]string{w: ""}) // the turn of a new request
				turns := 0
				for i := range 30 {
					if i < tc.wakes {
						q.Wake()
					}
					turns += passAll(map[*Waiter]string{w: ""})
					time.Sleep(5 * time.Millisecond)
					synctest.Wait()
				}
				if turns != tc.turns {
					t.Errorf("%d turns, want %d", turns, tc.turns)
				}
				w.Leave(false)
				time.Sleep(WakeInterval) // a wake that waits ends
			})
		})
	}
}

// TestNewRequestDoesNotWaitForAJoinedWake guards against a new request that waits behind one which was turned down before capacity
// became free.
func TestNewRequestDoesNotWaitForAJoinedWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(WithWakeInterval(WakeInterval))
		large := q.Join(Entry{})
		defer large.Leave(false)
		passAll(map[*Waiter]string{large: ""})
		q.Wake()
		passAll(map[*Waiter]string{large: ""})
		time.Sleep(time.Millisecond)
		q.Wake() // capacity for a small request has become free
		small := q.Join(Entry{})
		defer small.Leave(true)
		passAll(map[*Waiter]string{large: ""})
		if !hasTurn(small) {
			t.Error("no turn at once")
		}
	})
}

// TestJoinedWakesMissNoCapacity guards against capacity that stays free beside waiting requests because a wake was joined with another.
func TestJoinedWakesMissNoCapacity(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			q := New(WithWakeInterval(WakeInterval))
			waiters := make(map[*Waiter]string)
			free := 0
			var bothSince time.Time // since when there are free capacity and waiting requests, or zero
			for range 2000 {
				switch random.IntN(5) {
				case 0:
					waiters[q.Join(Entry{Team: "t", Tokens: 1})] = ""
				case 1:
					free++
					q.Wake()
				case 2:
					q.Wake() // by gossip; nothing has become free
				case 3:
					for w := range waiters { // a caller leaves
						delete(waiters, w)
						w.Leave(false)
						break
					}
				default:
					time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
					synctest.Wait()
				}
				free -= takeTurns(waiters, free)
				switch {
				case free == 0 || len(waiters) == 0:
					bothSince = time.Time{}
				case bothSince.IsZero():
					bothSince = time.Now()
				case time.Since(bothSince) > WakeInterval+20*time.Millisecond: // a step of this test lasts less than 20 ms
					t.Fatalf("seed %d: %d free beside %d waiting requests for %v", seed, free, len(waiters), time.Since(bothSince))
				}
			}
			for w := range waiters {
				w.Leave(false)
			}
			time.Sleep(WakeInterval)
		})
	}
}

// takeTurns lets all that have or get a turn take the capacity that is free, and returns how many did.
func takeTurns(waiters map[*Waiter]string, free int) int {
	taken := 0
	for isDone := false; !isDone; {
		isDone = true
		for w := range waiters {
			if !hasTurn(w) {
				continue
			}
			isDone = false
			if taken == free {
				w.Pass()
				continue
			}
			taken++
			delete(waiters, w)
			w.Leave(true)
		}
	}
	return taken
}

// TestTurnsUnderShortageAreBounded guards against searches that grow with the events that may free capacity: here 28 a second by
// gossip and requests that end, and 7 requests a second that begin, as at a node among 370 with 690 upstreams.
func TestTurnsUnderShortageAreBounded(t *testing.T) {
	const arrivals, events, lasting = 7, 28, 60 * time.Second
	for _, interval := range []time.Duration{0, WakeInterval} {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			q := New(WithWakeInterval(interval))
			waiters := make(map[*Waiter]string)
			turns := 0
			for began := time.Now(); time.Since(began) < lasting; {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / (arrivals + events)))
				synctest.Wait()
				turns += passAll(waiters)
				if random.IntN(arrivals+events) >= arrivals {
					q.Wake()
				} else {
					w := q.Join(Entry{Team: "t", Tokens: 1})
					waiters[w] = ""
					time.AfterFunc(400*time.Millisecond, func() { w.Leave(false) })
				}
				turns += passAll(waiters)
			}
			perSecond := float64(turns) / lasting.Seconds()
			t.Logf("interval %v: %.0f turns a second", interval, perSecond)
			if most := turnsPerWake * (1/interval.Seconds() + arrivals); perSecond > most {
				t.Errorf("%.0f turns a second, want %.0f", perSecond, most)
			}
			time.Sleep(time.Second) // the last requests leave
		})
	}
}
