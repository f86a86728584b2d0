package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"rhubarbspread/core/call"
	"rhubarbspread/core/chain"
	"rhubarbspread/core/conf"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/event"
	"rhubarbspread/core/kern"
	"rhubarbspread/core/limit"
	"rhubarbspread/core/member"
	"rhubarbspread/core/once"
	_ "rhubarbspread/core/plugs" // registers the plug-ins of core
	"rhubarbspread/core/relay"
	"rhubarbspread/core/retry"
	"rhubarbspread/core/route"
	"rhubarbspread/core/store"
	"rhubarbspread/io/blob"
	"rhubarbspread/io/dial"
	"rhubarbspread/io/list"
	"rhubarbspread/io/logs"
	"rhubarbspread/io/model"
	"rhubarbspread/io/peer"
	"rhubarbspread/io/plain"
	"rhubarbspread/io/ports"
	"rhubarbspread/io/serve"
	"rhubarbspread/io/stats"
	"rhubarbspread/io/table"

	"github.com/go-logr/logr"
)

// Limits, timeouts and initial settings of a node.
const (
	ringCapacity       = 16_384           // events kept
	loadBalancerNotice = time.Second      // for the load balancer to see that the node is not ready
	shutdownTimeout    = 60 * time.Second // for requests in flight to end
	readHeaderTimeout  = 5 * time.Second
	readTimeout        = 30 * time.Second
	maxHeaderBytes     = 32 << 10 // net/http adds 4 KiB
	maxAdminConns      = 64
	maxFDs             = 20_000           // descriptors that are counted on where the process may open more
	filesReserved      = 200              // descriptors for files
	callerConnShare    = 0.4              // of the other descriptors; upstreams, the platform and other nodes need the rest
	peerConnShare      = 0.15             // likewise, for connections that other nodes open
	defaultRetryShare  = 0.1              // until a document is in force
	quarantineTime     = 10 * time.Minute // until a document is in force; also the lifetime of crash facts
)

// Node is one running node.
type Node struct {
	config          Config
	log             logr.Logger
	clock           *event.Clock
	ring            *event.Ring
	stats           *stats.Set
	swim            *member.Swim
	peer            *peer.Peer
	control         *kern.Control
	budget          *retry.Budget
	crashes         *crash.Registry
	batcher         *once.Batcher
	ledger          *once.Ledger
	relay           *relay.Relay
	chain           *chain.Engine
	engines         *model.Client
	callers         *serve.CallerAPI
	registry        *conf.Registry
	table           store.Table
	list            store.List
	reports         sync.Map      // route.Report by upstream
	documentChanged chan struct{} // signals a new document fact
	stopRequested   chan struct{}
	stopOnce        sync.Once
	lifetime        context.Context // of the node's parts; ends after the graceful shutdown
	endLifetime     context.CancelFunc
	documentVersion uint64 // of the document whose limits are applied; used only by the control goroutine

	callersListener, adminListener, peersListener net.Listener
}

// New returns a node that listens but serves only when Run is called. Its error is a *ConfigError, or that of a
// listener or of the peers' TLS configuration.
func New(config Config, log logr.Logger) (*Node, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	n := &Node{
		config: config, log: log.WithValues("node", config.Node), clock: event.NewClock(time.Now), stats: stats.New(),
		documentChanged: make(chan struct{}, 1), stopRequested: make(chan struct{}),
	}
	n.lifetime, n.endLifetime = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.ring = event.NewRing(config.Node, n.clock, ringCapacity)
	n.table = table.New(config.Table)
	n.list = list.New(config.List)
	n.registry = conf.NewRegistry(n.table, blob.New(config.Objects))
	n.budget = retry.NewBudget(defaultRetryShare)
	n.crashes = crash.NewRegistry(time.Now, func() uint64 { return uint64(n.clock.Next()) }, quarantineTime)
	if err := n.joinPeers(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.buildTraffic()
	return n, nil
}

func (n *Node) listen() error {
	for _, l := range []struct {
		flag, address string
		listener      *net.Listener
	}{
		{"callers", n.config.Callers, &n.callersListener},
		{"peers", n.config.Peers, &n.peersListener},
		{"admin", n.config.Admin, &n.adminListener},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			n.closeListeners()
			return fmt.Errorf("-%s (%s): %w", l.flag, EnvName(l.flag), err)
		}
		*l.listener = listener
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callersListener, n.peersListener, n.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// CallersAddress returns the IP:port on which the node listens for callers.
func (n *Node) CallersAddress() string { return n.callersListener.Addr().String() }

// AdminAddress returns the IP:port on which the node listens for operators.
func (n *Node) AdminAddress() string { return n.adminListener.Addr().String() }

// PeersAddress returns the IP:port on which the node listens for other nodes.
func (n *Node) PeersAddress() string { return n.peersListener.Addr().String() }

// DiscoveredNodes returns how many live nodes, including this one, are known from their own gossip rather than only
// from the platform's list, which lacks their admin addresses.
func (n *Node) DiscoveredNodes() int {
	count := 0
	for _, m := range n.swim.Alive() {
		if m.Admin != "" {
			count++
		}
	}
	return count
}

// Name returns the node's name.
func (n *Node) Name() string { return n.config.Node }

func (n *Node) joinPeers() error {
	tlsConfig, err := peer.TLSConfig(n.config.Secret)
	if err != nil {
		return err
	}
	self := member.Node{
		Name: n.config.Node, Address: n.PeersAddress(), Admin: n.AdminAddress(), DataCentre: n.config.DataCentre,
		// Each start needs a higher incarnation than the one before. If the clock was set back, the node learns its
		// former incarnation from the first exchange and continues above it.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	n.swim = member.New(self, member.WithOnFact(n.onFact), member.WithOnNodes(n.onNodes))
	n.peer = peer.New(n.swim, n.clock, tlsConfig, peer.WithTokenStates(n.tokenState), peer.WithDocuments(n.documentBody),
		peer.WithConnLimit(maxConns(peerConnShare)), peer.WithOnLimit(n.peerLimited))
	return nil
}

func (n *Node) tokenState(token string) (once.TokenState, *once.Response) {
	return n.ledger.TokenState(token)
}

func (n *Node) documentBody(digest string) []byte {
	if d := n.control.View().Document(); d != nil && d.Digest() == digest {
		return d.Body()
	}
	return nil
}

func (n *Node) buildTraffic() {
	hosts := dial.NewHostCache()
	n.engines = model.New(hosts)
	p, _ := kern.FindPlugin(n.config.Policy)
	policy := p.New.(func() route.Policy)()
	n.control = kern.NewControl(n.config.Node, n.config.DataCentre, policy, kern.WithOnView(n.onView))
	incarnation := fmt.Sprintf("%x", time.Now().UnixNano())
	n.batcher = once.NewBatcher(n.table)
	n.ledger = once.New(n.batcher, n.peer, n.config.Node, incarnation)
	n.chain = chain.NewEngine(n.engines, chain.WithCrashRegistry(n.crashes, n.publishMark), chain.WithRing(n.ring))
	engine := relay.NewEngineSelector(n.engines, n.chain)
	n.relay = relay.New(n.config.Node+"-"+incarnation, engine, n.budget, n.crashes, n.ring,
		relay.WithMarkSender(n.publishMark),
		relay.WithNodeRank(func(key uint64) int { return limit.Rank(n.config.Node, n.control.View().Nodes(), key) }))
	executor := call.New(plain.New(hosts), n.budget, n.ledger, n.ring)
	n.callers = serve.NewCallerAPI(n.config.Node, n.control.View, n.relay, executor, n.ring, n.stats, n.log)
	n.publishStats()
}

func (n *Node) publishStats() {
	n.stats.Gauge("messages-dropped-total", func() any { return n.relay.DroppedMessages() })
	n.stats.Gauge("answers-resumed-total", func() any { return n.relay.ResumedAttempts() })
	n.stats.Gauge("outcomes-unrecorded", func() any { return n.ledger.Unrecorded() })
	n.stats.Gauge("document-version", func() any { return n.control.View().Version() })
	n.stats.Gauge("nodes-alive", func() any { return len(n.swim.Alive()) })
	n.stats.Gauge("requests-quarantined", func() any { return len(n.crashes.List()) })
	n.stats.Gauge("peer-bytes-in-total", func() any { in, _ := n.peer.Bytes(); return in })
	n.stats.Gauge("peer-bytes-out-total", func() any { _, out := n.peer.Bytes(); return out })
	n.stats.Gauge("chain-steps-total", func() any { return n.chain.Counters().Steps.Load() })
	n.stats.Gauge("chain-epochs-total", func() any { return n.chain.Counters().Epochs.Load() })
	n.stats.Gauge("chain-replays-total", func() any { return n.chain.Counters().Replays.Load() })
	n.stats.Gauge("chain-prefills-total", func() any { return n.chain.Counters().Prefills.Load() })
}

// publishMark sends a crash mark to the other nodes at once.
func (n *Node) publishMark(m crash.Mark) {
	raw, err := json.Marshal(m)
	if err != nil {
		return
	}
	n.swim.Publish(member.Fact{
		Kind: crashFact, Key: string(m.Fingerprint) + "/" + m.Upstream, Version: m.Stamp,
		Value: raw, Remaining: uint32(quarantineTime / time.Second),
	})
	n.peer.Push()
}

// Stop starts the graceful shutdown, as the end of Run's context does; further calls do nothing.
func (n *Node) Stop() { n.stopOnce.Do(func() { close(n.stopRequested) }) }

// Run serves until the context ends, Stop is called or a part fails, and then shuts down gracefully: it first reports
// that the node is not ready, then accepts no new connections, and then waits for the requests in flight. Its error
// joins those of all parts.
func (n *Node) Run(ctx context.Context) error {
	partsCtx := n.lifetime
	defer n.endLifetime()
	parts := []<-chan error{
		n.control.Run(partsCtx),
		n.peer.Serve(partsCtx, n.peersListener),
		n.peer.Run(partsCtx),
		n.pollList(partsCtx),
		n.pollDocument(partsCtx),
		n.pollReports(partsCtx),
		n.reconcileCapacity(partsCtx),
		n.batcher.Run(partsCtx),
	}
	handler, err := n.callers.Handler()
	if err != nil {
		return err
	}
	adminHandler, err := n.adminHandler()
	if err != nil {
		return err
	}
	// Each HTTP server of the library replaces the log writer when it is created.
	logs.RedirectLogx(n.log)
	callers := n.httpServer(handler, "callers", maxConns(callerConnShare))
	operators := serve.NewOperatorLimits(n.stats, n.log)
	admin := n.httpServer(operators.Handler(adminHandler), "admin", maxAdminConns)
	parts = append(parts, serveHTTP(callers, n.callers.LimitHeads(callers, n.callersListener)),
		serveHTTP(admin, operators.LimitHeads(admin, n.adminListener)))
	n.log.Info("node-started", "callers", n.CallersAddress(), "peers", n.PeersAddress(), "admin", n.AdminAddress())
	ended := collectResults(parts)
	running := len(parts)
	var fault error
	select {
	case fault = <-ended:
		running--
	case <-ctx.Done():
	case <-n.stopRequested:
	}
	fault = errors.Join(fault, n.stop(callers, admin))
	n.endLifetime()
	for range running {
		fault = errors.Join(fault, <-ended)
	}
	n.log.Info("node-stopped", "unrecorded", n.ledger.Unrecorded())
	return fault
}

// collectResults forwards the result of each part to one channel.
func collectResults(parts []<-chan error) <-chan error {
	ended := make(chan error, len(parts))
	for _, part := range parts {
		go func() { ended <- <-part }()
	}
	return ended
}

// httpServer returns a server whose open connections are limited; name is that of its port in logs and counters.
func (n *Node) httpServer(h http.Handler, name string, conns int) *http.Server {
	s := &http.Server{
		Handler:           h,
		ConnContext:       serve.WithConn,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       2 * readTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	closed := n.stats.Counter("connections-closed-" + name + "-total")
	ports.LimitConns(s, conns, false, func(c net.Conn) {
		closed.Add(1)
		n.log.Info("connection-closed", "caller", c.RemoteAddr().String(), "limit", name+"-connections")
	})
	return s
}

// peerLimited counts and logs a connection of another node that a limit has closed.
func (n *Node) peerLimited(limitName, client string) {
	n.stats.Counter("closed-by-" + limitName + "-total").Add(1)
	n.log.Info("connection-closed", "caller", client, "limit", limitName)
}

// maxConns returns how many connections a share of the sockets allows, by the process's own limit on descriptors.
func maxConns(share float64) int {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur > maxFDs {
		files.Cur = maxFDs
	}
	return max(1, int(share*(float64(files.Cur)-filesReserved)))
}

func serveHTTP(s *http.Server, l net.Listener) <-chan error {
	ended := make(chan error, 1)
	go func() {
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		ended <- err
	}()
	return ended
}

// stop ends the requests of callers, waits until their outcomes are recorded, leaves the membership, and closes the
// admin interface.
func (n *Node) stop(callers, admin *http.Server) error {
	n.log.Info("node-stopping", "in-flight", n.callers.InFlight())
	n.callers.Stop()
	time.Sleep(loadBalancerNotice)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := callers.Shutdown(ctx)
	err = errors.Join(err, n.ledger.Close(ctx))
	n.swim.Leave()
	n.peer.Push()
	time.Sleep(leaveNotice)
	return errors.Join(err, admin.Close())
}

// leaveNotice is the time for the gossip that this node leaves to reach other nodes.
const leaveNotice = 100 * time.Millisecond
