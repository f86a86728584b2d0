package mesh

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/retry"
	"rhubarbspread/core/store"
	"rhubarbspread/io/mesh/wire"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Constants of the mesh.
const (
	period       = 150 * time.Millisecond // between datagrams to one node
	questionTime = 800 * time.Millisecond
	thousand     = 1000
)

// Known is what a node has of the store.
type Known struct {
	Rules uint64 // version of the configuration
	List  uint64 // version of the store that the list of upstreams shows
	Raw   []byte // the configuration
	Items []store.FeedRow
	Plans bool // it holds the lease
}

// Marks are those of crashing requests, which nodes tell each other at once.
type Marks interface {
	Learn(m crash.Mark)
}

// Repeats is the budget for repeats, which nodes share.
type Repeats interface {
	Counts() map[uint32]retry.Count
	MergeCounts(node string, nodes int, counts map[uint32]retry.Count)
}

// Peer is another node as its datagrams show it.
type Peer struct {
	Name       string
	DataCentre string
	Questions  string // address
	Rules      uint64
	List       uint64
	At         time.Time
	Plans      bool // it holds the lease
}

// Node is where another node is.
type Node struct {
	Address    netip.AddrPort // for datagrams
	DataCentre string
}

// Config says who a node is in the mesh.
type Config struct {
	Node       string
	DataCentre string
	Datagrams  string // IP:port
	Questions  string // IP:port
}

// Mesh is one node's part.
type Mesh struct {
	config      Config
	board       *board.Board
	known       func() Known
	others      func() map[string]Node
	log         logr.Logger
	incarnation uint64

	marks   Marks
	repeats Repeats

	mu    sync.Mutex
	peers map[string]*seen
	fresh []freshMark // of this node
}

// freshMark is a mark that goes out with each datagram for a while, since datagrams get lost.
type freshMark struct {
	mark  crash.Mark
	until time.Time
}

const markTime = 3 * time.Second

// Spread tells the other nodes of a mark.
func (m *Mesh) Spread(mark crash.Mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fresh = append(m.fresh, freshMark{mark, time.Now().Add(markTime)})
}

// freshMarks returns the marks that still go out.
func (m *Mesh) freshMarks() []*wire.Crash {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fresh = slices.DeleteFunc(m.fresh, func(f freshMark) bool { return time.Now().After(f.until) })
	var list []*wire.Crash
	for _, f := range m.fresh {
		list = append(list, &wire.Crash{
			Fingerprint: string(f.mark.Fingerprint), Upstream: f.mark.Upstream, DataCentre: f.mark.DataCentre,
			Stamp: f.mark.Stamp, Sign: uint32(f.mark.Symptom), Cleared: f.mark.Cleared,
		})
	}
	return list
}

type seen struct {
	Peer
	incarnation uint64
	sequence    uint32
	digest      *wire.Digest // the latest of any scope
	own         *wire.Digest // the latest of the node alone
	ownAt       time.Time
}

// New returns a node's part; known tells what it has of the store, others the datagram addresses of other nodes.
func New(c Config, b *board.Board, known func() Known, others func() map[string]Node, marks Marks, repeats Repeats, log logr.Logger) *Mesh {
	return &Mesh{
		config: c, board: b, marks: marks, repeats: repeats, known: known, others: others, log: log, peers: make(map[string]*seen),
		incarnation: uint64(time.Now().UnixNano()),
	}
}

// Run sends and receives until the context ends.
func (m *Mesh) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp4", m.config.Datagrams)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	questions, err := net.Listen("tcp", m.config.Questions)
	if err != nil {
		return errors.Join(err, conn.Close())
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterMesh(mux, &server{mesh: m}); err != nil {
		return errors.Join(err, conn.Close(), questions.Close())
	}
	ended := make(chan error, 3)
	go func() { ended <- drpcserver.New(mux).Serve(ctx, questions) }()
	go func() { ended <- m.receive(conn) }()
	go func() { ended <- m.send(ctx, conn) }()
	<-ctx.Done()
	err = conn.Close()
	for range cap(ended) {
		<-ended
	}
	return err
}

// receive takes in datagrams until the connection is closed.
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
			m.log.Info("datagram-unreadable", "cause", err.Error())
			continue
		}
		m.take(&d)
	}
}

// take takes in a datagram unless a newer one of its node came before.
func (m *Mesh) take(d *wire.Digest) {
	if d.GetNode() == "" || d.GetNode() == m.config.Node {
		return
	}
	m.mu.Lock()
	s := m.peers[d.GetNode()]
	if s == nil {
		s = &seen{}
		m.peers[d.GetNode()] = s
	}
	// A relay sends its own digest and sums with one sequence.
	isOld := d.GetIncarnation() == s.incarnation && (d.GetSequence() < s.sequence || d.GetSequence() == s.sequence && d.GetScope() == s.digest.GetScope())
	if d.GetIncarnation() < s.incarnation || isOld {
		m.mu.Unlock()
		return
	}
	s.incarnation, s.sequence = d.GetIncarnation(), d.GetSequence()
	s.Peer = Peer{d.GetNode(), d.GetDataCentre(), d.GetQuestions(), d.GetRules(), d.GetList(), time.Now(), d.GetPlans()}
	s.digest = d
	if d.GetScope() == wire.Scope_NODE {
		s.own, s.ownAt = d, time.Now()
	}
	m.mu.Unlock()
	m.learn(d)
	if d.GetScope() == wire.Scope_NODE && m.isRelayed() {
		return // a relay adds it up
	}
	if d.GetScope() != wire.Scope_DATA_CENTRE {
		m.hear(d)
	}
}

// hear takes in what a datagram says of upstreams and of repeats.
func (m *Mesh) hear(d *wire.Digest) {
	news := newsOf(d)
	m.board.ApplyGossip(news)
	counts := make(map[uint32]retry.Count, len(d.GetSpent()))
	for _, s := range d.GetSpent() {
		counts[s.GetService()] = retry.Count{FirstAttempts: int(s.GetFirsts()), Retries: int(s.GetRepeats())}
	}
	m.repeats.MergeCounts(news.Node, nodesOf(d), counts)
}

// nodesOf returns how many nodes a datagram speaks of.
func nodesOf(d *wire.Digest) int { return max(1, int(d.GetNodes())) }

// learn takes over the marks of a datagram.
func (m *Mesh) learn(d *wire.Digest) {
	for _, c := range d.GetCrashes() {
		m.marks.Learn(crash.Mark{
			Fingerprint: crash.Fingerprint(c.GetFingerprint()), Upstream: c.GetUpstream(), DataCentre: c.GetDataCentre(),
			Stamp: c.GetStamp(), Symptom: crash.Symptom(c.GetSign()), Cleared: c.GetCleared(),
		})
	}
}

// newsOf returns what a datagram says of upstreams.
func newsOf(d *wire.Digest) board.Gossip {
	claims := make(map[uint32]board.Claim, len(d.GetClaims()))
	for _, c := range d.GetClaims() {
		claims[c.GetUpstream()] = board.Claim{
			Reserved: float64(c.GetHeld()) * thousand, InFlight: int(c.GetRunning()), FirstStage: int(c.GetFirst()),
			Prefill: float64(c.GetReading()) * thousand,
		}
	}
	paces := make(map[uint32]float64, len(d.GetHealth()))
	for _, h := range d.GetHealth() {
		paces[h.GetUpstream()] = float64(h.GetPace()) / thousand
	}
	n := board.Gossip{Node: d.GetNode(), DataCentre: d.GetDataCentre(), Claims: claims, Failed: d.GetResting(), Refusing: d.GetRefusing(), Slowdowns: paces}
	if d.GetScope() == wire.Scope_OTHERS {
		n.Node, n.DataCentre = everybody, "" // from whichever relay told last
	}
	return n
}

// send tells what this node holds, once a period.
func (m *Mesh) send(ctx context.Context, conn *net.UDPConn) error {
	sequence := uint32(0)
	for ctx.Err() == nil {
		sequence++
		for _, out := range m.plan(m.digest(sequence), m.neighbours()) {
			raw, err := proto.Marshal(out.digest)
			if err != nil {
				return err
			}
			// A datagram that can't be sent is as good as one lost on the way: the next one says all again.
			_, _ = conn.WriteToUDPAddrPort(raw, out.to)
		}
		select {
		case <-time.After(period):
		case <-ctx.Done():
		}
	}
	return nil
}

// neighbours returns the other nodes that the store names, and those that it may not name yet but that told of
// themselves.
func (m *Mesh) neighbours() map[string]Node {
	all := maps.Clone(m.others())
	if all == nil {
		all = make(map[string]Node)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.peers {
		if _, ok := all[name]; ok || s.own == nil || time.Since(s.ownAt) > freshTime {
			continue
		}
		address, err := netip.ParseAddrPort(s.own.GetAddress())
		if err != nil {
			m.log.Info("datagram-unreadable", "other", name, "cause", err.Error())
			continue
		}
		all[name] = Node{address, s.own.GetDataCentre()}
	}
	return all
}

func (m *Mesh) digest(sequence uint32) *wire.Digest {
	k := m.known()
	d := &wire.Digest{
		Node: m.config.Node, Incarnation: m.incarnation, Sequence: sequence, Rules: k.Rules, List: k.List,
		DataCentre: m.config.DataCentre, Plans: k.Plans, Crashes: m.freshMarks(),
		Address: m.config.Datagrams, Questions: m.config.Questions, Resting: m.board.FailedHashes(),
		Refusing: m.board.RefusingHashes(),
	}
	for tag, c := range m.board.Claims() {
		d.Claims = append(d.Claims, &wire.Claim{
			Upstream: tag, Held: uint32(c.Reserved / thousand), Running: uint32(c.InFlight), First: uint32(c.FirstStage),
			Reading: uint32(c.Prefill / thousand),
		})
	}
	for tag, c := range m.repeats.Counts() {
		d.Spent = append(d.Spent, &wire.Spent{Service: tag, Firsts: uint32(c.FirstAttempts), Repeats: uint32(c.Retries)})
	}
	for tag, pace := range m.board.Slowdowns() {
		d.Health = append(d.Health, &wire.Health{Upstream: tag, Pace: uint32(pace * thousand)})
	}
	return d
}

// freshTime is how long after its last datagram a node is worth asking.
const freshTime = 2 * time.Second

// Ahead returns a live node that has a newer configuration or list than the versions given.
func (m *Mesh) Ahead(rules, list uint64) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best Peer
	for _, s := range m.peers {
		if time.Since(s.At) > freshTime || s.Rules <= rules && s.List <= list {
			continue
		}
		if best.Name == "" || s.Rules > best.Rules || s.Rules == best.Rules && s.List > best.List {
			best = s.Peer
		}
	}
	return best, best.Name != ""
}

// Live returns the hashes of the names of the other live nodes of this node's data centre.
func (m *Mesh) Live() []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []uint32
	for _, s := range m.peers {
		if time.Since(s.At) > freshTime || s.DataCentre != m.config.DataCentre {
			continue
		}
		live = append(live, NameTag(s.Name))
		live = append(live, s.digest.GetMembers()...)
	}
	return live
}

// planFresh is how long after its last datagram a node that holds the lease is thought to be at work.
const planFresh = time.Second

// IsPlanned reports whether another node that holds the lease is at work.
func (m *Mesh) IsPlanned() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.peers {
		if s.Plans && time.Since(s.At) <= planFresh {
			return true
		}
	}
	return false
}

// Ask asks a node at an address for what is newer than the versions given.
func (m *Mesh) Ask(ctx context.Context, address string, rules, list uint64) (Known, error) {
	ctx, cancel := context.WithTimeout(ctx, questionTime)
	defer cancel()
	var d net.Dialer
	tcp, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return Known{}, err
	}
	conn := drpcconn.New(tcp)
	defer conn.Close()
	reply, err := wire.NewDRPCMeshClient(conn).News(ctx, &wire.NewsRequest{Rules: rules, List: list})
	if err != nil {
		return Known{}, err
	}
	k := Known{Raw: reply.GetConfiguration(), List: reply.GetList()}
	for _, e := range reply.GetEntries() {
		k.Items = append(k.Items, store.FeedRow{Key: e.GetId(), Value: e.GetValue()})
	}
	return k, nil
}

// server answers other nodes.
type server struct {
	wire.DRPCMeshUnimplementedServer
	mesh *Mesh
}

// News tells what is newer here.
func (s *server) News(_ context.Context, in *wire.NewsRequest) (*wire.NewsReply, error) {
	k := s.mesh.known()
	out := &wire.NewsReply{}
	if k.Rules > in.GetRules() {
		out.Configuration = k.Raw
	}
	if k.List > in.GetList() {
		out.List = k.List
		for _, it := range k.Items {
			out.Entries = append(out.Entries, &wire.Entry{Id: it.Key, Value: it.Value})
		}
	}
	return out, nil
}
