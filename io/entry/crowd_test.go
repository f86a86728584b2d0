package entry

import (
	"testing"
)

// crowdFDs leaves room for 8 connections of callers.
const crowdFDs = filesReserved + 20

// TestConnectionsWithoutProgressGiveWay guards against a limit on connections that closes kept idle ones, or those whose request is
// served, while others wait without progress, and against one that leaves no room for new callers.
func TestConnectionsWithoutProgressGiveWay(t *testing.T) {
	s := startTestServer(t, nil)
	s.node.settings.Store(&Config{GracePeriod: answerWait, MaxFDs: crowdFDs})
	kept, served := s.dial(t), s.dial(t)
	s.becomeIdle(t, kept)
	served.send(t, "GET /block HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.begun
	for i := range 4 * s.node.connLimit() {
		c := s.dial(t)
		if i%2 > 0 {
			c.send(t, "GET /part")
		}
	}
	late := s.dial(t)
	late.send(t, firstRequest)
	if body, err := late.answer(); body != "/first" || err != nil {
		t.Errorf("new connection: answer %q, error %v", body, err)
	}
	if n := s.openConns(); n > s.node.connLimit() {
		t.Errorf("%d connections, want at most %d", n, s.node.connLimit())
	}
	kept.send(t, firstRequest)
	if body, err := kept.answer(); body != "/first" || err != nil {
		t.Errorf("kept connection: answer %q, error %v", body, err)
	}
	close(s.block)
	if body, err := served.answer(); body != "/block" || err != nil {
		t.Errorf("request in service: answer %q, error %v", body, err)
	}
}

// openConns returns how many connections of callers are open, without those that linger. The gauge callerConns follows later, when
// net/http notices that a connection has been closed.
func (s *testServer) openConns() int {
	w := s.server.listener.(*callerListener).crowd
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns) - int(s.node.lingering.Load())
}

// TestKeptConnectionsGiveWayLast guards against a limit that keeps new callers out while all connections are idle, and against one
// that closes more of them than it needs.
func TestKeptConnectionsGiveWayLast(t *testing.T) {
	s := startTestServer(t, nil)
	s.node.settings.Store(&Config{GracePeriod: answerWait, MaxFDs: crowdFDs})
	var kept []*testCaller
	for range s.node.connLimit() {
		kept = append(kept, s.dial(t))
		s.becomeIdle(t, kept[len(kept)-1])
	}
	late := s.dial(t)
	late.send(t, firstRequest)
	if body, err := late.answer(); body != "/first" || err != nil {
		t.Errorf("new connection: answer %q, error %v", body, err)
	}
	for i, c := range kept[1:] {
		c.send(t, firstRequest)
		if body, err := c.answer(); body != "/first" || err != nil {
			t.Errorf("kept connection %d: answer %q, error %v", i+1, body, err)
		}
	}
}
