//go:build review

// Command standin plays the cases of the review: it starts the project's program on a few machines on loopback addresses, and
// stands in for the platform's store, the replicas and the clients.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitUnknown = 2
)

// record is record.txt: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	out     *bufio.Writer
	file    *os.File
	started time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	fatal(err)
	return &record{out: bufio.NewWriter(f), file: f, started: time.Now()}
}

// add adds a line with the seconds since the start.
func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-8s %s\n", time.Since(r.started).Seconds(), kind, fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// stage is what all cases share.
type stage struct {
	dir      string // temporary
	zones    []string
	seeds    []string
	ports    ports
	log      *record
	store    *platformStore
	machines []*machine
	replicas []*replica
	trouble  bool
}

// network is the first part of the loopback addresses of this run.
var network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))

var current *stage

// fatal ends the script with 2 if there is an error.
func fatal(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "could not run:", err)
	if current != nil {
		current.end()
	}
	os.Exit(exitUnknown)
}

// end ends all processes that were started and closes the record.
func (s *stage) end() {
	for _, m := range s.machines {
		if m.cmd != nil && m.exited != nil {
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	for _, p := range s.replicas {
		p.stop()
	}
	s.log.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// ports are the same on all machines.
type ports struct{ front, ready, control, low int }

// newStage sets up the store and n machines, by turns in three zones.
func newStage(folder string, n int) *stage {
	dir, err := os.MkdirTemp("", "review-")
	fatal(err)
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept:", dir)
	}
	s := &stage{dir: dir, log: newRecord(filepath.Join(folder, "record.txt")), store: newStore(), trouble: os.Getenv("TROUBLE") != "0",
		zones: []string{"rack-a", "rack-b", "rack-c"}}
	current = s
	first := network + "10"
	s.ports = ports{freePort(first), freePort(first), freePort(first), 20000 + rand.IntN(10000)}
	for i := range 3 {
		s.seeds = append(s.seeds, fmt.Sprintf("%s%d:%d", network, 10+i, s.ports.control))
	}
	for i := range n {
		zone := s.zones[i%len(s.zones)]
		s.addMachine(fmt.Sprintf("front-%s-%d", zone, i/len(s.zones)+1), zone)
	}
	return s
}

// addMachine adds a machine at an address of its own. Nothing runs on it yet.
func (s *stage) addMachine(name, zone string) *machine {
	ip := fmt.Sprintf("%s%d", network, 10+len(s.machines))
	d := s.store.open(name, network+"200")
	m := newMachine(s.dir, name, zone, ip, d.address, s.ports, s.zones, s.seeds)
	s.machines = append(s.machines, m)
	return m
}

// addReplica starts a replica and registers it.
func (s *stage) addReplica(id, service, zone string) *replica {
	p := startReplica(id, service, zone, network+"100", s.log)
	s.replicas = append(s.replicas, p)
	v := s.store.put("servers", id, p.entry(time.Now().UnixMilli()))
	s.log.add("replica", "%s of %s at %s registers, version %d", id, service, p.address, v)
	return p
}

// runsOf returns the runs of an attempt.
func (s *stage) runsOf(attempt string) []run {
	var out []run
	for _, p := range s.replicas {
		for _, x := range p.all() {
			if x.attempt == attempt {
				out = append(out, x)
			}
		}
	}
	return out
}

var attempts atomic.Int64

// newAttempt returns an ID that no other attempt has.
func newAttempt() string {
	return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1))
}

// result is what a client got for one attempt.
type result struct {
	attempt string
	machine *machine
	sentAt  time.Time
	status  int // 0 for none
	sealed  bool
	body    string
	err     error
}

// call sends one attempt on a new connection.
func (s *stage) call(m *machine, method, host, path, key string, deadline time.Duration) result {
	res := result{attempt: newAttempt(), machine: m, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(`{"loan":1}`)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, body)
	fatal(err)
	req.Host = host
	req.Header.Set("X-Rhubarbspread-Attempt-Id", res.attempt)
	req.Header.Set("X-Rhubarbspread-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("X-Api-Key", key)
	}
	s.log.add("sent", "%s to %s: %s %s%s, key %q", res.attempt, m.name, method, host, path, key)
	resp, err := transport.RoundTrip(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			res.status, res.body, res.sealed = resp.StatusCode, string(raw), resp.Header.Get("X-Rhubarbspread-Server-Seal") != ""
		}
	}
	res.err = err
	s.log.add("answer", "%s: %d, seal %v, error %v", res.attempt, res.status, res.sealed, err)
	return res
}

// cases are the scripts by their numbers.
var cases = map[string]func(s *stage) (broken []string){}
var machinesOf = map[string]int{}

func main() {
	if len(os.Args) != 3 {
		fatal(errors.New("usage: standin CASE FOLDER"))
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fatal(fmt.Errorf("no case %q", os.Args[1]))
	}
	s := newStage(os.Args[2], machinesOf[os.Args[1]])
	time.AfterFunc(110*time.Second, func() { fatal(errors.New("the script takes too long")) })
	broken := play(s)
	for _, b := range broken {
		s.log.add("broken", "%s", b)
	}
	code := exitHeld
	if len(broken) > 0 {
		code = exitBroken
		fmt.Printf("broken, %d times; the first: %s\n", len(broken), broken[0])
	} else {
		fmt.Println("held")
	}
	s.end()
	os.Exit(code)
}
