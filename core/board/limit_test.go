package board

import (
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/pacer"
)

// TestLimitedFirstStageIsLeftToOthers checks that paths begin at an upstream no more often than its limit allows, that
// others take the rest, and that later stages and unsent requests don't count.
func TestLimitedFirstStageIsLeftToOthers(t *testing.T) {
	const perSecond, seconds, requestsPerSecond = 5, 10, 40
	c := newClock()
	b := newBoard(c, 1)
	limited, other := upstream("limited", "a", "big", 0, 40), upstream("other", "b", "big", 0, 40)
	last := upstream("last", "a", "big", 40, 80)
	list := []*fleet.Upstream{limited, other, last}
	b.SetUpstreams(fleet.NewList(1, list))
	b.SetSharers(pacer.NewSharers(1, nil))
	b.RecordLimit(limited, perSecond)
	b.RecordLimit(last, 0)
	first := make(map[string]int)
	for i := range seconds * requestsPerSecond {
		c.advance(time.Second / requestsPerSecond)
		r := b.ReservePath(list, need())
		if r == nil {
			t.Fatalf("request %d has no path", i)
		}
		if i%3 == 0 {
			r.Cancel()
			continue
		}
		first[r.Upstream.ID]++
		r.Release()
	}
	if got := first["limited"]; got < perSecond*seconds*8/10 || got > perSecond*(seconds+1) {
		t.Errorf("%d paths in %d s begin at an upstream that takes %d a second", got, seconds, perSecond)
	}
}

// TestLimitedPlainUpstreamIsNoLastResort checks that a plain upstream at its limit is not sent a request because all others
// are ejected, and that waiting requests are woken when it may get the next one.
func TestLimitedPlainUpstreamIsNoLastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(WithSeed(1))
		limited, failed := upstream("limited", "a", "", 0, 0), upstream("failed", "a", "", 0, 0)
		list := []*fleet.Upstream{limited, failed}
		b.SetUpstreams(fleet.NewList(1, list))
		b.SetSharers(pacer.NewSharers(1, nil))
		b.RecordLimit(limited, 20)
		b.RecordFailure(failed)
		freed := b.CapacityFreed()
		r := b.ReservePlain(list, nil)
		if r == nil || r.Upstream != failed {
			t.Fatalf("reserved %+v, want the ejected upstream", r)
		}
		if r := b.ReservePlain(list, []string{"failed"}); r != nil {
			t.Fatalf("reserved %s beyond its limit", r.Upstream.ID)
		}
		start := time.Now()
		<-freed
		if waited := time.Since(start); waited != 50*time.Millisecond {
			t.Errorf("waiting requests were woken after %v, want 50ms", waited)
		}
		if r := b.ReservePlain(list, nil); r == nil || r.Upstream != limited {
			t.Errorf("reserved %+v, want the upstream with a limit", r)
		}
		b.RecordNoLimit(limited, time.Now().Add(time.Millisecond))
		if b.LimitedUpstreams() != 0 {
			t.Error("a lifted limit is still in force")
		}
	})
}
