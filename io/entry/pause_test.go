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
		{600 * time.Millisecond, 200 * time.Millisecond}, // too short for any call to fail
	} {
		if got := listPause(test.drain); got != test.want {
			t.Errorf("%v between calls with a bound of %v, wanted %v", got, test.drain, test.want)
		}
	}
}

// TestNodeAsksOthersWhenItsListStandsStill holds when a node asks another: a call of the store that hangs gives no error
// for as long as a call may wait, and upstreams leave meanwhile.
func TestNodeAsksOthersWhenItsListStandsStill(t *testing.T) {
	const allowed = time.Second
	type look struct {
		after       time.Duration
		rules, list uint64 // of the node
		peerRules   uint64
		peerList    uint64
		lost, want  bool
	}
	for _, test := range []struct {
		name  string
		looks []look
	}{
		{"all are level", []look{{0, 1, 5, 1, 5, false, false}, {time.Hour, 1, 5, 1, 5, false, false}}},
		{"the list stands still and others' moves", []look{
			{0, 1, 5, 1, 5, false, false}, {time.Second, 1, 5, 1, 6, false, false}, {time.Second, 1, 5, 1, 7, false, true},
		}},
		{"the list moves behind others'", []look{
			{0, 1, 5, 1, 6, false, false}, {time.Second, 1, 6, 1, 7, false, false}, {time.Second, 1, 7, 1, 8, false, false},
			{time.Second, 1, 8, 1, 9, false, false},
		}},
		{"the configuration is behind", []look{{0, 1, 5, 2, 5, false, false}, {askLag, 1, 5, 2, 5, false, true}}},
		{"the store is lost", []look{{0, 1, 5, 1, 6, true, true}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := lag{allowed: allowed}
			now := time.Unix(1000, 0)
			for i, x := range test.looks {
				now = now.Add(x.after)
				got := l.mayAsk(now, mesh.Known{Rules: x.rules, List: x.list}, mesh.Peer{Rules: x.peerRules, List: x.peerList}, x.lost)
				if got != x.want {
					t.Errorf("look %d: asks %v, wanted %v", i, got, x.want)
				}
			}
		})
	}
}
