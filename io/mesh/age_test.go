package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/io/mesh/wire"
)

// TestDigestIsNeverTakenForYoungerThanItIs guards against ages that lose time on the way, and against echoes that date a digest wrongly.
func TestDigestIsNeverTakenForYoungerThanItIs(t *testing.T) {
	const elapsed = 10 * time.Second // since the receiver's start
	us := func(d time.Duration) uint64 { return uint64(d.Microseconds()) }
	for _, tc := range []struct {
		name        string
		incarnation uint64 // relative to the receiver's
		echo        *wire.Echo
		want        time.Duration // age at most; negative if it is not known
	}{
		{"no echo, as of an older build", 0, nil, -1},
		{"an echo after 9 s, held for 300 ms", 0, &wire.Echo{MadeUs: us(9 * time.Second), HeldUs: 300_000}, 700 * time.Millisecond},
		{"made before the datagram that it returns was handled", 0, &wire.Echo{MadeUs: us(9 * time.Second), HeldUs: -50_000},
			1050 * time.Millisecond},
		{"a clock that goes faster", 0, &wire.Echo{MadeUs: us(9 * time.Second), HeldUs: 1_000_400}, 0},
		{"an echo to an earlier start of this node", 1, &wire.Echo{MadeUs: us(time.Second)}, -1},
		{"a time to come", 0, &wire.Echo{MadeUs: us(11 * time.Second)}, -1},
		{"held for longer than this node runs", 0, &wire.Echo{MadeUs: 1, HeldUs: 1 << 62}, -1},
		{"made before this node's start", 0, &wire.Echo{MadeUs: 1, HeldUs: -1 << 62}, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newGroup(t, 1, "a").nodes[0]
				time.Sleep(elapsed)
				if tc.echo != nil {
					tc.echo.Incarnation = m.incarnation - tc.incarnation
				}
				r := m.receiptOf(&wire.Digest{Echo: tc.echo})
				if r.madeAt.IsZero() != (tc.want < 0) || tc.want >= 0 && r.onTheWay() != tc.want {
					t.Errorf("made at %v, on the way for %v, want %v", r.madeAt, r.onTheWay(), tc.want)
				}
			})
		})
	}
}

// TestLimitThatGoesRoundGrowsOld guards against limits of upstreams that no later answer lifts, as other nodes return them younger than
// they were.
func TestLimitThatGoesRoundGrowsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2, "a")
		delay := func(*member) time.Duration { return 60 * time.Millisecond }
		g.exchangeDelayed(4, delay)
		statedAt := time.Now()
		g.nodes[0].board.RecordLimit(g.upstreams[0], 5)
		g.exchangeDelayed(20, delay)
		for _, m := range g.nodes {
			for _, s := range m.board.Limits() {
				if age := time.Since(statedAt); s.Age < age {
					t.Errorf("%s: a limit stated %v ago is %v old", m.config.Node, age, s.Age)
				}
			}
			if len(m.board.Limits()) != 1 {
				t.Errorf("%s knows %d limits, want 1", m.config.Node, len(m.board.Limits()))
			}
		}
	})
}
