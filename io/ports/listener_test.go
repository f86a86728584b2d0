package ports

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener hands out the ends of pipes.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) { return <-l.conns, nil }
func (l *pipeListener) Close() error              { return nil }

// TestListenerReplacesOnlyOldConnections guards against calls of other nodes that are cut off because many come at once, and against
// silent clients that keep them out.
func TestListenerReplacesOnlyOldConnections(t *testing.T) {
	for _, tc := range []struct {
		name    string
		age     time.Duration // of the first connections when another one comes
		answers bool          // the first of these sends an answer just before
		waits   bool          // the new one has to wait
		closed  int           // the one that gives way
	}{
		{"young", 10 * time.Millisecond, false, true, 0},
		{"old", time.Second, false, false, 0},
		{"old, the first of them answered lately", time.Second, true, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit = 2
				var replaced []net.Conn
				inner := &pipeListener{conns: make(chan net.Conn, limit+1)}
				l := NewListener(inner, limit, 10*time.Second, func(c net.Conn) { replaced = append(replaced, c) })
				var clients, servers []net.Conn
				for i := range limit + 1 {
					time.Sleep(time.Millisecond) // so that one is the oldest
					if i == limit {
						time.Sleep(tc.age)
						if tc.answers {
							go func() { _, _ = clients[0].Read(make([]byte, 1)) }()
							if _, err := servers[0].Write([]byte("x")); err != nil {
								t.Fatal(err)
							}
						}
					}
					client, server := net.Pipe()
					defer client.Close()
					inner.conns <- server
					before := time.Now()
					c, err := l.Accept()
					if err != nil {
						t.Fatal(err)
					}
					defer c.Close()
					if waited := time.Since(before) > 0; waited != (tc.waits && i == limit) {
						t.Errorf("connection %d: waited %v", i, waited)
					}
					clients, servers = append(clients, client), append(servers, c)
				}
				if len(replaced) != 1 || replaced[0] != servers[tc.closed] {
					t.Errorf("%d connections replaced, want only number %d", len(replaced), tc.closed)
				}
				if _, err := clients[tc.closed].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
					t.Errorf("the replaced connection: %v, want its end", err)
				}
			})
		})
	}
}

// TestListenerEndsSilentConnections guards against connections that stay open for ever, and against the end of those that are in use.
func TestListenerEndsSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &pipeListener{conns: make(chan net.Conn, 1)}
		l := NewListener(inner, 2, time.Second, func(net.Conn) {}, WithRenewal())
		client, server := net.Pipe()
		defer client.Close()
		inner.conns <- server
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		for range 5 {
			time.Sleep(900 * time.Millisecond)
			if _, err := c.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
		}
		before := time.Now()
		if _, err := c.Read(make([]byte, 1)); err == nil || time.Since(before) != time.Second {
			t.Errorf("read ended after %v with %v, want an error after 1s", time.Since(before), err)
		}
	})
}

// TestListenerCloseEndsTheWait guards against a stop that waits for clients.
func TestListenerCloseEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &pipeListener{conns: make(chan net.Conn, 2)}
		l := NewListener(inner, 1, time.Second, func(net.Conn) {})
		for range 2 {
			client, server := net.Pipe()
			defer client.Close()
			inner.conns <- server
		}
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go func() { _ = l.Close() }()
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("error %v, want net.ErrClosed", err)
		}
	})
}
