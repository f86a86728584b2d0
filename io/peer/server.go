package peer

import (
	"context"
	"encoding/json"
	"net"

	"rhubarbspread/core/event"
	"rhubarbspread/io/peer/wire"
)

// server implements the calls that other nodes make.
type server struct {
	wire.DRPCPeerUnimplementedServer
	peer *Peer
}

// Exchange merges a packet and returns one of this node, which holds all nodes and facts if the received one did.
func (s *server) Exchange(_ context.Context, in *wire.Packet) (*wire.Packet, error) {
	p := s.peer
	p.receive(in)
	stamp := uint64(p.clock.Next())
	if in.GetWhole() {
		return toWire(p.swim.WholePacket(stamp)), nil
	}
	return toWire(p.swim.Packet(stamp)), nil
}

// Probe probes a node on behalf of another (indirect probe).
func (s *server) Probe(ctx context.Context, in *wire.ProbeRequest) (*wire.ProbeReply, error) {
	s.peer.clock.Observe(event.Stamp(in.GetStamp()))
	return &wire.ProbeReply{Reached: s.peer.exchange(ctx, in.GetAddress()) == nil}, nil
}

// Fate returns the state of a token that this node issued, and the answer to its call if there is one.
func (s *server) Fate(_ context.Context, in *wire.FateRequest) (*wire.FateReply, error) {
	s.peer.clock.Observe(event.Stamp(in.GetStamp()))
	state, response := s.peer.tokenState(in.GetToken())
	out := &wire.FateReply{Fate: string(state), Stamp: uint64(s.peer.clock.Next())}
	if response == nil {
		return out, nil
	}
	raw, err := json.Marshal(response)
	out.Response = raw
	return out, err
}

// Body returns the document with a digest, or nothing.
func (s *server) Body(_ context.Context, in *wire.BodyRequest) (*wire.BodyReply, error) {
	return &wire.BodyReply{Body: s.peer.documentBody(in.GetDigest())}, nil
}

// countingListener counts the bytes of the connections it accepts.
type countingListener struct {
	net.Listener
	peer *Peer
}

// Accept waits for the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.peer}, nil
}

type countingConn struct {
	net.Conn
	peer *Peer
}

// Read reads and counts the bytes received.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.peer.bytesIn.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes sent.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.peer.bytesOut.Add(int64(n))
	return n, err
}
