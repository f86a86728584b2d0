package fake

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Faults of a fake.
const (
	Crash        = "crash"         // the process dies: its connections break, and new ones are refused
	Silent       = "silent"        // open connections carry no more data; new ones work
	Slow         = "slow"          // requests take slowFactor times as long; calls to the table take slowCallDelay longer
	LoseAnswer   = "lose-answer"   // requests run, but their answers are lost
	CrossAnswers = "cross-answers" // answers to other attempts and of other positions are mixed in
	Leave        = "leave"         // the upstream refuses new requests
	Restore      = "restore"       // ends crash, slow, lose-answer, cross-answers, leave and fail
	Cut          = "cut"           // the network is partitioned: nothing passes in either direction
	Heal         = "heal"          // ends a cut
	Fail         = "fail"          // every request is answered with an error
	Pause        = "pause"         // the process stands still: no connection carries an answer, and nothing is lost
	Resume       = "resume"        // ends a pause
)

const slowFactor = 5

// errCrashed ends the requests that run when a fake crashes.
var errCrashed = errors.New("the upstream crashed")

// errAnswerLost ends a request whose answer the lose-answer fault drops.
var errAnswerLost = errors.New("the connection carries nothing")

// faultState holds the active faults of one fake.
type faultState struct {
	mu          sync.Mutex
	faults      map[string]bool
	process     context.Context // ends when the fake crashes
	killProcess context.CancelCauseFunc
	silent      chan struct{} // closed when the connections that are open now go silent, then replaced
	cut         chan struct{} // closed when the link is cut
	healed      chan struct{} // closed when the cut ends
	resumed     chan struct{} // closed when the pause ends
}

func newFaultState() *faultState {
	s := &faultState{faults: make(map[string]bool), silent: make(chan struct{}), cut: make(chan struct{})}
	s.process, s.killProcess = context.WithCancelCause(context.Background())
	return s
}

// set injects or ends a fault, and reports whether the fake supports this kind.
func (s *faultState) set(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind {
	case Crash:
		s.faults[Crash] = true
		s.killProcess(errCrashed)
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
	case Pause:
		if !s.faults[Pause] {
			s.faults[Pause] = true
			s.resumed = make(chan struct{})
		}
	case Resume:
		if s.faults[Pause] {
			delete(s.faults, Pause)
			close(s.resumed)
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

func (s *faultState) restore() {
	if s.faults[Crash] {
		s.process, s.killProcess = context.WithCancelCause(context.Background())
	}
	for _, kind := range []string{Crash, Slow, LoseAnswer, CrossAnswers, Leave, Fail} {
		delete(s.faults, kind)
	}
}

func (s *faultState) has(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[kind]
}

func (s *faultState) active() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for kind := range s.faults {
		out = append(out, kind)
	}
	return out
}

// processContext returns a context that ends with ctx or when the fake crashes.
func (s *faultState) processContext(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	s.mu.Lock()
	process := s.process
	s.mu.Unlock()
	out, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(process, func() { cancel(context.Cause(process)) })
	return out, func(err error) {
		stop()
		cancel(err)
	}
}

// connFaults returns the channels that close when a connection opened now goes silent or is cut.
func (s *faultState) connFaults() (silent, cut <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent, s.cut
}

// slowed returns a duration, lengthened if the slow fault is active.
func (s *faultState) slowed(d time.Duration) time.Duration {
	if s.has(Slow) {
		return d * slowFactor
	}
	return d
}

// pauseEnd returns a channel that closes when the pause ends, or nil if there is none.
func (s *faultState) pauseEnd() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults[Pause] {
		return s.resumed
	}
	return nil
}

// awaitResume blocks while the process is paused.
func (s *faultState) awaitResume(ctx context.Context) error {
	for {
		resumed := s.pauseEnd()
		if resumed == nil {
			return context.Cause(ctx)
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// work waits for the time that a piece of work takes, and for the end of a pause.
func (s *faultState) work(ctx context.Context, d time.Duration) error {
	if err := sleep(ctx, s.slowed(d)); err != nil {
		return err
	}
	return s.awaitResume(ctx)
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
