package entry

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/store"
	"rhubarbspread/io/hop"

	"github.com/go-logr/logr"
)

// newTestControl returns the control state of a node whose store has just come back after an outage.
func newTestControl() *control {
	n := New(Config{HeartbeatInterval: time.Second}, Platform{
		NewEngines:     func(*hop.Pool) Engines { return nil },
		DecodeUpstream: func(id string, _ []byte) (*fleet.Upstream, error) { return &fleet.Upstream{ID: id, Service: "s"}, nil },
	}, logr.Discard())
	n.recordSuccess(store.Upstreams)
	n.recordFailure(store.Upstreams, errors.New("no answer"))
	time.Sleep(2 * time.Second)
	n.recordSuccess(store.Upstreams)
	return newControl(n)
}

// TestEntryThatExpiredIsNotPassedOn guards against two nodes that undo each other's removal of an upstream: each waits
// for the entry to reappear, and takes it from the other's list.
func TestEntryThatExpiredIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newTestControl(), newTestControl()
		for _, c := range []*control{first, second} {
			c.apply(change{topic: store.Upstreams, version: 1, snapshot: true, fromStore: true,
				rows: []store.FeedRow{{Key: "u", Version: 1}, {Key: "v", Version: 1}}})
			c.apply(change{topic: store.Upstreams, version: 2, fromStore: true,
				rows: []store.FeedRow{{Key: "u", Removed: true, Version: 2}}})
			c.publish()
		}
		state := first.node.storeState()
		second.apply(change{topic: store.Upstreams, rows: state.Rows, version: state.ListVersion, snapshot: true})
		time.Sleep(expiryGrace + expiryInterval)
		second.removeExpired()
		second.publish()
		if got := second.node.Upstreams("s"); len(got) != 1 || got[0].ID != "v" {
			t.Errorf("upstreams %v after the grace period, want only v", got)
		}
	})
}
