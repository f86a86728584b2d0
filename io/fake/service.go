package fake

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"
)

// Oracle counts the executions of non-idempotent calls by idempotency key, over all services.
type Oracle struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewOracle returns an oracle without counts.
func NewOracle() *Oracle { return &Oracle{counts: make(map[string]int)} }

func (o *Oracle) add(key string) int {
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

// Service is a stand-in plain service: it books without any check for repeats, and tells a status.
type Service struct {
	name   string
	delay  time.Duration
	oracle *Oracle
	state  *state
	slots  *slots
	mu     sync.Mutex
	latest string // the answer before, to mix up answers with
	calls  int
}

// ServiceSlots is the number of calls that a stand-in service runs at once.
const ServiceSlots = 16

// NewService returns a running service that takes a time for each call.
func NewService(name string, delay time.Duration, oracle *Oracle) *Service {
	return &Service{name: name, delay: delay, oracle: oracle, state: newState(), slots: newSlots(ServiceSlots)}
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Set brings a fault about and reports whether the service knows it.
func (s *Service) Set(kind string) bool { return s.state.set(kind) }

// Faults returns the faults in force.
func (s *Service) Faults() []string { return s.state.inForce() }

// Calls returns how many calls arrived.
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

// Answer is a service's answer and the attempt that it belongs to.
type Answer struct {
	attempt string
	body    []byte
}

// Handle executes a call. A call with a key is counted when it takes effect, halfway through its time.
func (s *Service) Handle(ctx context.Context, attempt, key, path string) (Answer, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	if s.state.has(Leave) {
		return Answer{}, ErrRefused
	}
	ctx, cancel := s.state.lifetime(ctx)
	defer cancel(nil)
	if err := s.slots.take(ctx, 0); err != nil {
		return Answer{}, err
	}
	defer s.slots.give()
	if err := sleep(ctx, s.state.stretch(s.delay/2)); err != nil {
		return Answer{}, err
	}
	count := 0
	if key != "" {
		count = s.oracle.add(key)
	}
	if err := sleep(ctx, s.state.stretch(s.delay/2)); err != nil {
		return Answer{}, err
	}
	if s.state.has(LoseAnswer) {
		return Answer{}, errCut
	}
	return s.reply(attempt, key, path, count), nil
}

func (s *Service) reply(attempt, key, path string, count int) Answer {
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
	if s.state.has(CrossAnswers) && s.latest != "" {
		echo = s.latest
	}
	s.latest = attempt
	return Answer{attempt: echo, body: body}
}
