package chain

import (
	"context"
	"fmt"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/relay"
	"rhubarbspread/core/reply"
)

// chainAttempt is the state of one attempt that runs on a chain. A new epoch begins each time the chain breaks; within
// an epoch, no step is sent twice.
type chainAttempt struct {
	engine          *Engine
	stages          *Stages
	attempt         *relay.Attempt
	suspects        []crash.Fingerprint
	tokens          []string // accepted so far, including those of earlier attempts
	epoch           int
	plan            Plan
	heldPositions   map[Stage]int // number of positions whose state each stage of the plan holds
	activations     *activationStore
	excluded        map[string]bool // names of upstreams that new plans avoid
	unansweredSteps map[Stage]int   // since the stage's last answer
	mayHaveRun      bool            // some step was executed or may have been
}

// nextToken returns the token at the next position. It begins new epochs until a position passes all stages.
func (c *chainAttempt) nextToken(ctx context.Context) (string, reply.Outcome) {
	for {
		if c.plan == nil {
			if o := c.startChain(ctx); o != nil {
				return "", o
			}
		}
		token, f := c.runPosition(ctx, len(c.tokens))
		if f == nil {
			return token, nil
		}
		if ctx.Err() != nil {
			return "", reply.NewUnknown(reply.Canceled, "canceled")
		}
		if o := c.recoverFrom(ctx, f); o != nil {
			return "", o
		}
	}
}

// failure is the stage and the outcome at which a position failed.
type failure struct {
	stage   Stage
	outcome reply.Outcome // of the step, or nil if inputs that the stage needs are not stored
}

// runPosition runs one position through all stages and returns its token. A stage that lacks earlier positions runs
// those in the same step.
func (c *chainAttempt) runPosition(ctx context.Context, position int) (string, *failure) {
	var input []Activation // of the current stage, for the positions from first to position
	first := position
	for i, stage := range c.plan {
		from := c.heldPositions[stage]
		step, ok := c.buildStep(stage, from, position, first, input)
		if !ok {
			// The inputs that the stage lacks are not stored: the whole chain restarts from the prompt.
			return "", &failure{stage: stage}
		}
		result, o := c.runStep(ctx, stage, step)
		if _, done := o.(reply.Done); !done {
			return "", &failure{stage: stage, outcome: o}
		}
		c.heldPositions[stage] = position + 1
		if i == len(c.plan)-1 {
			return result.Tokens[len(result.Tokens)-1], nil
		}
		first, input = from, result.Outputs
		for k, a := range input {
			c.activations.add(stage.Range.To, first+k, a)
		}
	}
	panic("chain: a plan without stages")
}

// buildStep returns the step for a stage that holds the positions before from and has to run up to position. It reports
// false if an input is neither in input, which begins at position first, nor stored.
func (c *chainAttempt) buildStep(stage Stage, from, position, first int, input []Activation) (*Step, bool) {
	s := &Step{Request: c.attempt.Request(), Epoch: c.epoch, Position: from, Layers: stage.Range}
	if stage.Range.From == 0 {
		s.Prompt = c.attempt.Prompt()
		for p := from; p <= position; p++ {
			s.Tokens = append(s.Tokens, c.tokenBefore(p))
		}
		return s, true
	}
	if from >= first {
		s.Inputs = input[from-first:]
		return s, true
	}
	stored := c.activations.inputsBefore(stage.Range.From, position+1)
	if stored == nil {
		return nil, false
	}
	s.Inputs = stored[from : position+1]
	return s, true
}

// tokenBefore returns the token that precedes a position, or "" for the first one.
func (c *chainAttempt) tokenBefore(position int) string {
	if position == 0 {
		return ""
	}
	return c.tokens[position-1]
}

// runStep sends a step to its stage. Without an answer within the step timeout, the outcome is unknown.
func (c *chainAttempt) runStep(ctx context.Context, stage Stage, s *Step) (*StepResult, reply.Outcome) {
	stepCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.engine.counters.Steps.Add(1)
	type answer struct {
		result  *StepResult
		outcome reply.Outcome
	}
	answers := make(chan answer, 1)
	go func() {
		result, o := c.engine.runner.Step(stepCtx, stage.Upstream, s)
		answers <- answer{result, o}
	}()
	timer := time.NewTimer(time.Duration(c.engine.stepTimeout.Load()))
	defer timer.Stop()
	select {
	case a := <-answers:
		return c.checkResult(stage, s, a.result, a.outcome)
	case <-timer.C:
		return nil, reply.NewUnknown(reply.Silent, "no answer to a step")
	case <-ctx.Done():
		return nil, reply.NewUnknown(reply.Canceled, "canceled")
	}
}

// checkResult returns a step's result if the stage ran the step and the result matches it.
func (c *chainAttempt) checkResult(
	stage Stage, s *Step, result *StepResult, o reply.Outcome,
) (*StepResult, reply.Outcome) {
	if reply.CouldHaveRun(o) {
		c.mayHaveRun = true
	}
	if _, done := o.(reply.Done); !done {
		return nil, o
	}
	if !result.Matches(s, c.stages.Layers()) {
		c.engine.counters.Mismatched.Add(1)
		return nil, reply.NewUnknown(reply.Failed, "the answer belongs to another step")
	}
	c.stages.RecordSuccess(stage.Upstream.Name())
	delete(c.unansweredSteps, stage)
	return result, o
}

// startChain plans a chain over all layers that holds no positions yet. It waits up to planTimeout for a plan.
func (c *chainAttempt) startChain(ctx context.Context) reply.Outcome {
	deadline := time.Now().Add(planTimeout)
	for {
		c.plan = c.stages.Plan(Range{0, c.stages.Layers()}, c.excluded)
		if c.plan != nil {
			clear(c.heldPositions)
			c.activations.release()
			c.activations.incomplete = false
			return nil
		}
		clear(c.excluded)
		if time.Now().After(deadline) {
			return c.failureOutcome("no chain covers the model's layers")
		}
		select {
		case <-time.After(planInterval):
		case <-ctx.Done():
			return reply.NewUnknown(reply.Canceled, "canceled")
		}
	}
}

// failureOutcome returns Unknown if some step may have run, and NotSent otherwise.
func (c *chainAttempt) failureOutcome(reason string) reply.Outcome {
	if c.mayHaveRun {
		return reply.NewUnknown(reply.Failed, reason)
	}
	return reply.NewNotSent(reason)
}

// recoverFrom begins a new epoch after a failure. It keeps the stage if it still has its state, and replaces it or
// restarts the chain otherwise.
func (c *chainAttempt) recoverFrom(ctx context.Context, f *failure) reply.Outcome {
	c.epoch++
	c.engine.counters.Epochs.Add(1)
	reason := "activations are not kept"
	if f.outcome != nil {
		reason = reply.Reason(f.outcome)
	}
	c.engine.note(c, "epoch", f.stage.Upstream.Name(), reason)
	switch {
	case c.epoch > maxEpochs:
		return c.failureOutcome(fmt.Sprintf("the chain broke %d times, the last one: %s", c.epoch, reason))
	case f.outcome == nil:
		c.restart()
		return nil
	case c.resumeStage(ctx, f.stage, f.outcome):
		return nil
	}
	return c.replaceStage(f.stage)
}

// restart discards the plan, so that the next chain starts from the prompt.
func (c *chainAttempt) restart() {
	c.engine.counters.Prefills.Add(1)
	c.stages.Release(c.plan)
	c.plan = nil
}

// resumeStage reports whether the new epoch can continue with the stage. If so, positions without an accepted token no
// longer count as held by any stage. A stage that has lost its state refuses the next step.
func (c *chainAttempt) resumeStage(ctx context.Context, stage Stage, o reply.Outcome) bool {
	u := stage.Upstream
	if refused, ok := o.(reply.Refused); ok {
		c.engine.note(c, "stage-refused", u.Name(), refusedNote(refused))
		return false
	}
	c.unansweredSteps[stage]++
	if c.unansweredSteps[stage] > maxUnansweredSteps {
		// The stage answers probes but no steps: its layers move to other upstreams.
		c.stages.RecordFailure(u.Name())
		return false
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if c.engine.runner.Alive(probeCtx, u) != nil {
		c.recordDeath(stage, o)
		return false
	}
	c.engine.runner.CloseConnections(u)
	for _, s := range c.plan {
		c.heldPositions[s] = min(c.heldPositions[s], len(c.tokens))
	}
	return true
}

// maxUnansweredSteps is how many successive steps a stage that answers probes may leave unanswered.
const maxUnansweredSteps = 2

func refusedNote(o reply.Refused) string { return fmt.Sprintf("status=%d", o.Status()) }

func isSilent(o reply.Outcome) bool {
	u, ok := o.(reply.Unknown)
	return ok && u.Fault() == reply.Silent
}

// recordDeath ejects the stage's upstream and marks the request as the possible cause of its death.
func (c *chainAttempt) recordDeath(stage Stage, o reply.Outcome) {
	u := stage.Upstream
	c.stages.RecordFailure(u.Name())
	if c.engine.crashes == nil {
		return
	}
	symptom := crash.SymptomOf(isSilent(o), len(c.tokens) > len(c.attempt.Accepted()))
	for _, f := range c.suspects {
		if m, ok := c.engine.crashes.RecordDeath(f, u.Name(), u.DataCentre(), symptom); ok {
			c.engine.sendMark(m)
		}
	}
}

// replaceStage plans new stages for the lost stage's layers and keeps the other stages. It restarts the chain if no
// upstreams cover the lost layers.
func (c *chainAttempt) replaceStage(stage Stage) reply.Outcome {
	if c.engine.crashes != nil {
		for _, f := range c.suspects {
			if _, quarantined := c.engine.crashes.Verdict(f).(crash.Quarantined); quarantined {
				return reply.NewUnknown(reply.Failed, "upstreams died of this request, or of a part of its prompt, more than once")
			}
		}
	}
	c.excluded[stage.Upstream.Name()] = true
	replacement := c.stages.Plan(stage.Range, c.excluded)
	if replacement == nil {
		c.restart()
		return nil
	}
	c.stages.Release(Plan{stage})
	delete(c.heldPositions, stage)
	var plan Plan
	for _, s := range c.plan {
		if s == stage {
			plan = append(plan, replacement...)
			continue
		}
		c.heldPositions[s] = min(c.heldPositions[s], len(c.tokens))
		plan = append(plan, s)
	}
	c.plan = plan
	c.engine.counters.Replays.Add(1)
	return nil
}
