package proxy

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rhubarbspread/core/admit"
	"rhubarbspread/core/board"
	"rhubarbspread/core/crash"
	"rhubarbspread/core/fleet"
	"rhubarbspread/core/pacer"
	"rhubarbspread/core/queue"
	"rhubarbspread/core/rules"

	"github.com/go-logr/logr/funcr"
)

// explainWorld is a node in a random state with a request that has arrived.
type explainWorld struct {
	*admissionFake
	random *rand.Rand
	engine *rules.Engine
	logged int
}

func newExplainWorld(seed uint64) *explainWorld {
	f := &explainWorld{admissionFake: newAdmissionFake(0), random: rand.New(rand.NewPCG(seed, 1))}
	f.inForce = f.random.IntN(2) == 0
	if f.random.IntN(4) > 0 {
		f.engine = model()
	}
	f.executor.random = f.random.Float64
	f.executor.log = funcr.New(func(string, string) { f.logged++ }, funcr.Options{})
	f.executor.board = board.New(board.WithSeed(seed), board.WithDataCentre("a"), board.WithOnFreed(f.admission.Queue.Wake),
		board.WithLogger(f.executor.log))
	f.executor.board.SetSharers(pacer.NewSharers(1, nil))
	f.list = nil
	ranges := []fleet.Range{{From: 0, To: 40}, {From: 40, To: 80}, {From: 0, To: 80}, {From: 0, To: 20}, {From: 20, To: 80}, {}}
	for i := range 2 + f.random.IntN(10) {
		u := &fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s", Slots: 1 + f.random.IntN(6), DataCentre: []string{"a", "a", "b"}[f.random.IntN(3)],
			Card: []string{"big", "slow"}[f.random.IntN(2)], Draining: f.random.IntN(12) == 0}
		if f.engine != nil {
			u.Layers = ranges[f.random.IntN(len(ranges))]
		}
		f.list = append(f.list, u)
	}
	f.executor.board.SetUpstreams(fleet.NewList(1, f.list))
	f.load()
	f.harm()
	f.crowd()
	return f
}

// load sends a random number of requests, some of which end.
func (f *explainWorld) load() {
	for range f.random.IntN(40) {
		if f.engine == nil {
			f.executor.board.ReservePlain(f.list, nil)
			continue
		}
		n := &board.Need{Engine: f.engine, DataCentre: "a", PromptTokens: float64(f.random.IntN(6000)), OutputTokens: 300, EventGap: time.Second}
		if res := f.executor.board.ReservePath(f.list, n); res != nil && f.random.IntN(2) == 0 {
			res.PrefillDone()
		}
	}
}

// harm lets upstreams fail, refuse, rest and name limits.
func (f *explainWorld) harm() {
	for range f.random.IntN(6) {
		u := f.list[f.random.IntN(len(f.list))]
		switch f.random.IntN(4) {
		case 0:
			f.executor.board.RecordFailure(u)
		case 1:
			f.executor.board.RecordRefusal(u, "")
			f.executor.board.ApplyDoubts(map[uint32]board.Doubt{board.KeyOf(u).Hash(): {AnsweredAge: -1, Count: 2, Sources: []uint32{7, 8}}})
		case 2:
			f.executor.board.RecordRest(u, time.Duration(f.random.IntN(3000))*time.Millisecond)
		case 3:
			f.executor.board.RecordLimit(u, float64(f.random.IntN(3)))
		}
		time.Sleep(time.Duration(f.random.IntN(100)) * time.Millisecond)
	}
	if f.random.IntN(6) == 0 { // the request, or a part of it, has crashed upstreams
		q := f.request("doomed")
		for i := range 1 + f.random.IntN(5) {
			for _, s := range q.suspects() {
				f.crashes.RecordDeathAt(s, fmt.Sprint("dead", i), "a", crash.BrokeBeforeFirstToken, time.Now(), time.Now())
			}
			time.Sleep(time.Second)
		}
	}
}

// crowd gives the admission control a history and the queue waiting requests.
func (f *explainWorld) crowd() {
	for range f.random.IntN(60) {
		t := f.admission.Controller.Offer(admit.Request{Rank: admit.RankOf(-1, f.random.IntN(3)), Team: fmt.Sprint(f.random.IntN(3)), Tokens: 900})
		if f.random.IntN(2) == 0 {
			t.Admit()
		} else {
			t.Refuse()
		}
	}
	for range 8 {
		f.admission.Queue.Join(queue.Entry{}).Leave(true)
	}
	for range f.random.IntN(3) * f.random.IntN(20) {
		w := f.admission.Queue.Join(queue.Entry{Rank: admit.RankOf(-1, f.random.IntN(3)), Team: fmt.Sprint(f.random.IntN(3)), Tokens: 900})
		select {
		case <-w.Turn():
			w.Pass()
		default:
		}
	}
}

// request returns a request of a random class; requests with one ID have the same fingerprint.
func (f *explainWorld) request(id string) *Request {
	q := request(f.routes[f.random.IntN(len(f.routes))], f.engine)
	q.URI, q.PromptTokens, q.PromptParts = "/"+id, 100+f.random.IntN(8000), []string{"00", "01"}
	if f.random.IntN(8) == 0 {
		q.ExpiresAt = time.Now().Add(time.Duration(f.random.IntN(400)) * time.Millisecond)
	}
	return q
}

// decided is the result of a decision.
type decided struct {
	upstream string
	path     string
	refusal  Refusal
	waited   time.Duration
}

// isTie reports whether a withheld request asked again at the moment in which its wait ended.
func (d decided) isTie() bool {
	return d.waited > 0 && d.waited%withheldPoll == 0 && (d.upstream != "" || strings.Contains(d.refusal.Cause, "few of them are sent"))
}

// decide decides on a request as Run does.
func (f *explainWorld) decide(t *testing.T, q *Request) decided {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), q.ExpiresAt)
	defer cancel()
	began := time.Now()
	r := f.executor.begin(ctx, q, nil)
	defer r.leaveAdmission()
	res, err := r.nextReservation()
	d := decided{waited: time.Since(began)}
	var refusal *Refusal
	switch {
	case err == nil:
		d.upstream, d.path = res.Upstream.ID, board.Describe(res.Hops())
	case errors.As(err, &refusal):
		d.refusal = *refusal
	default:
		t.Errorf("unexpected error %v", err)
	}
	return d
}

// checkAgreement compares an explanation with the decision that followed.
func checkAgreement(t *testing.T, x Explanation, d decided) string {
	t.Helper()
	switch {
	case x.Refusal == nil:
		path := ""
		if x.Chosen != nil {
			path = board.Describe(x.Chosen.Hops())
		}
		if d.upstream != x.Upstream || d.path != path || d.waited > 0 {
			t.Errorf("explained as sent to %s by %q, decided %+v", x.Upstream, path, d)
		}
		return "sent"
	case d.waited == 0 && x.Waited > 0, d.waited > x.Waited:
		t.Errorf("explained as refused after %v (%v), decided %+v", x.Waited, x.Refusal, d)
	case d.waited == x.Waited && d.upstream == "":
		if d.refusal.Status != x.Refusal.Status || d.refusal.Cause != x.Refusal.Cause ||
			d.refusal.RetryAfter < x.Refusal.RetryAfter || d.refusal.RetryAfter > x.LongestRetry {
			t.Errorf("explained as refused: %v after %v to %v, decided %+v", x.Refusal, x.Refusal.RetryAfter, x.LongestRetry, d)
		}
	default: // something became free while it waited
		return "freed"
	}
	if x.Waited > 0 {
		return "refused after a wait"
	}
	return "refused at once"
}

// TestExplanationsAgreeWithDecisions guards against an explanation that differs from the decision on the same state, and against one
// that reserves, charges, counts or logs: the same world without explanations must decide and count alike from then on.
func TestExplanationsAgreeWithDecisions(t *testing.T) {
	const worlds = 600
	kinds, reasons := make(map[string]int), make(map[board.Reason]int)
	for seed := range uint64(worlds) {
		var explained, plain []decided
		for _, isExplained := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				f := newExplainWorld(seed)
				var decisions []decided
				for _, id := range []string{"doomed", "next", "last"} {
					q := f.request(id)
					if isExplained {
						counts, logged, began := maps.Clone(f.counts), f.logged, time.Now()
						f.executor.Explain(t.Context(), q)
						x := f.executor.Explain(t.Context(), q)
						if !maps.Equal(counts, f.counts) || logged != f.logged || f.retries != 99 || time.Since(began) > 0 {
							t.Errorf("seed %d: an explanation counts %v (before: %v), logs, charges or waits", seed, f.counts, counts)
						}
						d := f.decide(t, q)
						kinds[checkAgreement(t, x, d)]++
						for _, o := range x.Omitted {
							reasons[o.Reason]++
						}
						decisions = append(decisions, d)
						continue
					}
					decisions = append(decisions, f.decide(t, q))
				}
				decisions = append(decisions, decided{path: fmt.Sprint(f.counts, f.logged, f.admission.Queue.Len())})
				if isExplained {
					explained = decisions
				} else {
					plain = decisions
				}
			})
		}
		// A withheld request asks again every withheldPoll, also at the very end of its wait, and the runtime chooses which comes first.
		for i := range explained {
			if explained[i].isTie() || plain[i].isTie() {
				explained, plain = explained[:i], plain[:i]
				break
			}
		}
		if !slices.Equal(explained, plain) {
			t.Errorf("seed %d: with explanations\n%+v\nwithout\n%+v", seed, explained, plain)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("decisions %v, reasons %v", kinds, reasons)
	for _, kind := range []string{"sent", "refused at once", "refused after a wait"} {
		if kinds[kind] < worlds/20 {
			t.Errorf("%d decisions are %s, too few to compare", kinds[kind], kind)
		}
	}
	for _, reason := range []board.Reason{board.Draining, board.OtherLayers, board.AtRest, board.InDoubt, board.Ejected, board.AtLimit,
		board.NoRoom, board.Quarantined, board.Dearer, board.ClassLimit} {
		if reasons[reason] == 0 {
			t.Errorf("no upstream is left out with reason %s", reason)
		}
	}
}

// BenchmarkExplain measures an explanation on a node of the largest fleet that is planned for.
func BenchmarkExplain(b *testing.B) {
	f := newAdmissionFake(0)
	f.list = nil
	for i := range 690 {
		from := i % 8 * 10
		f.list = append(f.list, &fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s", Slots: 192, DataCentre: string(rune('a' + i%6)),
			Card: "big", Layers: fleet.Range{From: from, To: from + 10}})
	}
	q := request(f.routes[0], model())
	for b.Loop() {
		f.executor.Explain(b.Context(), q)
	}
}
