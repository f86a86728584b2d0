package entry

import (
	"context"
	"slices"
	"time"

	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh"
)

// Where the nodes are few, one of them polls for the configuration at short intervals, and the others hold long polls, which they
// interrupt once neither it nor the store has confirmed for a time what they have. Where the nodes are many, few of them poll the
// store and say in their digests when it last confirmed what they have. The others poll only if they learn of something newer, or if
// the latest confirmation is so old that a poll which begins later might end too late.
const (
	dutyInterval     = 100 * time.Millisecond // between looks at the evidence
	readerPauseShare = 0.1                    // of the bound on changes, between the polls of a node that reads for others
	deadlineSpread   = 0.2                    // share of the deadline by which nodes differ, lest all poll at once
	manyNodesPause   = 4 * time.Second        // least time between polls for the nodes where these are many
	newsDelay        = 150 * time.Millisecond // for which a node that is behind waits for news of the list
	// configReadsPerBound is how many polls for the configuration a node that learns of one change after the other makes at most
	// within the bound on changes.
	configReadsPerBound = 8
)

// delegates reports whether this node leaves polling the store to others.
func (n *Node) delegates() bool { return n.mesh.LeavesReading() }

// addWord records the word of the store that came with a change, once the change is in force here, and the changes as news.
func (n *Node) addWord(ch change) {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	n.words[ch.topic] = joinWords(n.words[ch.topic], ch.word)
	switch {
	case ch.topic != store.Upstreams || ch.word.ConfirmedAt.IsZero():
	case ch.snapshot:
		n.recent.Reset(ch.word.Through)
	default:
		n.recent.Add(ch.since, ch.word.Through, ch.rows, time.Now())
	}
}

// listNews returns the latest changes of the list, for other nodes.
func (n *Node) listNews() store.News {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return n.recent.News(time.Now(), mesh.MaxNewsBytes)
}

// takeNews passes on to the control goroutine what other nodes' digests say of changes that this node lacks.
func (n *Node) takeNews(ctx context.Context, f *follower, changes chan<- change) {
	if f.topic != store.Upstreams {
		return
	}
	news, word, ok := n.mesh.ListNews(f.since)
	if !ok {
		return
	}
	ch := change{topic: f.topic, rows: news.After(f.since), word: word, since: f.since}
	select {
	case changes <- ch:
		f.since, f.confirmedAt = word.Through, word.ConfirmedAt
		n.stats.Count("list-changes-from-nodes")
	case <-ctx.Done():
	}
}

// takeFetched lets a follower go on from what this node has fetched from another one, so that it does not read the same from the store.
func (n *Node) takeFetched(f *follower) {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	if w := n.words[f.topic]; f.hasSnapshot && w.Through.Era == f.since.Era && w.Through.Number > f.since.Number {
		f.since = w.Through
	}
}

// joinWords returns what a node knows that has all changes of two words. Of two eras of the store the later one counts.
func joinWords(a, b mesh.Word) mesh.Word {
	switch {
	case b.ConfirmedAt.IsZero() || b.Through.Era < a.Through.Era:
		return a
	case b.Through.Era > a.Through.Era:
		return b
	}
	if b.Through.Compare(a.Through) > 0 {
		a.Through = b.Through
	}
	if b.Changed.Compare(a.Changed) > 0 {
		a.Changed = b.Changed
	}
	a.ConfirmedAt = slices.MaxFunc([]time.Time{a.ConfirmedAt, b.ConfirmedAt}, time.Time.Compare)
	return a
}

// evidence returns what the other nodes say of the store on a topic.
func (n *Node) evidence(t store.Topic) mesh.Evidence {
	n.storeMu.Lock()
	through := n.words[t].Through
	n.storeMu.Unlock()
	return n.mesh.EvidenceFor(t, through)
}

// newestWord returns the newest word of the store on a topic, to this node or to another one of whose word this node has all
// changes.
func (n *Node) newestWord(t store.Topic) mesh.Word {
	evidence := n.evidence(t)
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	w := n.words[t]
	w.ConfirmedAt = slices.MaxFunc([]time.Time{w.ConfirmedAt, evidence.ConfirmedAt}, time.Time.Compare)
	return w
}

// isOfMany reports whether the nodes are so many that they exchange their states through relays.
func (n *Node) isOfMany() bool { return len(n.otherNodes()) >= mesh.RelayThreshold }

// pause waits between two polls for a topic's changes.
func (n *Node) pause(ctx context.Context, f *follower, changes chan<- change) {
	switch {
	case n.delegates() && f.topic != store.Nodes:
		n.awaitDuty(ctx, f, changes)
	case n.mesh.ReadsForOthers() && (f.topic == store.Configuration || f.topic == store.Upstreams && n.isOfMany()):
		sleep(ctx, time.Duration(readerPauseShare*float64(n.changeBound())))
	case f.topic == store.Nodes && n.isOfMany():
		sleep(ctx, max(manyNodesPause, n.pauseFor(f.topic)))
	default:
		sleep(ctx, n.pauseFor(f.topic))
	}
}

// awaitDuty waits while other nodes poll for a topic in place of this one, and takes their news of it.
func (n *Node) awaitDuty(ctx context.Context, f *follower, changes chan<- change) {
	if f.topic == store.Nodes {
		return
	}
	deadline := n.evidenceDeadline()
	for ctx.Err() == nil && n.delegates() {
		n.takeNews(ctx, f, changes)
		n.takeFetched(f)
		if n.mustPoll(f, deadline) {
			return
		}
		n.endOutage(f.topic)
		sleep(ctx, dutyInterval)
	}
}

// endOutage ends an outage of the store by the word of other nodes that they reach it.
func (n *Node) endOutage(t store.Topic) {
	if t != store.Upstreams {
		return
	}
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	n.outage.ReadSucceeded(time.Now())
}

// standbyTerms is for how many terms without a holder a node leaves the lease to those that read for it.
const standbyTerms = 3

// leavesLease reports whether this node leaves the lease to the nodes that read the store for it. They may all be unable to
// plan, so it does so for some terms only.
func (n *Node) leavesLease() bool {
	sinceStart := time.Since(n.started)
	if n.mesh.IsPlannerActive() {
		n.plannerSeenAt.Store(int64(sinceStart))
	}
	return n.delegates() && sinceStart-time.Duration(n.plannerSeenAt.Load()) < standbyTerms*leaseTerm
}

// evidenceDeadline returns the age of the latest confirmation from which on this node polls for itself: of the bound on changes
// it leaves the time of two calls, the first over a connection that has gone silent, and as much again as one for the way.
func (n *Node) evidenceDeadline() time.Duration {
	bound := n.changeBound()
	share := float64(mesh.NameHash(n.config.Node)) / (1 << 32)
	return time.Duration((1 - deadlineSpread*share) * float64(max(listPause(bound), bound-3*callMargin(bound, 0))))
}

// mustPoll reports whether this node must poll for a topic itself: nobody has confirmed for long what it has, or it is behind and
// the news that would tell it have not come.
func (n *Node) mustPoll(f *follower, deadline time.Duration) bool {
	f.readsWhole = false
	evidence := n.mesh.EvidenceFor(f.topic, f.since)
	if time.Since(f.confirmedAt) >= deadline && time.Since(evidence.ConfirmedAt) >= deadline {
		return true
	}
	switch {
	case !evidence.IsBehind:
		f.behindSince = time.Time{}
		return false
	case f.behindSince.IsZero():
		f.behindSince = time.Now()
	}
	if f.failures > 0 {
		return false
	}
	behindFor := time.Since(f.behindSince)
	if f.topic == store.Configuration { // changes that come together are read together
		f.readsWhole = behindFor >= n.changeBound()/configReadsPerBound
		return f.readsWhole
	}
	return n.sinceRead(f.topic) >= deadline && behindFor >= newsDelay
}

// sinceRead returns the time since the store's latest answer on a topic to this node.
func (n *Node) sinceRead(t store.Topic) time.Duration {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return time.Since(n.storeReadAt[t])
}
