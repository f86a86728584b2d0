package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"rhubarbspread/core/event"
	"rhubarbspread/core/member"
	"rhubarbspread/io/peer"
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
