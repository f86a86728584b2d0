package entry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/hop"
	"rhubarbspread/io/mesh"

	"github.com/go-logr/logr"
)

// read returns the store's answer to a poll for the list that reflects a revision.
func read(hasSnapshot bool, through store.Revision, rows ...store.FeedRow) change {
	return newChange(&follower{topic: store.Upstreams, hasSnapshot: hasSnapshot}, rows, through, time.Now())
}

func revision(number uint64) store.Revision { return store.Revision{Era: 1, Number: number} }

// TestWordOfTheStoreCoversWhatTheNodeHas checks what a node may say of the store after its reads: others that have all changes up
// to the newest one of which it knows rely on it.
func TestWordOfTheStoreCoversWhatTheNodeHas(t *testing.T) {
	row := func(version uint64) store.FeedRow { return store.FeedRow{Key: "u", Version: version} }
	for _, tc := range []struct {
		name             string
		changes          []change
		through, changed store.Revision
	}{
		{"no read", nil, store.Revision{}, store.Revision{}},
		{"all rows, of which some may have been removed after the newest that is left",
			[]change{read(false, revision(9), row(5))}, revision(9), revision(9)},
		{"a change", []change{read(false, revision(9), row(5)), read(true, revision(14), row(12))}, revision(14), revision(12)},
		{"no change", []change{read(false, revision(9), row(5)), read(true, revision(20))}, revision(20), revision(9)},
		{"the store comes back from an older copy",
			[]change{read(false, revision(90), row(80)), read(false, store.Revision{Era: 2, Number: 40}, row(30))},
			store.Revision{Era: 2, Number: 40}, store.Revision{Era: 2, Number: 40}},
		{"another node's list", []change{read(false, revision(9), row(5)),
			{topic: store.Upstreams, rows: []store.FeedRow{row(12)}, snapshot: true,
				word: mesh.Word{Through: revision(15), Changed: revision(12), ConfirmedAt: time.Now()}}}, revision(15), revision(12)},
		{"another node's list that is older", []change{read(false, revision(9), row(5)), read(true, revision(14), row(12)),
			{topic: store.Upstreams, rows: []store.FeedRow{row(5)}, snapshot: true,
				word: mesh.Word{Through: revision(13), Changed: revision(13), ConfirmedAt: time.Now()}}}, revision(14), revision(12)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestControl()
				for _, ch := range tc.changes {
					c.handle(ch)
				}
				got := c.node.storeState().ListWord
				if c.node.view.Load() == nil {
					got = c.node.newestWord(store.Upstreams)
				}
				if got.Through != tc.through || got.Changed != tc.changed {
					t.Errorf("the word covers %+v and changes up to %+v, want %+v and %+v", got.Through, got.Changed, tc.through,
						tc.changed)
				}
			})
		})
	}
}

// TestManyTurnedAwayNodesSpareTheStore guards against polls for the nodes in short succession by all of many nodes that the store
// turns away, while a node that has read nothing yet must go on asking.
func TestManyTurnedAwayNodesSpareTheStore(t *testing.T) {
	many := make(map[string]mesh.Node)
	for i := range mesh.RelayThreshold {
		many[fmt.Sprint("node-", i)] = mesh.Node{}
	}
	turnedAway := store.NewError(store.NotSent, "status 503")
	for _, tc := range []struct {
		name  string
		nodes map[string]mesh.Node
		f     follower
		want  time.Duration
	}{
		{"of many", many, follower{topic: store.Nodes, hasSnapshot: true, failures: 1}, manyNodesPause},
		{"of many, the first failure", many, follower{topic: store.Nodes, hasSnapshot: true}, retryBackoff},
		{"of many, nothing read yet", many, follower{topic: store.Nodes, failures: 5}, maxRetryBackoff},
		{"of many, another topic", many, follower{topic: store.Upstreams, hasSnapshot: true, failures: 5}, maxRetryBackoff},
		{"of few", nil, follower{topic: store.Nodes, hasSnapshot: true, failures: 5}, maxRetryBackoff},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := &Node{}
			n.view.Store(&View{Nodes: tc.nodes})
			if got := n.failurePause(&tc.f, turnedAway); got != tc.want {
				t.Errorf("%v until the next call, want %v", got, tc.want)
			}
		})
	}
}

// TestAnswerThatComesLateConfirmsNoLaterTime guards against nodes that take an answer which was long on its way, or waited for a node
// that stood still, for the store's present word.
func TestAnswerThatComesLateConfirmsNoLaterTime(t *testing.T) {
	for _, tc := range []struct {
		name        string
		hasSnapshot bool
		rows        []store.FeedRow
		answersIn   time.Duration // after the call
		want        time.Duration // latest moment that the word may confirm, after the call
	}{
		{"all rows", false, nil, 1500 * time.Millisecond, 0},
		{"a change", true, []store.FeedRow{{Key: "u", Version: 3}}, 600 * time.Millisecond, 0},
		{"no change, after the wait", true, nil, 900 * time.Millisecond, 500 * time.Millisecond},
		{"no change, before the wait has ended", true, nil, 300 * time.Millisecond, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(Config{DrainBound: 3 * time.Second, ApplyBound: 3 * time.Second}, Platform{
					NewEngines: func(*hop.Pool) Engines { return nil }, Feed: &lateFeed{rows: tc.rows, answersIn: tc.answersIn},
				}, logr.Discard())
				askedAt := time.Now()
				ch, err := n.readChange(t.Context(), &follower{topic: store.Upstreams, hasSnapshot: tc.hasSnapshot})
				if got := ch.word.ConfirmedAt.Sub(askedAt); err != nil || got != tc.want {
					t.Errorf("the word confirms %v after the call, %v, want %v", got, err, tc.want)
				}
			})
		})
	}
}

// lateFeed is a feed whose answers take some time.
type lateFeed struct {
	rows      []store.FeedRow
	answersIn time.Duration
}

// Snapshot returns the rows.
func (f *lateFeed) Snapshot(context.Context, store.Topic) ([]store.FeedRow, store.Revision, error) {
	time.Sleep(f.answersIn)
	return f.rows, revision(9), nil
}

// Changes returns the rows.
func (f *lateFeed) Changes(ctx context.Context, t store.Topic, _ store.Revision, _ time.Duration) ([]store.FeedRow, store.Revision, error) {
	return f.Snapshot(ctx, t)
}

// Write does nothing.
func (f *lateFeed) Write(context.Context, string, []byte) error { return nil }

// TestUnreadableConfigurationIsNotConfirmed guards against nodes that hold an older configuration for the newest, and tell others so, as
// they can't decode a newer one.
func TestUnreadableConfigurationIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Config{ApplyBound: 3 * time.Second}, Platform{
			NewEngines: func(*hop.Pool) Engines { return nil },
			DecodeRules: func(raw []byte) (*rules.Rules, error) {
				if raw[0] == 0 {
					return nil, errors.New("unreadable")
				}
				return rules.New(uint64(raw[0]), nil, nil, rules.Open{}, rules.Limits{}), nil
			},
		}, logr.Discard())
		c := newControl(n)
		f := &follower{topic: store.Configuration}
		poll := func(through uint64, rows ...store.FeedRow) {
			ch := newChange(f, rows, revision(through), time.Now())
			n.recordSuccess(store.Configuration, time.Now())
			n.recordSuccess(store.Upstreams, time.Now())
			f.hasSnapshot, f.since = true, ch.word.Through
			c.handle(ch)
		}
		check := func(when string, isCurrent bool, through uint64) {
			t.Helper()
			if got := n.newestWord(store.Configuration).Through.Number; n.isConfigCurrent() != isCurrent || got != through {
				t.Errorf("%s: the word covers revision %d, the newest is in force: %v, want %d, %v", when, got, n.isConfigCurrent(), through,
					isCurrent)
			}
		}
		c.handle(change{topic: store.Configuration, rows: []store.FeedRow{{Value: []byte{1}}}, from: mesh.Peer{Name: seedName}})
		check("a version of a seed, without the store's word", false, 0)
		poll(5, store.FeedRow{Value: []byte{1}, Version: 5})
		check("a version", true, 5)
		poll(7, store.FeedRow{Value: []byte{0}, Version: 7})
		poll(8)
		check("an unreadable one", false, 5)
		c.handle(change{topic: store.Configuration, rows: []store.FeedRow{{Value: []byte{2}}},
			word: mesh.Word{Through: revision(6), Changed: revision(6), ConfirmedAt: time.Now()}})
		poll(9)
		check("one of another node from before it", false, 5)
		poll(10, store.FeedRow{Value: []byte{3}, Version: 10})
		check("a later one", true, 10)
	})
}

// TestReadsOfOneVersionSayTheSame guards against nodes that read one version again and again, as each that reads it whole seems to know
// of a newer change than the others.
func TestReadsOfOneVersionSayTheSame(t *testing.T) {
	row := store.FeedRow{Value: []byte("{}"), Version: 7}
	for _, f := range []follower{
		{topic: store.Configuration}, {topic: store.Configuration, hasSnapshot: true, readsWhole: true},
		{topic: store.Configuration, hasSnapshot: true},
	} {
		if got := newChange(&f, []store.FeedRow{row}, revision(90), time.Now()).word; got.Changed != revision(7) || got.Through != revision(90) {
			t.Errorf("%+v: the word tells of a change at %+v through %+v, want 7 and 90", f, got.Changed, got.Through)
		}
	}
}

// TestLostHistoryIsReadAnewAtOnce guards against versions that come late as a node pauses before it reads what the history has lost.
func TestLostHistoryIsReadAnewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &compactedFeed{}
		n := New(Config{DrainBound: 3 * time.Second, ApplyBound: 3 * time.Second}, Platform{
			NewEngines: func(*hop.Pool) Engines { return nil }, Feed: feed}, logr.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		changes := make(chan change, 100)
		_ = n.followTopic(ctx, store.Configuration, changes)
		if len(feed.reads) < 2 || feed.reads[1] > 0 {
			t.Errorf("reads %v after the answers that history is lost, want the first at once", feed.reads)
		}
		if most := 2 + int(10*time.Second/retryBackoff); len(feed.reads) > most {
			t.Errorf("%d reads in 10 s of a store that always loses its history, want %d at most: the first two and one a pause", len(feed.reads), most)
		}
	})
}

// compactedFeed is a feed that has always lost its history.
type compactedFeed struct {
	lateFeed
	compactedAt time.Time
	reads       []time.Duration // since the history was found lost
}

// Snapshot returns no rows.
func (f *compactedFeed) Snapshot(context.Context, store.Topic) ([]store.FeedRow, store.Revision, error) {
	f.reads = append(f.reads, time.Since(f.compactedAt))
	return nil, revision(9), nil
}

// Changes fails.
func (f *compactedFeed) Changes(context.Context, store.Topic, store.Revision, time.Duration) ([]store.FeedRow, store.Revision, error) {
	f.compactedAt = time.Now()
	return nil, store.Revision{}, store.NewError(store.Compacted, "gone")
}
