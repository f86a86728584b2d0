package hop

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// relayable returns a pool whose connections count as relayed while the switch is on.
func relayable(opts ...PoolOption) (*Pool, *atomic.Bool) {
	relayed := new(atomic.Bool)
	dial := func(ctx context.Context, t Target) (net.Conn, error) {
		c, err := DialDirect(ctx, t)
		if err != nil || !relayed.Load() {
			return c, err
		}
		return RelayedConn{c.(*net.TCPConn), "r"}, nil
	}
	return NewPool(func() {}, append(opts, WithDial(dial))...), relayed
}

// TestIdleConnectionsOfOneKindAreDropped guards against requests over connections that hang since a cut, and against
// connections through relays that stay in use after it.
func TestIdleConnectionsOfOneKindAreDropped(t *testing.T) {
	for _, test := range []struct {
		name             string
		isRelayed, drops bool // the kind of the idle connection, and the kind that is dropped
	}{
		{"direct ones, when a cut begins", false, false},
		{"direct ones, when a cut ends", false, true},
		{"relayed ones, when a cut begins", true, false},
		{"relayed ones, when a cut ends", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := serve(t, func(int64) (string, bool) { return answerTo("1", "yes"), false })
			p, relayed := relayable()
			relayed.Store(test.isRelayed)
			if _, err := do(t, p, s.call("1")); err != nil {
				t.Fatal(err)
			}
			p.DropIdle(test.drops)
			isKept := p.HasIdle(s.call("1").Target)
			if want := test.isRelayed != test.drops; isKept != want {
				t.Errorf("the connection is kept: %v, want %v", isKept, want)
			}
			if _, err := do(t, p, s.call("1")); err != nil {
				t.Fatal(err)
			}
			if n := s.conns.Load(); n == 1 != isKept {
				t.Errorf("%d connections, kept: %v", n, isKept)
			}
		})
	}
}

// TestOldRelayedConnectionIsNotReused guards against requests over a relay that was told to stop a while ago.
func TestOldRelayedConnectionIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			name      string
			isRelayed bool
			age       time.Duration
			want      bool
		}{
			{"direct", false, time.Hour, false},
			{"new", true, maxRelayedAge, false},
			{"old", true, maxRelayedAge + 1, true},
		} {
			c := &conn{openedAt: time.Now()}
			if test.isRelayed {
				c.relay = "r"
			}
			time.Sleep(test.age)
			if got := c.isOldRelayed(); got != test.want {
				t.Errorf("%s: too old: %v, want %v", test.name, got, test.want)
			}
		}
	})
}

// TestBrokenExchangeIsReported checks which exchanges make the node test its connections.
func TestBrokenExchangeIsReported(t *testing.T) {
	const hang, cut = "hang", "cut"
	for _, test := range []struct {
		name        string
		answer      string // or hang, or cut
		isRelayed   bool
		leavesAfter time.Duration // the caller does, if positive
		want        int64
	}{
		{"answered", answerTo("1", "yes"), false, 0, 0},
		{"no answer in time", hang, false, 0, 1},
		{"closed without an answer", cut, false, 0, 1},
		{"broken off in the body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\npart", false, 0, 1},
		{"no answer through a relay", cut, true, 0, 0},
		{"the caller leaves soon", hang, false, unansweredTime / 10, 0},
		{"the caller leaves late", hang, false, 2 * unansweredTime, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			release := make(chan bool)
			s := serve(t, func(int64) (string, bool) {
				switch test.answer {
				case hang:
					<-release
				case cut:
					return "", true
				}
				return test.answer, true
			})
			defer close(release)
			var reported atomic.Int64
			var target Target
			p, relayed := relayable(WithOnUnanswered(func(t Target) { target = t; reported.Add(1) }))
			relayed.Store(test.isRelayed)
			ctx, cancel := context.WithTimeout(t.Context(), 3*unansweredTime)
			defer cancel()
			if test.leavesAfter > 0 {
				time.AfterFunc(test.leavesAfter, cancel)
			}
			resp, err := p.Do(ctx, s.call("1"))
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				err = errors.Join(err, resp.Body.Close())
			}
			if n := reported.Load(); n != test.want || n > 0 && target != s.call("1").Target {
				t.Errorf("%d reports, the last of %v, want %d; error %v", n, target, test.want, err)
			}
		})
	}
}

// TestSlowRelayIsLeft guards against one request after the other over idle connections through a relay that hangs.
func TestSlowRelayIsLeft(t *testing.T) {
	for _, test := range []struct {
		name  string
		relay string // of the exchange that gets no answer in time
		want  bool   // the idle connection through relay "r" is kept
	}{
		{"the same relay", "r", false},
		{"another relay", "s", true},
		{"no relay", "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			release := make(chan bool)
			defer close(release)
			quick := serve(t, func(int64) (string, bool) { return answerTo("1", "yes"), false })
			slow := serve(t, func(int64) (string, bool) { <-release; return "", true })
			relay := "r"
			p := NewPool(func() {}, WithDial(func(ctx context.Context, t Target) (net.Conn, error) {
				c, err := DialDirect(ctx, t)
				if err != nil || relay == "" {
					return c, err
				}
				return RelayedConn{c.(*net.TCPConn), relay}, nil
			}))
			if _, err := do(t, p, quick.call("1")); err != nil {
				t.Fatal(err)
			}
			relay = test.relay
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			call := slow.call("1")
			if _, err := p.Do(ctx, call); err == nil {
				t.Fatal("an answer of an upstream that gives none")
			}
			if got := p.HasIdle(quick.call("1").Target); got != test.want {
				t.Errorf("the idle connection is kept: %v, want %v", got, test.want)
			}
		})
	}
}

// TestSilentConnectionIsNotFollowedByOthers guards against one request after the other over kept connections to an upstream
// that have all gone silent.
func TestSilentConnectionIsNotFollowedByOthers(t *testing.T) {
	for _, test := range []struct {
		name string
		wait time.Duration // until the call ends without an answer
		want bool          // the other idle connection is kept
	}{
		{"no answer in time", 2 * unansweredTime, false},
		{"given up soon", unansweredTime / 10, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			release := make(chan bool)
			defer close(release)
			const idle = 2
			arrived := make(chan bool, idle)
			proceed := make(chan bool)
			s := serve(t, func(n int64) (string, bool) {
				if n > idle {
					<-release
				}
				arrived <- true
				<-proceed
				return answerTo("1", "yes"), false
			})
			p := newPool()
			done := make(chan error, idle)
			for range idle {
				go func() {
					_, err := do(t, p, s.call("1"))
					done <- err
				}()
			}
			for range idle {
				<-arrived
			}
			close(proceed)
			for range idle {
				if err := <-done; err != nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			time.AfterFunc(test.wait, cancel)
			if _, err := p.Do(ctx, s.call("1")); err == nil {
				t.Fatal("an answer over a silent connection")
			}
			if got := p.HasIdle(s.call("1").Target); got != test.want {
				t.Errorf("the other idle connection is kept: %v, want %v", got, test.want)
			}
		})
	}
}
