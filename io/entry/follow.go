package entry

import (
	"context"
	"time"

	"rhubarbspread/core/store"
)

// Times of following the store.
const (
	feedWait    = 10 * time.Second        // one long call; each is priced
	feedPause   = 500 * time.Millisecond  // between calls for topics that change all the time
	retryPause  = 300 * time.Millisecond  // after a call that failed
	lapseGrace  = 2200 * time.Millisecond // after the store's return until a lapsed entry counts as gone
	brokenPause = 700 * time.Millisecond  // longest pause between calls that fail
)

// follow keeps up with one topic until the context ends.
func (n *Node) follow(ctx context.Context, t store.Topic, changes chan<- change) error {
	since := uint64(0)
	known, failures := false, 0
	for ctx.Err() == nil {
		ch := change{topic: t, snapshot: !known}
		var err error
		if known {
			ch.items, ch.version, err = n.platform.Feed.Changes(ctx, t, since, feedWait)
		} else {
			ch.items, ch.version, err = n.platform.Feed.Snapshot(ctx, t)
		}
		if err != nil {
			known = known && !store.Is(err, store.Compacted)
			n.lost(t, err)
			failures++
			sleep(ctx, min(brokenPause, retryPause*time.Duration(failures)))
			continue
		}
		n.regained(t)
		failures = 0
		known, since = true, ch.version
		if len(ch.items) > 0 || ch.snapshot {
			select {
			case changes <- ch:
			case <-ctx.Done():
			}
		}
		if t == store.Upstreams {
			sleep(ctx, feedPause)
		}
	}
	return nil
}

// lost notes that a call of the store failed.
func (n *Node) lost(t store.Topic, err error) {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	if !n.storeLost[t] {
		n.storeLost[t] = true
		n.log.Info("store-lost", "topic", t.String(), "cause", err.Error())
	}
}

// regained notes that a call of the store succeeded.
func (n *Node) regained(t store.Topic) {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	n.storeAt[t] = time.Now()
	if n.storeLost[t] {
		n.storeLost[t] = false
		n.storeBack = time.Now()
		n.log.Info("store-regained", "topic", t.String())
	}
}

// lapsesUntil returns until when entries that the store lost may come back.
func (n *Node) lapsesUntil() time.Time {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return n.storeBack.Add(lapseGrace)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
