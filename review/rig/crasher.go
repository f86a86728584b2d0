//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crashing-request"] = crashingRequest }

// poison is the body of the request that crashes each replica that begins to run it.
const poison = "plot 13"

// downtime is after which a crashed replica is back.
const downtime = 2500 * time.Millisecond

// crashes counts, over all replicas, the arrivals of the crashing request, by its attempts.
type crashes struct {
	mu       sync.Mutex
	arrivals []crashArrival
	third    time.Time // when it has crashed the third replica
}

type crashArrival struct {
	attempt string
	at      time.Time
	isRetry bool // the same attempt has reached a replica before
}

// add records an arrival, which is a crash as well.
func (c *crashes) add(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := crashArrival{attempt: attempt, at: time.Now()}
	for _, before := range c.arrivals {
		a.isRetry = a.isRetry || before.attempt == attempt
	}
	if c.arrivals = append(c.arrivals, a); len(c.arrivals) == 3 {
		c.third = a.at
	}
}

// mortal is a stand-in for a replica that such a request crashes: its connections are reset, and it is back under its ID after some seconds.
type mortal struct {
	id, zone, address string
	rig               *rig
	crashes           *crashes
	mu                sync.Mutex
	listener          net.Listener // nil while it is down
	conns             map[net.Conn]bool
	born              int64
}

func (r *rig) mortal(id, zone string, c *crashes) {
	x := &mortal{id: id, zone: zone, rig: r, crashes: c}
	if err := x.start(r.address()); err != nil {
		r.cannot(err)
	}
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			x.register()
		}
	}()
}

// register writes the replica's entry unless it is down.
func (x *mortal) register() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.listener != nil {
		x.rig.store.put("servers", x.id, map[string]any{"service": "wuno96b", "address": x.address, "zone": x.zone, "version": "v1", "slots": 6,
			"state": "ready", "cold-left-ms": 0, "seq": 1, "born": x.born})
	}
}

func (x *mortal) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.listener, x.conns, x.address, x.born = l, make(map[net.Conn]bool), l.Addr().String(), time.Now().UnixMilli()
	x.mu.Unlock()
	x.register()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			x.mu.Lock()
			x.conns[c] = true
			x.mu.Unlock()
			go x.serve(c)
		}
	}()
	return nil
}

// crash ends the replica and brings it back later.
func (x *mortal) crash(attempt string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.listener == nil {
		return
	}
	x.rig.note("crash", "replica", x.id, "attempt", attempt)
	_ = x.listener.Close()
	x.listener = nil
	for c := range x.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	time.AfterFunc(downtime, func() {
		if err := x.start(x.address); err != nil {
			x.rig.note("not-back", "replica", x.id, "cause", err)
			return
		}
		x.rig.note("back", "replica", x.id)
	})
}

// serve answers the requests of one connection.
func (x *mortal) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		attempt := req.Header.Get("X-Rhubarbspread-Attempt-Id")
		head := "X-Rhubarbspread-Replica-Id: " + x.id + "\r\nX-Rhubarbspread-Attempt-Id: " + attempt + "\r\n"
		if want := req.Header.Get("X-Rhubarbspread-Target-Instance"); want != "" && want != x.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sX-Rhubarbspread-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
			continue
		}
		x.rig.note("run", "replica", x.id, "attempt", attempt, "uri", req.RequestURI, "body", fmt.Sprintf("%q", body))
		if string(body) == poison {
			x.crashes.add(attempt)
			time.Sleep(5 * time.Millisecond)
			x.crash(attempt)
			return
		}
		time.Sleep(15 * time.Millisecond)
		text := x.id + " ran " + attempt
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Rhubarbspread-Server-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", head, attempt, len(text), text)
	}
}

// crashingRequest sends a request that crashes replicas again and again, with the same path, caller and body, and each time with another
// query. QUERY=0 sends it without a query, to show what the nodes do then.
func crashingRequest(r *rig) int {
	const key = "n2ctnfzs989anu6wsjnb"
	r.config(configOf(3, "wuno96b", key))
	var c crashes
	for i, zone := range []string{"sapporo", "asahikawa", "hakodate", "sapporo", "asahikawa", "hakodate"} {
		r.mortal(fmt.Sprintf("i-%d", i), zone, &c)
	}
	r.startNodes("sapporo", "asahikawa", "hakodate")
	time.Sleep(11 * time.Second) // a node starts with no retries, and earns them
	var mu sync.Mutex
	served, asked := 0, 0
	var all sync.WaitGroup
	for i := range 300 { // for 30 s
		all.Add(1)
		go func() {
			defer all.Done()
			a := r.send(r.nodes[i%3], "PUT", "/cufi504/2f", key, fmt.Sprintf("n%d", i), 2500*time.Millisecond, []byte(fmt.Sprint("plot ", i+100)))
			mu.Lock()
			defer mu.Unlock()
			asked++
			if a.status == http.StatusOK && strings.HasPrefix(a.body, "i-") {
				served++
			}
		}()
		if r.trouble && i%20 == 10 {
			all.Add(1)
			go func() {
				defer all.Done()
				path := "/cufi504/2f"
				if !noQuery {
					path += fmt.Sprintf("?t=%d", i)
				}
				r.send(r.nodes[i/20%3], "PUT", path, key, fmt.Sprintf("p%d", i), 2500*time.Millisecond, []byte(poison))
			}()
		}
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	retries, arrivals := 0, 0
	for _, a := range c.arrivals {
		if !c.third.IsZero() && a.at.After(c.third.Add(stability)) {
			arrivals++
			if a.isRetry {
				retries++
			}
		}
	}
	r.note("judged", "crashes", len(c.arrivals), "arrivals-after-third", arrivals, "retries-of-nodes-among-them", retries, "others-served", served, "others-asked", asked)
	fmt.Printf("the request crashed %d replicas; later than stability-ms after the third it reached %d, %d of them in retries by nodes; %d of %d other requests were served\n",
		len(c.arrivals), arrivals, retries, served, asked)
	if retries > 3 {
		return broken
	}
	return held
}
