package entry

import (
	"net"
	"testing"
)

// TestEachRefusedConnectionLingers guards against refusals that are lost because callers who were refused before and stay take all places
// of connections that are still read, against such callers who keep new ones out, and against places that are not given back.
func TestEachRefusedConnectionLingers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n := new(Node)
	n.settings.Store(&Config{MaxFDs: 2*filesReserved + 100})
	w := newCrowd(n)
	var conns []*callerConn
	for i := range n.connLimit() + 3*n.maxLingering() {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := &callerConn{TCPConn: accepted.(*net.TCPConn), node: n, crowd: w}
		conns = append(conns, c)
		w.add(c)
		c.linger()
		if count := n.lingering.Load(); count > int64(n.maxLingering()) {
			t.Errorf("%d connections linger, want at most %d", count, n.maxLingering())
		}
		if _, err := c.TCPConn.Read(nil); err != nil || c.lingerUntil.IsZero() {
			t.Errorf("refused connection %d does not linger: %v", i, err)
		}
		if open := len(w.conns); open > n.connLimit()+n.maxLingering() {
			t.Errorf("%d connections, want at most %d", open, n.connLimit()+n.maxLingering())
		}
	}
	for _, c := range conns {
		_ = c.Close()
	}
	if count := n.lingering.Load(); count != 0 || len(w.conns) > 0 {
		t.Errorf("%d places and %d connections are left", count, len(w.conns))
	}
}
