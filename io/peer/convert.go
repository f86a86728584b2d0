package peer

import (
	"rhubarbspread/core/member"
	"rhubarbspread/io/peer/wire"
)

func toWireNode(n member.Node) *wire.Node {
	return &wire.Node{
		Name: n.Name, Address: n.Address, Admin: n.Admin, DataCentre: n.DataCentre,
		Incarnation: n.Incarnation, State: uint32(n.State),
	}
}

func fromWireNode(n *wire.Node) member.Node {
	return member.Node{
		Name: n.GetName(), Address: n.GetAddress(), Admin: n.GetAdmin(), DataCentre: n.GetDataCentre(),
		Incarnation: n.GetIncarnation(), State: member.State(n.GetState()),
	}
}

func toWire(p member.Packet) *wire.Packet {
	out := &wire.Packet{From: toWireNode(p.From), Digest: p.Digest, Stamp: p.Stamp, Whole: p.Whole}
	for _, n := range p.Nodes {
		out.Nodes = append(out.Nodes, toWireNode(n))
	}
	for _, f := range p.Facts {
		out.Facts = append(out.Facts, &wire.Fact{
			Kind: f.Kind, Key: f.Key, Version: f.Version, Value: f.Value, RemainingS: f.Remaining,
		})
	}
	return out
}

func fromWire(p *wire.Packet) member.Packet {
	out := member.Packet{From: fromWireNode(p.GetFrom()), Digest: p.GetDigest(), Stamp: p.GetStamp(), Whole: p.GetWhole()}
	for _, n := range p.GetNodes() {
		out.Nodes = append(out.Nodes, fromWireNode(n))
	}
	for _, f := range p.GetFacts() {
		out.Facts = append(out.Facts, member.Fact{
			Kind: f.GetKind(), Key: f.GetKey(), Version: f.GetVersion(), Value: f.GetValue(), Remaining: f.GetRemainingS(),
		})
	}
	return out
}
