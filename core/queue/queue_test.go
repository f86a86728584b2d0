package queue

import (
	"strings"
	"testing"
	"time"

	"rhubarbspread/core/admit"
)

type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

// play joins requests while there is no capacity, and then returns their names in the order in which they get it.
func play(t *testing.T, entries []Entry) string {
	t.Helper()
	clock := &fakeClock{time.Unix(1000, 0)}
	q := New(WithClock(clock.now))
	waiters := make(map[*Waiter]string)
	for i, e := range entries {
		waiters[q.Join(e)] = string(rune('a' + i))
		passAll(waiters)
	}
	var order []string
	for range entries {
		q.Wake()
		for w, name := range waiters {
			if hasTurn(w) {
				order = append(order, name)
				delete(waiters, w)
				w.Leave(true)
				break
			}
		}
		passAll(waiters) // there is no more capacity
	}
	return strings.Join(order, "")
}

// passAll lets all that have or get a turn find no capacity, and returns how many turns there were.
func passAll(waiters map[*Waiter]string) int {
	turns := 0
	for before := -1; before < turns; {
		before = turns
		for w := range waiters {
			if hasTurn(w) {
				turns++
				w.Pass()
			}
		}
	}
	return turns
}

func hasTurn(w *Waiter) bool {
	select {
	case <-w.Turn():
		return true
	default:
		return false
	}
}

// TestOrder guards against capacity that goes to whoever wakes first.
func TestOrder(t *testing.T) {
	urgent, patient := admit.Rank{Primary: 1}, admit.Rank{Primary: 1, Secondary: 2}
	soon, late := time.Unix(1001, 0), time.Unix(999, 0)
	for _, tc := range []struct {
		name    string
		entries []Entry
		want    string
	}{
		{"by arrival", []Entry{{Team: "t"}, {Team: "t"}, {Team: "t"}}, "abc"},
		{"by rank", []Entry{{Rank: patient}, {Rank: urgent}, {Rank: patient}, {Rank: urgent}}, "bdac"},
		{"a team's priority goes first", []Entry{{Rank: admit.Rank{Primary: 1, Secondary: 0}}, {Rank: admit.Rank{Primary: 0, Secondary: 2}}}, "ba"},
		{"raised ones first", []Entry{{Rank: urgent}, {Rank: patient, Raised: true}}, "ba"},
		{"those that can meet their objective", []Entry{{AimUntil: late}, {AimUntil: soon}}, "ba"},
		{"teams in turn", []Entry{{Team: "t", Tokens: 9}, {Team: "t", Tokens: 9}, {Team: "t", Tokens: 9}, {Team: "u", Tokens: 9}}, "adbc"},
		{"a team with small requests gets more of them", []Entry{
			{Team: "t", Tokens: 10}, {Team: "t", Tokens: 10}, {Team: "u", Tokens: 4}, {Team: "u", Tokens: 4}, {Team: "u", Tokens: 4},
		}, "acdeb"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := play(t, tc.entries); got != tc.want {
				t.Errorf("order %q, want %q", got, tc.want)
			}
		})
	}
}

// TestLargeRequestBlocksNobody guards against a request at the head that finds no capacity while smaller ones behind it would, and
// against a search by every waiting request at each wake.
func TestLargeRequestBlocksNobody(t *testing.T) {
	q := New()
	waiters := make(map[*Waiter]string)
	for range 10 {
		waiters[q.Join(Entry{})] = ""
		passAll(waiters)
	}
	for range 3 {
		q.Wake()
		if turns := passAll(waiters); turns != turnsPerWake {
			t.Errorf("%d turns, want %d", turns, turnsPerWake)
		}
	}
}

// TestNewRequestTriesAtOnce guards against a new request that waits for a wake although nobody ahead of it was turned down, and
// against one that overtakes.
func TestNewRequestTriesAtOnce(t *testing.T) {
	urgent, patient := admit.Rank{}, admit.Rank{Secondary: 2}
	q := New()
	first := q.Join(Entry{Rank: patient})
	if !hasTurn(first) {
		t.Fatal("the first request has no turn")
	}
	first.Pass()
	if second := q.Join(Entry{Rank: patient}); hasTurn(second) {
		t.Error("a request overtakes one that was turned down")
	}
	if third := q.Join(Entry{Rank: urgent}); !hasTurn(third) {
		t.Error("a more urgent request has no turn")
	}
}

// TestTurnIsNeverLost guards against a turn that is lost with a request that leaves while it has it.
func TestTurnIsNeverLost(t *testing.T) {
	for _, isTaken := range []bool{false, true} {
		q := New()
		a, b := q.Join(Entry{}), q.Join(Entry{})
		if isTaken && !hasTurn(a) {
			t.Fatal("the first request has no turn")
		}
		a.Leave(false)
		a.Leave(true) // does nothing
		q.Wake()
		if !hasTurn(b) {
			t.Errorf("the turn of a request that left is lost (taken up: %v)", isTaken)
		}
		b.Leave(true)
		if q.Len() != 0 || q.Rate() != 1 {
			t.Errorf("%d waiting, %v a second", q.Len(), q.Rate())
		}
	}
}
