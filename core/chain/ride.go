package chain

import (
	"context"
	"fmt"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/relay"
	"rhubarbspread/core/reply"
)

// ride is one attempt on its way through epochs. Within an epoch no step is sent twice.
type ride struct {
	engine      *Engine
	stages      *Stages
	attempt     *relay.Attempt
	fingerprint crash.Fingerprint
	tokens      []string // accepted, each once
	epoch       int
	plan        Plan
	depth       map[Stage]int // positions that each stage of the plan holds
	memory      *memory
	avoid       map[string]bool
	doubts      map[Stage]int // steps in doubt since the stage's last answer
	ran         bool          // a step was sent that may have run
}

// next returns the token of the next position; it begins new epochs until it has one.
func (r *ride) next(ctx context.Context) (string, reply.Outcome) {
	for {
		if r.plan == nil {
			if o := r.begin(ctx); o != nil {
				return "", o
			}
		}
		token, f := r.pass(ctx, len(r.tokens))
		if f == nil {
			return token, nil
		}
		if ctx.Err() != nil {
			return "", reply.NewUnknown(reply.Canceled, "canceled")
		}
		if o := r.lose(ctx, f); o != nil {
			return "", o
		}
	}
}

// failure is why a position did not get through a stage.
type failure struct {
	stage   Stage
	outcome reply.Outcome // of the step, or nil where the stage lacks activations that are not kept
}

// pass takes one position through all stages, after it has brought up stages that lack earlier ones.
func (r *ride) pass(ctx context.Context, position int) (string, *failure) {
	var input []Activation // of positions first to position, at the present stage
	first := position
	for i, stage := range r.plan {
		from := r.depth[stage]
		step, ok := r.step(stage, from, position, first, input)
		if !ok {
			// What the stage lacks is not kept: the whole chain starts from the prompt.
			return "", &failure{stage: stage}
		}
		result, o := r.send(ctx, stage, step)
		if _, done := o.(reply.Done); !done {
			return "", &failure{stage: stage, outcome: o}
		}
		r.depth[stage] = position + 1
		if i == len(r.plan)-1 {
			return result.Tokens[len(result.Tokens)-1], nil
		}
		first, input = from, result.Outputs
		for k, a := range input {
			r.memory.keep(stage.Range.To, first+k, a)
		}
	}
	panic("chain: a plan without stages")
}

// step builds the step that takes a stage from the positions it holds up to one more.
func (r *ride) step(stage Stage, from, position, first int, input []Activation) (*Step, bool) {
	s := &Step{Request: r.attempt.Request(), Epoch: r.epoch, Position: from, Layers: stage.Range}
	if stage.Range.From == 0 {
		s.Prompt = r.attempt.Prompt()
		for p := from; p <= position; p++ {
			s.Tokens = append(s.Tokens, r.before(p))
		}
		return s, true
	}
	if from >= first {
		s.Inputs = input[from-first:]
		return s, true
	}
	kept := r.memory.have(stage.Range.From, position+1)
	if kept == nil {
		return nil, false
	}
	s.Inputs = kept[from : position+1]
	return s, true
}

func (r *ride) before(position int) string {
	if position == 0 {
		return ""
	}
	return r.tokens[position-1]
}

// send runs a step; a step without an answer is in doubt, unless its stage proves to be only slow.
func (r *ride) send(ctx context.Context, stage Stage, s *Step) (*StepResult, reply.Outcome) {
	stepCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.engine.counters.Steps.Add(1)
	type answer struct {
		result  *StepResult
		outcome reply.Outcome
	}
	answers := make(chan answer, 1)
	go func() {
		result, o := r.engine.runner.Step(stepCtx, stage.Upstream, s)
		answers <- answer{result, o}
	}()
	timer := time.NewTimer(time.Duration(r.engine.stepTime.Load()))
	defer timer.Stop()
	select {
	case a := <-answers:
		return r.check(stage, s, a.result, a.outcome)
	case <-timer.C:
		return nil, reply.NewUnknown(reply.Silent, "no answer to a step")
	case <-ctx.Done():
		return nil, reply.NewUnknown(reply.Canceled, "canceled")
	}
}

func (r *ride) check(stage Stage, s *Step, result *StepResult, o reply.Outcome) (*StepResult, reply.Outcome) {
	if reply.Ran(o) {
		r.ran = true
	}
	if _, done := o.(reply.Done); !done {
		return nil, o
	}
	if !result.Answers(s, r.stages.Layers()) {
		r.engine.counters.Crossed.Add(1)
		return nil, reply.NewUnknown(reply.Failed, "the answer belongs to another step")
	}
	r.stages.Succeeded(stage.Upstream.Name())
	delete(r.doubts, stage)
	return result, o
}

// begin plans a whole chain and starts it from the prompt.
func (r *ride) begin(ctx context.Context) reply.Outcome {
	deadline := time.Now().Add(planTime)
	for {
		r.plan = r.stages.Plan(Range{0, r.stages.Layers()}, r.avoid)
		if r.plan != nil {
			clear(r.depth)
			r.memory.drop()
			r.memory.partial = false
			return nil
		}
		clear(r.avoid)
		if time.Now().After(deadline) {
			return r.stuck("no chain covers the model's layers")
		}
		select {
		case <-time.After(planPause):
		case <-ctx.Done():
			return reply.NewUnknown(reply.Canceled, "canceled")
		}
	}
}

func (r *ride) stuck(why string) reply.Outcome {
	if r.ran {
		return reply.NewUnknown(reply.Failed, why)
	}
	return reply.NewNotSent(why)
}

// lose ends the epoch after a step in doubt and rebuilds what was lost.
func (r *ride) lose(ctx context.Context, f *failure) reply.Outcome {
	r.epoch++
	r.engine.counters.Epochs.Add(1)
	why := "activations are not kept"
	if f.outcome != nil {
		why = reply.Reason(f.outcome)
	}
	r.engine.note(r, "epoch", f.stage.Upstream.Name(), why)
	switch {
	case r.epoch > maxEpochs:
		return r.stuck(fmt.Sprintf("the chain broke %d times, the last one: %s", r.epoch, why))
	case f.outcome == nil:
		r.restart()
		return nil
	case r.survives(ctx, f.stage, f.outcome):
		return nil
	}
	return r.replace(f.stage)
}

func (r *ride) restart() {
	r.engine.counters.Prefills.Add(1)
	r.stages.Release(r.plan)
	r.plan = nil
}

// survives reports whether the stage still holds its state, so that the new epoch goes on with it. It
// takes the stage back to the positions whose tokens are accepted; a stage that lost its state says so.
func (r *ride) survives(ctx context.Context, stage Stage, o reply.Outcome) bool {
	u := stage.Upstream
	if refused, ok := o.(reply.Refused); ok {
		r.engine.note(r, "stage-refused", u.Name(), refusedNote(refused))
		return false
	}
	r.doubts[stage]++
	if r.doubts[stage] > mostDoubts {
		// It answers probes and no steps: its layers go elsewhere.
		r.stages.Failed(u.Name())
		return false
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if r.engine.runner.Alive(probeCtx, u) != nil {
		r.died(stage, o)
		return false
	}
	r.engine.runner.Drop(u)
	for _, s := range r.plan {
		r.depth[s] = min(r.depth[s], len(r.tokens))
	}
	return true
}

// mostDoubts is how many steps in a row may stay without an answer from a stage that answers probes.
const mostDoubts = 2

func refusedNote(r reply.Refused) string { return fmt.Sprintf("status=%d", r.Status()) }

func isSilent(o reply.Outcome) bool {
	u, ok := o.(reply.Unknown)
	return ok && u.Fault() == reply.Silent
}

func (r *ride) died(stage Stage, o reply.Outcome) {
	u := stage.Upstream
	r.stages.Failed(u.Name())
	if r.engine.crashes == nil {
		return
	}
	sign := crash.SignOf(isSilent(o), len(r.tokens) > len(r.attempt.Accepted()))
	if m, ok := r.engine.crashes.Died(r.fingerprint, u.Name(), u.DataCentre(), sign); ok {
		r.engine.spread(m)
	}
}

// replace keeps the stages that live and plans the lost stage's layers anew.
func (r *ride) replace(stage Stage) reply.Outcome {
	if r.engine.crashes != nil {
		if _, bad := r.engine.crashes.Judge(r.fingerprint).(crash.Quarantined); bad {
			return reply.NewUnknown(reply.Failed, "upstreams died of this request more than once")
		}
	}
	r.avoid[stage.Upstream.Name()] = true
	gap := r.stages.Plan(stage.Range, r.avoid)
	if gap == nil {
		r.restart()
		return nil
	}
	r.stages.Release(Plan{stage})
	delete(r.depth, stage)
	var plan Plan
	for _, s := range r.plan {
		if s == stage {
			plan = append(plan, gap...)
			continue
		}
		r.depth[s] = min(r.depth[s], len(r.tokens))
		plan = append(plan, s)
	}
	r.plan = plan
	r.engine.counters.Replays.Add(1)
	return nil
}
