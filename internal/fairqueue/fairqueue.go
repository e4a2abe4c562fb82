// Package fairqueue divides a bounded resource between flows by start-time fair queueing (Goyal, Vin and Cheng, 1996): a flow that asks for
// little is admitted before one that has had much, and what nobody else wants is left to whoever asks.
package fairqueue

import (
	"container/heap"
	"context"
	"sync"
)

// Flow is what one user of a Gate has had. The zero value is a new flow. One goroutine at a time may enter for a flow.
type Flow struct {
	finish uint64 // virtual time at which its last unit of work ends
}

// Gate admits a bounded number of units of work at a time. It is safe for concurrent use.
type Gate struct {
	mu          sync.Mutex
	free        int
	virtualTime uint64 // start of the unit that was admitted last
	waiting     waitHeap
	arrivals    uint64
}

// NewGate returns a Gate that admits capacity units at a time.
func NewGate(capacity int) *Gate { return &Gate{free: capacity} }

// Enter waits until a unit of work of a flow is admitted; cost is its size in any unit. It returns false if ctx ends first. The caller calls
// Leave when the unit is done.
func (g *Gate) Enter(ctx context.Context, f *Flow, cost int) bool {
	g.mu.Lock()
	start := max(g.virtualTime, f.finish)
	f.finish = start + uint64(cost)
	if g.free > 0 {
		g.free--
		g.virtualTime = start
		g.mu.Unlock()
		return true
	}
	w := &waiter{start: start, arrival: g.arrivals, admitted: make(chan struct{})}
	g.arrivals++
	heap.Push(&g.waiting, w)
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
		return g.cancel(w)
	}
}

// cancel withdraws a waiter; true: it has been admitted meanwhile.
func (g *Gate) cancel(w *waiter) (admitted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index < 0 {
		return true
	}
	heap.Remove(&g.waiting, w.index)
	return false
}

// Leave ends an admitted unit of work and admits the waiting one with the earliest start.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiting) == 0 {
		g.free++
		return
	}
	next := heap.Pop(&g.waiting).(*waiter)
	g.virtualTime = max(g.virtualTime, next.start)
	close(next.admitted)
}

// waiter is a unit of work that waits to be admitted.
type waiter struct {
	start    uint64
	arrival  uint64 // decides between equal starts
	admitted chan struct{}
	index    int // in the heap; below 0: not in it
}

// waitHeap implements heap.Interface: the earliest start comes first.
type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].arrival < h[j].arrival
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a waiter.
func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last waiter.
func (h *waitHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}
