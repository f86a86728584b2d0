package entry

import (
	"time"

	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh"
)

// seedName stands for the name of a seed, which has not told its own.
const seedName = "seed"

// noticedVersion is a version of the configuration that another node has.
type noticedVersion struct {
	version uint64
	at      time.Time // when this node learned of it
}

// belief is what a node believes of the store's data on a topic.
type belief struct {
	age time.Duration // since the store confirmed that nothing has changed, or since the start if it never did
	by  string        // node that has this confirmation: "store" for this one, "" for none
}

// believes returns what the node believes of a topic.
func (n *Node) believes(t store.Topic) belief {
	evidence := n.evidence(t)
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	own := n.words[t].ConfirmedAt
	switch {
	case evidence.ConfirmedAt.After(own):
		return belief{time.Since(evidence.ConfirmedAt), evidence.ConfirmedBy}
	case own.IsZero():
		return belief{time.Since(n.started), ""}
	}
	return belief{time.Since(own), "store"}
}

// noticeVersion records and logs that another node has a newer configuration than this one, once for each version.
func (n *Node) noticeVersion(own uint64, peer mesh.Peer) {
	if peer.RulesVersion <= own || peer.Name == seedName {
		return
	}
	n.storeMu.Lock()
	isKnown := peer.RulesVersion <= n.noticed.version
	if !isKnown {
		n.noticed = noticedVersion{peer.RulesVersion, time.Now()}
	}
	n.storeMu.Unlock()
	if isKnown {
		return
	}
	b := n.believes(store.Configuration)
	n.log.Info("configuration-behind", "version", peer.RulesVersion, "had", own, "other", peer.Name, "role", n.mesh.Role(),
		"confirmed-ms", b.age.Milliseconds(), "confirmed-by", b.by)
}

// logConfiguration logs and counts by which way a configuration came that is now in force, and what the node believed until then.
func (n *Node) logConfiguration(r *rules.Rules, ch change) {
	source, other := "store", ""
	switch {
	case ch.fromStore:
	case ch.from.Name == seedName:
		source, other = seedName, ch.from.RPCAddress
	default:
		source, other = "node", ch.from.Name
	}
	n.stats.Count("configurations-from-" + source)
	n.storeMu.Lock()
	noticed := time.Duration(0)
	if n.noticed.version >= r.Version() {
		noticed = time.Since(n.noticed.at)
	}
	n.storeMu.Unlock()
	answered := ch.word.ConfirmedAt
	if answered.IsZero() { // another node had it without the store's word
		answered = n.started
	}
	b := n.believes(store.Configuration)
	n.log.Info("configuration", "version", r.Version(), "revision", ch.word.Changed.Number, "routes", r.Routes(),
		"lacks-teams", n.lacksTeams(r), "source", source, "other", other, "answer-ms", time.Since(answered).Milliseconds(),
		"noticed-ms", noticed.Milliseconds(), "role", n.mesh.Role(), "confirmed-ms", b.age.Milliseconds(), "confirmed-by", b.by)
}
