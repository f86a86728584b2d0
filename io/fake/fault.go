package fake

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Faults of a stand-in.
const (
	Crash        = "crash"         // the process dies; its connections break and new ones are refused
	Silent       = "silent"        // open connections carry nothing more; new ones work
	Slow         = "slow"          // everything takes slowFactor times as long
	LoseAnswer   = "lose-answer"   // work is done, and its answer is lost
	CrossAnswers = "cross-answers" // answers to other attempts and of other positions are mixed in
	Leave        = "leave"         // the upstream wants no new work
	Restore      = "restore"       // ends crash, slow, lose-answer, cross-answers and leave
	Cut          = "cut"           // nothing passes in either direction
	Heal         = "heal"          // ends a cut
	Fail         = "fail"          // every request is answered with an error
)

const slowFactor = 5

// errCrashed ends what ran when a stand-in crashed.
var errCrashed = errors.New("the upstream crashed")

// errCut ends what a cut or silent connection carried.
var errCut = errors.New("the connection carries nothing")

// state holds the faults in force of one stand-in.
type state struct {
	mu     sync.Mutex
	faults map[string]bool
	life   context.Context // ends with a crash
	kill   context.CancelCauseFunc
	silent chan struct{} // closed when the connections open then go silent
	cut    chan struct{} // closed when the link is cut
	healed chan struct{} // closed when it is healed
}

func newState() *state {
	s := &state{faults: make(map[string]bool), silent: make(chan struct{}), cut: make(chan struct{})}
	s.life, s.kill = context.WithCancelCause(context.Background())
	return s
}

// set brings a fault about and reports whether the stand-in knows it.
func (s *state) set(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind {
	case Crash:
		s.faults[Crash] = true
		s.kill(errCrashed)
	case Silent:
		close(s.silent)
		s.silent = make(chan struct{})
	case Cut:
		if !s.faults[Cut] {
			s.faults[Cut] = true
			close(s.cut)
			s.healed = make(chan struct{})
		}
	case Heal:
		if s.faults[Cut] {
			delete(s.faults, Cut)
			s.cut = make(chan struct{})
			close(s.healed)
		}
	case Restore:
		s.restore()
	case Slow, LoseAnswer, CrossAnswers, Leave, Fail:
		s.faults[kind] = true
	default:
		return false
	}
	return true
}

func (s *state) restore() {
	if s.faults[Crash] {
		s.life, s.kill = context.WithCancelCause(context.Background())
	}
	for _, kind := range []string{Crash, Slow, LoseAnswer, CrossAnswers, Leave, Fail} {
		delete(s.faults, kind)
	}
}

func (s *state) has(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[kind]
}

func (s *state) inForce() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for kind := range s.faults {
		out = append(out, kind)
	}
	return out
}

// lifetime returns a context that ends with the caller's or with the stand-in's process.
func (s *state) lifetime(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	s.mu.Lock()
	life := s.life
	s.mu.Unlock()
	out, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(life, func() { cancel(context.Cause(life)) })
	return out, func(err error) {
		stop()
		cancel(err)
	}
}

// wires returns the channels that close when a connection opened now goes silent or is cut.
func (s *state) wires() (silent, cut <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent, s.cut
}

func (s *state) stretch(d time.Duration) time.Duration {
	if s.has(Slow) {
		return d * slowFactor
	}
	return d
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
