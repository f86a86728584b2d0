package entry

import (
	"context"
	"time"

	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh"
)

// Where the nodes are many, few of them poll the store and say in their digests when it last confirmed what they
// have. The others poll only if they learn of something newer, or if the latest confirmation is so old that a poll which begins
// later might end too late.
const (
	dutyInterval     = 100 * time.Millisecond // between looks at the evidence
	readerPauseShare = 0.1                    // of the bound on changes, between the polls of a node that reads for others
	deadlineSpread   = 0.2                    // share of the deadline by which nodes differ, lest all poll at once
	manyNodesPause   = 4 * time.Second        // least time between polls for the nodes where these are many
)

// delegates reports whether this node leaves polling the store to others.
func (n *Node) delegates() bool { return n.mesh.LeavesReading() }

// addWord records the word of the store that came with a change, once the change is in force here.
func (n *Node) addWord(ch change) {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	n.words[ch.topic] = joinWords(n.words[ch.topic], ch.word)
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
	if b.ConfirmedAt.After(a.ConfirmedAt) {
		a.ConfirmedAt = b.ConfirmedAt
	}
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
// changes, and whether another node knows of a change that this one may lack.
func (n *Node) newestWord(t store.Topic) (w mesh.Word, isBehind bool) {
	evidence := n.evidence(t)
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	w = n.words[t]
	if evidence.ConfirmedAt.After(w.ConfirmedAt) {
		w.ConfirmedAt = evidence.ConfirmedAt
	}
	return w, evidence.IsBehind
}

// pause waits between two polls for a topic's changes.
func (n *Node) pause(ctx context.Context, f *follower) {
	switch {
	case n.delegates() && f.topic != store.Nodes:
		n.awaitDuty(ctx, f)
	case n.mesh.ReadsForOthers() && f.topic != store.Nodes:
		sleep(ctx, time.Duration(readerPauseShare*float64(n.changeBound())))
	case f.topic == store.Nodes && len(n.otherNodes()) >= mesh.RelayThreshold:
		sleep(ctx, max(manyNodesPause, n.pauseFor(f.topic)))
	default:
		sleep(ctx, n.pauseFor(f.topic))
	}
}

// awaitDuty waits while other nodes poll for a topic in place of this one.
func (n *Node) awaitDuty(ctx context.Context, f *follower) {
	if f.topic == store.Nodes {
		return
	}
	deadline := n.evidenceDeadline()
	for ctx.Err() == nil && n.delegates() && !n.mustPoll(f, deadline) {
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

// evidenceDeadline returns the age of the latest confirmation from which on this node polls for itself.
func (n *Node) evidenceDeadline() time.Duration {
	share := float64(mesh.NameHash(n.config.Node)) / (1 << 32)
	return time.Duration((1 - deadlineSpread*share) * float64(listPause(n.changeBound())))
}

// mustPoll reports whether this node must poll for a topic itself.
func (n *Node) mustPoll(f *follower, deadline time.Duration) bool {
	word, isBehind := n.newestWord(f.topic)
	if time.Since(word.ConfirmedAt) >= deadline {
		return true
	}
	isDue := f.topic == store.Configuration || n.sinceRead(f.topic) >= deadline
	return isBehind && isDue && f.failures == 0
}

// sinceRead returns the time since the store's latest answer on a topic to this node.
func (n *Node) sinceRead(t store.Topic) time.Duration {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return time.Since(n.storeReadAt[t])
}
