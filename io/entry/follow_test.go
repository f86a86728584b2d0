package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/hop"
	"rhubarbspread/io/mesh"

	"github.com/go-logr/logr"
)

func TestListPauseLeavesTimeForACallThatFails(t *testing.T) {
	for _, test := range []struct{ drain, want time.Duration }{
		{3 * time.Second, 1500 * time.Millisecond},
		{10 * time.Second, 5 * time.Second},
		{2400 * time.Millisecond, 900 * time.Millisecond},
		{600 * time.Millisecond, 200 * time.Millisecond}, // leaves no time for a failed call
	} {
		if got := listPause(test.drain); got != test.want {
			t.Errorf("pause of %v with a drain bound of %v, want %v", got, test.drain, test.want)
		}
	}
}

// TestNodeFetchesFromOthersWhenItsListStandsStill checks when a node fetches from another one: a hanging call of the
// store gives no error for as long as a call may wait, while upstreams leave.
func TestNodeFetchesFromOthersWhenItsListStandsStill(t *testing.T) {
	const pause = time.Second
	type step struct {
		after              time.Duration
		rules, list        uint64 // version and revision of the node
		peerRules          uint64
		peerList           uint64
		storeFailing, want bool
	}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"all versions are equal", []step{{0, 1, 5, 1, 5, false, false}, {time.Hour, 1, 5, 1, 5, false, false}}},
		{"the list stays the same and others' change", []step{
			{0, 1, 5, 1, 5, false, false}, {time.Second, 1, 5, 1, 6, false, false}, {time.Second, 1, 5, 1, 7, false, true},
		}},
		{"the list changes later than others'", []step{
			{0, 1, 5, 1, 6, false, false}, {time.Second, 1, 6, 1, 7, false, false}, {time.Second, 1, 7, 1, 8, false, false},
			{time.Second, 1, 8, 1, 9, false, false},
		}},
		{"the configuration is behind", []step{{0, 1, 5, 2, 5, false, false}, {minLag, 1, 5, 2, 5, false, true}}},
		{"the store fails", []step{{0, 1, 5, 1, 6, true, true}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := lagTracker{listPause: pause}
			now := time.Unix(1000, 0)
			for i, x := range test.steps {
				now = now.Add(x.after)
				own, changed := store.Revision{Number: x.list}, store.Revision{Number: x.peerList}
				got := l.shouldFetch(now, mesh.StoreState{RulesVersion: x.rules, ListWord: mesh.Word{Through: own}},
					mesh.Peer{RulesVersion: x.peerRules, ListWord: mesh.Word{Changed: changed}}, x.storeFailing)
				if got != x.want {
					t.Errorf("step %d: fetches: %v, want %v", i, got, x.want)
				}
			}
		})
	}
}

// TestPollsLeaveTimeForAnother guards against polls whose connection has gone silent and which end too late for another one
// within the bound on changes.
func TestPollsLeaveTimeForAnother(t *testing.T) {
	for _, bound := range []time.Duration{
		600 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 7 * time.Second, 30 * time.Second,
	} {
		for _, c := range []Config{{DrainBound: bound, ApplyBound: bound}, {DrainBound: 2 * bound, ApplyBound: bound},
			{DrainBound: bound, ApplyBound: 2 * bound}} {
			n := &Node{}
			n.settings.Store(&c)
			silent := n.pollFor(&follower{topic: store.Upstreams})
			total := n.pauseFor(store.Upstreams) + silent.wait + silent.margin
			for _, topic := range []store.Topic{store.Upstreams, store.Configuration} {
				next := n.pollFor(&follower{topic: topic, failures: 1, isUrgent: true})
				if end := total + next.wait + next.margin; end > bound {
					t.Errorf("%v: %v until the second poll ends, want at most %v", topic, end, bound)
				}
			}
		}
	}
}

// TestSlowStoreGetsMoreTime guards against polls that are all given up because the store is slow.
func TestSlowStoreGetsMoreTime(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 30 * time.Second} {
		longest := time.Duration(0)
		for failures := range 8 {
			margin := callMargin(bound, failures)
			if margin < longest {
				t.Errorf("%v after %d failures, less than the %v before", margin, failures, longest)
			}
			longest = margin
		}
		if longest < maxMargin {
			t.Errorf("at most %v for an answer, want at least %v", longest, maxMargin)
		}
	}
}

func TestBackoff(t *testing.T) {
	silent, refused := store.NewError(store.Uncertain, ""), store.NewError(store.NotSent, "")
	for _, tc := range []struct {
		failures int
		err      error
		want     time.Duration
	}{
		{0, silent, 0}, {1, silent, retryBackoff}, {9, silent, maxRetryBackoff},
		{0, refused, retryBackoff}, {1, refused, 2 * retryBackoff}, {9, refused, maxRetryBackoff},
	} {
		if got := backoff(tc.failures, tc.err); got != tc.want {
			t.Errorf("%v after %d failures and %v, want %v", got, tc.failures, tc.err, tc.want)
		}
	}
}

// TestNodesThatWaitForOthersPollInTime guards against nodes that leave polling to others and whose own polls, once these fall
// silent, end too late: the first may use a connection that has gone silent.
func TestNodesThatWaitForOthersPollInTime(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 7 * time.Second, 30 * time.Second} {
		least := bound
		for i := range 60 {
			n := &Node{config: Config{Node: fmt.Sprint("node-", i)}}
			n.settings.Store(&Config{DrainBound: bound, ApplyBound: 2 * bound})
			deadline := n.evidenceDeadline()
			least = min(least, deadline)
			first := n.pollFor(&follower{topic: store.Upstreams, leaves: true})
			second := n.pollFor(&follower{topic: store.Upstreams, leaves: true, failures: 1, isUrgent: true})
			if end := deadline + dutyInterval + first.wait + first.margin + second.wait + second.margin; end > bound {
				t.Errorf("%v: %v until the second poll ends, want at most %v", bound, end, bound)
			}
		}
		n := &Node{}
		n.settings.Store(&Config{DrainBound: bound, ApplyBound: bound})
		if most := listPause(bound); least < time.Duration((1-deadlineSpread)*float64(most)) || least == most {
			t.Errorf("%v: the first node polls after %v, the last after %v", bound, least, most)
		}
	}
}

// hangingFeed is a feed of the configuration whose held polls get no answer, as on connections that have gone silent, while others do.
type hangingFeed struct {
	lateFeed
	version atomic.Uint32 // the latest one, which is also the revision
}

// Snapshot returns the latest version.
func (f *hangingFeed) Snapshot(context.Context, store.Topic) ([]store.FeedRow, store.Revision, error) {
	latest := f.version.Load()
	return []store.FeedRow{{Value: []byte{byte(latest)}, Version: uint64(latest)}}, revision(uint64(latest)), nil
}

// Changes returns the latest version to a call that does not wait.
func (f *hangingFeed) Changes(
	ctx context.Context, _ store.Topic, since store.Revision, wait time.Duration,
) ([]store.FeedRow, store.Revision, error) {
	if wait > 0 {
		<-ctx.Done()
		return nil, store.Revision{}, store.NewError(store.Uncertain, "no answer")
	}
	rows, through, _ := f.Snapshot(ctx, store.Configuration)
	if through == since {
		rows = nil
	}
	return rows, through, nil
}

// TestHangingPollDelaysNoConfiguration guards against a version that comes late at a node whose poll for the configuration hangs, while
// its calls for other topics get answers.
func TestHangingPollDelaysNoConfiguration(t *testing.T) {
	const bound = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		feed := &hangingFeed{}
		feed.version.Store(1)
		n := New(Config{DrainBound: bound, ApplyBound: bound, DatagramAddress: "127.0.0.1:0", RPCAddress: "127.0.0.1:0"}, Platform{
			NewEngines: func(*hop.Pool) Engines { return nil }, Feed: feed,
			DecodeRules: func(raw []byte) (*rules.Rules, error) {
				return rules.New(uint64(raw[0]), nil, nil, rules.Open{}, rules.Limits{}), nil
			},
		}, logr.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		changes, c := make(chan change, maxTasks), newControl(n)
		var ended sync.WaitGroup
		ended.Go(func() { _ = c.run(ctx, changes) })
		ended.Go(func() { _ = n.followTopic(ctx, store.Configuration, changes) })
		ended.Go(func() { _ = n.fetchFromNodes(ctx, changes) })
		for version := uint32(2); version < 8; version++ {
			time.Sleep(3*time.Second + time.Duration(version)*170*time.Millisecond) // at other moments of a poll
			feed.version.Store(version)
			time.Sleep(bound)
			if got, _ := n.Versions(); got != uint64(version) {
				t.Errorf("version %d is in force %v after the acknowledgement of version %d", got, bound, version)
			}
		}
		cancel()
		ended.Wait()
	})
}
