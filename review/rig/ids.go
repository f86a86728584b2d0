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

func init() { cases["increasing-ids"] = increasingIDs }

// streamConfig returns a configuration with a resumable stream that goes to an engine service.
func streamConfig(version int, service, key string) map[string]any {
	engineOf := func(name string) map[string]any {
		return map[string]any{"name": name, "health-path": "/health", "max-conns": 1138, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 192, "kv-cache-tokens": 100000, "kv-token-bytes": 918000, "link-mbps": 400000.0, "stride": 3,
			"models":  []map[string]any{{"name": "daka510000", "pace": 1.0, "load-s": 14.0, "warm-s": 1.0}},
			"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512,
			"report_lag_ms": 200.0, "loads-per-s": 0.0, "loads_at_once": 5,
			"delays": []map[string]any{{"from": "sapporo", "to": "asahikawa", "delay_ms": 0.75}, {"from": "sapporo", "to": "hakodate", "delay_ms": 0.75}},
			"usual":  map[string]any{"prompt": 774, "answer": 200}, "layers": 80, "layer-mb": 1750.0, "activation-bytes": 45900, "pipe-mbps": 26000.0,
			"kinds": []map[string]any{{"name": "a100", "size-mib": 72000.0, "pace": 2.4, "read-factor": 3.2}}}}
	}
	c := configOf(version, "wuno96b", key)
	c["routes"] = append(c["routes"].([]map[string]any), map[string]any{"name": "r-stream", "hostname": host, "prefix": "/lohu930/",
		"route-type": "streaming", "timeout-ms": 20000, "slo-ms": 500, "priority": 1, "service": service, "max-attempts": 2,
		"public": false, "sticky": true, "resumable": true, "gap-slo-ms": 200})
	c["services"] = append(c["services"].([]map[string]any), engineOf("huvo11a"), engineOf("huvo12b"))
	return c
}

// increasingIDs moves a streaming route for 2.5 s to a service whose replicas number events by the tokens so far: 3, 6, 9 and so on.
func increasingIDs(r *rig) int {
	const key = "n2ctnfzs989anu6wsjnb"
	r.config(streamConfig(3, "huvo11a", key))
	for i, zone := range []string{"sapporo", "asahikawa", "hakodate"} {
		for j, half := range [][2]int{{0, 40}, {40, 80}} {
			r.engine(fmt.Sprintf("i-a%d%d", i, j), "huvo11a", zone, half[0], half[1], 1)
			r.engine(fmt.Sprintf("i-b%d%d", i, j), "huvo12b", zone, half[0], half[1], 3)
		}
	}
	r.startNodes("sapporo", "asahikawa", "hakodate")
	time.Sleep(9 * time.Second) // the nodes give orders and read reports
	var mu sync.Mutex
	type ended struct {
		node    *node
		planned bool // it ended around planned work
	}
	cut, whole := map[ended]int{}, map[ended]int{}
	var planFrom, planTo time.Time
	isPlanned := func(at time.Time) bool {
		mu.Lock()
		defer mu.Unlock()
		return !planFrom.IsZero() && at.After(planFrom) && (planTo.IsZero() || at.Before(planTo))
	}
	var all sync.WaitGroup
	over := make(chan struct{})
	for j, n := range r.nodes {
		for k := range 3 {
			all.Add(1)
			go func() {
				defer all.Done()
				var c *keptConn
				for i := 0; ; i++ {
					select {
					case <-over:
						c.close()
						return
					default:
					}
					if c == nil {
						c = r.keep(n)
					}
					ok := c.stream(key, fmt.Sprintf("t%d-%d-%d", j, k, i))
					e := ended{n, isPlanned(time.Now())}
					mu.Lock()
					if ok {
						whole[e]++
					} else {
						cut[e]++
						c.close()
						c = nil
					}
					mu.Unlock()
				}
			}()
		}
	}
	time.Sleep(6 * time.Second)
	if r.trouble {
		at := r.config(streamConfig(7, "huvo12b", key))
		mu.Lock()
		planFrom = at
		mu.Unlock()
		time.Sleep(2500 * time.Millisecond)
		back := r.config(streamConfig(12, "huvo11a", key))
		mu.Lock()
		planTo = back.Add(configApply + time.Second)
		mu.Unlock()
	}
	time.Sleep(10 * time.Second)
	close(over)
	all.Wait()
	result := held
	for _, n := range r.nodes {
		beside, other := ended{n, true}, ended{n, false}
		share := func(e ended) float64 { return float64(cut[e]) / float64(max(1, cut[e]+whole[e])) }
		r.note("judged", "node", n.name, "cut-around-planned-work", cut[beside], "whole-then", whole[beside], "cut-at-other-times", cut[other],
			"whole-at-other-times", whole[other])
		fmt.Printf("%s: around the configurations %d of %d streams ended without a complete answer, at other times %d of %d\n",
			n.name, cut[beside], cut[beside]+whole[beside], cut[other], cut[other]+whole[other])
		if cut[beside] > 0 && share(beside) > 3*share(other) {
			result = broken
		}
	}
	return result
}

// keptConn is a connection that a client keeps for many requests.
type keptConn struct {
	net.Conn
	rig  *rig
	node *node
	read *bufio.Reader
}

func (r *rig) keep(n *node) *keptConn {
	c, err := net.Dial("tcp", n.front)
	if err != nil {
		r.cannot(err)
	}
	return &keptConn{c, r, n, bufio.NewReader(c)}
}

func (c *keptConn) close() {
	if c != nil {
		_ = c.Conn.Close()
	}
}

// stream sends a request for a stream and reads it, and reports whether the answer is complete.
func (c *keptConn) stream(key, attempt string) bool {
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	c.rig.note("send", "node", c.node.name, "attempt", attempt)
	_, _ = fmt.Fprintf(c, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nX-Rhubarbspread-Attempt-Id: %s\r\nX-Rhubarbspread-Model: daka510000\r\n"+
		"X-Rhubarbspread-Token-Count: 460,80\r\nX-Rhubarbspread-Prompt-Prefix: 5c1e07a2:40,%x:420\r\nX-Rhubarbspread-Deadline-Ms: 20000\r\n"+
		"X-Api-Key: %s\r\nContent-Length: 7\r\n\r\npiece 1", host, attempt, attempt, key)
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		c.rig.note("answer", "attempt", attempt, "error", err)
		return false
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	pieces := strings.Count(string(raw), "data: ")
	c.rig.note("answer", "attempt", attempt, "status", resp.StatusCode, "pieces", pieces, "error", err)
	return err == nil && (resp.StatusCode != http.StatusOK || pieces == events)
}
