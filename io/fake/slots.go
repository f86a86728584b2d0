package fake

import (
	"container/heap"
	"context"
	"sync"
)

// slots lets a number of requests run at once; the others wait by priority, then in order.
type slots struct {
	mu       sync.Mutex
	free     int
	size     int
	waiting  claims
	sequence int
}

type claim struct {
	priority int
	sequence int
	index    int
	granted  chan struct{}
}

type claims []*claim

func (c claims) Len() int { return len(c) }

func (c claims) Less(i, j int) bool {
	if c[i].priority != c[j].priority {
		return c[i].priority > c[j].priority
	}
	return c[i].sequence < c[j].sequence
}

func (c claims) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].index, c[j].index = i, j
}

// Push appends a claim, for container/heap.
func (c *claims) Push(x any) {
	w := x.(*claim)
	w.index = len(*c)
	*c = append(*c, w)
}

// Pop removes the last claim, for container/heap.
func (c *claims) Pop() any {
	old := *c
	w := old[len(old)-1]
	*c = old[:len(old)-1]
	w.index = -1
	return w
}

func newSlots(size int) *slots { return &slots{free: size, size: size} }

func (s *slots) take(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	s.sequence++
	w := &claim{priority: priority, sequence: s.sequence, granted: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index < 0 {
		s.passOn()
	} else {
		heap.Remove(&s.waiting, w.index)
	}
	return context.Cause(ctx)
}

func (s *slots) give() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passOn()
}

func (s *slots) passOn() {
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	close(heap.Pop(&s.waiting).(*claim).granted)
}

func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size - s.free, len(s.waiting)
}
