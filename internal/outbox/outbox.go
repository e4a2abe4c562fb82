// Package outbox is the bounded queue between those who send on a connection and the goroutine that writes it.
package outbox

import "sync"

// Queue holds octets on their way to a connection. All methods are safe for concurrent use.
type Queue struct {
	wake  chan struct{}
	limit int

	mu     sync.Mutex
	out    []byte
	left   []byte // of what the writer had taken, what has not left
	ending bool   // nothing more is queued; the writer ends when all is written
	closed bool
	taken  bool // the writer has taken octets and has not said that they are written
	why    string
}

// New makes a box that holds at most limit octets.
func New(limit int) *Queue { return &Queue{wake: make(chan struct{}, 1), limit: limit} }

// Put queues octets; false: there is no room, or the box is ending or closed. The writer is told by Nudge.
func (b *Queue) Put(octets []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.ending || len(b.out)+len(octets) > b.limit {
		return false
	}
	b.out = append(b.out, octets...)
	return true
}

// Notify tells the writer to look.
func (b *Queue) Notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Ready is where the writer waits for a nudge.
func (b *Queue) Ready() <-chan struct{} { return b.wake }

// Close ends the box at once; the first reason stays.
func (b *Queue) Close(why string) {
	b.mu.Lock()
	if b.closed = true; b.why == "" {
		b.why = why
	}
	b.mu.Unlock()
	b.Notify()
}

// Finish ends the box when what is queued has been written.
func (b *Queue) Finish(why string) {
	b.mu.Lock()
	if b.ending = true; b.why == "" {
		b.why = why
	}
	b.mu.Unlock()
	b.Notify()
}

// Reason is why the box was closed or finished.
func (b *Queue) Reason() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.why
}

// bigBuffer is the size from which on a storm's buffer is not kept.
const bigBuffer = 1 << 16

// Take appends what is queued to buf and takes it from the box. ending: it is the last; closed: it is not to be written.
func (b *Queue) Take(buf []byte) (out []byte, ending, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return buf, b.ending, true
	}
	b.taken = len(b.out) > 0
	buf, b.out = append(buf, b.out...), b.out[:0]
	if cap(b.out) > bigBuffer {
		b.out = nil
	}
	return buf, b.ending, false
}

// Written tells that what the writer took has been written.
func (b *Queue) Written() {
	b.mu.Lock()
	b.taken = false
	b.mu.Unlock()
}

// Idle tells whether all that was queued has been written.
func (b *Queue) Idle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.taken && len(b.out) == 0
}

// Queued is the number of octets queued.
func (b *Queue) Queued() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.out)
}

// PutBack gives back what the writer took and could not write.
func (b *Queue) PutBack(left []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = append(b.left, left...)
}

// Unsent takes out what has not been written: what the writer gave back, then what is queued.
func (b *Queue) Unsent() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := append(b.left, b.out...)
	b.left, b.out = nil, nil
	return all
}
