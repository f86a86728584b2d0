package peer_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"testing"
	"time"

	"rhubarbspread/core/event"
	"rhubarbspread/core/member"
	"rhubarbspread/io/peer"
	"rhubarbspread/io/peer/wire"

	"storj.io/drpc/drpcconn"
)

// startNode starts a node that serves on loopback until the test ends.
func startNode(t *testing.T, name, secret string, known ...member.Node) (*member.Swim, *peer.Peer, member.Node) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := member.Node{Name: name, Address: l.Addr().String(), Incarnation: 1}
	swim := member.New(self)
	swim.Seed(known)
	config, err := peer.TLSConfig(secret)
	if err != nil {
		t.Fatal(err)
	}
	p := peer.New(swim, event.NewClock(time.Now), config)
	ctx, cancel := context.WithCancel(context.Background())
	served, ran := p.Serve(ctx, l), p.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-served
		<-ran
	})
	return swim, p, self
}

func TestFactReachesPeers(t *testing.T) {
	a, _, selfA := startNode(t, "a", "a secret of all nodes")
	b, peerB, _ := startNode(t, "b", "a secret of all nodes", selfA)
	b.Publish(member.Fact{Kind: "k", Key: "x", Version: 1, Value: []byte("v")})
	peerB.Push()
	for {
		if f, ok := a.Fact("k", "x"); ok && string(f.Value) == "v" {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestOtherSecretIsShutOut(t *testing.T) {
	a, _, selfA := startNode(t, "a", "a secret of all nodes")
	b, peerB, _ := startNode(t, "b", "quite another secret", selfA)
	b.Publish(member.Fact{Kind: "k", Key: "x", Version: 1})
	for range 3 {
		peerB.Push()
		time.Sleep(10 * time.Millisecond)
	}
	if _, ok := a.Fact("k", "x"); ok {
		t.Error("a fact arrived from a node with another secret")
	}
}

func TestShortSecret(t *testing.T) {
	if _, err := peer.TLSConfig("short"); err == nil {
		t.Error("a short secret was accepted")
	}
}

// TestFullSynchronisationOfALargeFleetIsTaken guards against limits on requests that refuse the largest one of a fleet of 1,000.
func TestFullSynchronisationOfALargeFleetIsTaken(t *testing.T) {
	swim, _, self := startNode(t, "a", "a secret of all nodes")
	config, err := peer.TLSConfig("a secret of all nodes")
	if err != nil {
		t.Fatal(err)
	}
	c, err := tls.Dial("tcp", self.Address, config)
	if err != nil {
		t.Fatal(err)
	}
	conn := drpcconn.New(c)
	defer conn.Close()
	const nodes, facts, factBytes = 1000, 4096, 300
	p := &wire.Packet{From: &wire.Node{Name: "b", Address: "127.0.0.1:1", Incarnation: 1}, Whole: true}
	for i := range nodes {
		p.Nodes = append(p.Nodes, &wire.Node{Name: fmt.Sprint("n", i), Address: "127.0.0.1:1", Admin: "127.0.0.1:2", DataCentre: "z", Incarnation: 1})
	}
	for i := range facts {
		p.Facts = append(p.Facts, &wire.Fact{Kind: "k", Key: fmt.Sprint(i), Version: 1, Value: make([]byte, factBytes)})
	}
	for range 3 { // on one connection, each after the answer to the one before
		if _, err := wire.NewDRPCPeerClient(conn).Exchange(t.Context(), p); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := swim.Fact("k", fmt.Sprint(facts-1)); !ok {
		t.Error("the last fact did not arrive")
	}
}
