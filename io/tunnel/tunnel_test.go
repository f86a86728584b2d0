package tunnel

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// testTimeout bounds each wait of a test, so that a fault shows as a failure; it is far beyond any stated time.
const testTimeout = 20 * time.Second

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// upstream accepts connections and passes each to the test.
func upstream(t *testing.T) (address string, conns <-chan *net.TCPConn) {
	t.Helper()
	l := listen(t)
	accepted := make(chan *net.TCPConn, 10)
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			accepted <- c
		}
	}()
	return l.Addr().String(), accepted
}

func dialAny(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// relay runs a server until stop is called or the test ends, and checks that all its tunnels have ended then.
func relay(t *testing.T, s *Server) (address string, stop func()) {
	t.Helper()
	l := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.serve(ctx, l) }()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(testTimeout):
			t.Error("the relay does not end")
		}
		if n := s.Open(); n != 0 {
			t.Errorf("%d tunnels are open after the end", n)
		}
	}
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// connect opens a tunnel and returns both of its ends.
func connect(t *testing.T, relayAddress, target string, conns <-chan *net.TCPConn) (node, up *net.TCPConn) {
	t.Helper()
	node, err := Connect(t.Context(), relayAddress, target)
	if err != nil {
		t.Fatal(err)
	}
	_ = node.SetDeadline(time.Now().Add(testTimeout))
	up = <-conns
	t.Cleanup(func() { _ = node.Close(); _ = up.Close() })
	return node, up
}

func never() bool { return false }

// randomBytes returns bytes that depend on the seed alone.
func randomBytes(seed uint64, n int) []byte {
	random := rand.New(rand.NewPCG(seed, seed))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

// TestBytesArriveExactly checks both directions at once, and answers that follow the end of the request's direction.
func TestBytesArriveExactly(t *testing.T) {
	target, conns := upstream(t)
	address, _ := relay(t, New(dialAny, never))
	for _, test := range []struct {
		name            string
		request, answer int
		answersAtEnd    bool // the upstream answers when it has read the end
	}{
		{"nothing", 0, 0, true},
		{"a byte", 1, 1, true},
		{"a buffer", bufferBytes, bufferBytes, true},
		{"much, one after the other", 3<<20 + 17, 5<<20 + 3, true},
		{"much, at once", 3<<20 + 17, 5<<20 + 3, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			node, up := connect(t, address, target, conns)
			request, answer := randomBytes(1, test.request), randomBytes(2, test.answer)
			received := make(chan []byte, 1)
			written := make(chan error, 2)
			go func() {
				_, err := node.Write(request)
				written <- errors.Join(err, node.CloseWrite())
			}()
			go func() {
				if !test.answersAtEnd {
					go func() { _, err := up.Write(answer); written <- errors.Join(err, up.CloseWrite()) }()
				}
				b, err := io.ReadAll(up)
				if test.answersAtEnd {
					_, writeErr := up.Write(answer)
					written <- errors.Join(err, writeErr, up.CloseWrite())
				}
				received <- b
			}()
			got, err := io.ReadAll(node)
			if err != nil || !bytes.Equal(got, answer) {
				t.Errorf("%d bytes of the answer, %v; want %d", len(got), err, len(answer))
			}
			if b := <-received; !bytes.Equal(b, request) {
				t.Errorf("%d bytes of the request, want %d", len(b), len(request))
			}
			for range cap(written) {
				if err := <-written; err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// reset closes a connection with a reset.
func reset(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }

// TestEndArrivesAsWhatItIs guards against an answer that was cut off and looks complete, and against work that goes on for a
// node that has gone.
func TestEndArrivesAsWhatItIs(t *testing.T) {
	target, conns := upstream(t)
	for _, test := range []struct {
		name string
		end  func(node, up *net.TCPConn, stopRelay func())
		// Whether the node's or the upstream's reads end with an error rather than in good order.
		atNode, isError bool
	}{
		{"the upstream ends its answer", func(_, up *net.TCPConn, _ func()) { _ = up.Close() }, true, false},
		{"the upstream resets", func(_, up *net.TCPConn, _ func()) { reset(up) }, true, true},
		{"the relay stops", func(_, _ *net.TCPConn, stop func()) { stop() }, true, true},
		{"the relay stops, at the upstream", func(_, _ *net.TCPConn, stop func()) { stop() }, false, true},
		{"the node closes", func(node, _ *net.TCPConn, _ func()) { _ = node.Close() }, false, false},
		{"the node resets", func(node, _ *net.TCPConn, _ func()) { reset(node) }, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, stop := relay(t, New(dialAny, never))
			node, up := connect(t, address, target, conns)
			if _, err := io.WriteString(up, "part"); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(node, make([]byte, len("part"))); err != nil {
				t.Fatal(err)
			}
			test.end(node, up, stop)
			reader := up
			if test.atNode {
				reader = node
			}
			_, err := io.ReadAll(reader)
			if got := err != nil; got != test.isError || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("error %v, want one: %v", err, test.isError)
			}
		})
	}
}

// TestResetDuringAnUploadArrivesAsOne guards against the end of an answer that a node sees after a reset, as the relay was writing the
// request when the upstream was reset: the write takes the error of the socket, and the relay's read then finds an end.
func TestResetDuringAnUploadArrivesAsOne(t *testing.T) {
	const rounds = 40 // the write takes the error in some of them
	target, conns := upstream(t)
	address, _ := relay(t, New(dialAny, never))
	for range rounds {
		node, up := connect(t, address, target, conns)
		// Written until all buffers are full, so that the relay is still writing when the node no longer is.
		_ = node.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := node.Write(make([]byte, 16<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
		if _, err := io.WriteString(up, "part"); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(node, make([]byte, len("part"))); err != nil {
			t.Fatal(err)
		}
		reset(up)
		if _, err := node.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("error %v, want a reset", err)
		}
	}
}

// TestWritesToAGoneNodeReachTheUpstream checks that an upstream which writes to a node that has closed is reset.
func TestWritesToAGoneNodeReachTheUpstream(t *testing.T) {
	target, conns := upstream(t)
	address, _ := relay(t, New(dialAny, never))
	node, up := connect(t, address, target, conns)
	_ = node.Close()
	var err error
	for err == nil {
		_, err = io.WriteString(up, "event")
		time.Sleep(time.Millisecond)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the upstream is not told that the node has gone")
	}
}

const relayProcessVariable = "TUNNEL_TEST_RELAY"

// TestRelayProcess is the relay of TestKilledRelayResets, which runs it in a process of its own.
func TestRelayProcess(t *testing.T) {
	if os.Getenv(relayProcessVariable) == "" {
		return
	}
	address, _ := relay(t, New(dialAny, never))
	fmt.Println("relay=" + address)
	time.Sleep(testTimeout)
}

// TestKilledRelayResets guards against an answer that ends with its connection and looks complete when its relay is killed.
func TestKilledRelayResets(t *testing.T) {
	target, conns := upstream(t)
	process := exec.Command(os.Args[0], "-test.run=^TestRelayProcess$")
	process.Env = append(os.Environ(), relayProcessVariable+"=1")
	output, err := process.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	line := make([]byte, 200)
	n, err := output.Read(line)
	address, ok := strings.CutPrefix(strings.TrimSpace(string(line[:n])), "relay=")
	if err != nil || !ok {
		t.Fatalf("output %q, %v", line[:n], err)
	}
	node, up := connect(t, address, target, conns)
	if _, err := io.WriteString(up, "part"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(node, make([]byte, len("part"))); err != nil {
		t.Fatal(err)
	}
	if err := process.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = process.Wait()
	if b, err := io.ReadAll(node); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the node read %q and %v, want a reset", b, err)
	}
}

func TestRelayRefuses(t *testing.T) {
	target, _ := upstream(t)
	gone := listen(t)
	_ = gone.Close()
	full := New(dialAny, never)
	full.limit = 0
	dialled := false
	refusing := New(func(context.Context, string) (net.Conn, error) {
		dialled = true
		return nil, errors.New("not to be dialled")
	}, func() bool { return true })
	foreign := New(func(context.Context, string) (net.Conn, error) { return nil, ErrForeign }, never)
	hanging := New(func(ctx context.Context, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }, never)
	for _, test := range []struct {
		name   string
		server *Server
		target string
		want   Reason
	}{
		{"it is full", full, target, Refused},
		{"it is cut off or stopping", refusing, target, Refused},
		{"the address is foreign", foreign, target, Refused},
		{"the upstream is gone", New(dialAny, never), gone.Addr().String(), UpstreamUnreachable},
		{"the upstream does not answer", hanging, target, UpstreamUnreachable},
		{"the target is no address", New(dialAny, never), "nowhere", UpstreamUnreachable},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, _ := relay(t, test.server)
			c, err := Connect(t.Context(), address, test.target)
			var e *Error
			if c != nil || !errors.As(err, &e) || e.Reason() != test.want {
				t.Errorf("error %v, want the reason %v", err, test.want)
			}
		})
	}
	if dialled {
		t.Error("a relay that refuses connects to the upstream")
	}
	var e *Error
	if _, err := Connect(t.Context(), gone.Addr().String(), target); !errors.As(err, &e) || e.Reason() != Unreachable {
		t.Errorf("error %v of a relay that is gone", err)
	}
}

// TestMalformedAnswerOpensNoTunnel guards against a relay's answer that counts as one although its status is none or its head is not the
// one of a tunnel.
func TestMalformedAnswerOpensNoTunnel(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 \r\n\r\n", "HTTP/1.1 099 Low\r\n\r\n", "HTTP/1.1 999 High\r\n\r\n", "HTTP/1.1 +50 OK\r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX : y\r\n\r\n", "HTTP/1.1 200 OK\n\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n", "ICY 200 OK and more\r\n\r\n",
	} {
		l := listen(t)
		go func() {
			if c, err := l.AcceptTCP(); err == nil {
				_, _ = io.WriteString(c, head+strings.Repeat(" ", len(successHead)))
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			}
		}()
		c, err := Connect(t.Context(), l.Addr().String(), "127.0.0.1:1")
		var e *Error
		if c != nil || !errors.As(err, &e) || e.Reason() != Unreachable {
			t.Errorf("%q: error %v, want that the relay gave no answer", head, err)
		}
	}
}

// TestFullRelayFreesTunnels checks that ended tunnels make room for new ones.
func TestFullRelayFreesTunnels(t *testing.T) {
	target, conns := upstream(t)
	s := New(dialAny, never)
	s.limit = 1
	address, _ := relay(t, s)
	for range 3 {
		node, up := connect(t, address, target, conns)
		if _, err := Connect(t.Context(), address, target); err == nil {
			t.Error("a full relay opens another tunnel")
		}
		_, _ = node.Close(), up.Close()
		for deadline := time.Now().Add(testTimeout); s.Open() > 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestSilentRelayIsLeft checks that a relay which accepts and does not answer costs no more than the context allows.
func TestSilentRelayIsLeft(t *testing.T) {
	l := listen(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var e *Error
	if _, err := Connect(ctx, l.Addr().String(), "127.0.0.1:1"); !errors.As(err, &e) || e.Reason() != Unreachable {
		t.Errorf("error %v, want that the relay is unreachable", err)
	}
	c, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection to the relay stays open")
	}
}

// TestSlowNodeSlowsUpstream guards against memory that grows with what a node has not read.
func TestSlowNodeSlowsUpstream(t *testing.T) {
	target, conns := upstream(t)
	address, _ := relay(t, New(dialAny, never))
	_, up := connect(t, address, target, conns)
	_ = up.SetWriteDeadline(time.Now().Add(time.Second))
	const far = 256 << 20 // bytes, far beyond the buffers of four sockets
	n, err := up.Write(make([]byte, far))
	if err == nil {
		t.Errorf("the upstream wrote %d bytes that nobody read", n)
	}
}

// TestNodeThatLeavesEndsTheConnect checks that a relay does not go on connecting for a node which has found another way.
func TestNodeThatLeavesEndsTheConnect(t *testing.T) {
	ended := make(chan error, 1)
	started := make(chan bool, 1)
	address, _ := relay(t, New(func(ctx context.Context, _ string) (net.Conn, error) {
		started <- true
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, ctx.Err()
	}, never))
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	if _, err := Connect(ctx, address, "127.0.0.1:1"); err == nil {
		t.Error("a connection without an upstream")
	}
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("the relay's connect ended with %v", err)
	}
}
