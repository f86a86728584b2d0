package store

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNewsLoseNoChange guards against nodes that take news for all changes although some are missing: over random changes of a
// store, polls by one node and news that get lost, each node has the store's rows of the revision that it claims to have.
func TestNewsLoseNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type state struct {
			through Revision
			rows    map[string]string
			recent  Recent
		}
		now := time.Unix(0, 0)
		history := []map[string]string{{}} // by revision
		changed := []string{""}            // the key that changed, by revision
		apply := func(s *state, rows []FeedRow) {
			for _, row := range rows {
				if row.Removed {
					delete(s.rows, row.Key)
				} else {
					s.rows[row.Key] = string(row.Value)
				}
			}
		}
		reader, member := &state{rows: map[string]string{}}, &state{rows: map[string]string{}}
		check := func(name string, s *state) {
			if want := history[s.through.Number]; !maps.Equal(s.rows, want) {
				t.Fatalf("%s has %v at revision %d, want %v", name, s.rows, s.through.Number, want)
			}
		}
		poll := func(s *state) {
			latest := map[string]FeedRow{}
			for v := s.through.Number + 1; v < uint64(len(history)); v++ {
				key := changed[v]
				value, ok := history[len(history)-1][key]
				latest[key] = FeedRow{Key: key, Value: []byte(value), Removed: !ok, Version: v}
			}
			rows, since := []FeedRow(nil), s.through
			for _, row := range latest {
				rows = append(rows, row)
			}
			s.through = Revision{Number: uint64(len(history) - 1)}
			apply(s, rows)
			s.recent.Add(since, s.through, rows, now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				rows := maps.Clone(history[len(history)-1])
				key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
				if rapid.Bool().Draw(t, "removed") {
					delete(rows, key)
				} else {
					rows[key] = rapid.StringN(0, 9, 9).Draw(t, "value")
				}
				history, changed = append(history, rows), append(changed, key)
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"reader polls": func(*rapid.T) { poll(reader) },
			"member polls": func(*rapid.T) { poll(member) },
			"news arrive": func(t *rapid.T) {
				n := reader.recent.News(now, rapid.IntRange(0, 40).Draw(t, "bytes"))
				if !n.Continues(member.through) {
					return
				}
				since, rows := member.through, n.After(member.through)
				apply(member, rows)
				member.through = n.Through
				member.recent.Add(since, n.Through, rows, now)
			},
			"": func(*rapid.T) {
				check("reader", reader)
				check("member", member)
			},
		})
	})
}

// TestNewsContinueOnlyOneEra guards against the news of one era of the store for a node that is in another one.
func TestNewsContinueOnlyOneEra(t *testing.T) {
	row := FeedRow{Key: "a", Value: []byte("x"), Version: 5}
	var r Recent
	r.Reset(Revision{1, 4})
	r.Add(Revision{1, 4}, Revision{1, 6}, []FeedRow{row}, time.Now())
	n := r.News(time.Now(), 100)
	for _, tc := range []struct {
		has  Revision
		want bool
	}{{Revision{1, 4}, true}, {Revision{1, 5}, true}, {Revision{1, 3}, false}, {Revision{1, 6}, false}, {Revision{2, 4}, false}, {Revision{0, 4}, false}} {
		if got := n.Continues(tc.has); got != tc.want {
			t.Errorf("the news from %d to %+v continue %+v: %v, want %v", n.From, n.Through, tc.has, got, tc.want)
		}
	}
	r.Reset(Revision{2, 3})
	if n := r.News(time.Now(), 100); len(n.Rows) != 0 || n.Through != (Revision{2, 3}) {
		t.Errorf("after the store came back from an older copy the news are %+v", n)
	}
}
