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

// errStale stops an attempt whose stream no longer counts.
var errStale = errors.New("the attempt was given up")

// stream is one attempt under way. Its tokens come through a channel, so that one goroutine alone
// decides on tokens, silence and the caller's going.
type stream struct {
	run     *run
	grant   *limit.Grant
	attempt *Attempt
	cancel  context.CancelCauseFunc
	tokens  chan Token
	ended   chan reply.Outcome
	timer   *time.Timer
	suspect <-chan struct{} // closed when another upstream died of a copy of the request
	checks  int
	first   bool
}

// generate runs one attempt to its end and says what it means for the request and for the upstream.
func (n *run) generate(ctx context.Context, g *limit.Grant) (reply.Outcome, limit.Result) {
	s := n.start(ctx, g)
	defer s.cancel(errStale)
	defer s.timer.Stop()
	u := g.Upstream()
	s.suspect = n.relay.crashes.Begin(n.request.fingerprint, u.Name())
	defer n.relay.crashes.End(n.request.fingerprint, u.Name())
	n.relay.note(n, "attempt", s.attempt.id, u.Name(), fmt.Sprintf("from=%d", len(n.answer.texts)))
	outcome, result := s.follow(ctx)
	if u.Virtual() && result != limit.Completed {
		// A chain judges its stages itself; the seat that stands for them all is never to blame.
		result = limit.Stopped
	}
	n.relay.note(n, "attempt-end", s.attempt.id, u.Name(), reply.Reason(outcome))
	return outcome, result
}

func (n *run) start(ctx context.Context, g *limit.Grant) *stream {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	s := &stream{
		run:    n,
		grant:  g,
		cancel: cancel,
		tokens: make(chan Token, tokenBuffer),
		ended:  make(chan reply.Outcome, 1),
		timer:  time.NewTimer(n.relay.quiet()),
	}
	priority := normalPriority
	if len(n.answer.texts) > 0 {
		priority = resumedPriority
	}
	s.attempt = &Attempt{
		id:        n.relay.attemptID(),
		request:   n.request.id,
		model:     n.request.model,
		prompt:    n.request.prompt,
		accepted:  n.answer.texts[:len(n.answer.texts):len(n.answer.texts)],
		maxTokens: n.request.maxTokens,
		priority:  priority,
		upstream:  g.Upstream(),
	}
	go func() {
		s.ended <- n.relay.engine.Generate(attemptCtx, s.attempt, func(t Token) error {
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
			if err := s.take(t); err != nil {
				return reply.NewUnknown(reply.Canceled, err.Error()), limit.Stopped
			}
		case o := <-s.ended:
			return s.finish(ctx, o)
		case <-s.timer.C:
			if o, result := s.silent(ctx); o != nil {
				return o, result
			}
		case <-s.suspect:
			s.suspect = nil
			if !s.first {
				return reply.NewUnknown(reply.Withdrawn, "another upstream died of a copy of the request"), limit.Stopped
			}
		case <-ctx.Done():
			return reply.NewUnknown(reply.Canceled, "the caller went away or its time is over"), limit.Stopped
		}
	}
}

// take accepts the token of the next position and drops every other message.
func (s *stream) take(t Token) error {
	n := s.run
	if t.Attempt != s.attempt.id || t.Position != len(n.answer.texts) || n.finished {
		n.relay.dropped.Add(1)
		return nil
	}
	s.timer.Reset(n.relay.quiet())
	s.checks = 0
	s.grant.Heard()
	if t.Last {
		n.finished = true
		n.answer.reason = t.Reason
		return nil
	}
	if !s.first {
		s.first = true
		s.grant.First()
	}
	now := time.Now()
	if len(n.answer.texts) > 0 {
		n.answer.stall = max(n.answer.stall, now.Sub(n.last))
	}
	n.last = now
	n.answer.texts = append(n.answer.texts, t.Text)
	return n.sink.Token(t.Position, t.Text)
}

// finish takes what the channel still holds and checks that the answer is whole.
func (s *stream) finish(ctx context.Context, o reply.Outcome) (reply.Outcome, limit.Result) {
	for {
		select {
		case t := <-s.tokens:
			if err := s.take(t); err != nil {
				return reply.NewUnknown(reply.Canceled, err.Error()), limit.Stopped
			}
			continue
		default:
		}
		return s.classify(ctx, o)
	}
}

func (s *stream) classify(ctx context.Context, o reply.Outcome) (reply.Outcome, limit.Result) {
	if s.run.finished {
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
		return o, s.lost(ctx)
	}
	panic(fmt.Sprintf("relay: outcome %T", o))
}

// lost tells a broken connection from a dead upstream, of which the request may be the cause.
func (s *stream) lost(ctx context.Context) limit.Result {
	u := s.attempt.upstream
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := s.run.relay.engine.Probe(probeCtx, u, s.attempt.id); err == nil {
		s.run.relay.engine.Drop(u)
		return limit.Stopped
	}
	s.blame(false)
	return limit.Lost
}

// blame marks the request as one that its upstream may have died of.
func (s *stream) blame(silent bool) {
	n := s.run
	u := s.attempt.upstream
	if silent && !s.first && !s.grant.Reached() {
		// It may have been out of reach all the time, and the request then never came there.
		return
	}
	sign := crash.SignOf(silent, len(n.answer.texts) > 0)
	if m, ok := n.relay.crashes.Died(n.request.fingerprint, u.Name(), u.DataCentre(), sign); ok {
		n.relay.note(n, "suspect", s.attempt.id, u.Name(), string(m.Fingerprint))
		n.relay.spread(m)
	}
}

// quiet returns how long a stream may be silent before a probe: half the progress deadline, so that the
// probe's answer, or its missing one, is there well before it, and part of it is left for the resumption.
func (r *Relay) quiet() time.Duration { return time.Duration(r.progress.Load()) / 2 }

// silent asks over a new connection why no token comes. It returns nil where the upstream is only slow.
func (s *stream) silent(ctx context.Context) (reply.Outcome, limit.Result) {
	u := s.attempt.upstream
	engine := s.run.relay.engine
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p, err := engine.Probe(probeCtx, u, s.attempt.id)
	have := len(s.run.answer.texts) + len(s.tokens)
	switch {
	case err != nil && ctx.Err() != nil:
		return reply.NewUnknown(reply.Canceled, "the caller went away or its time is over"), limit.Stopped
	case err != nil:
		s.blame(true)
		return reply.NewUnknown(reply.Silent, "silent, and no answer to a probe"), limit.Lost
	case !p.Known || p.Position > have:
		if s.stillArrives(ctx) {
			return nil, limit.Completed
		}
		engine.Drop(u)
		return reply.NewUnknown(reply.Silent, "the connection went silent; the upstream answers on a new one"), limit.Stopped
	}
	s.checks++
	most := slowChecks
	if p.Queued {
		most = queuedChecks
	}
	if s.checks >= most && !p.Watched {
		return reply.NewUnknown(reply.Silent, "the upstream makes no progress"), limit.Errored
	}
	s.timer.Reset(s.run.relay.quiet())
	return nil, limit.Completed
}

// arrivalGrace is how long a token may travel that the upstream had sent before it answered the probe.
const arrivalGrace = 200 * time.Millisecond

func (s *stream) stillArrives(ctx context.Context) bool {
	grace := time.NewTimer(arrivalGrace)
	defer grace.Stop()
	select {
	case t := <-s.tokens:
		// An error of the caller's shows again at the next token or at the end of its context.
		return s.take(t) == nil
	case <-grace.C:
	case <-ctx.Done():
	}
	return false
}
