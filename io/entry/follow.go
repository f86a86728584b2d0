package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh"
)

// Times of following the store.
const (
	feedWait    = 10 * time.Second        // one long call for the configuration; each is priced
	listWait    = 25 * time.Second        // the same for the other topics, whose age decides less
	feedLeast   = 3                       // part of the bound on draining upstreams that is the least pause between calls for the list, which changes all the time
	feedMost    = 2                       // part of it that is the longest
	feedFault   = 1500 * time.Millisecond // of the bound, kept for one call that fails and the next
	nodesPause  = 6 * time.Second         // between calls for the nodes: a new one tells of itself by datagram
	youngPause  = 2 * time.Second         // the same on a node that is young, where all may start together
	youngTime   = 20 * time.Second        // for which a node is young
	retryPause  = 300 * time.Millisecond  // after a call that failed
	lapseGrace  = 2200 * time.Millisecond // after the store's return until a lapsed entry counts as gone
	brokenPause = 700 * time.Millisecond  // longest pause between calls that fail
)

// follow keeps up with one topic until the context ends.
func (n *Node) follow(ctx context.Context, t store.Topic, changes chan<- change) error {
	since := uint64(0)
	known, failures := false, 0
	for ctx.Err() == nil {
		ch := change{topic: t, snapshot: !known, direct: true}
		var err error
		if known {
			ch.items, ch.version, err = n.platform.Feed.Changes(ctx, t, since, waitFor(t))
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
		ch.version = shown(ch)
		if len(ch.items) > 0 || ch.snapshot {
			select {
			case changes <- ch:
			case <-ctx.Done():
			}
		}
		sleep(ctx, n.pauseFor(t))
	}
	return nil
}

// shown returns the version of the newest row of a change, which is the same for all nodes that have seen it; the version
// of the store grows with the rows of other topics.
func shown(ch change) uint64 {
	newest := uint64(0)
	for _, it := range ch.items {
		newest = max(newest, it.Version)
	}
	return newest
}

// waitFor returns how long one call for a topic's changes lasts.
func waitFor(t store.Topic) time.Duration {
	if t == store.Configuration {
		return feedWait
	}
	return listWait
}

// pauseFor returns the pause between two calls for a topic's changes.
func (n *Node) pauseFor(t store.Topic) time.Duration {
	switch t {
	case store.Configuration:
		return 0
	case store.Upstreams:
		return listPause(n.settings.Load().Drain)
	case store.Nodes:
		if time.Since(n.started) < youngTime {
			return youngPause
		}
		return nodesPause
	}
	panic("entry: a topic without a pause")
}

// listPause returns the pause between calls for the list, with which a node knows of a draining upstream within a bound
// though a call fails.
func listPause(drain time.Duration) time.Duration {
	return max(drain/feedLeast, min(drain/feedMost, drain-feedFault))
}

// lost notes that a call of the store failed.
func (n *Node) lost(t store.Topic, err error) {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	if t == store.Upstreams {
		n.outage.ReadFailed(time.Now())
	}
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
	if t == store.Upstreams {
		n.outage.ReadSucceeded(time.Now())
	}
	if n.storeLost[t] {
		n.storeLost[t] = false
		n.log.Info("store-regained", "topic", t.String())
	}
}

// lapsesUntil returns until when entries that the store lost may come back.
func (n *Node) lapsesUntil() time.Time {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return n.outage.GraceEnd(time.Now())
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Times of asking other nodes.
const (
	askPause = 250 * time.Millisecond
	askLag   = 700 * time.Millisecond // that another node may be ahead before it is asked: the store tells all at once
)

// lag judges how long a node has been behind others.
type lag struct {
	rules   time.Time // since when another node has had a newer configuration, or zero
	list    uint64    // the node's own
	listAt  time.Time // when it was new
	allowed time.Duration
}

// mayAsk reports whether a node that has k should ask one that is ahead. What the store tells all comes a little later
// to some; a list that stands still while others' move shows a call that hangs.
func (l *lag) mayAsk(now time.Time, k mesh.Known, peer mesh.Peer, isLost bool) bool {
	if k.List != l.list || l.listAt.IsZero() {
		l.list, l.listAt = k.List, now
	}
	if k.Rules >= peer.Rules {
		l.rules = time.Time{}
	} else if l.rules.IsZero() {
		l.rules = now
	}
	switch {
	case isLost:
		return true
	case !l.rules.IsZero() && now.Sub(l.rules) >= askLag:
		return true
	}
	return peer.List > k.List && now.Sub(l.listAt) >= l.allowed+askLag
}

// askAround asks other nodes for what the store does not tell this one.
func (n *Node) askAround(ctx context.Context, changes chan<- change) error {
	var l lag
	for ctx.Err() == nil {
		sleep(ctx, askPause)
		k := n.known()
		peer, ok := n.mesh.Ahead(k.Rules, k.List)
		if !ok && k.Rules == 0 && n.isLost() && len(n.config.Seeds) > 0 {
			seed := n.config.Seeds[rand.IntN(len(n.config.Seeds))]
			peer, ok = mesh.Peer{Name: "seed", Questions: seed, Rules: 1}, true
		}
		l.allowed = listPause(n.settings.Load().Drain)
		if !ok {
			peer = mesh.Peer{Rules: k.Rules, List: k.List}
		}
		if !l.mayAsk(time.Now(), k, peer, n.isLost()) || !ok {
			continue
		}
		news, err := n.mesh.Ask(ctx, peer.Questions, k.Rules, k.List)
		if err != nil {
			n.log.Info("node-silent", "other", peer.Name, "cause", err.Error())
			continue
		}
		n.log.Info("news", "other", peer.Name, "rules", peer.Rules, "list", news.List, "had-rules", k.Rules, "had-list", k.List)
		n.hand(ctx, news, changes)
	}
	return nil
}

// hand passes another node's news to the control goroutine.
func (n *Node) hand(ctx context.Context, news mesh.Known, changes chan<- change) {
	var list []change
	if len(news.Raw) > 0 {
		list = append(list, change{topic: store.Configuration, items: []store.FeedRow{{Value: news.Raw}}})
	}
	if news.List > 0 {
		list = append(list, change{topic: store.Upstreams, items: news.Items, version: news.List, snapshot: true})
	}
	for _, ch := range list {
		select {
		case changes <- ch:
		case <-ctx.Done():
		}
	}
}

// isLost reports whether the store does not answer this node.
func (n *Node) isLost() bool {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return n.storeLost[store.Configuration] || n.storeLost[store.Upstreams]
}
