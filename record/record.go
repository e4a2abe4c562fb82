// Package record keeps what stand-ins see on their sockets: every frame with its time, link and direction, and marks of
// what was done to them. The checker of the rules reads it; the controllers have no part in it.
package record

import (
	"slices"
	"sync"
	"time"
)

// LinkKind tells what a link joins.
type LinkKind uint8

// The kinds of links. All have a controller at one end.
const (
	ClientLink LinkKind = iota // a client
	FarLink                    // the switch of another exchange
	OwnLink                    // the own switch
)

// Link is one connection.
type Link struct {
	Kind       LinkKind
	Controller uint32        // point code of the controller's exchange
	Switch     uint32        // of the switch
	Opened     time.Duration // when traffic could flow
	Closed     time.Duration // 0: open to the end
}

// Frame is one M3UA frame. At is the time at which the stand-in read it from its socket, or was about to write it there.
type Frame struct {
	At   time.Duration
	Link int32
	In   bool // read by the stand-in: sent by the controller
	Data []byte
}

// EventKind is what was done.
type EventKind uint8

// The marks.
const (
	Started EventKind = iota // a switch's processor started; Value: set-ups a second that it can take when warm
	Stopped                  // ... stopped
	Stalled                  // a controller was stopped for Span
	Fault                    // a trouble of the day, for Span; Name
)

// Event is one thing done.
type Event struct {
	At    time.Duration
	Kind  EventKind
	PC    uint32
	Cold  bool
	Value float64
	Span  time.Duration
	Name  string
}

// Log is the record of a day. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	start  time.Time
	links  []Link
	frames []Frame
	marks  []Event
	arena  []byte
	off    bool
}

// New makes a Log whose times count from now.
func New() *Log { return &Log{start: time.Now()} }

// Now is the time of the log's clock.
func (l *Log) Now() time.Duration { return time.Since(l.start) }

// Discard lets the log keep no frames, for runs that nobody judges.
func (l *Log) Discard() {
	l.mu.Lock()
	l.off = true
	l.mu.Unlock()
}

// Open notes a new link and returns its number.
func (l *Log) Open(k LinkKind, controller, sw uint32) int32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links = append(l.links, Link{Kind: k, Controller: controller, Switch: sw, Opened: l.Now()})
	return int32(len(l.links) - 1)
}

// Kind is the kind of a link.
func (l *Log) Kind(link int32) LinkKind {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[link].Kind
}

// Close notes the end of a link.
func (l *Log) Close(link int32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := &l.links[link]; x.Closed == 0 {
		x.Closed = l.Now()
	}
}

// Frame notes a frame, which is copied.
func (l *Log) Frame(link int32, in bool, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.off {
		return
	}
	if cap(l.arena)-len(l.arena) < len(data) {
		l.arena = make([]byte, 0, max(1<<20, len(data)))
	}
	at := len(l.arena)
	l.arena = append(l.arena, data...)
	l.frames = append(l.frames, Frame{l.Now(), link, in, l.arena[at:len(l.arena):len(l.arena)]})
}

// Event notes something done now.
func (l *Log) Event(m Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.At = l.Now()
	l.marks = append(l.marks, m)
}

// Recording is a finished record: all by time.
type Recording struct {
	Links  []Link
	Frames []Frame
	Events []Event
	End    time.Duration
}

// Finish ends the record.
func (l *Log) Finish() Recording {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Recording{slices.Clone(l.links), slices.Clone(l.frames), slices.Clone(l.marks), l.Now()}
	slices.SortStableFunc(d.Frames, func(a, b Frame) int { return int(a.At - b.At) })
	slices.SortStableFunc(d.Events, func(a, b Event) int { return int(a.At - b.At) })
	return d
}
