package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh"
)

// Times of reading the store.
const (
	// configWait is the wait of one long poll for the configuration; the platform bills each call.
	configWait = 10 * time.Second
	nodesWait  = 25 * time.Second // the same for the nodes, which may be older
	// A poll for the list, which changes all the time, waits for a part of the shortest bound on changes. An answer may
	// come later by a part of it. A poll whose connection has gone silent then leaves time for another one.
	listWaitDivisor = 6
	marginDivisor   = 6
	minMargin       = 100 * time.Millisecond
	maxMargin       = 1500 * time.Millisecond // for a slow store
	// The pause between polls for the list is at least the same bound divided by the first of these, and at most that
	// divided by the second.
	shortestPauseDivisor = 3
	longestPauseDivisor  = 2
	failedCallTime       = 1500 * time.Millisecond // part of that bound left for a failed call and the next one
	nodesPause           = 6 * time.Second         // between polls for the nodes: a new node announces itself by datagram
	startupNodesPause    = 2 * time.Second         // the same after this node's start, when all nodes may start together
	startupTime          = 20 * time.Second        // for which startupNodesPause applies
	retryBackoff         = 300 * time.Millisecond  // after a failed call, times the number of failures in a row
	expiryGrace          = 2200 * time.Millisecond // after the store's recovery until an expired entry counts as removed
	maxRetryBackoff      = 700 * time.Millisecond  // longest pause between failed calls
)

// errStoreSuspected ends polls whose connections may have gone silent, as that of another call of the store did.
var errStoreSuspected = errors.New("another call of the store got no answer")

// follower is the state of reading one topic.
type follower struct {
	topic       store.Topic
	since       store.Revision // up to which it has all changes
	confirmedAt time.Time      // when the store last confirmed that to this node, or to the one whose news it took
	behindSince time.Time      // since when another node has known of a change that this one lacks; zero if none does
	hasSnapshot bool
	failures    int       // failed calls in a row
	leaves      bool      // this node leaves polling to others
	readsWhole  bool      // the topic has changed, and its one row is read without the history, which may not reach back to since
	isUrgent    bool      // the next poll asks for an immediate answer
	compactedAt time.Time // when the history was last found not to reach back to since
}

// losesHistory records that the history does not reach back to since, and reports whether that is the first time of late.
func (f *follower) losesHistory() bool {
	isFirst := time.Since(f.compactedAt) > maxRetryBackoff
	f.hasSnapshot, f.compactedAt = false, time.Now()
	return isFirst
}

// followTopic reads one topic and its changes until the context is canceled.
func (n *Node) followTopic(ctx context.Context, t store.Topic, changes chan<- change) error {
	f := &follower{topic: t}
	for ctx.Err() == nil {
		f.leaves = n.delegates()
		ch, err := n.readChange(ctx, f)
		switch {
		case errors.Is(err, errStoreSuspected):
			f.isUrgent = true
			continue
		case store.Is(err, store.Compacted) && f.losesHistory():
			continue // the store answers, and is read anew at once
		case err != nil:
			n.recordFailure(t, err)
			if store.Is(err, store.Uncertain) {
				n.polls.interruptOthers(t)
			}
			sleep(ctx, n.failurePause(f, err))
			f.failures++
			f.isUrgent = true
			if f.hasSnapshot {
				n.awaitDuty(ctx, f, changes)
			}
			continue
		}
		n.recordSuccess(t, ch.word.ConfirmedAt)
		f.failures, f.isUrgent, f.readsWhole = 0, false, false
		f.hasSnapshot, f.since, f.confirmedAt = true, ch.word.Through, ch.word.ConfirmedAt
		select {
		case changes <- ch:
		case <-ctx.Done():
		}
		n.pause(ctx, f, changes)
	}
	return nil
}

// readChange reads a topic, or polls once for its changes. Its error is errStoreSuspected if the poll was interrupted.
func (n *Node) readChange(ctx context.Context, f *follower) (change, error) {
	askedAt := time.Now()
	p := n.pollFor(f)
	if !f.hasSnapshot || f.readsWhole {
		n.stats.Count("store-reads-" + f.topic.String())
		if f.readsWhole {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, p.margin)
			defer cancel()
		}
		rows, through, err := n.platform.Feed.Snapshot(ctx, f.topic)
		return newChange(f, rows, through, askedAt), err
	}
	n.stats.Count("store-polls-" + f.topic.String())
	ctx, cancel := context.WithTimeout(ctx, p.wait+p.margin)
	defer cancel()
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	n.polls.begin(f.topic, pollInFlight{askedAt, p.wait, interrupt})
	rows, through, err := n.platform.Feed.Changes(ctx, f.topic, f.since, p.wait)
	if err != nil && errors.Is(context.Cause(ctx), errStoreSuspected) {
		return change{}, errStoreSuspected
	}
	return newChange(f, rows, through, p.answeredAt(askedAt, len(rows) > 0)), err
}

// newChange returns the answer of the store on a topic, which reflects a revision and was given at a time or later.
func newChange(f *follower, rows []store.FeedRow, through store.Revision, answeredAt time.Time) change {
	ch := change{topic: f.topic, rows: rows, snapshot: !f.hasSnapshot, fromStore: true}
	ch.word = mesh.Word{Through: through, Changed: through, ConfirmedAt: answeredAt}
	// A snapshot does not tell when a row was removed, but the one of the configuration is only replaced.
	if !ch.snapshot || f.topic == store.Configuration && len(rows) > 0 {
		ch.word.Changed.Number, ch.since = newestVersion(rows), f.since
	}
	return ch
}

// polls holds the polls in flight.
type polls struct {
	mu       sync.Mutex
	inFlight map[store.Topic]pollInFlight // the latest of each topic, which may have ended
}

// pollInFlight is a poll that can be interrupted.
type pollInFlight struct {
	askedAt   time.Time
	wait      time.Duration // for which the store holds it
	interrupt context.CancelCauseFunc
}

func (p *polls) begin(t store.Topic, poll pollInFlight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight == nil {
		p.inFlight = make(map[store.Topic]pollInFlight)
	}
	p.inFlight[t] = poll
}

// interruptHeld interrupts a poll that the store has held for an age, which is then repeated at once. A poll that only waits for
// a slow store is left alone.
func (p *polls) interruptHeld(t store.Topic, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if poll, ok := p.inFlight[t]; ok && poll.wait > age && time.Since(poll.askedAt) >= age {
		poll.interrupt(errStoreSuspected)
	}
}

// interruptOthers interrupts the polls for all topics but one, which are then repeated at once.
func (p *polls) interruptOthers(t store.Topic) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, poll := range p.inFlight {
		if other != t {
			poll.interrupt(errStoreSuspected)
		}
	}
}

// newestVersion returns the version of the newest row. Unlike the version of the store, which grows with the rows of other
// topics, it is the same for all nodes that have read the row.
func newestVersion(rows []store.FeedRow) uint64 {
	newest := uint64(0)
	for _, row := range rows {
		newest = max(newest, row.Version)
	}
	return newest
}

// poll holds the times of one poll.
type poll struct {
	wait   time.Duration // for which the store holds it if nothing changes
	margin time.Duration // after that, until it is given up
}

// checkHeldPoll interrupts the long poll for the configuration once it is no longer known that nothing has changed: it may hang while
// those for other topics do not.
func (n *Node) checkHeldPoll() {
	deadline := n.evidenceDeadline()
	if n.believes(store.Configuration).age >= deadline {
		n.polls.interruptHeld(store.Configuration, deadline)
	}
}

// answeredAt returns the earliest time at which the store can have answered a poll that was sent at a time and is being handled now.
// Without changes it holds a poll for the whole wait. The answer may have been on its way for long, or waited for a node that stood still.
func (p poll) answeredAt(askedAt time.Time, hasChanges bool) time.Time {
	if heldUntil := askedAt.Add(p.wait); !hasChanges && !heldUntil.After(time.Now()) {
		return heldUntil
	}
	return askedAt
}

// pollFor returns the times of the next poll for a topic's changes.
func (n *Node) pollFor(f *follower) poll {
	bound := n.changeBound()
	p := poll{margin: callMargin(bound, f.failures)}
	switch {
	case f.isUrgent || f.leaves && f.topic != store.Nodes:
	case f.topic == store.Configuration && n.mesh.ReadsForOthers():
		p.wait = bound / listWaitDivisor
	case f.topic == store.Configuration:
		p.wait = configWait
	case f.topic == store.Upstreams:
		p.wait = bound / listWaitDivisor
	default:
		p.wait = nodesWait
	}
	return p
}

// changeBound returns the shortest time within which a change in the store must take effect.
func (n *Node) changeBound() time.Duration {
	settings := n.settings.Load()
	return min(settings.DrainBound, settings.ApplyBound)
}

// callMargin returns how long an answer of the store may take, after a number of failed calls in a row. It grows with these,
// as the store may be slow.
func callMargin(bound time.Duration, failures int) time.Duration {
	margin := max(minMargin, bound/marginDivisor)
	for range failures - 1 {
		margin = max(margin, min(maxMargin, 2*margin))
	}
	return margin
}

// backoff returns the pause after a failed call that follows a number of failures in a row. A call without an answer may
// have used a connection that has gone silent, so that it is repeated at once.
func backoff(failures int, err error) time.Duration {
	if store.Is(err, store.Uncertain) {
		failures--
	}
	return min(maxRetryBackoff, retryBackoff*time.Duration(failures+1))
}

// failurePause returns the pause after a failed call. Many nodes that the store turns away spare it their polls for the nodes, of
// which datagrams tell as well.
func (n *Node) failurePause(f *follower, err error) time.Duration {
	if f.topic == store.Nodes && f.hasSnapshot && f.failures > 0 && n.isOfMany() {
		return manyNodesPause
	}
	return backoff(f.failures, err)
}

// pauseFor returns the pause between two polls for a topic's changes.
func (n *Node) pauseFor(t store.Topic) time.Duration {
	switch t {
	case store.Configuration:
		return 0
	case store.Upstreams:
		return listPause(n.changeBound())
	case store.Nodes:
		if time.Since(n.started) < startupTime {
			return startupNodesPause
		}
		return nodesPause
	}
	panic("entry: a topic without a pause")
}

// listPause returns the pause between polls for the list of upstreams, with which a node learns of changes within a bound
// even if one call fails. These polls also show when connections to the store have gone silent.
func listPause(bound time.Duration) time.Duration {
	return max(bound/shortestPauseDivisor, min(bound/longestPauseDivisor, bound-failedCallTime))
}

// recordFailure records a failed call of the store.
func (n *Node) recordFailure(t store.Topic, err error) {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	if t == store.Upstreams {
		n.outage.ReadFailed(time.Now())
	}
	if !n.storeFailing[t] {
		n.storeFailing[t] = true
		n.log.Info("store-lost", "topic", t.String(), "cause", err.Error())
	}
}

// recordSuccess records a successful call of the store, which answered at a time or later.
func (n *Node) recordSuccess(t store.Topic, answeredAt time.Time) {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	n.storeReadAt[t] = answeredAt
	if t == store.Upstreams {
		n.outage.ReadSucceeded(time.Now())
	}
	if n.storeFailing[t] {
		n.storeFailing[t] = false
		n.log.Info("store-regained", "topic", t.String())
	}
}

// expiryGraceEnd returns the time until which entries that expire now may reappear.
func (n *Node) expiryGraceEnd() time.Time {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return n.outage.GraceEnd(time.Now())
}

// sleep waits for a time or until the context is canceled.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Times of fetching from other nodes.
const (
	fetchInterval = 250 * time.Millisecond
	seedInterval  = time.Second // between requests to seeds by a node that only lacks the list of nodes
	// minLag is the time for which another node must be ahead before this one fetches, since changes in the store reach
	// some nodes a little later than others.
	minLag = 700 * time.Millisecond
)

// lagTracker tracks how long this node has been behind others.
type lagTracker struct {
	rulesBehindSince time.Time      // since when another node has had a newer configuration, or zero
	list             store.Revision // that the node's own list reflects
	listAdvancedAt   time.Time      // when that was first seen
	listPause        time.Duration  // between polls for the list
}

// shouldFetch reports whether a node with the given state should fetch from a peer that is ahead. Changes in the store
// reach some nodes a little later than others; a list that stays at a revision while other nodes' lists change
// indicates a hanging call.
func (l *lagTracker) shouldFetch(now time.Time, own mesh.StoreState, peer mesh.Peer, isStoreFailing bool) bool {
	if own.ListWord.Through != l.list || l.listAdvancedAt.IsZero() {
		l.list, l.listAdvancedAt = own.ListWord.Through, now
	}
	if own.RulesVersion >= peer.RulesVersion {
		l.rulesBehindSince = time.Time{}
	} else if l.rulesBehindSince.IsZero() {
		l.rulesBehindSince = now
	}
	switch {
	case isStoreFailing:
		return true
	case !l.rulesBehindSince.IsZero() && now.Sub(l.rulesBehindSince) >= minLag:
		return true
	}
	return peer.HasNewerList(own.ListWord.Through) && now.Sub(l.listAdvancedAt) >= l.listPause+minLag
}

// fetchFromNodes fetches from other nodes what this one can't get from the store.
func (n *Node) fetchFromNodes(ctx context.Context, changes chan<- change) error {
	var lag lagTracker
	var seedAskedAt time.Time
	for ctx.Err() == nil {
		sleep(ctx, fetchInterval)
		own := n.storeState()
		n.checkHeldPoll()
		peer, ok := n.mesh.NewerPeer(own.RulesVersion, own.ListWord.Through)
		needsSeed := own.RulesVersion == 0 || len(own.NodeRows) == 0 && time.Since(seedAskedAt) >= seedInterval
		if !ok && needsSeed && n.isStoreFailing() && len(n.config.Seeds) > 0 {
			seed := n.config.Seeds[rand.IntN(len(n.config.Seeds))]
			peer, ok = mesh.Peer{Name: seedName, RPCAddress: seed, RulesVersion: 1}, true
			seedAskedAt = time.Now()
		}
		lag.listPause = listPause(n.changeBound())
		n.noticeVersion(own.RulesVersion, peer)
		if !ok {
			peer = mesh.Peer{RulesVersion: own.RulesVersion}
		}
		if !lag.shouldFetch(time.Now(), own, peer, n.isStoreFailing()) || !ok {
			continue
		}
		fetched, err := n.mesh.Fetch(ctx, peer, own)
		if err != nil {
			n.log.Info("node-silent", "other", peer.Name, "cause", err.Error())
			continue
		}
		n.log.Info("news", "other", peer.Name, "rules", peer.RulesVersion, "list", fetched.ListWord.Through.Number,
			"had-rules", own.RulesVersion, "had-list", own.ListWord.Through.Number, "nodes", len(fetched.NodeRows))
		n.forwardState(ctx, fetched, changes)
	}
	return nil
}

// forwardState passes on to the control goroutine what another node returned.
func (n *Node) forwardState(ctx context.Context, fetched mesh.StoreState, changes chan<- change) {
	var list []change
	if len(fetched.RawRules) > 0 {
		list = append(list, change{topic: store.Configuration, rows: []store.FeedRow{{Value: fetched.RawRules}},
			word: fetched.RulesWord})
	}
	if !fetched.ListWord.ConfirmedAt.IsZero() {
		list = append(list, change{topic: store.Upstreams, rows: fetched.Rows, snapshot: true, word: fetched.ListWord})
	}
	if len(fetched.NodeRows) > 0 {
		list = append(list, change{topic: store.Nodes, rows: fetched.NodeRows, snapshot: true})
	}
	for _, ch := range list {
		ch.from = fetched.From
		select {
		case changes <- ch:
		case <-ctx.Done():
		}
	}
}

// isStoreFailing reports whether the latest call for the configuration or the upstreams failed.
func (n *Node) isStoreFailing() bool {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return n.storeFailing[store.Configuration] || n.storeFailing[store.Upstreams]
}
