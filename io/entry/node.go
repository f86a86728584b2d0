package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/carry"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/event"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/lease"
	"rhubarbspread/core/place"
	"rhubarbspread/core/retry"
	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/hop"
	"rhubarbspread/io/mesh"
	"rhubarbspread/io/stats"

	"github.com/go-logr/logr"
)

// Constants of a node's life.
const (
	balancerTime   = 2700 * time.Millisecond // two misses of a question a second, and the way there
	stopMargin     = 400 * time.Millisecond  // before the grace ends
	headerTime     = 10 * time.Second        // in which a caller's headers must be in
	memoryShare    = 0.6                     // of the VM's memory at which the collector works harder
	leaseTerm      = 4 * time.Second
	planPause      = 300 * time.Millisecond
	firstPlan      = 6500 * time.Millisecond // longest wait after the start for all upstreams to have registered
	sweepPause     = time.Second
	quarantineTime = 10 * time.Minute // as for the router's own interface
	leaseName      = "placement"
)

// Node is one running node.
type Node struct {
	config   Config                 // as at the start
	settings atomic.Pointer[Config] // as they are now
	platform Platform
	log      logr.Logger
	view     atomic.Pointer[View]
	board    *board.Board
	budget   *retry.Window
	pool     *hop.Pool
	carrier  *carry.Carrier
	lease    *lease.Lease
	planner  *place.Planner
	engines  Engines
	mesh     *mesh.Mesh
	started  time.Time
	stopping atomic.Bool
	active   atomic.Int64
	conns    atomic.Int64
	idle     sync.Map // since when a caller's net.Conn is idle, a time.Time
	stats    *stats.Set

	storeMu   sync.Mutex
	storeLost map[store.Topic]bool
	storeAt   map[store.Topic]time.Time
	outage    *fleet.Outage
}

// New returns a node that is not running yet.
func New(c Config, p Platform, log logr.Logger) *Node {
	n := &Node{
		config: c, platform: p, log: log.WithValues("node", c.Node), started: time.Now(),
		board:     board.New(board.WithDataCentre(c.DataCentre)),
		stats:     stats.New(),
		budget:    retry.NewWindow(c.RetryShare, c.RetryExtra, c.RetryWindow),
		storeLost: make(map[store.Topic]bool), storeAt: make(map[store.Topic]time.Time),
		outage: fleet.NewOutage(c.Heartbeat, lapseGrace),
	}
	n.settings.Store(&c)
	n.pool = hop.NewPool(func() { n.stats.Count("connections-to-upstreams") })
	n.engines = p.Engines(n.pool)
	clock := event.NewClock(time.Now)
	crashes := crash.NewRegistry(time.Now, func() uint64 { return uint64(clock.Next()) }, quarantineTime)
	n.mesh = mesh.New(mesh.Config{Node: c.Node, DataCentre: c.DataCentre, Datagrams: c.Datagrams, Questions: c.Control}, n.board,
		n.known, n.others, &marks{crashes, clock}, n.budget, n.log)
	n.carrier = carry.New(carry.Dependencies{
		Transport: &transport{pool: n.pool, wire: p.Wire, node: n}, Engines: n.engines, Board: n.board, Fleet: n,
		Budget: n.budget, Crashes: crashes, Broadcast: n.mesh.Spread, Meter: n.stats, Log: n.log,
	})
	n.lease = lease.New(p.Table, leaseName, c.Node, leaseTerm)
	n.planner = place.NewPlanner(n.engines, n.lease.Valid, n.log)
	n.stats.Gauge("requests-active", func() any { return n.active.Load() })
	n.stats.Gauge("connections-from-callers", func() any { return n.conns.Load() })
	n.lease.SetHolderActive(n.mesh.IsPlanned)
	return n
}

// marks passes other nodes' marks on.
type marks struct {
	crashes *crash.Registry
	clock   *event.Clock
}

// Learn takes over a mark from another node.
func (m *marks) Learn(mark crash.Mark) {
	m.clock.Observe(event.Stamp(mark.Stamp))
	m.crashes.ApplyMark(mark)
}

// known returns what this node can tell another.
func (n *Node) known() mesh.Known {
	v := n.view.Load()
	if v == nil {
		return mesh.Known{}
	}
	_, plans := n.lease.Valid()
	k := mesh.Known{List: v.List.Version(), Raw: v.Raw, Items: v.Items, Plans: plans}
	if v.Rules != nil {
		k.Rules = v.Rules.Version()
	}
	return k
}

// others returns the other nodes.
func (n *Node) others() map[string]mesh.Node {
	if v := n.view.Load(); v != nil {
		return v.Nodes
	}
	return nil
}

// Upstreams returns a service's upstreams.
func (n *Node) Upstreams(service string) []*fleet.Upstream {
	v := n.view.Load()
	if v == nil || v.List == nil {
		return nil
	}
	return v.List.Of(service)
}

// DataCentre returns the node's own data centre.
func (n *Node) DataCentre() string { return n.config.DataCentre }

// Versions returns those of the configuration and of the list of upstreams.
func (n *Node) Versions() (rulesVersion, list uint64) {
	k := n.known()
	return k.Rules, k.List
}

// connShare returns how many connections this node may have to one upstream of a service.
func (n *Node) connShare(s *rules.Service) int {
	v := n.view.Load()
	if s.MaxConns == 0 || v == nil {
		return 0
	}
	return max(1, s.MaxConns/(len(v.Nodes)+1))
}

// isCurrent reports whether the configuration is known to be the newest, but for the bound in which it must
// come into force.
func (n *Node) isCurrent() bool {
	n.storeMu.Lock()
	defer n.storeMu.Unlock()
	return !n.storeLost[store.Configuration] && time.Since(n.storeAt[store.Configuration]) < feedWait+2*time.Second
}

// isReady reports whether the node can serve: it has a configuration and upstreams.
func (n *Node) isReady() bool {
	v := n.view.Load()
	return !n.stopping.Load() && v != nil && v.Rules != nil && v.List != nil && v.List.Len() > 0
}

// Run serves until the context ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(float64(n.config.MemoryMB) * memoryShare * (1 << 20)))
	callers, err := net.Listen("tcp", n.config.Callers)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", n.config.Ready)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	life, endLife := context.WithCancel(context.WithoutCancel(ctx))
	defer endLife()
	n.log.Info("start", "data-centre", n.config.DataCentre, "callers", n.config.Callers, "memory-mb", n.config.MemoryMB)
	ended := n.duties(life)
	door := &http.Server{
		Handler: &front{n}, ReadHeaderTimeout: headerTime, ConnState: n.count, ErrorLog: quietLog(),
	}
	served := make(chan error, 3)
	go func() { served <- door.Serve(callers) }()
	endFigures := n.serveFigures(served)
	defer endFigures()
	readiness := &http.Server{Handler: n.readyHandler(), ReadHeaderTimeout: headerTime}
	go func() { served <- readiness.Serve(ready) }()
	select {
	case <-ctx.Done():
	case err = <-served:
		n.log.Error(err, "listener-failed")
	}
	n.stop(door)
	_ = readiness.Close()
	endLife()
	for range ended.count {
		<-ended.done
	}
	n.log.Info("stopped")
	return err
}

// serveFigures serves the page of figures and returns what ends it. Without its port the node serves callers all the
// same.
func (n *Node) serveFigures(served chan<- error) func() {
	if n.config.Metrics == "" {
		return func() {}
	}
	l, err := net.Listen("tcp", n.config.Metrics)
	if err != nil {
		n.log.Error(err, "figures-unavailable", "address", n.config.Metrics)
		return func() {}
	}
	page := &http.Server{Handler: n.stats.Text(), ReadHeaderTimeout: headerTime}
	go func() { served <- page.Serve(l) }()
	return func() { _ = page.Close() }
}

// stop refuses new connections once the balancer knows, lets what is under way end, and closes.
func (n *Node) stop(door *http.Server) {
	began := time.Now()
	grace := n.settings.Load().Grace
	n.stopping.Store(true)
	n.log.Info("stop", "active", n.active.Load(), "connections", n.conns.Load())
	// Until then the balancer sends new connections, and a request that is taken has time to end.
	time.Sleep(min(balancerTime, grace/2))
	last, cancelLast := context.WithDeadline(context.Background(), began.Add(grace-stopMargin))
	defer cancelLast()
	if err := door.Shutdown(last); err != nil {
		n.log.Info("stop-cut", "active", n.active.Load(), "cause", err.Error())
		_ = door.Close()
	}
}

// count keeps the number of callers' connections, and since when each is idle.
func (n *Node) count(c net.Conn, s http.ConnState) {
	n.idle.Delete(c)
	switch s {
	case http.StateNew:
		n.conns.Add(1)
	case http.StateIdle:
		n.idle.Store(c, time.Now())
	case http.StateClosed, http.StateHijacked:
		n.conns.Add(-1)
	}
}

// closeIdle closes callers' connections that have been idle for longer than the configuration allows.
func (n *Node) closeIdle(limit time.Duration) {
	if limit <= 0 {
		return
	}
	n.idle.Range(func(key, since any) bool {
		if c, ok := key.(net.Conn); ok && time.Since(since.(time.Time)) > limit {
			n.idle.Delete(c)
			_ = c.Close()
		}
		return true
	})
}

func (n *Node) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != n.platform.ReadyPath {
			http.NotFound(w, r)
			return
		}
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// duties are the goroutines of a node's life; each reports its end.
type duties struct {
	log   logr.Logger
	count int
	done  chan error
}

func (d *duties) start(name string, f func() error) {
	d.count++
	go func() {
		err := f()
		if err != nil {
			d.log.Error(err, "duty-failed", "duty", name)
		}
		d.done <- err
	}()
}

const mostDuties = 16

func (n *Node) duties(ctx context.Context) *duties {
	d := &duties{log: n.log, done: make(chan error, mostDuties)}
	changes := make(chan change, mostDuties)
	c := newControl(n)
	d.start("control", func() error { return c.run(ctx, changes) })
	for _, t := range []store.Topic{store.Configuration, store.Upstreams, store.Nodes} {
		d.start("follow-"+t.String(), func() error { return n.follow(ctx, t, changes) })
	}
	d.start("announce", func() error { return n.announce(ctx) })
	d.start("mesh", func() error { return n.mesh.Run(ctx) })
	d.start("ask-around", func() error { return n.askAround(ctx, changes) })
	d.start("plan", func() error { return n.plan(ctx) })
	d.start("sweep", func() error { return n.sweep(ctx) })
	d.start("reload", func() error { return n.reload(ctx) })
	d.start("ask-upstreams", func() error { return n.askUpstreams(ctx) })
	leaseEnd := n.lease.Run(ctx)
	d.start("lease", func() error { return <-leaseEnd })
	return d
}

// announce writes this node's row until the store has it.
func (n *Node) announce(ctx context.Context) error {
	raw, err := json.Marshal(nodeRow{Address: n.config.Datagrams, DataCentre: n.config.DataCentre})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err := n.platform.Feed.Announce(ctx, n.config.Node, raw); err == nil {
			return nil
		}
		sleep(ctx, brokenPause)
	}
	return nil
}

// plan performs the placement while this node holds the lease.
func (n *Node) plan(ctx context.Context) error {
	n.awaitFleet(ctx)
	for ctx.Err() == nil {
		if v := n.view.Load(); v != nil && v.Rules != nil {
			for _, s := range v.Rules.Engines() {
				n.planner.Step(ctx, s.Engine, v.List.Of(s.Name), n.board.IsSuspected)
			}
		}
		sleep(ctx, planPause)
	}
	return nil
}

// awaitFleet waits until no upstream has registered for more than a heartbeat: a plan for a part of the fleet
// gives its upstreams too many layers.
func (n *Node) awaitFleet(ctx context.Context) {
	known, since := 0, time.Now()
	for ctx.Err() == nil && time.Since(n.started) < firstPlan {
		sleep(ctx, planPause)
		if v := n.view.Load(); v != nil && v.List.Len() != known {
			known, since = v.List.Len(), time.Now()
		}
		if known > 0 && time.Since(since) > n.config.Heartbeat+planPause {
			return
		}
	}
}

// sweep closes connections that are not needed.
func (n *Node) sweep(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, sweepPause)
		v := n.view.Load()
		if v != nil && v.Rules != nil {
			n.closeIdle(v.Rules.Limits().IdleTimeout)
		}
		n.pool.Sweep(func(t hop.Target) bool {
			if v == nil {
				return true
			}
			u := v.List.Get(t.ID)
			return u != nil && u.Address == t.Address
		})
	}
	return nil
}
