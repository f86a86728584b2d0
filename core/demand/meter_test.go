package demand

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// fakeClock is a clock that tests move.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

// covered is the time in seconds that a window covers at the start of a slot, as the fake clock begins.
const covered = 2.5

func newTestMeter() (*Meter, *fakeClock) {
	clock := &fakeClock{time.Unix(1000, 0)}
	m := New("a", WithClock(clock.now))
	m.Configure([]string{"s"}, []string{"a", "b", "c"})
	return m, clock
}

// entryOf returns one entry of service s with some tokens a second.
func entryOf(dataCentre string, offered float64, age time.Duration) map[uint32]Entry {
	return map[uint32]Entry{Hash(dataCentre, "s"): {Rate{Offered: offered}, age}}
}

// TestRatesOfANode guards against requests of services out of scope that are counted, and against demand that outlasts its window.
func TestRatesOfANode(t *testing.T) {
	m, clock := newTestMeter()
	for range 3 {
		m.Offer("s", 600)
		m.Offer("plain", 600)
	}
	m.Unserved("s", 600)
	m.Admit("s")
	want := Rate{1800 / covered, 600 / covered, 1 / covered, 1 / covered}
	if got := m.Own()[Hash("a", "s")].Rate; got != want || len(m.Own()) != 1 {
		t.Errorf("demand %v, want %v of s alone", m.Own(), want)
	}
	clock.at = clock.at.Add(rateWindow)
	if got := m.Own()[Hash("a", "s")].Rate; got != (Rate{}) {
		t.Errorf("%+v after the window", got)
	}
}

// TestKnownDemand guards against demand that is counted twice or not at all, whichever way it came, and against demand that is
// taken for known after it has expired.
func TestKnownDemand(t *testing.T) {
	for _, tc := range []struct {
		name  string
		merge func(m *Meter)
		after time.Duration
		want  string
	}{
		{"none", func(*Meter) {}, 0, "a=30"},
		{"nodes", func(m *Meter) {
			m.MergeNode("x", "a", entryOf("a", 5, 0))
			m.MergeNode("y", "b", entryOf("b", 7, 0))
			m.MergeNode("z", "b", entryOf("b", 8, 0))
		}, time.Second, "a=35 b=15"},
		{"a later report of a node replaces the first", func(m *Meter) {
			m.MergeNode("y", "b", entryOf("b", 7, 0))
			m.MergeNode("y", "b", entryOf("b", 9, 0))
		}, 0, "a=30 b=9"},
		{"a member, through relays", func(m *Meter) {
			m.MergeAll(entryOf("a", 130, 0))
			m.MergeAll(entryOf("b", 90, time.Second))
		}, 0, "a=130 b=90"},
		{"a relay", func(m *Meter) {
			m.MergeNode("x", "a", entryOf("a", 5, 0))
			m.MergeAll(entryOf("a", 130, 0))
			m.MergeCentre(entryOf("b", 80, 0))
			m.MergeAll(entryOf("b", 90, 0))
		}, 0, "a=35 b=80"},
		{"an older sum does not replace a newer one", func(m *Meter) {
			m.MergeAll(entryOf("b", 90, 0))
			m.MergeAll(entryOf("b", 50, 2*time.Second))
		}, 0, "a=30 b=90"},
		{"expired", func(m *Meter) {
			m.MergeNode("y", "b", entryOf("b", 7, 0))
			m.MergeCentre(entryOf("c", 7, 0))
		}, entryTTL + time.Millisecond, "a=0"},
		{"expired on the way", func(m *Meter) { m.MergeAll(entryOf("b", 7, 3*time.Second)) }, entryTTL - 2*time.Second, "a=30"},
		{"of a service out of scope", func(m *Meter) {
			m.MergeNode("y", "b", map[uint32]Entry{Hash("b", "other"): {Rate: Rate{Offered: 1}}})
		}, 0, "a=30"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, clock := newTestMeter()
			m.Offer("s", 30*covered)
			tc.merge(m)
			clock.at = clock.at.Add(tc.after)
			if got := stringOf(m.ByDataCentre("s")); got != tc.want {
				t.Errorf("known %s, want %s", got, tc.want)
			}
		})
	}
}

func stringOf(known map[string]Entry) string {
	s := ""
	for _, dataCentre := range slices.Sorted(maps.Keys(known)) {
		if s != "" {
			s += " "
		}
		s += fmt.Sprintf("%s=%.0f", dataCentre, known[dataCentre].Offered)
	}
	return s
}

// TestRelaysDoNotConfirmEachOther guards against a sum that two relays of a data centre send to and fro and that never expires.
func TestRelaysDoNotConfirmEachOther(t *testing.T) {
	one, clock := newTestMeter()
	two := New("a", WithClock(clock.now))
	two.Configure([]string{"s"}, []string{"a", "b", "c"})
	one.MergeCentre(entryOf("b", 7, 0))
	for range 10 {
		clock.at = clock.at.Add(time.Second)
		two.MergeAll(one.All())
		one.MergeAll(two.All())
	}
	if _, ok := one.ByDataCentre("s")["b"]; ok {
		t.Error("the sum of a lost data centre outlives its time")
	}
}

// TestConfigurationDropsAService guards against demand of a service out of scope that goes on being sent or used, and against a
// change that loses what was measured of the others.
func TestConfigurationDropsAService(t *testing.T) {
	m, _ := newTestMeter()
	m.Configure([]string{"s", "gone"}, []string{"a", "b"})
	m.Offer("s", covered)
	m.Offer("gone", 3)
	m.Configure([]string{"s"}, []string{"a", "b"})
	m.Offer("gone", 3)
	if got := m.Own(); len(got) != 1 || got[Hash("a", "s")].Offered != 1 || len(m.ByDataCentre("gone")) != 0 {
		t.Errorf("demand %v after the change, want 1 token a second of s", got)
	}
}

// TestStateIsBounded guards against state that grows with the names and hashes that senders invent, and against digests that lose
// the data centres that lack room.
func TestStateIsBounded(t *testing.T) {
	m, _ := newTestMeter()
	many := make(map[uint32]Entry)
	for i := range uint32(4 * maxKnown) {
		many[i] = Entry{Rate: Rate{Offered: 1e6}}
	}
	short := Hash("a", "s")
	for i := range 2 * maxSenders {
		m.MergeNode(fmt.Sprint(i), "a", map[uint32]Entry{uint32(i): {Rate: Rate{Offered: 1e6}}})
	}
	m.MergeCentre(many)
	m.MergeAll(many)
	m.Unserved("s", 30)
	if len(m.nodes) > maxSenders || len(m.centres) > maxKnown || len(m.relayed) > maxKnown || m.Dropped() == 0 {
		t.Errorf("%d nodes, %d and %d sums, %d dropped", len(m.nodes), len(m.centres), len(m.relayed), m.Dropped())
	}
	for _, entries := range []map[uint32]Entry{m.Centre(), m.All()} {
		if _, ok := entries[short]; !ok || len(entries) != MaxEntries {
			t.Errorf("%d entries, with the one that is short: %v", len(entries), ok)
		}
	}
}

// BenchmarkRequest measures what a request adds: its arrival and its admission.
func BenchmarkRequest(b *testing.B) {
	m, _ := newTestMeter()
	for b.Loop() {
		m.Offer("s", 800)
		m.Admit("s")
	}
}

// BenchmarkSums measures the sums that a relay of 62 members makes in a period, with 16 entries.
func BenchmarkSums(b *testing.B) {
	m, _ := newTestMeter()
	for i := range 62 {
		m.MergeNode(fmt.Sprint(i), "a", entryOf("a", 5, 0))
	}
	entries := make(map[uint32]Entry)
	for i := range uint32(MaxEntries) {
		entries[i] = Entry{Rate: Rate{Offered: 5}}
	}
	m.MergeCentre(entries)
	for b.Loop() {
		m.Centre()
		m.All()
		m.ByDataCentre("s")
	}
}
