package mesh

import (
	"slices"
	"time"

	"rhubarbspread/io/mesh/wire"

	"google.golang.org/protobuf/proto"
)

// delivery is a datagram on its way.
type delivery struct {
	to     *member
	digest *wire.Digest
	due    time.Time // when it arrives
}

// deliverFrom sends and delivers the datagrams of one node in one period.
func (g *group) deliverFrom(from *member, sequence uint32) {
	if from.isStopped {
		return
	}
	for _, d := range g.sendFrom(from, sequence) {
		d.to.handleDigest(d.digest)
	}
}

// sendFrom returns the datagrams of one node in one period, as those that receive them decode them.
func (g *group) sendFrom(from *member, sequence uint32) []delivery {
	var sent []delivery
	for _, d := range from.datagrams(from.Mesh.digest(sequence), from.knownNodes()) {
		raw, err := proto.Marshal(d.digest)
		if err != nil {
			g.t.Fatal(err)
		}
		g.bytesSent += len(raw)
		g.mostBytes = max(g.mostBytes, len(raw))
		g.datagramsSent[from.config.Node]++
		to := g.at(d.to)
		isCut := to != nil && (from.dataCentre == g.cutDataCentre) != (to.dataCentre == g.cutDataCentre)
		if to != nil && !to.isStopped && !isCut {
			var received wire.Digest
			if err := proto.Unmarshal(raw, &received); err != nil {
				g.t.Fatal(err)
			}
			sent = append(sent, delivery{to: to, digest: &received, due: time.Now()})
		}
	}
	return sent
}

// exchangeDelayed lets all nodes send their digests for some periods, each at a moment of its own, and delivers them after a delay.
func (g *group) exchangeDelayed(periods int, delay func(from *member) time.Duration) {
	for range periods {
		g.sequence++
		for _, from := range g.nodes {
			for _, d := range g.sendFrom(from, g.sequence) {
				d.due = d.due.Add(delay(from))
				g.inFlight = append(g.inFlight, d)
			}
			time.Sleep(gossipPeriod / time.Duration(len(g.nodes)))
			g.inFlight = slices.DeleteFunc(g.inFlight, func(d delivery) bool {
				isDue := !d.due.After(time.Now())
				if isDue {
					d.to.handleDigest(d.digest)
				}
				return isDue
			})
		}
	}
}
