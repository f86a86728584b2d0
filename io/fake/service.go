package fake

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"
)

// Oracle counts the executions of non-idempotent calls by idempotency key over all services, so that a test can check
// that none ran twice.
type Oracle struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewOracle returns an oracle without counts.
func NewOracle() *Oracle { return &Oracle{counts: make(map[string]int)} }

// count adds an execution and returns the number of executions of the key so far.
func (o *Oracle) count(key string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[key]++
	return o.counts[key]
}

// Counts returns the executions of each key.
func (o *Oracle) Counts() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.counts)
}

// Service is a fake plain service that executes every call, without any check for duplicates.
type Service struct {
	name        string
	delay       time.Duration
	oracle      *Oracle
	state       *faultState
	slots       *slots
	mu          sync.Mutex
	lastAttempt string // attempt ID of the answer before, which the cross-answers fault repeats
	calls       int
}

// ServiceSlots is the number of calls that a fake service runs concurrently.
const ServiceSlots = 16

// NewService returns a running service that takes the given time for each call.
func NewService(name string, delay time.Duration, oracle *Oracle) *Service {
	return &Service{name: name, delay: delay, oracle: oracle, state: newFaultState(), slots: newSlots(ServiceSlots)}
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Set injects or ends a fault, and reports whether the service supports this kind.
func (s *Service) Set(kind string) bool { return s.state.set(kind) }

// Faults returns the active faults.
func (s *Service) Faults() []string { return s.state.active() }

// Calls returns the number of calls that reached the service.
func (s *Service) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Load returns the service's load.
func (s *Service) Load() Load {
	running, queued := s.slots.load()
	rate := 1 / max(s.delay.Seconds(), 1e-3)
	return Load{Slots: ServiceSlots, Running: running, Queued: queued, Rate: rate, Leaving: s.state.has(Leave)}
}

// Answer is a service's answer and the attempt that it claims to belong to.
type Answer struct {
	attempt string
	body    []byte
}

// Handle executes a call. A call with an idempotency key takes effect, and is counted, halfway through its time.
func (s *Service) Handle(ctx context.Context, attempt, key, path string) (Answer, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if s.state.has(Leave) {
		return Answer{}, ErrRefused
	}
	ctx, cancel := s.state.processContext(ctx)
	defer cancel(nil)
	if err := s.slots.acquire(ctx, 0); err != nil {
		return Answer{}, err
	}
	defer s.slots.release()
	if err := s.state.work(ctx, s.delay/2); err != nil {
		return Answer{}, err
	}
	count := 0
	if key != "" {
		count = s.oracle.count(key)
	}
	if err := s.state.work(ctx, s.delay/2); err != nil {
		return Answer{}, err
	}
	if s.state.has(LoseAnswer) {
		return Answer{}, errAnswerLost
	}
	return s.newAnswer(attempt, key, path, count), nil
}

func (s *Service) newAnswer(attempt, key, path string, count int) Answer {
	body, err := json.Marshal(struct {
		Path  string `json:"path"`
		Key   string `json:"key,omitempty"`
		Count int    `json:"count,omitempty"`
	}{path, key, count})
	if err != nil {
		panic("fake: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	echo := attempt
	if s.state.has(CrossAnswers) && s.lastAttempt != "" {
		echo = s.lastAttempt
	}
	s.lastAttempt = attempt
	return Answer{attempt: echo, body: body}
}
