package trial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/event"
	"rhubarbspread/core/kern"
	"rhubarbspread/core/limit"
	_ "rhubarbspread/core/plugs" // the routing policies
	"rhubarbspread/core/relay"
	"rhubarbspread/core/reply"
	"rhubarbspread/core/retry"
	"rhubarbspread/core/route"
	"rhubarbspread/io/fake"
)

// seed fixes every random choice of these tests.
const seed = 20261204

const modelName = "assistant"

// engineSpec describes one stand-in engine of a fleet.
type engineSpec struct {
	slots int
	rate  float64
	link  time.Duration // one way
}

// setup describes a fleet.
type setup struct {
	nodes    int
	engines  []engineSpec
	policy   string
	lag      time.Duration // age of load reports
	patience time.Duration
	progress time.Duration
	share    float64 // retries as a share of first attempts
}

// mixed returns engines of speeds 1:2:4 behind links of 1 to 100 ms.
func mixed(n int) []engineSpec {
	links := []time.Duration{time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond}
	out := make([]engineSpec, n)
	for i := range out {
		out[i] = engineSpec{slots: 8, rate: 25 * float64(int(1)<<(i%3)), link: links[(i/3)%len(links)]}
	}
	return out
}

// fleet is nodes before engines; the nodes share nothing but who they are and crash marks.
type fleet struct {
	t       *testing.T
	setup   setup
	memory  *fake.Memory
	engines []*fake.Engine
	members []limit.Member
	nodes   []*node
	cancel  context.CancelFunc
	reports sync.WaitGroup
}

type node struct {
	name    string
	pool    *limit.Pool
	relay   *relay.Relay
	crashes *crash.Registry
	ring    *event.Ring
}

func newFleet(t *testing.T, s setup) *fleet {
	t.Helper()
	f := &fleet{t: t, setup: s, memory: fake.NewMemory()}
	for i, e := range s.engines {
		engine := fake.NewEngine(fake.EngineConfig{
			Name: fmt.Sprintf("engine-%02d", i), Model: modelName, Slots: e.slots, Rate: e.rate, ReportLag: s.lag,
		})
		f.memory.Add(engine, e.link)
		f.engines = append(f.engines, engine)
		u := route.NewUpstream(engine.Name(), engine.Name(), fmt.Sprintf("dc-%d", (i/3)%3), modelName)
		f.members = append(f.members, limit.Member{Upstream: u, SameDataCentre: true})
	}
	plugin, ok := kern.FindPlugin(s.policy)
	if !ok {
		t.Fatalf("no policy %q", s.policy)
	}
	names := make([]string, s.nodes)
	for i := range names {
		names[i] = fmt.Sprintf("node-%d", i)
	}
	for i, name := range names {
		f.nodes = append(f.nodes, f.newNode(i, name, names, plugin.New.(func() route.Policy)()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range f.nodes {
		f.reports.Go(func() { f.poll(ctx, i) })
	}
	return f
}

func (f *fleet) newNode(i int, name string, names []string, policy route.Policy) *node {
	pool := limit.NewPool(modelName, policy, limit.WithSeed(seed+uint64(i)), limit.WithPatience(f.setup.patience))
	pool.SetNodes(name, names)
	pool.SetMembers(f.members)
	stamps := event.NewClock(time.Now)
	crashes := crash.NewRegistry(time.Now, func() uint64 { return uint64(stamps.Next()) }, 10*time.Minute)
	n := &node{name: name, pool: pool, crashes: crashes, ring: event.NewRing(name, stamps, 4096)}
	n.relay = relay.New(name, f.memory, retry.NewBudget(f.setup.share), crashes, n.ring,
		relay.WithProgressTimeout(f.setup.progress),
		relay.WithNodeRank(func(key uint64) int { return limit.Rank(name, names, key) }),
		relay.WithMarkSender(func(m crash.Mark) { f.gossip(n, m) }))
	return n
}

// gossipDelay is how long a crash mark takes to the other nodes.
const gossipDelay = 5 * time.Millisecond

func (f *fleet) gossip(from *node, m crash.Mark) {
	time.AfterFunc(gossipDelay, func() {
		for _, n := range f.nodes {
			if n != from {
				n.crashes.ApplyMark(m)
			}
		}
	})
}

// poll asks every engine for its load once a second, as a node does.
func (f *fleet) poll(ctx context.Context, i int) {
	for {
		for _, e := range f.engines {
			if slices.Contains(e.Faults(), fake.Crash) || slices.Contains(e.Faults(), fake.Cut) {
				continue
			}
			l := e.Load()
			report := route.Report{Slots: l.Slots, Running: l.Running, Queued: l.Queued, Rate: l.Rate, Leaving: l.Leaving}
			f.nodes[i].pool.SetReport(e.Name(), report, 2*f.memory.Link(e.Name()))
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return
		}
	}
}

func (f *fleet) stop() {
	f.cancel()
	f.reports.Wait()
}

// bound returns the tokens a second of all engines.
func (f *fleet) bound() float64 {
	sum := 0.0
	for _, e := range f.engines {
		sum += e.Capacity()
	}
	return sum
}

// tokens returns the tokens that the engines have generated.
func (f *fleet) tokens() int {
	sum := 0
	for _, e := range f.engines {
		sum += e.Stats().Tokens
	}
	return sum
}

// result is what became of a load.
type result struct {
	mu       sync.Mutex
	offered  int
	answered int
	wrong    int
	tokens   int // of whole answers that ended in the measured window
	notRun   int
	mayRun   int
	slowest  time.Duration // refusal
	first    []time.Duration
	between  []time.Duration
	stalls   []time.Duration
	byTeam   map[string][]time.Duration
	details  map[string]int
	worst    time.Duration // stall
	story    []event.Event // of the answer with the worst stall
}

func newResult() *result {
	return &result{byTeam: make(map[string][]time.Duration), details: make(map[string]int)}
}

// one is one request of a load.
type one struct {
	team   string
	prompt string
	tokens int
	node   int
}

// recorder is the caller: it takes tokens and times them.
type recorder struct {
	at    time.Time
	texts []string
	first time.Duration
	gaps  []time.Duration
}

// Token notes a token.
func (r *recorder) Token(_ int, text string) error {
	now := time.Now()
	if len(r.texts) == 0 {
		r.first = now.Sub(r.at)
	} else {
		r.gaps = append(r.gaps, now.Sub(r.at))
	}
	r.at = now
	r.texts = append(r.texts, text)
	return nil
}

// ask sends one request through a node and notes what became of it.
func (f *fleet) ask(ctx context.Context, res *result, q one, id string) {
	n := f.nodes[q.node]
	rec := &recorder{at: time.Now()}
	start := time.Now()
	_, err := n.relay.Run(ctx, n.pool, relay.NewRequest(id, q.team, 1, modelName, q.prompt, q.tokens), rec)
	res.mu.Lock()
	defer res.mu.Unlock()
	res.offered++
	if err != nil {
		res.refuse(err, time.Since(start), len(rec.texts))
		return
	}
	res.answered++
	if strings.Join(rec.texts, "") != fake.Text(q.prompt, q.tokens) {
		res.wrong++
	}
	res.first = append(res.first, rec.first)
	res.byTeam[q.team] = append(res.byTeam[q.team], rec.first)
	longest := time.Duration(0)
	for _, g := range rec.gaps {
		longest = max(longest, g)
	}
	if longest > res.worst {
		res.worst = longest
		res.story = n.ring.Select(event.Filter{Request: id})
	}
	res.between = append(res.between, rec.gaps...)
	res.stalls = append(res.stalls, longest)
}

func (res *result) refuse(err error, after time.Duration, tokens int) {
	var r *reply.Refusal
	if !errors.As(err, &r) {
		res.details[err.Error()]++
		res.wrong++
		return
	}
	if r.RunState() == reply.NotRun {
		res.notRun++
		res.slowest = max(res.slowest, after)
	} else {
		res.mayRun++
	}
	if tokens > 0 {
		res.details["cut in mid-answer: "+r.Code()+": "+r.Detail()]++
		return
	}
	res.details[r.Code()]++
}

// quantile returns the q-th part of times, or zero where there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// load is an open-loop load: arrivals come at random times, whatever becomes of those before.
type load struct {
	rate     float64 // requests/s
	duration time.Duration
	request  func(r *rand.Rand) one
	series   uint64 // chooses other arrivals of the same kind
}

// run offers a load and waits until every request has ended. Arrivals are those of a Poisson process of
// which the number is known, so that the offered load is the stated one.
func (f *fleet) run(res *result, l load) {
	random := rand.New(rand.NewPCG(seed, 1+l.series))
	times := make([]time.Duration, int(l.rate*l.duration.Seconds()))
	for i := range times {
		times[i] = time.Duration(random.Int64N(int64(l.duration)))
	}
	slices.Sort(times)
	start := time.Now()
	var callers sync.WaitGroup
	for i, at := range times {
		time.Sleep(time.Until(start.Add(at)))
		q := l.request(random)
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			f.ask(ctx, res, q, fmt.Sprintf("request-%d", i))
		})
	}
	callers.Wait()
}

const meanTokens = 64

// plainRequest asks for 32 to 96 tokens of a prompt of its own, at any node.
func plainRequest(nodes int) func(*rand.Rand) one {
	return func(r *rand.Rand) one {
		return one{
			team:   fmt.Sprintf("team-%d", r.IntN(10)),
			prompt: fmt.Sprintf("prompt %d", r.Uint64()),
			tokens: meanTokens/2 + r.IntN(meanTokens+1),
			node:   r.IntN(nodes),
		}
	}
}
