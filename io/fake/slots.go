package fake

import (
	"container/heap"
	"context"
	"sync"
)

// slots limits how many requests run concurrently. The others wait, by priority and then in order of arrival.
type slots struct {
	mu       sync.Mutex
	free     int
	size     int
	waiting  waitQueue
	sequence int // of the last waiter
}

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	sequence int
	index    int           // in the wait queue, or -1 once removed
	granted  chan struct{} // closed when the waiter gets a slot
}

// waitQueue is a heap of waiters, the next one to get a slot first.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].sequence < q[j].sequence
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends a waiter, for container/heap.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop removes the last waiter, for container/heap.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

func newSlots(size int) *slots { return &slots{free: size, size: size} }

func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	s.sequence++
	w := &waiter{priority: priority, sequence: s.sequence, granted: make(chan struct{})}
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
		s.grantNext()
	} else {
		heap.Remove(&s.waiting, w.index)
	}
	return context.Cause(ctx)
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantNext()
}

// grantNext gives a freed slot to the next waiter, or marks it free.
func (s *slots) grantNext() {
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	close(heap.Pop(&s.waiting).(*waiter).granted)
}

func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size - s.free, len(s.waiting)
}
