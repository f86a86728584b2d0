package entry

import (
	"cmp"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/hop"
	"rhubarbspread/io/mesh"

	"github.com/go-logr/logr"
)

// TestEntryThatFitsNoServiceIsNotUsed guards against entries of another writer, in order by themselves, that the configuration has no
// place for: an entry with layers beyond the model ended the node that plans.
func TestEntryThatFitsNoServiceIsNotUsed(t *testing.T) {
	model := &rules.Engine{Layers: 80, Cards: map[string]rules.Card{"card": {}}}
	services := []*rules.Service{{Name: "plain"}, {Name: "model", Engine: model}}
	entries := map[string]*fleet.Upstream{
		"plain":       {Service: "plain"},
		"empty":       {Service: "model", Card: "card"},
		"whole":       {Service: "model", Card: "card", Layers: fleet.Range{From: 0, To: 80}},
		"beyond":      {Service: "model", Card: "card", Layers: fleet.Range{From: 40, To: 1000}},
		"no-card":     {Service: "model", Layers: fleet.Range{From: 0, To: 40}},
		"other-card":  {Service: "model", Card: "other", Layers: fleet.Range{From: 0, To: 40}},
		"unknown":     {Service: "other"},
		"smaller-now": {Service: "model", Card: "card", Layers: fleet.Range{From: 60, To: 80}},
	}
	synctest.Test(t, func(t *testing.T) {
		c := newTestControl()
		c.node.platform.DecodeUpstream = func(id string, _ []byte) (*fleet.Upstream, error) {
			u := *entries[id]
			u.ID = id
			return &u, nil
		}
		ch := change{topic: store.Upstreams, snapshot: true, fromStore: true}
		for id := range entries {
			ch.rows = append(ch.rows, store.FeedRow{Key: id, Version: 1})
		}
		c.handle(ch)
		for _, step := range []struct {
			layers int
			want   []string
		}{{80, []string{"empty", "plain", "smaller-now", "whole"}}, {60, []string{"empty", "plain"}}} {
			model.Layers = step.layers
			c.rules = rules.New(uint64(step.layers), nil, services, rules.Open{}, rules.Limits{})
			c.publish()
			var got []string
			for _, u := range c.node.view.Load().List.All() {
				got = append(got, u.ID)
			}
			slices.Sort(got)
			if !slices.Equal(got, step.want) {
				t.Errorf("upstreams %v with %d layers, want %v", got, step.layers, step.want)
			}
			if rows := len(c.node.view.Load().Rows); rows != len(entries) {
				t.Errorf("%d entries for other nodes, want %d", rows, len(entries))
			}
		}
	})
}

// newTestControl returns the control state of a node whose store has just come back after an outage.
func newTestControl() *control {
	n := New(Config{HeartbeatInterval: time.Second}, Platform{
		NewEngines:     func(*hop.Pool) Engines { return nil },
		DecodeUpstream: func(id string, _ []byte) (*fleet.Upstream, error) { return &fleet.Upstream{ID: id, Service: "s"}, nil },
	}, logr.Discard())
	n.recordSuccess(store.Upstreams, time.Now())
	n.recordFailure(store.Upstreams, errors.New("no answer"))
	time.Sleep(2 * time.Second)
	n.recordSuccess(store.Upstreams, time.Now())
	return newControl(n)
}

// wordOf returns the word of the store that comes with the list at a revision.
func wordOf(number uint64) mesh.Word {
	r := store.Revision{Number: number}
	return mesh.Word{Through: r, Changed: r, ConfirmedAt: time.Now()}
}

// TestEntryThatExpiredIsNotPassedOn guards against two nodes that undo each other's removal of an upstream: each waits
// for the entry to reappear, and takes it from the other's list.
func TestEntryThatExpiredIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newTestControl(), newTestControl()
		for _, c := range []*control{first, second} {
			c.apply(change{topic: store.Upstreams, word: wordOf(1), snapshot: true, fromStore: true,
				rows: []store.FeedRow{{Key: "u", Version: 1}, {Key: "v", Version: 1}}})
			c.apply(change{topic: store.Upstreams, word: wordOf(2), fromStore: true,
				rows: []store.FeedRow{{Key: "u", Removed: true, Version: 2}}})
			c.publish()
		}
		state := first.node.storeState()
		second.apply(change{topic: store.Upstreams, rows: state.Rows, word: wordOf(2), snapshot: true})
		time.Sleep(expiryGrace + expiryInterval)
		second.removeExpired()
		second.publish()
		if got := second.node.Upstreams("s"); len(got) != 1 || got[0].ID != "v" {
			t.Errorf("upstreams %v after the grace period, want only v", got)
		}
	})
}

// storeOfTest is a store's list of upstreams, from which nodes read.
type storeOfTest struct {
	rows     map[string]store.FeedRow
	revision store.Revision
}

// write changes an entry, or removes it.
func (s *storeOfTest) write(id string, removed bool) {
	s.revision.Number++
	s.rows[id] = store.FeedRow{Key: id, Removed: removed, Version: s.revision.Number}
}

// answer returns the store's answer to a follower: all entries, or what has changed.
func (s *storeOfTest) answer(f *follower) change {
	var rows []store.FeedRow
	for _, row := range s.rows {
		if f.hasSnapshot && row.Version > f.since.Number || !f.hasSnapshot && !row.Removed {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.FeedRow) int { return cmp.Compare(a.Version, b.Version) })
	ch := newChange(f, rows, s.revision, time.Now())
	f.hasSnapshot, f.since = true, s.revision
	return ch
}

// readerOfTest is a node that reads the list.
type readerOfTest struct {
	*control
	follower
}

func newReaderOfTest() *readerOfTest {
	return &readerOfTest{control: newControl(New(Config{HeartbeatInterval: time.Second}, Platform{
		NewEngines:     func(*hop.Pool) Engines { return nil },
		DecodeUpstream: func(id string, _ []byte) (*fleet.Upstream, error) { return &fleet.Upstream{ID: id, Service: "s"}, nil },
	}, logr.Discard())), follower: follower{topic: store.Upstreams}}
}

// fetch takes the other node's data as they are now.
func (r *readerOfTest) fetch(t *testing.T, other *readerOfTest) {
	changes := make(chan change, maxTasks)
	r.node.forwardState(t.Context(), other.node.storeState(), changes)
	close(changes)
	for ch := range changes {
		r.handle(ch)
	}
}

// TestOlderListReplacesNoNewerOne guards against requests to upstreams that have left: a node that had just read the list took the older
// one of a node that the store turned away for newer, as that node had seen the version of a row that was removed meanwhile.
func TestOlderListReplacesNoNewerOne(t *testing.T) {
	tests := []struct {
		name string
		play func(t *testing.T, s *storeOfTest, fresh, stale *readerOfTest)
		want []string
	}{
		{"of a node that the store turns away", func(t *testing.T, s *storeOfTest, fresh, stale *readerOfTest) {
			fresh.handle(s.answer(&fresh.follower))
			fresh.fetch(t, stale)
		}, []string{"u"}},
		{"the same after a poll without changes", func(t *testing.T, s *storeOfTest, fresh, stale *readerOfTest) {
			fresh.handle(s.answer(&fresh.follower))
			s.revision.Number++
			fresh.handle(s.answer(&fresh.follower))
			fresh.fetch(t, stale)
		}, []string{"u"}},
		{"an answer of the store that comes late", func(_ *testing.T, s *storeOfTest, fresh, stale *readerOfTest) {
			fresh.handle(s.answer(&fresh.follower))
			s.write("late", false)
			late := s.answer(&stale.follower)
			s.write("late", true)
			fresh.handle(s.answer(&fresh.follower))
			fresh.handle(late)
		}, []string{"u"}},
		{"a whole list of the store that comes late", func(t *testing.T, s *storeOfTest, fresh, stale *readerOfTest) {
			s.write("late", false)
			late := s.answer(&fresh.follower)
			s.write("late", true)
			stale.handle(s.answer(&stale.follower))
			fresh.fetch(t, stale)
			fresh.handle(late)
		}, []string{"u"}},
		{"a newer list is taken", func(t *testing.T, s *storeOfTest, fresh, stale *readerOfTest) {
			fresh.handle(s.answer(&fresh.follower))
			stale.fetch(t, fresh)
			fresh.control = stale.control
		}, []string{"u"}},
		{"a list of a later era is taken", func(t *testing.T, s *storeOfTest, fresh, stale *readerOfTest) {
			s.revision = store.Revision{Era: 1}
			s.write("u2", false)
			fresh.handle(s.answer(&fresh.follower))
			stale.fetch(t, fresh)
			fresh.control = stale.control
		}, []string{"u", "u2"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &storeOfTest{rows: make(map[string]store.FeedRow)}
				fresh, stale := newReaderOfTest(), newReaderOfTest()
				for _, id := range []string{"u", "first", "second"} {
					s.write(id, false)
				}
				stale.handle(s.answer(&stale.follower))
				s.write("first", true)
				stale.handle(s.answer(&stale.follower))
				s.write("second", true)
				tc.play(t, s, fresh, stale)
				time.Sleep(expiryGrace + expiryInterval)
				fresh.removeExpired()
				fresh.publish()
				var got []string
				for _, u := range fresh.node.Upstreams("s") {
					got = append(got, u.ID)
				}
				if !slices.Equal(got, tc.want) {
					t.Errorf("upstreams %v, want %v", got, tc.want)
				}
			})
		})
	}
}

// TestNodesAreReadAnewWhole guards against rows of nodes that were removed while this node could not follow the changes, and that it
// keeps counting, and against a node whose own row was lost and is not written again.
func TestNodesAreReadAnewWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		row := func(name string) store.FeedRow {
			return store.FeedRow{Key: name, Value: []byte(`{"address":"10.0.0.1:80","data-centre":"a"}`)}
		}
		c := newTestControl()
		c.node.config.Node = "own"
		c.node.announced.Store(true)
		steps := []struct {
			name      string
			rows      []store.FeedRow
			fromStore bool
			want      int // other nodes
			isLost    bool
		}{
			{"from another node before the store was read", []store.FeedRow{row("own"), row("x")}, false, 1, false},
			{"from the store", []store.FeedRow{row("own"), row("x"), row("y")}, true, 2, false},
			{"anew", []store.FeedRow{row("own"), row("y"), row("z"), row("w")}, true, 3, false},
			{"from another node afterwards", []store.FeedRow{row("own"), row("x")}, false, 3, false},
			{"without the own one", []store.FeedRow{row("y")}, true, 1, true},
		}
		for _, s := range steps {
			c.handle(change{topic: store.Nodes, rows: s.rows, snapshot: true, fromStore: s.fromStore})
			if got := len(c.node.otherNodes()); got != s.want {
				t.Errorf("%s: %d other nodes, want %d", s.name, got, s.want)
			}
			if got := len(c.node.rowLost) > 0; got != s.isLost {
				t.Errorf("%s: the row counts as lost: %v, want %v", s.name, got, s.isLost)
			}
		}
	})
}
