// Package outbox is the bounded queue between those who send on a connection and the goroutine that writes it.
package outbox

import "sync"

// Box holds octets on their way to a connection. All methods are safe for concurrent use.
type Box struct {
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
func New(limit int) *Box { return &Box{wake: make(chan struct{}, 1), limit: limit} }

// Put queues octets; false: there is no room, or the box is ending or closed. The writer is told by Nudge.
func (b *Box) Put(octets []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.ending || len(b.out)+len(octets) > b.limit {
		return false
	}
	b.out = append(b.out, octets...)
	return true
}

// Nudge tells the writer to look.
func (b *Box) Nudge() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Wake is where the writer waits for a nudge.
func (b *Box) Wake() <-chan struct{} { return b.wake }

// Close ends the box at once; the first reason stays.
func (b *Box) Close(why string) {
	b.mu.Lock()
	if b.closed = true; b.why == "" {
		b.why = why
	}
	b.mu.Unlock()
	b.Nudge()
}

// Finish ends the box when what is queued has been written.
func (b *Box) Finish(why string) {
	b.mu.Lock()
	if b.ending = true; b.why == "" {
		b.why = why
	}
	b.mu.Unlock()
	b.Nudge()
}

// Reason is why the box was closed or finished.
func (b *Box) Reason() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.why
}

// bigBuffer is the size from which on a storm's buffer is not kept.
const bigBuffer = 1 << 16

// Take appends what is queued to buf and takes it from the box. ending: it is the last; closed: it is not to be written.
func (b *Box) Take(buf []byte) (out []byte, ending, closed bool) {
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
func (b *Box) Written() {
	b.mu.Lock()
	b.taken = false
	b.mu.Unlock()
}

// Idle tells whether all that was queued has been written.
func (b *Box) Idle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.taken && len(b.out) == 0
}

// Queued is the number of octets queued.
func (b *Box) Queued() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.out)
}

// Return gives back what the writer took and could not write.
func (b *Box) Return(left []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = append(b.left, left...)
}

// Unsent takes out what has not been written: what the writer gave back, then what is queued.
func (b *Box) Unsent() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := append(b.left, b.out...)
	b.left, b.out = nil, nil
	return all
}
