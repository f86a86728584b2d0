package entry

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/fleet"
	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/hop"

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
			c.rules = rules.New(uint64(step.layers), nil, services, nil, rules.Limits{})
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
