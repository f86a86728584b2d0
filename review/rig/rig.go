//go:build review

// Command rig shows the cases of a review with scripts: it starts nodes as the deploy file does, on loopback addresses, and plays
// the platform, the replicas and the clients.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Results of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// rig is one run of a case.
type rig struct {
	store   *store
	began   time.Time
	bornMS  int64
	trouble bool
	prefix  string // first three numbers of the loopback addresses of this run
	next    int
	dir     string
	storeAt string
	storeL  *endingListener
	mu      sync.Mutex
	record  *os.File
	nodes   []*node
}

// node is one process of the system.
type node struct {
	name, ip, zone, settings string
	front, ready, control    string
	rig                      *rig
	cmd                      *exec.Cmd
	done                     chan struct{}
}

func main() { os.Exit(run()) }

func run() int {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	c, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		return cannotRun
	}
	f, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "rig-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer os.RemoveAll(dir)
	r := &rig{store: newStore(), began: time.Now(), bornMS: time.Now().UnixMilli(), trouble: os.Getenv("TROUBLE") != "0",
		prefix: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)), next: 9, dir: dir, record: f}
	result := cannotRun
	func() {
		defer r.killAll()
		defer func() {
			if cause := recover(); cause != nil {
				r.note("cannot-run", "cause", cause)
				fmt.Fprintln(os.Stderr, "the case could not run:", cause)
			}
		}()
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		go func() { <-signals; r.killAll(); os.RemoveAll(dir); os.Exit(cannotRun) }()
		l, err := net.Listen("tcp", r.address())
		if err != nil {
			r.cannot(err)
		}
		r.storeAt = l.Addr().String()
		r.storeL = &endingListener{Listener: l}
		go r.store.serve(r.storeL)
		result = c(r)
	}()
	r.note("result", "exit", result)
	fmt.Println(map[int]string{held: "held", broken: "broken", cannotRun: "could not run"}[result])
	return result
}

// cannot ends a case that can't run.
func (r *rig) cannot(cause any) { panic(cause) }

// note adds a line to the record.
func (r *rig) note(event string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(r.began).Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	b.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.record.WriteString(b.String())
}

// ip returns a loopback address that this run has not used, and address one with a free port.
func (r *rig) ip() string {
	r.next++
	return fmt.Sprintf("%s.%d", r.prefix, r.next)
}

func (r *rig) address() string { return r.ip() + ":0" }

// config puts a configuration and returns when the store acknowledged it.
func (r *rig) config(c map[string]any) time.Time {
	r.store.put("op", "config", c)
	at := time.Now()
	r.note("configuration", "version", c["version"])
	return at
}

const settings = `node-name = "%[1]s"
role = "node"
machine-class = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "%[3]s"
region = "hokkaido"
port-range = [7340,7355]
seeds = [%[4]s]
bootstrap = true
fault-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
sapporo = "hokkaido"
asahikawa = "hokkaido"
hakodate = "hokkaido"
[listen]
front = "%[2]s:8227"
ready = "%[2]s:8220"
control = "%[2]s:8229"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
stability-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
revoke-strict = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra = 200
recovery-s = 12
pass-ms = 120
retry-after-s = 0
stall_ms = 3000
fencing-enforced = false
[platform]
address = "%[5]s"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 5.0
part-writes-s = 200
row-bytes = 65536
across = false
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mib-s = 80.0
`

// startNodes starts one node in each zone and waits until all are ready.
func (r *rig) startNodes(zones ...string) {
	var seeds []string
	for i, zone := range zones {
		ip := r.freeIP()
		n := &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: ip, zone: zone, front: ip + ":8227", ready: ip + ":8220", control: ip + ":8229", rig: r}
		n.settings = filepath.Join(r.dir, n.name+".toml")
		r.nodes = append(r.nodes, n)
		seeds = append(seeds, fmt.Sprintf("%q", n.control))
	}
	for _, n := range r.nodes {
		text := fmt.Sprintf(settings, n.name, n.ip, n.zone, strings.Join(seeds[:min(3, len(seeds))], ","), r.storeAt)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			r.cannot(err)
		}
		n.start()
	}
	for _, n := range r.nodes {
		n.awaitReady()
	}
}

// freeIP returns a loopback address on which all ports of a node are free.
func (r *rig) freeIP() string {
	ports := []int{8220, 8227, 8229, 9464}
	for port := 7340; port <= 7355; port++ {
		ports = append(ports, port)
	}
	for range 50 {
		ip, isFree := r.ip(), true
		for _, port := range ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if isFree = isFree && err == nil; err == nil {
				_ = l.Close()
			}
		}
		if isFree {
			return ip
		}
	}
	r.cannot("no loopback address has free ports")
	return ""
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.rig.cannot(err)
	}
	defer log.Close()
	n.cmd = exec.Command("target/rhubarbspread", "node", "-metrics-port", "9464")
	n.cmd.Env = append(os.Environ(), "RHUBARBSPREAD_SETTINGS="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		n.rig.cannot(err)
	}
	n.rig.note("start", "node", n.name, "pid", n.cmd.Process.Pid)
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		n.rig.note("end", "node", n.name, "cause", err)
		close(done)
	}(n.cmd, n.done)
}

// isUp reports whether the process still runs.
func (n *node) isUp() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady() {
	for range 300 {
		resp, err := http.Get("http://" + n.ready + "/api/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.rig.note("ready", "node", n.name)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	n.rig.cannot(n.name + " does not become ready")
}

// killAll ends all processes of this run.
func (r *rig) killAll() {
	for _, n := range r.nodes {
		if n.cmd != nil && n.isUp() {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	if os.Getenv("RIG_LOGS") != "" {
		for _, n := range r.nodes {
			raw, _ := os.ReadFile(filepath.Join(r.dir, n.name+".log"))
			_ = os.WriteFile(filepath.Join(os.Getenv("RIG_LOGS"), n.name+".log"), raw, 0o600)
		}
	}
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends one attempt on a connection of its own.
func (r *rig) send(n *node, method, path, key, attempt string, deadline time.Duration, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		r.cannot(err)
	}
	req.Host = host
	req.Header.Set("X-Rhubarbspread-Attempt-Id", attempt)
	req.Header.Set("X-Rhubarbspread-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("X-Api-Key", key)
	r.note("send", "node", n.name, "attempt", attempt, "path", path)
	var a answer
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
	} else {
		var raw []byte
		raw, a.err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.header, a.body = resp.StatusCode, resp.Header, string(raw)
	}
	r.note("answer", "attempt", attempt, "status", a.status, "body", fmt.Sprintf("%q", a.body), "error", a.err)
	return a
}

const host = "ficu95.example"

// noQuery leaves the query of the crashing request out.
var noQuery = os.Getenv("QUERY") == "0"

// endingListener is a listener that can end together with its connections.
type endingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept returns the next connection.
func (l *endingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

// endStoreListener ends the store's first address and all connections to it.
func (r *rig) endStoreListener() {
	_ = r.storeL.Close()
	r.storeL.mu.Lock()
	defer r.storeL.mu.Unlock()
	for _, c := range r.storeL.conns {
		_ = c.Close()
	}
}
