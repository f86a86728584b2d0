package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/place"
	"rhubarbspread/core/rules"
)

// overloadEngine returns the model that the fleet of the overload plays serves.
func overloadEngine() *rules.Engine {
	return &rules.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 754_000, ActivationBytes: 37_700, DecodeStep: 1020 * time.Microsecond,
		PerSequence: 30 * time.Microsecond, PerContextK: 30 * time.Microsecond, PrefillTokensPerSecond: 160_000,
		AttentionTime: 254 * time.Microsecond, StepsPerPass: 6, PrefillChunk: 3072, LinkMbps: 18_000,
		LinkDelay: 750 * time.Microsecond, MeanPromptTokens: 760, MeanOutputTokens: 200,
		Cards: map[string]rules.Card{
			"medium": {SizeMB: 120_000, DecodeFactor: 5.6, PrefillFactor: 2.7},
			"small":  {SizeMB: 48_000, DecodeFactor: 10, PrefillFactor: 5},
		},
	}
}

// stageModel is the true state of an upstream: its batch, its KV cache and the prompts that wait for prefill.
type stageModel struct {
	listed       *fleet.Upstream
	card         rules.Card
	capacity     float64 // tokens x layers of KV cache
	used         float64
	streams      float64
	prefillUntil time.Time // when it has prefilled all prompts that it has, one after the other
	isDead       bool
}

// context returns the mean tokens of its streams.
func (s *stageModel) context() float64 {
	return s.used / max(1, s.streams) / float64(s.listed.Layers.Len())
}

// engineModel plays the upstreams of a fleet.
type engineModel struct {
	engine *rules.Engine

	mu        sync.Mutex
	list      []*fleet.Upstream // that nodes know; replaced as a whole
	stages    map[string]*stageModel
	streams   map[string]*streamModel // by request
	arrivals  int
	refused   int // arrivals refused as not run
	preempted int // streams whose KV cache was dropped for lack of memory
}

// newEngineModel returns pipelines of upstreams in three data centres: in each, two of four medium cards and one of eight small
// ones.
func newEngineModel() *engineModel {
	m := &engineModel{engine: overloadEngine(), stages: make(map[string]*stageModel),
		streams: make(map[string]*streamModel)}
	for _, dc := range overloadCentres {
		m.addPipeline(dc, "medium", "x", 4)
		m.addPipeline(dc, "medium", "y", 4)
		m.addPipeline(dc, "small", "z", 8)
	}
	return m
}

func (m *engineModel) addPipeline(dc, card, name string, stages int) {
	layers := m.engine.Layers / stages
	for i := range stages {
		u := &fleet.Upstream{ID: fmt.Sprintf("%s-%s-%d", dc, name, i), Service: "s", DataCentre: dc, Card: card, Slots: 192,
			Layers: fleet.Range{From: i * layers, To: (i + 1) * layers}}
		u.Address = u.ID + ":80"
		m.list = append(m.list, u)
		c := m.engine.Cards[card]
		m.stages[u.ID] = &stageModel{listed: u, card: c, capacity: m.engine.KVCapacity(c, layers)}
	}
}

// fail lets the upstreams that match crash; the list still has them.
func (m *engineModel) fail(matches func(*fleet.Upstream) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.stages {
		s.isDead = s.isDead || matches(s.listed)
	}
}

// unlist removes the crashed upstreams from the list.
func (m *engineModel) unlist() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = slices.DeleteFunc(slices.Clone(m.list), func(u *fleet.Upstream) bool { return m.stages[u.ID].isDead })
}

// restart brings the crashed upstreams back, empty and as new incarnations.
func (m *engineModel) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, s := range m.stages {
		if s.isDead {
			u := *s.listed
			u.Incarnation++
			m.list = append(slices.Clone(m.list), &u)
			m.stages[id] = &stageModel{listed: &u, card: s.card, capacity: s.capacity}
		}
	}
}

func (m *engineModel) upstreams() []*fleet.Upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// errReset is the error of a connection to a crashed upstream.
var errReset = errors.New("connection reset")

// send begins a stream, or refuses it as not run where a stage is dead or lacks memory.
func (m *engineModel) send(ctx context.Context, s *Send) (*Answer, error) {
	if err := pause(ctx, overloadSendTime); err != nil {
		return nil, NewSendError(true, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrivals++
	st := &streamModel{model: m, ctx: ctx, id: s.ID, next: afterOf(s) + 1, last: s.MaxOutputTokens / m.engine.StepsPerPass}
	st.tokens = float64(s.PromptTokens + st.next*m.engine.StepsPerPass)
	failed := st.setPath(s.Hops)
	if failed == s.Upstream.Address && st.stages[0].isDead {
		return nil, NewSendError(false, errors.New("connection refused"))
	}
	if failed != "" {
		m.refused++
		return notRun(failed), nil
	}
	st.join()
	m.streams[s.ID] = st
	return sealed(s.Upstream.ID, st), nil
}

// report names the streams of an upstream that wait for a dead stage.
func (m *engineModel) report(u *fleet.Upstream) (place.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stages[u.ID].isDead {
		return place.Report{}, errReset
	}
	stalledOn := make(map[string]string)
	for id, st := range m.streams {
		if st.stages[0].listed.ID == u.ID {
			if i := st.deadStage(); i > 0 {
				stalledOn[id] = st.stages[i].listed.Address
			}
		}
	}
	return place.Report{StalledOn: stalledOn}, nil
}

// reroute moves a stream to another path, whose new stages prefill all its tokens. With an error it returns the address of the
// stage at fault.
func (m *engineModel) reroute(id string, hops []board.Hop) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	st := m.streams[id]
	if st == nil || st.isWaiting {
		return "", errors.New("no such stream")
	}
	st.leave()
	before, layers := st.stages, st.layers
	if failed := st.setPath(hops); failed != "" {
		st.stages, st.layers = before, layers
		st.join()
		st.prefilled = len(before)
		return failed, errors.New("a stage refused")
	}
	st.join()
	return "", nil
}

// streamModel is the body of a stream: an event for each pass of the batches on its path.
type streamModel struct {
	model     *engineModel
	ctx       context.Context
	id        string
	stages    []*stageModel
	layers    []int // by stage
	tokens    float64
	next      int // ID of the next event
	last      int
	prefilled int  // stages
	isWaiting bool // was preempted and has no place
	hasEnded  bool
	left      []byte
}

// Read returns the next event after the time of its pass.
func (st *streamModel) Read(p []byte) (int, error) {
	for len(st.left) == 0 {
		if st.next > st.last {
			st.end()
			return 0, io.EOF
		}
		wait, err := st.step()
		if err != nil {
			return 0, err
		}
		if pause(st.ctx, wait) != nil {
			return 0, errors.New("the connection was closed")
		}
	}
	n := copy(p, st.left)
	st.left = st.left[n:]
	return n, nil
}

// step returns how long the prefill on the next stage takes or, once all stages have prefilled the prompt, the next pass, whose
// event it makes.
func (st *streamModel) step() (time.Duration, error) {
	m := st.model
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := st.deadStage(); i == 0 {
		return 0, errReset
	} else if i > 0 {
		return stalledPoll, nil
	}
	if st.isWaiting {
		if !st.hasRoom() {
			return stalledPoll, nil
		}
		st.join()
	}
	if i := st.prefilled; i < len(st.stages) {
		st.prefilled++
		return m.prefill(st.stages[i], st.layers[i], st.tokens) + st.linkTime(i, st.tokens), nil
	}
	var pass time.Duration
	for i, s := range st.stages {
		pass += m.engine.PassTime(s.card, st.layers[i], s.streams, s.context()) + st.linkTime(i, 0)
		queued := time.Until(s.prefillUntil) // a chunk is prefilled between two passes
		pass += max(0, min(queued, m.engine.PrefillTime(s.card, st.layers[i], m.engine.PrefillChunk)))
	}
	if !st.grow() {
		m.preempted++
		st.leave()
		return stalledPoll, nil
	}
	st.left = []byte(eventText(st.next))
	st.next++
	return pass, nil
}

// stalledPoll is after how long a stream that can't go on looks again.
const stalledPoll = 20 * time.Millisecond

// deadStage returns the index of the first dead stage, or -1.
func (st *streamModel) deadStage() int {
	return slices.IndexFunc(st.stages, func(s *stageModel) bool { return s.isDead })
}

// setPath sets the stages, and returns the address of the first one that is dead or lacks memory, or "".
func (st *streamModel) setPath(hops []board.Hop) string {
	st.stages, st.layers = nil, nil
	failed := ""
	for _, h := range hops {
		s := st.model.stages[h.Upstream.ID]
		st.stages, st.layers = append(st.stages, s), append(st.layers, h.Layers.Len())
		isDead := s.isDead || s.listed.Incarnation != h.Upstream.Incarnation
		if failed == "" && (isDead || s.used+st.tokens*float64(h.Layers.Len()) > s.capacity) {
			failed = h.Upstream.Address
		}
	}
	return failed
}

// hasRoom reports whether the memory of all stages suffices for the stream's tokens.
func (st *streamModel) hasRoom() bool {
	for i, s := range st.stages {
		if s.used+st.tokens*float64(st.layers[i]) > s.capacity {
			return false
		}
	}
	return true
}

// join takes a place on all stages, which have to prefill all tokens.
func (st *streamModel) join() {
	st.isWaiting, st.prefilled = false, 0
	for i, s := range st.stages {
		s.streams++
		s.used += st.tokens * float64(st.layers[i])
	}
}

// leave frees the places.
func (st *streamModel) leave() {
	st.isWaiting = true
	for i, s := range st.stages {
		s.streams--
		s.used -= st.tokens * float64(st.layers[i])
	}
}

// grow takes the memory of the tokens of one pass, and reports false if a stage lacks it.
func (st *streamModel) grow() bool {
	tokens := float64(st.model.engine.StepsPerPass)
	hasRoom := true
	for i, s := range st.stages {
		s.used += tokens * float64(st.layers[i])
		hasRoom = hasRoom && s.used <= s.capacity
	}
	st.tokens += tokens
	return hasRoom
}

// prefill queues tokens at a stage and returns when they are prefilled.
func (m *engineModel) prefill(s *stageModel, layers int, tokens float64) time.Duration {
	rate := m.engine.PrefillRate(s.card, layers, s.streams-1, s.context())
	now := time.Now()
	if s.prefillUntil.Before(now) {
		s.prefillUntil = now
	}
	s.prefillUntil = s.prefillUntil.Add(time.Duration(tokens / rate * float64(time.Second)))
	return s.prefillUntil.Sub(now)
}

// linkTime returns how long a step to a stage takes on the link between two data centres.
func (st *streamModel) linkTime(i int, tokens float64) time.Duration {
	if i == 0 || st.stages[i].listed.DataCentre == st.stages[i-1].listed.DataCentre {
		return 0
	}
	e := st.model.engine
	transfer := tokens * e.ActivationBytes * 8 / (e.LinkMbps * 1e6)
	return time.Duration(e.StepsPerPass)*e.LinkDelay + time.Duration(transfer*float64(time.Second))
}

// Close frees the places of the stream.
func (st *streamModel) Close() error {
	st.end()
	return nil
}

func (st *streamModel) end() {
	st.model.mu.Lock()
	defer st.model.mu.Unlock()
	if st.hasEnded {
		return
	}
	st.hasEnded = true
	if st.model.streams[st.id] == st {
		delete(st.model.streams, st.id)
	}
	if !st.isWaiting {
		st.leave()
	}
}

// pause waits for a time or the end of the context.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// overloadNode is one node, with a board and executor of its own.
type overloadNode struct {
	*fakeFleet // the meter and connections
	model      *engineModel
	dataCentre string
	board      *board.Board
	executor   *Executor
	admission  *Admission  // nil without admission control
	isCutOff   atomic.Bool // from the other nodes
}

// Admission implements Gate.
func (n *overloadNode) Admission(string) *Admission { return n.admission }

func (n *overloadNode) Upstreams(string) []*fleet.Upstream { return n.model.upstreams() }
func (n *overloadNode) DataCentre() string                 { return n.dataCentre }
func (n *overloadNode) Send(ctx context.Context, s *Send) (*Answer, error) {
	return n.model.send(ctx, s)
}

// Report implements Engines.
func (n *overloadNode) Report(_ context.Context, u *fleet.Upstream) (place.Report, error) {
	return n.model.report(u)
}

// Reroute implements Engines.
func (n *overloadNode) Reroute(_ context.Context, _ *fleet.Upstream, id string, hops []board.Hop) (string, error) {
	return n.model.reroute(id, hops)
}
