// Package outbox provides the bounded output queue of a connection, between the senders and the goroutine that writes to it.
package outbox

import "sync"

// Queue holds the bytes to be written to a connection. All methods are safe for concurrent use.
type Queue struct {
	wake  chan struct{}
	limit int

	mu        sync.Mutex
	queued    []byte
	unwritten []byte // bytes that the writer has taken and failed to write
	finishing bool   // Put is refused; the writer ends when all is written
	closed    bool
	writing   bool // the writer has taken bytes and has not called Written yet
	reason    string
}

// New creates a queue of at most limit bytes.
func New(limit int) *Queue { return &Queue{wake: make(chan struct{}, 1), limit: limit} }

// Put queues data. It returns false if the queue would exceed its limit, or Finish or Close has been called. It does not wake the
// writer: call Notify.
func (q *Queue) Put(data []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.finishing || len(q.queued)+len(data) > q.limit {
		return false
	}
	q.queued = append(q.queued, data...)
	return true
}

// Notify wakes the writer.
func (q *Queue) Notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Ready returns the channel on which the writer waits to be woken.
func (q *Queue) Ready() <-chan struct{} { return q.wake }

// Close closes the queue; what is queued is not written. The first reason given to Close or Finish is kept.
func (q *Queue) Close(reason string) {
	q.mu.Lock()
	if q.closed = true; q.reason == "" {
		q.reason = reason
	}
	q.mu.Unlock()
	q.Notify()
}

// Finish lets the writer end once what is queued has been written. The first reason given to Close or Finish is kept.
func (q *Queue) Finish(reason string) {
	q.mu.Lock()
	if q.finishing = true; q.reason == "" {
		q.reason = reason
	}
	q.mu.Unlock()
	q.Notify()
}

// Reason returns the reason given to Close or Finish.
func (q *Queue) Reason() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.reason
}

// maxKeptBytes is the largest buffer that is kept for reuse: a larger one, grown by a burst, is freed.
const maxKeptBytes = 1 << 16

// Take moves what is queued to the end of buf. finishing reports that nothing more will follow; closed reports that the queue is
// closed: nothing is moved, and the writer must not write.
func (q *Queue) Take(buf []byte) (queued []byte, finishing, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return buf, q.finishing, true
	}
	q.writing = len(q.queued) > 0
	buf, q.queued = append(buf, q.queued...), q.queued[:0]
	if cap(q.queued) > maxKeptBytes {
		q.queued = nil
	}
	return buf, q.finishing, false
}

// Written records that the writer has written what it took.
func (q *Queue) Written() {
	q.mu.Lock()
	q.writing = false
	q.mu.Unlock()
}

// Idle reports whether all that was queued has been written.
func (q *Queue) Idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.writing && len(q.queued) == 0
}

// Queued returns the number of bytes queued.
func (q *Queue) Queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queued)
}

// PutBack hands back bytes that the writer took and could not write; Unsent returns them.
func (q *Queue) PutBack(unwritten []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unwritten = append(q.unwritten, unwritten...)
}

// Unsent removes and returns what has not been written: what PutBack handed back, then what is queued.
func (q *Queue) Unsent() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := append(q.unwritten, q.queued...)
	q.unwritten, q.queued = nil, nil
	return all
}
