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

// evidence returns what the other nodes say of the store.
func (n *Node) evidence() mesh.Evidence {
	v := n.view.Load()
	if v == nil {
		return mesh.Evidence{}
	}
	rulesVersion := n.coveredRules.Load()
	if v.Rules != nil {
		rulesVersion = max(rulesVersion, v.Rules.Version())
	}
	return n.mesh.EvidenceFor(rulesVersion, max(n.coveredList.Load(), v.List.Version()))
}

// confirmedAt returns when the store last confirmed that it has nothing newer on a topic than this node, to this node or to
// another one whose word reached it.
func (n *Node) confirmedAt(t store.Topic) time.Time {
	evidence := n.evidence()
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	readAt := n.storeReadAt[t]
	switch t {
	case store.Configuration:
		return laterOf(readAt, evidence.RulesConfirmedAt)
	case store.Upstreams:
		return laterOf(readAt, evidence.ListConfirmedAt)
	}
	return readAt
}

func laterOf(t, u time.Time) time.Time {
	if t.After(u) {
		return t
	}
	return u
}

// pause waits between two polls for a topic's changes.
func (n *Node) pause(ctx context.Context, f *follower) {
	switch {
	case n.delegates() && f.topic != store.Nodes:
		n.awaitDuty(ctx, f)
	case n.mesh.ReadsForMembers() && f.topic != store.Nodes:
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
	if time.Since(n.confirmedAt(f.topic)) >= deadline {
		return true
	}
	evidence := n.evidence()
	switch f.topic {
	case store.Configuration:
		return evidence.RulesBehind && f.failures == 0
	case store.Upstreams:
		return evidence.ListBehind && f.failures == 0 && n.sinceRead(f.topic) >= deadline
	}
	return false
}

// sinceRead returns the time since the store's latest answer on a topic to this node.
func (n *Node) sinceRead(t store.Topic) time.Duration {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return time.Since(n.storeReadAt[t])
}
