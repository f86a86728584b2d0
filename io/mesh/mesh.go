package mesh

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/demand"
	"rhubarbspread/core/pacer"
	"rhubarbspread/core/quota"
	"rhubarbspread/core/retry"
	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh/wire"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
)

// Times of the mesh, and the factor of its units.
const (
	gossipPeriod = 150 * time.Millisecond // between datagrams to one node
	// failureLogPeriod is the least time between log lines on datagrams that can't be sent.
	failureLogPeriod = time.Second
	thousand         = 1000 // claims are sent in thousands of tokens times layers, slowdowns in thousandths
)

// StoreState is the store's data that a node has.
type StoreState struct {
	RulesVersion uint64          // of the configuration, or 0 for none
	RawRules     []byte          // encoded configuration
	Rows         []store.FeedRow // entries of the upstreams, which reflect the revision ListWord.Through at least
	NodeRows     []store.FeedRow // rows that nodes write
	IsPlanner    bool            // the node holds the placement lease
	RulesWord    Word            // on the configuration
	ListWord     Word            // on the list
	ListNews     store.News      // latest changes of the list, up to one that the word covers at least
	From         Peer            // node from which the data were fetched; the zero Peer for a node's own
}

// CrashRegistry receives the marks that other nodes set on requests that crash upstreams.
type CrashRegistry interface {
	ApplyMark(m crash.Mark)
	// Evidence returns the marks of the suspects in quarantine.
	Evidence() []crash.Mark
	// Acquittals returns the clearances that other nodes may lack.
	Acquittals() []crash.Mark
	// OpenMarks returns the marks of the parts that are withheld, which nodes without them would send on.
	OpenMarks() []crash.Mark
}

// RetryBudget is the retry budget that all nodes share.
type RetryBudget interface {
	Counts() map[uint32]retry.Count
	Coverage() retry.Coverage
	MergeCounts(node string, nodes retry.Coverage, counts map[uint32]retry.Count)
}

// Demand exchanges the counts of admission control.
type Demand interface {
	Counts() map[uint32]admit.Count
	Merge(node string, counts map[uint32]admit.Count)
}

// Peer is another node as its latest datagram describes it.
type Peer struct {
	Name         string
	DataCentre   string
	RPCAddress   string // IP:port
	RulesVersion uint64
	LastSeen     time.Time // when the latest datagram arrived
	IsPlanner    bool      // it holds the placement lease
	RulesWord    Word      // on the configuration
	ListWord     Word      // on the list
}

// Node is the location of another node.
type Node struct {
	Address    netip.AddrPort // for datagrams
	DataCentre string
	Capacity   float64 // of its VM for work for others: cores times Mbit/s; 0 if unknown, as of older builds
}

// Config identifies a node in the mesh.
type Config struct {
	Node            string
	DataCentre      string
	DatagramAddress string  // IP:port
	RPCAddress      string  // IP:port
	Capacity        float64 // as Node has it
}

// Mesh exchanges state with the other nodes.
type Mesh struct {
	config      Config
	board       *board.Board
	storeState  func() StoreState
	listedNodes func() map[string]Node
	log         logr.Logger
	incarnation uint64
	started     time.Time // from which steadyTime counts

	crashes CrashRegistry
	retries RetryBudget
	demand  Demand        // nil for none
	meter   *demand.Meter // of the demand by data centre; nil for none

	connLimit int                        // of RPCs
	answers   quota.Budget               // of the bytes of answers to RPCs
	onLimit   func(limit, client string) // called when a limit refuses or closes a client
	count     func(name string)          // counts refused datagrams

	unlistedLines, unreadableLines, markLines boundedLines

	role atomic.Pointer[role] // as of the latest period

	mu          sync.Mutex
	peers       map[string]*peerState // by node name
	awaited     awaited               // relays that this node has not heard
	recentMarks []recentMark          // made by this node
	news        chan struct{}         // receives a value when a relay learns of doubts that others may not know
}

// peerState holds the latest datagrams of another node.
type peerState struct {
	Peer
	incarnation   uint64
	sequence      uint32
	madeUs        uint64       // when the latest datagram was made, by the other node's clock; 0 if it did not say
	handledAt     time.Time    // when that was handled here
	latest        *wire.Digest // of any scope
	ownDigest     *wire.Digest // of the node alone
	latestBytes   int          // encoded size of latest, or 0 if the node is listed
	ownBytes      int          // the same of ownDigest
	ownReceivedAt time.Time
	fetchFailedAt time.Time // zero if the latest fetch from it succeeded
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithDemand exchanges the counts of admission control as well.
func WithDemand(d Demand) Option { return func(m *Mesh) { m.demand = d } }

// New returns a Mesh that Run starts; storeState returns the store's data that the node has, listedNodes the other
// nodes in the store's list.
func New(c Config, b *board.Board, storeState func() StoreState, listedNodes func() map[string]Node,
	crashes CrashRegistry, retries RetryBudget, log logr.Logger, opts ...Option) *Mesh {
	m := &Mesh{
		config: c, board: b, crashes: crashes, retries: retries, storeState: storeState, listedNodes: listedNodes, log: log,
		peers: make(map[string]*peerState), awaited: newAwaited(),
		incarnation: uint64(time.Now().UnixNano()), started: time.Now(), news: make(chan struct{}, 1),
		connLimit: defaultConns, onLimit: func(string, string) {}, count: func(string) {},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Run sends and receives datagrams and serves RPCs until the context is canceled.
func (m *Mesh) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", m.config.DatagramAddress)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", m.config.RPCAddress)
	if err != nil {
		return errors.Join(err, conn.Close())
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterMesh(mux, &server{mesh: m}); err != nil {
		return errors.Join(err, conn.Close(), listener.Close())
	}
	done := make(chan error, 4)
	go func() { done <- m.serveRPCs(ctx, mux, listener) }()
	go func() { done <- m.receive(conn) }()
	go func() { done <- m.send(ctx, conn) }()
	go func() { done <- m.sendFacts(ctx, conn) }()
	<-ctx.Done()
	err = conn.Close()
	for range cap(done) {
		<-done
	}
	return err
}

// receive handles datagrams until the connection is closed.
func (m *Mesh) receive(conn *net.UDPConn) error {
	buffer := make([]byte, 1<<16)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			m.log.Info("datagram-failed", "cause", err.Error())
			continue
		}
		var d wire.Digest
		if err := proto.Unmarshal(buffer[:n], &d); err != nil {
			m.refuseUnreadable(err)
			continue
		}
		m.handleDigest(&d)
	}
}

// handleDigest applies a datagram unless a newer one of its node arrived before.
func (m *Mesh) handleDigest(d *wire.Digest) {
	if d.GetNode() == "" || d.GetNode() == m.config.Node {
		return
	}
	if d.GetOnlyFacts() {
		m.handleFacts(d)
		return
	}
	listed, size := m.listedNodes(), 0
	if _, ok := listed[d.GetNode()]; !ok {
		size = proto.Size(d)
	}
	m.mu.Lock()
	if !m.admits(d, size, listed) {
		m.mu.Unlock()
		m.refuseUnlisted(d)
		return
	}
	s := m.peers[d.GetNode()]
	if s == nil {
		s = &peerState{}
		m.peers[d.GetNode()] = s
	}
	// A relay sends its own digest and its sums, of other scopes, with one sequence number.
	isOld := d.GetIncarnation() == s.incarnation &&
		(d.GetSequence() < s.sequence || d.GetSequence() == s.sequence && d.GetScope() == s.latest.GetScope())
	if d.GetIncarnation() < s.incarnation || isOld {
		m.mu.Unlock()
		return
	}
	received := m.receiptOf(d)
	s.incarnation, s.sequence = d.GetIncarnation(), d.GetSequence()
	s.madeUs, s.handledAt = d.GetMadeUs(), received.handledAt
	s.Peer = peerOf(d, received)
	m.awaited.heard(d.GetNode())
	s.latest, s.latestBytes = d, size
	if d.GetScope() == wire.Scope_NODE {
		s.ownDigest, s.ownBytes, s.ownReceivedAt = d, size, time.Now()
	}
	m.mu.Unlock()
	m.applyMarks(d, received.onTheWay())
	m.board.ApplyLimits(limitsOf(d, received.onTheWay()))
	m.board.ApplyDoubts(doubtsOf(d, received.onTheWay()))
	m.applyLoads(d, received.onTheWay())
	if d.GetScope() == wire.Scope_NODE && m.usesRelays() {
		return // a relay's sum contains it
	}
	if d.GetScope() != wire.Scope_DATA_CENTRE {
		m.applyDigest(d)
	}
}

// peerOf returns a node as a datagram describes it.
func peerOf(d *wire.Digest, r receipt) Peer {
	return Peer{Name: d.GetNode(), DataCentre: d.GetDataCentre(), RPCAddress: d.GetQuestions(), RulesVersion: d.GetRules(),
		LastSeen: r.handledAt, IsPlanner: d.GetPlans(),
		RulesWord: decodeWord(d.GetRulesWord(), r.madeAt), ListWord: decodeWord(d.GetListWord(), r.madeAt)}
}

// limitsOf returns the limits of upstreams that a digest states which was on its way for a time.
func limitsOf(d *wire.Digest, onTheWay time.Duration) map[uint32]pacer.Statement {
	limits := make(map[uint32]pacer.Statement, len(d.GetLimits()))
	for _, l := range d.GetLimits() {
		limits[l.GetUpstream()] = pacer.Statement{
			PerSecond: l.GetPerSecond(), IsLifted: l.GetLifted(), Age: milliseconds(l.GetAgeMs()) + onTheWay,
		}
	}
	return limits
}

// applyDigest applies what a digest states about upstreams and retries.
func (m *Mesh) applyDigest(d *wire.Digest) {
	gossip := gossipOf(d)
	m.board.ApplyGossip(gossip)
	counts := make(map[uint32]retry.Count, len(d.GetSpent()))
	for _, s := range d.GetSpent() {
		counts[s.GetService()] = retry.Count{FirstAttempts: int(s.GetFirsts()), Retries: int(s.GetRepeats())}
	}
	m.retries.MergeCounts(gossip.Node, retry.Coverage{Nodes: nodeCount(d), Settled: int(d.GetSettled())}, counts)
	if m.demand != nil {
		m.demand.Merge(gossip.Node, demandOf(d))
	}
}

// nodeCount returns how many nodes a digest covers.
func nodeCount(d *wire.Digest) int { return max(1, int(d.GetNodes())) }

// gossipOf returns what a digest states about upstreams.
func gossipOf(d *wire.Digest) board.Gossip {
	claims := make(map[uint32]board.Claim, len(d.GetClaims()))
	for _, c := range d.GetClaims() {
		claims[c.GetUpstream()] = board.Claim{
			Reserved: float64(c.GetHeld()) * thousand, InFlight: int(c.GetRunning()), FirstStage: int(c.GetFirst()),
			Prefill: float64(c.GetReading()) * thousand,
		}
	}
	slowdowns := make(map[uint32]float64, len(d.GetHealth()))
	for _, h := range d.GetHealth() {
		slowdowns[h.GetUpstream()] = float64(h.GetPace()) / thousand
	}
	g := board.Gossip{
		Node: d.GetNode(), DataCentre: d.GetDataCentre(), Claims: claims, Failed: d.GetResting(), Refusing: d.GetRefusing(),
		Slowdowns: slowdowns,
	}
	if d.GetScope() == wire.Scope_OTHERS {
		g.Node, g.DataCentre = allOthers, "" // the latest sum replaces those of other relays
	}
	return g
}

// send sends this node's state to other nodes once a period.
func (m *Mesh) send(ctx context.Context, conn *net.UDPConn) error {
	sequence := uint32(0)
	var loggedAt time.Time
	for ctx.Err() == nil {
		sequence++
		m.board.SetViewAge(m.viewAge())
		m.dropSilentUnlisted(m.listedNodes())
		for _, d := range m.datagrams(m.digest(sequence), m.knownNodes()) {
			raw, err := proto.Marshal(d.digest)
			if err != nil {
				return err
			}
			// A failure to send is like a lost datagram: the next one carries the whole state again.
			_, err = conn.WriteToUDPAddrPort(raw, d.to)
			if err != nil && time.Since(loggedAt) >= failureLogPeriod {
				loggedAt = time.Now()
				m.log.Info("datagram-failed", "to", d.to.String(), "bytes", len(raw), "cause", err.Error())
			}
		}
		select {
		case <-time.After(gossipPeriod):
		case <-ctx.Done():
		}
	}
	return nil
}

// viewAge returns how old the claims in digests are in the mean: each node on the way waits for half a period.
func (m *Mesh) viewAge() time.Duration {
	if m.usesRelays() {
		return relayedHops * gossipPeriod / 2
	}
	return gossipPeriod / 2
}

// knownNodes returns the other nodes in the store's list, and those that are not in it yet but sent datagrams.
func (m *Mesh) knownNodes() map[string]Node {
	all := maps.Clone(m.listedNodes())
	if all == nil {
		all = make(map[string]Node)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.peers {
		if _, ok := all[name]; ok || s.ownDigest == nil || time.Since(s.ownReceivedAt) > peerTTL {
			continue
		}
		address, err := netip.ParseAddrPort(s.ownDigest.GetAddress())
		if err != nil {
			m.refuseUnreadable(err)
			continue
		}
		all[name] = Node{address, s.ownDigest.GetDataCentre(), s.ownDigest.GetCapacity()}
	}
	return all
}

// LiveNodes returns the other nodes that may be alive. Where nodes exchange state through relays, these are all known ones.
func (m *Mesh) LiveNodes() map[string]Node {
	nodes := m.knownNodes()
	if m.usesRelays() {
		return nodes
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(nodes, func(name string, _ Node) bool {
		s := m.peers[name]
		return s == nil || time.Since(s.LastSeen) > peerTTL
	})
	return nodes
}

// digest returns this node's own digest.
func (m *Mesh) digest(sequence uint32) *wire.Digest {
	madeAt := time.Now()
	state := m.storeState()
	evidence := m.crashes.Evidence()
	d := &wire.Digest{
		MadeUs: m.steadyTime(madeAt),
		Node:   m.config.Node, Incarnation: m.incarnation, Sequence: sequence,
		Rules: state.RulesVersion, List: state.ListWord.Through.Number,
		DataCentre: m.config.DataCentre, Plans: state.IsPlanner, Crashes: m.marksToSend(sequence, evidence),
		Address: m.config.DatagramAddress, Questions: m.config.RPCAddress, Resting: m.board.FailedHashes(),
		Refusing: m.board.RefusingHashes(), Quarantined: quarantinedHashes(evidence),
		Settled: uint32(m.retries.Coverage().Settled), TakesFacts: true,
		RulesWord: encodeWord(state.RulesWord, madeAt), ListWord: encodeWord(state.ListWord, madeAt), Capacity: m.config.Capacity,
		ListNews: m.listNews(state.ListNews), Loads: m.loads(sequence, (*demand.Meter).Own),
	}
	for hash, c := range m.board.Claims() {
		d.Claims = append(d.Claims, &wire.Claim{
			Upstream: hash, Held: uint32(c.Reserved / thousand), Running: uint32(c.InFlight), First: uint32(c.FirstStage),
			Reading: uint32(c.Prefill / thousand),
		})
	}
	for hash, c := range m.retries.Counts() {
		d.Spent = append(d.Spent, &wire.Spent{Service: hash, Firsts: uint32(c.FirstAttempts), Repeats: uint32(c.Retries)})
	}
	if m.demand != nil {
		d.Demand = encodeDemand(m.demand.Counts())
	}
	for hash, s := range m.board.Limits() {
		d.Limits = append(d.Limits, &wire.Limit{
			Upstream: hash, PerSecond: s.PerSecond, Lifted: s.IsLifted, AgeMs: encodeAge(s.Age),
		})
	}
	for hash, doubt := range m.board.Doubts() {
		d.Doubts = append(d.Doubts, encodeDoubt(hash, doubt))
	}
	for hash, slowdown := range m.board.Slowdowns() {
		d.Health = append(d.Health, &wire.Health{Upstream: hash, Pace: uint32(slowdown * thousand)})
	}
	return d
}

// peerTTL is how long after its latest datagram a node counts as alive.
const peerTTL = 2 * time.Second

// LiveNodeHashes returns the hashes of the names of the other live nodes in this node's data centre.
func (m *Mesh) LiveNodeHashes() []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var hashes []uint32
	for _, s := range m.peers {
		if time.Since(s.LastSeen) > peerTTL || s.DataCentre != m.config.DataCentre {
			continue
		}
		hashes = append(hashes, NameHash(s.Name))
		hashes = append(hashes, s.latest.GetMembers()...)
	}
	return hashes
}

// plannerTTL is how long after its latest datagram a node that holds the lease counts as active.
const plannerTTL = time.Second

// IsPlannerActive reports whether another node holds the lease and is active.
func (m *Mesh) IsPlannerActive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.peers {
		if s.IsPlanner && time.Since(s.LastSeen) <= plannerTTL {
			return true
		}
	}
	return false
}
