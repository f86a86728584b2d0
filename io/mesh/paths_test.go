package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"rhubarbspread/core/board"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/place"
	"rhubarbspread/core/proxy"
	"rhubarbspread/core/rules"
)

// pathLayout is a model that is split over paths of stages.
type pathLayout struct {
	stages   int           // of each path
	loadTime time.Duration // until an upstream that is back holds its layers again
	// crashStage is the stage that dies of a crashing request, from 0 on, crashAfter after the request reached the first one.
	crashStage int
	crashAfter time.Duration
	isUneven   bool // the stages of a path hold different numbers of layers, and the paths are cut at different ones
	engine     *rules.Engine

	mu      sync.Mutex
	stalled map[string]map[string]string // by first stage, then by request: the address that it waits for
}

const (
	modelLayers   = 80
	eventInterval = 50 * time.Millisecond // between two events of a stream
	firstEventGap = 60 * time.Millisecond // before the first one
	engineStall   = 3 * time.Second       // for which an engine waits for a dead stage
	pathCard      = "card"
)

// usePaths replaces the upstreams by paths of stages.
func (f *crasherFleet) usePaths(paths int, layout *pathLayout) {
	layout.engine = &rules.Engine{
		Layers: modelLayers, LayerMB: 1750, TokenBytes: 918_000, DecodeStep: time.Millisecond, PrefillTokensPerSecond: 105_000,
		StepsPerPass: 3, PrefillChunk: 512, LinkMbps: 26_000, MeanPromptTokens: 774, MeanOutputTokens: 200,
		Cards: map[string]rules.Card{pathCard: {SizeMB: 250_000, DecodeFactor: 1, PrefillFactor: 1}},
	}
	layout.stalled = make(map[string]map[string]string)
	f.paths = layout
	f.upstreams = nil
	for p := range paths {
		bound := func(stage int) int { return stage * modelLayers / layout.stages }
		if layout.isUneven {
			cuts := f.random.Perm(modelLayers - 1)[:layout.stages-1]
			slices.Sort(cuts)
			bound = func(stage int) int { return slices.Concat([]int{-1}, cuts, []int{modelLayers - 1})[stage] + 1 }
		}
		for s := range layout.stages {
			f.upstreams = append(f.upstreams, &fleet.Upstream{
				ID: fmt.Sprintf("p%d-%d", p, s), Service: "s", DataCentre: string(rune('a' + p%4)), Slots: 192, Card: pathCard,
				Address: fmt.Sprintf("10.2.%d.%d:80", p, s), Layers: fleet.Range{From: bound(s), To: bound(s + 1)},
			})
		}
	}
	for _, m := range f.nodes {
		m.board.SetUpstreams(fleet.NewList(1, f.upstreams))
	}
}

// describe makes a request a stream of the model.
func (l *pathLayout) describe(q *proxy.Request) {
	q.Route = &rules.Route{Name: "r", Kind: rules.Streaming, MaxAttempts: 2, LatencyObjective: 500 * time.Millisecond,
		EventGapObjective: 200 * time.Millisecond, Resumable: true}
	q.Service = &rules.Service{Name: "s", Engine: l.engine}
	q.PromptTokens, q.MaxOutputTokens = 800, 200
}

// listed returns the upstreams as the list shows them now.
func (f *crasherFleet) listed() []*fleet.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams
}

// loseLayers replaces an upstream that ends by an empty one, which later holds its layers again. The caller holds the lock.
func (f *crasherFleet) loseLayers(u *fleet.Upstream, downTime time.Duration) {
	layers := u.Layers
	replace := func(after time.Duration, change func(*fleet.Upstream)) {
		time.AfterFunc(after, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			i := slices.IndexFunc(f.upstreams, func(o *fleet.Upstream) bool { return o.ID == u.ID })
			if f.downUntil[u.ID].After(time.Now()) {
				return // it ended again meanwhile
			}
			next := *f.upstreams[i]
			change(&next)
			f.upstreams = slices.Clone(f.upstreams)
			f.upstreams[i] = &next
		})
	}
	replace(downTime, func(next *fleet.Upstream) { next.Incarnation, next.Layers = time.Now().UnixMilli(), fleet.Range{} })
	replace(downTime+f.paths.loadTime, func(next *fleet.Upstream) { next.Layers = layers })
}

// isDown reports whether an upstream is down.
func (f *crasherFleet) isDown(u *fleet.Upstream) bool { return f.dial(u) != nil }

// sendAlongPath runs a stream on a path.
func (v *nodeView) sendAlongPath(ctx context.Context, s *proxy.Send) (*proxy.Answer, error) {
	f := v.fleet
	first := f.beginAt(s.Upstream)
	ctx, end := context.WithCancel(ctx)
	if cause := crashCause(s.Request); cause != "" && !time.Now().Before(f.turnAt) {
		f.noteSend(cause, v)
		f.requests.Go(func() { v.crashLater(ctx, cause, s.Hops[min(f.paths.crashStage, len(s.Hops)-1)].Upstream) })
	}
	broken := []<-chan struct{}{first}
	for _, h := range s.Hops[1:] {
		if f.isDown(h.Upstream) {
			return v.stall(ctx, end, s, h.Upstream, first)
		}
		broken = append(broken, f.beginAt(h.Upstream))
	}
	next, _ := strconv.Atoi(s.ResumeAfter) // 0 if it is not resumed
	body := &streamBody{view: v, ctx: ctx, end: end, send: s, broken: broken, pause: firstEventGap, next: next,
		last: int(f.answerTime / eventInterval)}
	return &proxy.Answer{AnswerInfo: proxy.AnswerInfo{Sealed: true}, Status: http.StatusOK, Header: http.Header{}, Body: body}, nil
}

// crashLater crashes a stage some time after a request has reached its path, unless the request has ended before.
func (v *nodeView) crashLater(ctx context.Context, cause string, stage *fleet.Upstream) {
	select {
	case <-ctx.Done():
	case <-time.After(v.fleet.paths.crashAfter):
		if !v.fleet.isDown(stage) {
			v.fleet.beginAt(stage)
			v.fleet.crash(cause, stage)
		}
	}
}

// stall waits for a dead stage as an engine does, and then refuses the request.
func (v *nodeView) stall(
	ctx context.Context, end context.CancelFunc, s *proxy.Send, dead *fleet.Upstream, first <-chan struct{},
) (*proxy.Answer, error) {
	defer end()
	v.fleet.paths.setStalled(s, dead.Address)
	defer v.fleet.paths.setStalled(s, "")
	select {
	case <-first:
		return nil, proxy.NewSendError(true, errors.New("connection reset"))
	case <-ctx.Done():
		return nil, proxy.NewSendError(true, ctx.Err())
	case <-time.After(engineStall):
		return &proxy.Answer{AnswerInfo: proxy.AnswerInfo{NotRun: true, FailedAddress: dead.Address},
			Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody}, nil
	}
}

// setStalled sets the address that a request waits for, "" for none.
func (l *pathLayout) setStalled(s *proxy.Send, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == "" {
		delete(l.stalled[s.Upstream.ID], s.ID)
		return
	}
	if l.stalled[s.Upstream.ID] == nil {
		l.stalled[s.Upstream.ID] = make(map[string]string)
	}
	l.stalled[s.Upstream.ID][s.ID] = address
}

// Report implements proxy.Engines.
func (v *nodeView) Report(_ context.Context, u *fleet.Upstream) (place.Report, error) {
	if err := v.fleet.dial(u); err != nil {
		return place.Report{}, err
	}
	l := v.fleet.paths
	l.mu.Lock()
	defer l.mu.Unlock()
	r := place.Report{StalledOn: make(map[string]string)}
	for id, address := range l.stalled[u.ID] {
		r.StalledOn[id] = address
	}
	return r, nil
}

// Reroute implements proxy.Engines: no path of the fleet is changed.
func (v *nodeView) Reroute(context.Context, *fleet.Upstream, string, []board.Hop) (string, error) {
	return "", errors.New("409")
}

// streamBody writes a stream until one of its stages ends.
type streamBody struct {
	view   *nodeView
	ctx    context.Context
	end    context.CancelFunc // of ctx
	send   *proxy.Send
	broken []<-chan struct{} // by stage; closed when it ends
	pause  time.Duration
	next   int // ID of the latest event
	last   int // ID of the last one
	buffer []byte
}

func (b *streamBody) Close() error {
	b.end()
	return nil
}

func (b *streamBody) Read(p []byte) (int, error) {
	if len(b.buffer) == 0 {
		if b.next >= b.last {
			b.end()
			return 0, io.EOF
		}
		if err := b.wait(); err != nil {
			b.end()
			return 0, err
		}
		b.next++
		b.pause = eventInterval
		b.buffer = fmt.Appendf(nil, "id: %d\ndata: x\n\n", b.next)
	}
	n := copy(p, b.buffer)
	b.buffer = b.buffer[n:]
	return n, nil
}

// wait waits for the next event. It returns an error if the first stage ends, and stalls while a later one is dead.
func (b *streamBody) wait() error {
	select {
	case <-time.After(b.pause):
	case <-b.broken[0]:
		return errors.New("connection reset")
	case <-b.ctx.Done():
		return b.ctx.Err()
	}
	for i, c := range b.broken[1:] {
		select {
		case <-c:
			return b.stallOn(b.send.Hops[i+1].Upstream)
		default:
		}
	}
	return nil
}

// stallOn waits for a dead stage as an engine does, and then breaks the stream off.
func (b *streamBody) stallOn(dead *fleet.Upstream) error {
	b.view.fleet.paths.setStalled(b.send, dead.Address)
	defer b.view.fleet.paths.setStalled(b.send, "")
	select {
	case <-time.After(engineStall):
	case <-b.broken[0]:
	case <-b.ctx.Done():
	}
	return errors.New("connection reset")
}
