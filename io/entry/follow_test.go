package entry

import (
	"testing"
	"time"

	"rhubarbspread/io/mesh"
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
		rules, list        uint64 // versions of the node
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
				got := l.shouldFetch(now, mesh.StoreState{RulesVersion: x.rules, ListVersion: x.list},
					mesh.Peer{RulesVersion: x.peerRules, ListVersion: x.peerList}, x.storeFailing)
				if got != x.want {
					t.Errorf("step %d: fetches: %v, want %v", i, got, x.want)
				}
			}
		})
	}
}
