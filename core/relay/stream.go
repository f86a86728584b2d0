package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rhubarbspread/core/crash"
	"rhubarbspread/core/limit"
	"rhubarbspread/core/reply"
)

// errAttemptOver cancels an attempt whose messages are no longer read.
var errAttemptOver = errors.New("the attempt was given up")

// stream is one attempt in flight. Its messages arrive through a channel, so that a single goroutine handles tokens,
// silence and the caller's cancellation.
type stream struct {
	state         *requestState
	grant         *limit.Grant
	attempt       *Attempt
	cancel        context.CancelCauseFunc
	tokens        chan Token
	outcome       chan reply.Outcome
	silenceTimer  *time.Timer
	crashWarning  <-chan struct{} // closed when another upstream dies of an identical request
	silentProbes  int             // successive probes without a new message
	hasFirstToken bool
}

// generate runs one attempt to its end. It returns the attempt's outcome and its result for the pool's view of the
// upstream.
func (rs *requestState) generate(ctx context.Context, g *limit.Grant) (reply.Outcome, limit.Result) {
	s := rs.start(ctx, g)
	defer s.cancel(errAttemptOver)
	defer s.silenceTimer.Stop()
	u := g.Upstream()
	s.crashWarning = rs.relay.crashes.Begin(rs.request.fingerprint, u.Name())
	defer rs.relay.crashes.End(rs.request.fingerprint, u.Name())
	rs.relay.note(rs, "attempt", s.attempt.id, u.Name(), fmt.Sprintf("from=%d", len(rs.answer.texts)))
	outcome, result := s.follow(ctx)
	if u.Virtual() && result != limit.Completed {
		// A chain ejects its failed stages itself; the virtual upstream in the pool is never ejected for them.
		result = limit.Stopped
	}
	rs.relay.note(rs, "attempt-end", s.attempt.id, u.Name(), reply.Reason(outcome))
	return outcome, result
}

func (rs *requestState) start(ctx context.Context, g *limit.Grant) *stream {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	s := &stream{
		state:        rs,
		grant:        g,
		cancel:       cancel,
		tokens:       make(chan Token, tokenBuffer),
		outcome:      make(chan reply.Outcome, 1),
		silenceTimer: time.NewTimer(rs.relay.silenceTimeout()),
	}
	priority := normalPriority
	if len(rs.answer.texts) > 0 {
		priority = resumedPriority
	}
	s.attempt = &Attempt{
		id:        rs.relay.attemptID(),
		request:   rs.request.id,
		model:     rs.request.model,
		prompt:    rs.request.prompt,
		accepted:  rs.answer.texts[:len(rs.answer.texts):len(rs.answer.texts)],
		maxTokens: rs.request.maxTokens,
		priority:  priority,
		upstream:  g.Upstream(),
		suspects:  rs.request.suspects(),
	}
	go func() {
		s.outcome <- rs.relay.engine.Generate(attemptCtx, s.attempt, func(t Token) error {
			select {
			case s.tokens <- t:
				return nil
			case <-attemptCtx.Done():
				return context.Cause(attemptCtx)
			}
		})
	}()
	return s
}

func (s *stream) follow(ctx context.Context) (reply.Outcome, limit.Result) {
	for {
		select {
		case t := <-s.tokens:
			if err := s.accept(t); err != nil {
				return reply.NewUnknown(reply.Canceled, err.Error()), limit.Stopped
			}
		case o := <-s.outcome:
			return s.finish(ctx, o)
		case <-s.silenceTimer.C:
			if o, result := s.probeSilent(ctx); o != nil {
				return o, result
			}
		case <-s.crashWarning:
			s.crashWarning = nil
			if !s.hasFirstToken {
				return reply.NewUnknown(reply.CanceledByNode, "another upstream died of a copy of the request"), limit.Stopped
			}
		case <-ctx.Done():
			return reply.NewUnknown(reply.Canceled, "the caller went away or its time is over"), limit.Stopped
		}
	}
}

// accept handles the message for the next position and drops every other one.
func (s *stream) accept(t Token) error {
	rs := s.state
	if t.Attempt != s.attempt.id || t.Position != len(rs.answer.texts) || rs.finished {
		rs.relay.droppedMessages.Add(1)
		return nil
	}
	s.silenceTimer.Reset(rs.relay.silenceTimeout())
	s.silentProbes = 0
	s.grant.RecordActivity()
	if t.Last {
		rs.finished = true
		rs.answer.reason = t.Reason
		return nil
	}
	if !s.hasFirstToken {
		s.hasFirstToken = true
		s.grant.RecordFirstToken()
	}
	now := time.Now()
	if len(rs.answer.texts) > 0 {
		rs.answer.stall = max(rs.answer.stall, now.Sub(rs.lastTokenAt))
	}
	rs.lastTokenAt = now
	rs.answer.texts = append(rs.answer.texts, t.Text)
	return rs.sink.Token(t.Position, t.Text)
}

// finish handles the messages that are left in the channel after the stream's end, and classifies the end.
func (s *stream) finish(ctx context.Context, o reply.Outcome) (reply.Outcome, limit.Result) {
	for {
		select {
		case t := <-s.tokens:
			if err := s.accept(t); err != nil {
				return reply.NewUnknown(reply.Canceled, err.Error()), limit.Stopped
			}
			continue
		default:
		}
		return s.classify(ctx, o)
	}
}

func (s *stream) classify(ctx context.Context, o reply.Outcome) (reply.Outcome, limit.Result) {
	if s.state.finished {
		return reply.Done{}, limit.Completed
	}
	if ctx.Err() != nil {
		return reply.NewUnknown(reply.Canceled, "the caller went away or its time is over"), limit.Stopped
	}
	switch o := o.(type) {
	case reply.Done:
		return reply.NewUnknown(reply.Broken, "the stream ended without its last token"), limit.Errored
	case reply.NotSent:
		return o, limit.Lost
	case reply.Refused:
		return o, limit.Errored
	case reply.Unknown:
		if o.Fault() == reply.Failed {
			return o, limit.Errored
		}
		return o, s.classifyDisconnect(ctx)
	}
	panic(fmt.Sprintf("relay: outcome %T", o))
}

// classifyDisconnect probes the upstream to distinguish a broken connection from a dead upstream, which the request
// may have crashed.
func (s *stream) classifyDisconnect(ctx context.Context) limit.Result {
	u := s.attempt.upstream
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := s.state.relay.engine.Probe(probeCtx, u, s.attempt.id); err == nil {
		s.state.relay.engine.CloseConnections(u)
		return limit.Stopped
	}
	s.markSuspect(false)
	return limit.Lost
}

// markSuspect marks the request as the possible cause of its upstream's death.
func (s *stream) markSuspect(silent bool) {
	rs := s.state
	u := s.attempt.upstream
	if silent && !s.hasFirstToken && !s.grant.Reachable() {
		// The upstream may have been unreachable before the attempt, so that the request never arrived there.
		return
	}
	symptom := crash.SymptomOf(silent, len(rs.answer.texts) > 0)
	for _, f := range rs.request.suspects() {
		if m, ok := rs.relay.crashes.RecordDeath(f, u.Name(), u.DataCentre(), symptom); ok {
			rs.relay.note(rs, "suspect", s.attempt.id, u.Name(), string(m.Fingerprint))
			rs.relay.sendMark(m)
		}
	}
}

// silenceTimeout returns how long a stream may be silent before its upstream is probed. It is half the progress
// timeout, so that the probe ends well before the progress timeout does and time is left to resume.
func (r *Relay) silenceTimeout() time.Duration { return time.Duration(r.progressTimeout.Load()) / 2 }

// probeSilent probes the upstream of a silent stream over a new connection. It returns a nil outcome if the upstream is
// only slow.
func (s *stream) probeSilent(ctx context.Context) (reply.Outcome, limit.Result) {
	u := s.attempt.upstream
	engine := s.state.relay.engine
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p, err := engine.Probe(probeCtx, u, s.attempt.id)
	received := len(s.state.answer.texts) + len(s.tokens)
	switch {
	case err != nil && ctx.Err() != nil:
		return reply.NewUnknown(reply.Canceled, "the caller went away or its time is over"), limit.Stopped
	case err != nil:
		s.markSuspect(true)
		return reply.NewUnknown(reply.Silent, "silent, and no answer to a probe"), limit.Lost
	case !p.Known || p.Position > received:
		if s.awaitInFlightToken(ctx) {
			return nil, limit.Completed
		}
		engine.CloseConnections(u)
		return reply.NewUnknown(reply.Silent, "the connection went silent; the upstream answers on a new one"), limit.Stopped
	}
	s.silentProbes++
	maxProbes := maxSilentProbes
	if p.Queued {
		maxProbes = maxQueuedProbes
	}
	if s.silentProbes >= maxProbes && !p.SelfMonitored {
		return reply.NewUnknown(reply.Silent, "the upstream makes no progress"), limit.Errored
	}
	s.silenceTimer.Reset(s.state.relay.silenceTimeout())
	return nil, limit.Completed
}

// arrivalGrace is how long to wait for a token that the upstream sent before it answered the probe and that is still in
// transit.
const arrivalGrace = 200 * time.Millisecond

// awaitInFlightToken reports whether a message arrives within arrivalGrace.
func (s *stream) awaitInFlightToken(ctx context.Context) bool {
	grace := time.NewTimer(arrivalGrace)
	defer grace.Stop()
	select {
	case t := <-s.tokens:
		// If the caller has disconnected, the next token or the end of the context reports it again.
		return s.accept(t) == nil
	case <-grace.C:
	case <-ctx.Done():
	}
	return false
}
