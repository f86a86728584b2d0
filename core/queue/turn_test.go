package queue

import (
	"fmt"
	"testing"
	"time"
)

// joinAll returns requests that have joined in order, and passes the turns that they get.
func joinAll(q *Queue, entries ...Entry) []*Waiter {
	var list []*Waiter
	for _, e := range entries {
		w := q.Join(e)
		if hasTurn(w) {
			w.Pass()
		}
		list = append(list, w)
	}
	return list
}

// TestTurnsAreKept guards against requests that wait although capacity may be free, because a turn was lost.
func TestTurnsAreKept(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(q *Queue) *Waiter // returns the request that has to have the turn
	}{
		{"capacity becomes free while the only request searches", func(q *Queue) *Waiter {
			a := q.Join(Entry{})
			hasTurn(a)
			q.Wake()
			a.Pass()
			return a
		}},
		{"the last turn of a wake goes to a request that leaves without a search", func(q *Queue) *Waiter {
			list := joinAll(q, make([]Entry, turnsPerWake+1)...)
			q.Wake()
			for _, w := range list[:turnsPerWake-1] {
				hasTurn(w)
				w.Pass()
			}
			list[turnsPerWake-1].Leave(false)
			return list[turnsPerWake]
		}},
		{"a request that found no capacity leaves", func(q *Queue) *Waiter {
			list := joinAll(q, Entry{Tokens: 1e9}, Entry{Tokens: 1})
			list[0].Leave(false)
			return list[1]
		}},
		{"a request that may not search is ahead", func(q *Queue) *Waiter {
			a := q.Join(Entry{})
			hasTurn(a)
			a.Skip()
			return q.Join(Entry{})
		}},
		{"those that may not search use up no turns", func(q *Queue) *Waiter {
			list := joinAll(q, make([]Entry, turnsPerWake+1)...)
			q.Wake()
			for _, w := range list[:turnsPerWake] {
				hasTurn(w)
				w.Skip()
			}
			return list[turnsPerWake]
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if w := tc.play(New()); !hasTurn(w) {
				t.Error("the turn is lost")
			}
		})
	}
}

// TestTurnsOfAWakeAreBounded guards against requests that hand turns to each other without end.
func TestTurnsOfAWakeAreBounded(t *testing.T) {
	q := New()
	list := joinAll(q, make([]Entry, 3*turnsPerWake)...)
	q.Wake()
	turns := 0
	for range list {
		for _, w := range list {
			if !hasTurn(w) {
				continue
			}
			if turns++; turns == 1 {
				q.Wake() // during the first search
			}
			w.Pass()
		}
	}
	if turns > 1+turnsPerWake {
		t.Errorf("%d turns after two wakes, want at most %d", turns, 1+turnsPerWake)
	}
}

// TestRefusedRequestsCostNoTurns guards against a team whose requests stand behind all others since many of them were refused.
func TestRefusedRequestsCostNoTurns(t *testing.T) {
	q := New()
	var refused []*Waiter
	for i := range 20 {
		refused = append(refused, joinAll(q, Entry{Team: "t", Tokens: 100 + float64(i)})...)
	}
	for _, w := range refused {
		w.Leave(false)
	}
	u := joinAll(q, Entry{Team: "u", Tokens: 100}, Entry{Team: "u", Tokens: 100})
	w := joinAll(q, Entry{Team: "t", Tokens: 100})[0]
	if w.startTag != 0 || w.Ahead() != 1 {
		t.Errorf("start tag %v with %d ahead, want 0 and 1", w.startTag, w.Ahead())
	}
	for _, w := range append(u, w) {
		w.Leave(false)
	}
	if q.tags["t"] != 0 || q.tags["u"] != 0 {
		t.Errorf("tags %v, want 0", q.tags)
	}
}

// TestTagsAreBounded guards against memory that grows with the number of teams, and against a search of all tags for each request.
func TestTagsAreBounded(t *testing.T) {
	clock := &fakeClock{time.Unix(1000, 0)}
	q := New(WithClock(clock.now))
	for i := range 3 * maxTeams {
		w := q.Join(Entry{Team: fmt.Sprint(i), Tokens: 100})
		if !hasTurn(w) {
			t.Fatal("no turn")
		}
		w.Leave(true)
		if len(q.tags) > maxTeams {
			t.Fatalf("%d tags, want at most %d", len(q.tags), maxTeams)
		}
	}
}
