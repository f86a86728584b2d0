package proxy

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/retry"
	"rhubarbspread/core/rules"

	"github.com/go-logr/logr"
)

var overloadCentres = []string{"a", "b", "c"}

const (
	overloadNodes    = 6
	overloadSendTime = 2 * time.Millisecond
	gossipPeriod     = 150 * time.Millisecond
	gossipDelay      = 100 * time.Millisecond
	callerPatience   = 2 * time.Second // without an event
	callerDeadline   = 20 * time.Second
	unlistTime       = time.Second // after which a crashed upstream leaves the list
)

// overloadRoute is a class of requests; share is that of the calm traffic, worth that of an answer in aim.
type overloadRoute struct {
	rules.Route
	share, worth float64
}

func overloadRoutes() []*overloadRoute {
	routes := make([]*overloadRoute, 3)
	for i, first := range []time.Duration{500, 500, 1000} {
		routes[i] = &overloadRoute{share: []float64{143, 79, 49}[i] / (143 + 79 + 49), worth: []float64{2.7, 1.5, 0.81}[i],
			Route: rules.Route{Name: fmt.Sprint("r", i), Kind: rules.Streaming, Priority: i, MaxAttempts: 2, Resumable: true,
				LatencyObjective: first * time.Millisecond, EventGapObjective: 250 * time.Millisecond}}
	}
	return routes
}

// overloadPlay is one play: the load over time, and what fails.
type overloadPlay struct {
	seed      uint64
	calm      float64                                           // requests a second of the calm load
	admits    bool                                              // with admission control
	rate      func(at time.Duration, class, centre int) float64 // factor on the calm traffic
	most      float64                                           // bound of the factors, summed over classes
	duration  time.Duration
	failAt    time.Duration // when half of the capacity crashes, 0 for never
	failed    bool          // half of the capacity is gone from the beginning
	restartAt time.Duration
	cutAt     time.Duration // when one node is cut off from the others, 0 for never
	mergeAt   time.Duration
	mix       overloadMix
}

// overloadMix is how callers and requests differ beyond the routes.
type overloadMix struct {
	deadlines time.Duration // callers begin with callerDeadline or up to this much less
	teamShare float64       // share of requests of a team with the highest priority; 0 for requests without teams
	bigShare  float64       // share of requests that are large
}

// A large request has some four times the tokens of a usual one. Its bounds let a stream end and its first event come in time on
// upstreams without load.
const (
	bigPromptFactor = 5
	maxBigPrompt    = 6000
	bigOutputFactor = 2
)

// call is a caller's request with up to one retry.
type call struct {
	at             time.Duration // of its arrival
	class, node    int
	prompt, output int
	begins         time.Duration // from the arrival to the deadline
	team           rules.Team
	isBig          bool

	isServed                     bool // a whole answer
	isRefused, hasLeft, isBroken bool
	isLateFirst, hasGap          bool // the first event or a later one came after the objective
	tries                        int
	answeredAt                   time.Duration // of the first event
	inAim                        bool          // the answer is within objective, counted from the request that it answers
	isAtOnce                     bool          // the same, counted from the first request
}

// overloadRun is a play that runs.
type overloadRun struct {
	*overloadPlay
	model  *engineModel
	routes []*overloadRoute
	nodes  []*overloadNode
	start  time.Time
	calls  []*call
	plays  int         // that the calls are of
	levels [][]float64 // by sample, by node
	// allLevels holds the levels of all plays that the calls are of, by play, sample and node.
	allLevels [][][]float64
}

// arrivals returns the calls of a play; they depend on the seed and the load alone.
func (p *overloadPlay) arrivals(routes []*overloadRoute) []*call {
	random, mixed := rand.New(rand.NewPCG(p.seed, 1)), rand.New(rand.NewPCG(p.seed, 2))
	var calls []*call
	for at := 0.0; ; {
		at += random.ExpFloat64() / (p.calm * p.most)
		c := &call{at: time.Duration(at * float64(time.Second)), node: random.IntN(overloadNodes),
			prompt: int(min(2500, 200+random.ExpFloat64()*570)), output: int(min(440, 30+random.ExpFloat64()*185))}
		if c.at >= p.duration {
			return calls
		}
		pick := random.Float64() * p.most
		for class, r := range routes {
			share := r.share * p.rate(c.at, class, c.node%len(overloadCentres))
			if pick >= 0 && pick < share {
				c.class = class
				p.mix.apply(c, mixed)
				calls = append(calls, c)
			}
			pick -= share
		}
	}
}

// apply sets what differs between callers.
func (m *overloadMix) apply(c *call, random *rand.Rand) {
	c.begins = callerDeadline - time.Duration(random.Float64()*float64(m.deadlines))
	if isOfTeam := random.Float64() < m.teamShare; isOfTeam {
		c.team = rules.Team{Name: "first", Priority: 0}
	} else if m.teamShare > 0 {
		c.team = rules.Team{Name: "others", Priority: 1}
	}
	if c.isBig = random.Float64() < m.bigShare; c.isBig {
		c.prompt, c.output = min(maxBigPrompt, c.prompt*bigPromptFactor), c.output*bigOutputFactor
	}
}

// teamPriorities returns the priorities of the play's teams; -1 is that of requests without a team.
func (m *overloadMix) teamPriorities() []int {
	if m.teamShare > 0 {
		return []int{0, 1}
	}
	return []int{-1}
}

// play runs a play to its end.
func (p *overloadPlay) play() *overloadRun {
	r := &overloadRun{overloadPlay: p, model: newEngineModel(), routes: overloadRoutes(), start: time.Now()}
	for i := range overloadNodes {
		r.nodes = append(r.nodes, r.newNode(i))
	}
	if r.failed {
		r.model.fail(isHalf)
		r.model.unlist()
	}
	r.setList()
	r.calls = p.arrivals(r.routes)
	ctx, cancel := context.WithCancel(context.Background())
	var background, callers sync.WaitGroup
	background.Go(func() { r.gossip(ctx) })
	background.Go(func() { r.disturb(ctx) })
	for _, c := range r.calls {
		time.Sleep(time.Until(r.start.Add(c.at)))
		callers.Go(func() { r.call(c) })
	}
	callers.Wait()
	cancel()
	background.Wait()
	return r
}

func (r *overloadRun) newNode(i int) *overloadNode {
	n := &overloadNode{fakeFleet: &fakeFleet{counts: make(map[string]int)}, model: r.model,
		dataCentre: overloadCentres[i%len(overloadCentres)]}
	onFreed := func() {}
	var gate Gate
	if r.admits {
		n.admission = NewAdmission("s")
		var classes []admit.Class
		for _, team := range r.mix.teamPriorities() {
			for _, t := range r.routes {
				classes = append(classes, admit.Class{Rank: admit.RankOf(team, t.Priority), FirstEvent: t.LatencyObjective, EventGap: t.EventGapObjective})
			}
		}
		n.admission.Controller.SetClasses(classes)
		onFreed, gate = n.admission.Queue.Wake, n
	}
	n.board = board.New(board.WithNode(uint32(i)+1), board.WithSeed(r.seed*100+uint64(i)), board.WithDataCentre(n.dataCentre), board.WithOnFreed(onFreed))
	n.board.SetNodes(overloadNodes)
	n.board.SetViewAge(gossipDelay + gossipPeriod/2)
	budget := retry.NewWindow(0.1, 20, 10*time.Second)
	budget.SetNodes(overloadNodes)
	n.executor = New(Dependencies{Transport: n, Engines: n, Board: n.board, Fleet: n, Budget: budget,
		Crashes:   crash.NewRegistry(time.Now, func() uint64 { return uint64(time.Now().UnixNano()) }, time.Minute),
		Broadcast: func(crash.Mark) {}, Meter: n, Log: logr.Discard(), Gate: gate})
	return n
}

func (r *overloadRun) setList() {
	list := fleet.NewList(uint64(time.Since(r.start)), r.model.upstreams())
	for _, n := range r.nodes {
		n.board.SetUpstreams(list)
	}
}

// gossip exchanges claims and counts between all nodes that are not cut off, and samples the levels.
func (r *overloadRun) gossip(ctx context.Context) {
	for pause(ctx, gossipPeriod) == nil {
		since := time.Since(r.start)
		var levels []float64
		for i, n := range r.nodes {
			n.isCutOff.Store(i == 0 && r.cutAt > 0 && since >= r.cutAt && since < r.mergeAt)
			g := board.Gossip{Node: fmt.Sprint(i), DataCentre: n.dataCentre, Claims: n.board.Claims(),
				Refusing: n.board.RefusingHashes(), Failed: n.board.FailedHashes()}
			doubts := n.board.Doubts()
			var counts map[uint32]admit.Count
			if n.admission != nil {
				counts = maps.Clone(n.admission.Controller.Counts())
				levels = append(levels, n.admission.Controller.Level())
			}
			time.AfterFunc(gossipDelay, func() {
				for _, o := range r.nodes {
					if o == n || o.isCutOff.Load() || n.isCutOff.Load() {
						continue
					}
					o.board.ApplyGossip(g)
					o.board.ApplyDoubts(doubts)
					if o.admission != nil {
						o.admission.Controller.Merge(g.Node, counts)
					}
				}
			})
		}
		r.levels = append(r.levels, levels)
	}
}

// isHalf reports whether an upstream is of the half of the capacity that crashes.
func isHalf(u *fleet.Upstream) bool { return u.ID[2] == 'y' || u.ID[2] == 'z' && u.DataCentre != "c" }

// disturb lets half of the capacity crash and come back.
func (r *overloadRun) disturb(ctx context.Context) {
	if r.failAt == 0 || pause(ctx, r.failAt) != nil {
		return
	}
	r.model.fail(isHalf)
	_ = pause(ctx, unlistTime)
	r.model.unlist()
	r.setList()
	_ = pause(ctx, r.restartAt-r.failAt-unlistTime)
	r.model.restart()
	r.setList()
}

// call sends a caller's request, and sends it once more after a refusal that names a time.
func (r *overloadRun) call(c *call) {
	deadline := time.Now().Add(c.begins)
	first := time.Now()
	for c.tries = 1; ; c.tries++ {
		began := time.Now()
		sink, err := r.try(c, deadline)
		var refusal *Refusal
		c.isRefused = errors.As(err, &refusal) && refusal.Status == http.StatusServiceUnavailable
		if c.isRefused && c.tries == 1 && refusal.RetryAfter > 0 && refusal.RetryAfter <= time.Until(deadline)/3 {
			time.Sleep(refusal.RetryAfter)
			continue
		}
		t := r.routes[c.class]
		c.isServed, c.hasLeft = err == nil, errors.Is(err, ErrCallerGone)
		c.answeredAt = sink.firstAt.Sub(r.start)
		c.isBroken = err != nil && !c.isRefused && !c.hasLeft
		c.isLateFirst, c.hasGap = sink.firstAt.Sub(began) > t.LatencyObjective, sink.longestGap > t.EventGapObjective
		c.inAim = c.isServed && sink.firstAt.Sub(began) <= t.LatencyObjective && sink.longestGap <= t.EventGapObjective
		c.isAtOnce = c.inAim && sink.firstAt.Sub(first) <= t.LatencyObjective
		return
	}
}

// try sends a request whose caller leaves when no event comes for some time.
func (r *overloadRun) try(c *call, deadline time.Time) (*overloadSink, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sink := &overloadSink{leave: time.AfterFunc(callerPatience, cancel)}
	defer sink.leave.Stop()
	t := r.routes[c.class]
	id := fmt.Sprint(c.at)
	err := r.nodes[c.node].executor.Run(ctx, &Request{
		CallerHeaders: CallerHeaders{ID: id, PromptTokens: c.prompt, MaxOutputTokens: c.output}, Method: http.MethodPost,
		URI: "/x/", Host: "h", Body: []byte(id), Route: &t.Route, Team: c.team,
		Service: &rules.Service{Name: "s", Engine: r.model.engine}, ExpiresAt: deadline}, sink)
	return sink, err
}

// overloadSink is a caller that leaves after its patience.
type overloadSink struct {
	leave           *time.Timer
	firstAt, lastAt time.Time
	longestGap      time.Duration
}

func (s *overloadSink) Begin(int, http.Header) {}

func (s *overloadSink) Write([]byte) error {
	now := time.Now()
	if s.firstAt.IsZero() {
		s.firstAt = now
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.leave.Reset(callerPatience)
	return nil
}
