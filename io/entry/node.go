package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/demand"
	"rhubarbspread/core/event"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/lease"
	"rhubarbspread/core/place"
	"rhubarbspread/core/proxy"
	"rhubarbspread/core/quota"
	"rhubarbspread/core/reach"
	"rhubarbspread/core/retry"
	"rhubarbspread/core/rules"
	"rhubarbspread/core/store"
	"rhubarbspread/io/hop"
	"rhubarbspread/io/mesh"
	"rhubarbspread/io/stats"
	"rhubarbspread/io/tunnel"

	"github.com/go-logr/logr"
)

// Times and limits of a node.
const (
	balancerDelay  = 2700 * time.Millisecond // until the load balancer notices the stop: two failed checks, one a second
	stopMargin     = 400 * time.Millisecond  // before the grace period ends
	headerTimeout  = 10 * time.Second        // to receive the headers of a request
	memoryShare    = 0.6                     // share of the VM's memory that is the soft limit of the Go runtime
	leaseTerm      = 4 * time.Second
	planInterval   = 300 * time.Millisecond
	maxFleetWait   = 6500 * time.Millisecond // longest wait after the start for all upstreams to register
	sweepInterval  = time.Second
	quarantineTime = 10 * time.Minute // of a request that crashes upstreams; the same as in package daemon
	leaseName      = "placement"
	// markSettleTime is three periods of gossip, which a mark takes from node to node through two relays.
	markSettleTime = 450 * time.Millisecond
)

// Node is the daemon of one entry VM.
type Node struct {
	config         Config                 // as at the start
	settings       atomic.Pointer[Config] // current ones
	platform       Platform
	log            logr.Logger
	view           atomic.Pointer[View]
	board          *board.Board
	budget         *retry.Window
	admissions     *admissions
	dial           hop.DialFunc // how this node itself connects to upstreams
	reach          *reacher
	cutAt          time.Time // begin of the latest cut from the upstreams; used by the goroutine of reach
	tunnels        *tunnel.Server
	pool           *hop.Pool
	executor       *proxy.Executor
	lease          *lease.Lease
	planner        *place.Planner
	engines        Engines
	crashes        *crashMarks
	keeper         *crash.Keeper // used by the goroutine that plans
	mesh           *mesh.Mesh
	started        time.Time
	stopping       atomic.Bool
	cutsAt         atomic.Pointer[time.Time] // when a stop cuts off the requests that still run; nil until it drains
	activeRequests atomic.Int64
	callerConns    atomic.Int64
	waitingConns   sync.Map     // callers' net.Conns without a request, each with its waiting
	keptConns      atomic.Int64 // connections that were to be closed and on which a request had arrived
	callerBudget   quota.Budget // of the bytes of callers' requests
	bodyBytes      atomic.Int64 // largest body by the configuration in force
	lingering      atomic.Int64 // refused connections that are still read
	explainKey     string       // secret of those who may ask for explanations, or "" for none
	explaining     atomic.Bool  // a query is being answered
	cutting        atomic.Bool  // a stop cuts off the callers that are left
	stats          *stats.Set
	announced      atomic.Bool // this node's row has been written
	// lacksNewestRules is set while there is a newer configuration than that in force, which can't be decoded.
	lacksNewestRules atomic.Bool
	rowLost          chan struct{} // receives a value when the store no longer has that row

	storeMu       sync.Mutex
	storeFailing  map[store.Topic]bool
	storeReadAt   map[store.Topic]time.Time // of the latest answer
	noticed       noticedVersion            // newest configuration of which another node told
	outage        *fleet.Outage
	polls         polls
	words         map[store.Topic]mesh.Word // of the store to this node, and to nodes that this one fetched from
	recent        store.Recent              // changes of the list
	plannerSeenAt atomic.Int64              // when another node was last known to hold the lease, in ns since the start
}

// Option configures a Node.
type Option func(*Node)

// WithDial sets how the node itself connects to upstreams; the default is hop.DialDirect.
func WithDial(dial hop.DialFunc) Option { return func(n *Node) { n.dial = dial } }

// WithAdmission sets for which services admission control is in force; the default is admit.Auto.
func WithAdmission(m admit.Mode) Option { return func(n *Node) { n.admissions.mode = m } }

// New returns a node that Run starts.
func New(c Config, p Platform, log logr.Logger, opts ...Option) *Node {
	tracker := reach.New()
	admissions := &admissions{mode: admit.Auto, log: log.WithValues("node", c.Node), meter: demand.New(c.DataCentre)}
	n := &Node{
		admissions: admissions,
		dial:       hop.DialDirect,
		config:     c, platform: p, log: log.WithValues("node", c.Node), started: time.Now(),
		board: board.New(board.WithNode(mesh.NameHash(c.Node)), board.WithDataCentre(c.DataCentre), board.WithLogger(log.WithValues("node", c.Node)),
			board.WithOwnFault(tracker.IsSuspected), board.WithOnFreed(admissions.wake)),
		stats: stats.New(), rowLost: make(chan struct{}, 1),
		budget:       retry.NewWindow(c.RetryShare, c.RetryExtra, c.RetryWindow),
		storeFailing: make(map[store.Topic]bool), storeReadAt: make(map[store.Topic]time.Time),
		words:  make(map[store.Topic]mesh.Word),
		outage: fleet.NewOutage(c.HeartbeatInterval, expiryGrace),
	}
	for _, o := range opts {
		o(n)
	}
	n.settings.Store(&c)
	n.sizeBudget(nil)
	n.keeper = crash.NewKeeper()
	n.setUpReach(tracker)
	n.pool = hop.NewPool(func() { n.stats.Count("connections-to-upstreams") }, hop.WithDial(n.reach.dial),
		hop.WithOnUnanswered(n.reach.suspect))
	n.engines = p.NewEngines(n.pool)
	clock := event.NewClock(time.Now)
	n.crashes = &crashMarks{clock: clock}
	n.crashes.Registry = crash.NewRegistry(time.Now, func() uint64 { return uint64(clock.Next()) }, quarantineTime,
		crash.WithLogger(n.log), crash.WithSettleTime(markSettleTime))
	n.mesh = mesh.New(mesh.Config{
		Node: c.Node, DataCentre: c.DataCentre, DatagramAddress: c.DatagramAddress, RPCAddress: c.RPCAddress,
		Capacity: c.capacity(),
	}, n.board, n.storeState, n.otherNodes, n.crashes, n.budget, n.log, mesh.WithDemand(n.admissions), mesh.WithMeter(n.admissions.meter),
		mesh.WithConnLimit(maxControlConns(&c)), mesh.WithOnLimit(n.logClosed), mesh.WithCounter(n.stats.Count))
	n.executor = proxy.New(proxy.Dependencies{
		Transport: &transport{pool: n.pool, headers: p.Headers, node: n}, Engines: n.engines, Board: n.board, Fleet: n,
		Budget: n.budget, Crashes: n.crashes, Broadcast: n.mesh.BroadcastMark, Meter: n.stats, Log: n.log, Gate: n.admissions,
		AnswerBytes: answerBytes(&c),
	})
	n.lease = lease.New(p.Table, leaseName, c.Node, leaseTerm)
	n.planner = place.NewPlanner(restAwareEngines{n.engines, n.board}, n.lease.Valid, n.log)
	n.stats.Gauge("requests-active", func() any { return n.activeRequests.Load() })
	n.stats.Gauge("quarantines", func() any { return len(n.crashes.List()) })
	n.stats.Gauge("limited-upstreams", func() any { return n.board.LimitedUpstreams() })
	n.stats.Gauge("resting-upstreams", func() any { return n.board.RestingUpstreams() })
	n.stats.Gauge("admission-level", func() any { return n.admissions.level() })
	n.stats.Gauge("admission-waiting", func() any { return n.admissions.waiting() })
	n.stats.Gauge("demand-unserved-share", func() any { return n.admissions.meter.UnservedShare() })
	n.stats.Gauge("demand-age-ms", func() any { return n.admissions.meter.Age().Milliseconds() })
	n.stats.Gauge("demand-moves", func() any { return n.planner.DemandMoves() })
	n.stats.Gauge("demand-entries-dropped", func() any { return n.admissions.meter.Dropped() })
	n.stats.Gauge("caller-bytes", func() any { return n.callerBudget.Used() })
	n.stats.Gauge("caller-bytes-limit", func() any { return n.callerBudget.Limit() })
	n.stats.Gauge("caller-bytes-evictions", func() any { return n.callerBudget.Evicted() })
	n.stats.Gauge("connections-from-callers", func() any { return n.callerConns.Load() })
	n.stats.Gauge("configuration-version", func() any { version, _ := n.Versions(); return version })
	n.lease.SetHolderActive(n.mesh.IsPlannerActive)
	n.lease.SetStandby(n.leavesLease)
	n.lease.SetEligible(func() bool { return !tracker.IsIsolated() })
	return n
}

// crashMarks applies the marks of other nodes.
type crashMarks struct {
	*crash.Registry
	clock *event.Clock
}

// ApplyMark applies a mark of another node.
func (m *crashMarks) ApplyMark(mark crash.Mark) {
	m.clock.Observe(event.Stamp(mark.Stamp))
	m.Registry.ApplyMark(mark)
}

// ApplyStored applies a mark from a row of the store.
func (m *crashMarks) ApplyStored(mark crash.Mark) {
	m.clock.Observe(event.Stamp(mark.Stamp))
	m.Registry.ApplyStored(mark)
}

// storeState returns the store's data that this node has.
func (n *Node) storeState() mesh.StoreState {
	// In this order: the data hold at least what the words cover.
	rulesWord := n.newestWord(store.Configuration)
	listWord := n.newestWord(store.Upstreams)
	v := n.view.Load()
	if v == nil {
		return mesh.StoreState{}
	}
	_, isPlanner := n.lease.Valid()
	state := mesh.StoreState{RawRules: v.RawRules, Rows: v.Rows, NodeRows: v.NodeRows, IsPlanner: isPlanner,
		RulesWord: rulesWord, ListWord: listWord, ListNews: n.listNews()}
	if v.Rules != nil {
		state.RulesVersion = v.Rules.Version()
	}
	return state
}

// otherNodes returns the other nodes in the store's list.
func (n *Node) otherNodes() map[string]mesh.Node {
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

// Versions returns the version of the configuration, or 0 for none, and the number of the revision that the list of upstreams
// reflects.
func (n *Node) Versions() (rulesVersion, listVersion uint64) {
	v := n.view.Load()
	if v == nil {
		return 0, 0
	}
	if v.Rules != nil {
		rulesVersion = v.Rules.Version()
	}
	return rulesVersion, v.List.Version()
}

// maxConns returns this node's share of the connections to one upstream of a service, or 0 for no limit.
func (n *Node) maxConns(s *rules.Service) int {
	v := n.view.Load()
	if s.MaxConns == 0 || v == nil {
		return 0
	}
	return max(1, s.MaxConns/(len(v.Nodes)+1))
}

// isConfigCurrent reports whether the configuration is known to be the newest, apart from changes so recent that they
// need not be in force yet.
func (n *Node) isConfigCurrent() bool {
	b := n.believes(store.Configuration)
	return !n.lacksNewestRules.Load() && b.by != "" && b.age < n.settings.Load().ApplyBound
}

// lacksTeams reports whether a configuration has no list of teams although the settings require one. It says neither who may send
// requests nor that everyone may, and taking it for open would let in all whose keys were taken away.
func (n *Node) lacksTeams(r *rules.Rules) bool { return n.settings.Load().RequiresTeams && r.IsOpen() }

// isReady reports whether the node can serve: it is not stopping, and has a configuration and upstreams.
func (n *Node) isReady() bool {
	v := n.view.Load()
	return !n.stopping.Load() && v != nil && v.Rules != nil && v.List != nil && v.List.Len() > 0
}

// Run serves until the context is canceled, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(float64(n.config.MemoryMB) * memoryShare * (1 << 20)))
	callers, err := net.Listen("tcp", n.config.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", n.config.ReadinessAddress)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	taskCtx, cancelTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelTasks()
	n.log.Info("start", "data-centre", n.config.DataCentre, "callers", n.config.CallerAddress,
		"memory-mb", n.config.MemoryMB)
	running := n.startTasks(taskCtx)
	callerServer := n.newCallerServer(callers, &front{n})
	served := make(chan error, 3)
	go func() { served <- callerServer.serve() }()
	closeMetrics := n.serveMetrics(served)
	defer closeMetrics()
	readiness := n.sideServer(n.readyHandler(), "readiness")
	go func() { served <- readiness.Serve(ready) }()
	select {
	case <-ctx.Done():
	case err = <-served:
		n.log.Error(err, "listener-failed")
	}
	n.stop(callerServer)
	_ = readiness.Close()
	cancelTasks()
	for range running.count {
		<-running.done
	}
	n.log.Info("stopped")
	return err
}

// serveMetrics serves the metrics page and returns a function that closes it. If its port is unavailable, the node
// serves callers nevertheless.
func (n *Node) serveMetrics(served chan<- error) func() {
	if n.config.MetricsAddress == "" {
		return func() {}
	}
	l, err := net.Listen("tcp", n.config.MetricsAddress)
	if err != nil {
		n.log.Error(err, "figures-unavailable", "address", n.config.MetricsAddress)
		return func() {}
	}
	page := n.sideServer(n.metricsHandler(), "metrics")
	go func() { served <- page.Serve(l) }()
	return func() { _ = page.Close() }
}

// stop waits until the load balancer sends no new connections, lets requests in flight end within the grace period, and
// closes the server.
func (n *Node) stop(callerServer *callerServer) {
	start := time.Now()
	grace := n.settings.Load().GracePeriod
	n.stopping.Store(true)
	n.log.Info("stop", "active", n.activeRequests.Load(), "connections", n.callerConns.Load(), "tunnels", n.tunnels.Open())
	// Meanwhile the load balancer still sends new connections, and a request that is accepted has time to end.
	time.Sleep(min(balancerDelay, grace/2))
	cutsAt := start.Add(grace - stopMargin)
	n.cutsAt.Store(&cutsAt)
	drainCtx, cancelDrain := context.WithDeadline(context.Background(), cutsAt)
	defer cancelDrain()
	if err := n.drain(drainCtx, callerServer); err != nil {
		n.log.Info("stop-cut", "active", n.activeRequests.Load(), "cause", err.Error())
	}
	n.cutting.Store(true)
	_ = callerServer.Close()
	n.awaitTunnels(drainCtx)
}

// readyHandler answers the readiness check.
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
