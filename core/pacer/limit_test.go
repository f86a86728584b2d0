package pacer

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// nodes returns the sharers of each of n nodes.
func nodes(n int) []*Sharers {
	var list []*Sharers
	for i := range n {
		var others []uint32
		for j := range n {
			if j != i {
				others = append(others, uint32(j+1)*2654435761)
			}
		}
		list = append(list, NewSharers(uint32(i+1)*2654435761, others))
	}
	return list
}

// TestSharesAddUpToTheLimit checks that the nodes share a limit whole, and that few of them do if it is low.
func TestSharesAddUpToTheLimit(t *testing.T) {
	tests := []struct {
		nodes     int
		perSecond float64
		senders   int
	}{
		{1, 10, 1}, {9, 9.8, 9}, {9, 4, 4}, {9, 0, 2}, {9, 0.5, 2}, {84, 10, 10}, {370, 1000, 370}, {370, 0.3, 2},
		{9, math.MaxFloat64, 9},
	}
	for _, tc := range tests {
		for upstream := range uint32(20) {
			sum, senders := 0.0, 0
			for _, s := range nodes(tc.nodes) {
				share := s.Share(upstream, tc.perSecond)
				sum += share
				if share > 0 {
					senders++
				}
			}
			if math.Abs(sum-1) > 1e-9 || senders != tc.senders {
				t.Errorf("%d nodes, %v a second: %d nodes share %v of it, want %d and 1", tc.nodes, tc.perSecond, senders, sum,
					tc.senders)
			}
		}
	}
}

// TestNodesKeepTheLimitTogether sends as much as the nodes may for some time after a pause, and counts the requests of the
// busiest four seconds.
func TestNodesKeepTheLimitTogether(t *testing.T) {
	const window, tick, pause, length = 4 * time.Second, 100 * time.Millisecond, 30 * time.Second, 20 * time.Second
	for _, tc := range []struct {
		nodes     int
		perSecond float64
	}{
		{1, 10}, {9, 9.8}, {9, 4}, {9, 0}, {9, 0.4}, {84, 10}, {84, 0.4}, {370, 15}, {9, 400},
	} {
		t.Run(fmt.Sprintf("%d nodes, %v a second", tc.nodes, tc.perSecond), func(t *testing.T) {
			start := time.Unix(1000, 0)
			sharers, limits := nodes(tc.nodes), make([]Limit, tc.nodes)
			for i := range limits {
				limits[i].State(tc.perSecond, start, start)
			}
			var sent []time.Time
			for now := start.Add(pause); now.Before(start.Add(pause + length)); now = now.Add(tick) {
				for i := range limits {
					for {
						if wait, ok := limits[i].Wait(sharers[i], 7, now); !ok || wait > 0 {
							break
						}
						limits[i].Spend()
						sent = append(sent, now)
					}
				}
			}
			most := 0
			for first, last := 0, 0; last < len(sent); last++ {
				for sent[last].Sub(sent[first]) > window {
					first++
				}
				most = max(most, last-first+1)
			}
			if allowed := 1.5*tc.perSecond*window.Seconds() + 5; float64(most) > allowed {
				t.Errorf("%d requests in %v, allowed %v", most, window, allowed)
			}
			if least := tc.perSecond * length.Seconds() * 0.9; float64(len(sent)) < least {
				t.Errorf("%d requests in %v, want at least %v", len(sent), length, least)
			}
		})
	}
}

// TestStatementsOfALimit checks what is known after answers and other nodes' statements.
func TestStatementsOfALimit(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name    string
		play    func(l *Limit)
		limited bool
		value   float64
	}{
		{"none", func(*Limit) {}, false, 0},
		{"named", func(l *Limit) { l.State(3, at(0), at(0)) }, true, 3},
		{"named anew", func(l *Limit) { l.State(3, at(0), at(0)); l.State(5, at(100), at(100)) }, true, 5},
		{"lifted by a later request", func(l *Limit) { l.State(3, at(0), at(0)); l.Lift(at(1)) }, false, 0},
		{"an earlier request's answer is late", func(l *Limit) { l.State(3, at(100), at(100)); l.Lift(at(50)) }, true, 3},
		{"named again after it was lifted", func(l *Limit) {
			l.State(3, at(0), at(0))
			l.Lift(at(1))
			l.State(4, at(2), at(2))
		}, true, 4},
		{"an older statement of another node", func(l *Limit) {
			l.State(3, at(500), at(500))
			l.Apply(Statement{PerSecond: 9, Age: time.Second}, at(600))
		}, true, 3},
		{"another node knows that it is lifted", func(l *Limit) {
			l.State(3, at(0), at(0))
			l.Apply(Statement{IsLifted: true, Age: 100 * time.Millisecond}, at(600))
		}, false, 0},
	}
	for _, tc := range tests {
		var l Limit
		tc.play(&l)
		s, known := l.Latest(at(1000))
		if limited := known && !s.IsLifted; limited != tc.limited || limited && s.PerSecond != tc.value {
			t.Errorf("%s: %+v, %v, want limited %v to %v", tc.name, s, known, tc.limited, tc.value)
		}
	}
}

// TestUnsentRequestReturnsItsToken checks that a request that is not sent costs nothing of the limit.
func TestUnsentRequestReturnsItsToken(t *testing.T) {
	start := time.Unix(1000, 0)
	var l Limit
	s := nodes(2)[0]
	l.State(2, start, start)
	now := start.Add(time.Second)
	for range 3 {
		if wait, ok := l.Wait(s, 7, now); !ok || wait > 0 {
			t.Fatalf("wait %v, %v, want none", wait, ok)
		}
		l.Spend()
		l.Refund()
	}
	l.Spend()
	if wait, ok := l.Wait(s, 7, now); !ok || wait != time.Second {
		t.Errorf("wait %v, %v after the second's request, want 1s", wait, ok)
	}
}

func BenchmarkWait(b *testing.B) {
	for _, n := range []int{9, 84, 370} {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			var l Limit
			s, start := nodes(n)[0], time.Unix(1000, 0)
			l.State(10, start, start)
			for i := range b.N {
				l.Wait(s, 7, start.Add(time.Duration(i)))
			}
		})
	}
}
