//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// machine is one entry machine with the project's program on it.
type machine struct {
	name, zone, ip       string
	front, ready         string
	settings, logFile    string
	cmd                  *exec.Cmd
	exited               chan struct{}
	startedAt, stoppedAt time.Time
}

// bounds are those of the small sites.
const bounds = `seed-lag-s = 3
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
budget-extra = 202
recovery-s = 12
pass-ms = 120
retry-after-s = 0
stall_ms = 3000
fencing-enforced = false
`

// freePort returns a port that is free on an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	fatal(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// newMachine writes the settings of a machine into a folder. Its seeds are the control addresses of the given machines.
func newMachine(dir, name, zone, ip, storeAddress string, q ports, zones, seeds []string) *machine {
	m := &machine{name: name, zone: zone, ip: ip, front: ip + ":" + strconv.Itoa(q.front), ready: ip + ":" + strconv.Itoa(q.ready),
		settings: filepath.Join(dir, name+".toml"), logFile: filepath.Join(dir, name+".log")}
	var b strings.Builder
	fmt.Fprintf(&b, "node-name = %q\nrole = \"node\"\nmachine-class = \"front\"\nserves = [\"front\",\"control\"]\nip = %q\nzone = %q\n"+
		"region = \"r\"\nport-range = [%d,%d]\nseeds = [%s]\nbootstrap = true\nfault-counted = false\ndiscovery = \"platform\"\n"+
		"entry = \"vip\"\nheartbeat-ms = 1200\n", name, ip, zone, q.low, q.low+15, quoted(seeds))
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"layers\"]\n")
	b.WriteString("[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = \"r\"\n", z)
	}
	fmt.Fprintf(&b, "[listen]\nfront = %q\nready = %q\ncontrol = \"%s:%d\"\n", m.front, m.ready, ip, q.control)
	b.WriteString("[limits]\ncpu-share = 0.4\ncores = 1\nmemory-mb = 284\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n")
	b.WriteString("[fault-tolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\n" + bounds)
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"table\"\nwrites-per-s = 400\nreads-per-s = 2000\ntx-ms = 5.0\npart-writes-s = 200\n"+
		"row-bytes = 65536\nacross = false\nhistory-s = 20\nblob-bytes = 8388608\nblob-ms = 25.0\nblob-mib-s = 80.0\n", storeAddress)
	fatal(os.WriteFile(m.settings, []byte(b.String()), 0o644))
	return m
}

func quoted(list []string) string {
	var out []string
	for _, s := range list {
		out = append(out, strconv.Quote(s))
	}
	return strings.Join(out, ",")
}

// start starts the program with the command of the deploy file.
func (m *machine) start() {
	out, err := os.OpenFile(m.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	fatal(err)
	defer out.Close()
	m.cmd = exec.Command("target/rhubarbspread", "node", "-metrics-port", "9464")
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"RHUBARBSPREAD_SETTINGS=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	fatal(m.cmd.Start())
	m.startedAt = time.Now()
	exited := make(chan struct{})
	m.exited = exited
	cmd := m.cmd
	go func() { _ = cmd.Wait(); close(exited) }()
}

// kill kills the program and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.exited
	m.stoppedAt = time.Now()
}

// lastLines returns the first line of a panic in the log, or its last line.
func (m *machine) lastLines() string {
	raw, _ := os.ReadFile(m.logFile)
	text := string(raw)
	if at := strings.LastIndex(text, "panic: "); at >= 0 {
		text, _, _ = strings.Cut(text[at:], "\n")
		return text
	}
	return text[strings.LastIndex(strings.TrimSpace(text), "\n")+1:]
}

// isReady asks the readiness check once.
func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready, or ends the script with 2.
func awaitReady(d time.Duration, list ...*machine) {
	until := time.Now().Add(d)
	for _, m := range list {
		for !m.isReady() {
			if time.Now().After(until) {
				raw, _ := os.ReadFile(m.logFile)
				fatal(fmt.Errorf("%s is not ready after %v; its log ends: %s", m.name, d, raw[max(0, len(raw)-1000):]))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
