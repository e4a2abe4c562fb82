// Package record records the traffic of a run at the sockets of the emulated switches and clients: every frame with its time,
// link and direction, and events such as injected faults. Package check evaluates the recording; the controllers do not
// take part in recording.
package record

import (
	"slices"
	"sync"
	"time"
)

// LinkKind is the kind of a link, by what is at its far end.
type LinkKind uint8

// The kinds of links. Each link connects a controller to one of these.
const (
	ClientLink LinkKind = iota // a client
	FarLink                    // the switch of another exchange
	OwnLink                    // the switch of the controller's own exchange
)

// Link is one connection.
type Link struct {
	Kind       LinkKind
	Controller uint32        // point code of the controller's exchange
	Switch     uint32        // point code of the switch; 0 for a client
	Opened     time.Duration // when the association became active
	Closed     time.Duration // 0: open until the end of the recording
}

// Frame is one M3UA frame. At is the time at which the emulated switch or client read it from its socket, or was about to
// write it.
type Frame struct {
	At   time.Duration
	Link int32
	In   bool // sent by the controller, read by the emulated switch or client
	Data []byte
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	Started EventKind = iota // a switch was started; Value: set-ups a second that it can handle when warm
	Stopped                  // a switch was stopped
	Stalled                  // a controller is stalled for Span
	Fault                    // a fault of the scenario begins and lasts for Span; Name is its kind
)

// Event is something done to a switch or a controller.
type Event struct {
	At    time.Duration
	Kind  EventKind
	PC    uint32
	Cold  bool
	Value float64
	Span  time.Duration
	Name  string
}

// Log collects the recording of a run. It is safe for concurrent use.
type Log struct {
	mu            sync.Mutex
	start         time.Time
	links         []Link
	frames        []Frame
	events        []Event
	arena         []byte
	discardFrames bool
}

// New creates a Log whose times count from now.
func New() *Log { return &Log{start: time.Now()} }

// Now returns the time since the start of the log.
func (l *Log) Now() time.Duration { return time.Since(l.start) }

// Discard makes the log drop all frames from now on, for runs that are not checked. Links and events are still recorded.
func (l *Log) Discard() {
	l.mu.Lock()
	l.discardFrames = true
	l.mu.Unlock()
}

// Open records a new link and returns its number.
func (l *Log) Open(kind LinkKind, controller, switchPC uint32) int32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links = append(l.links, Link{Kind: kind, Controller: controller, Switch: switchPC, Opened: l.Now()})
	return int32(len(l.links) - 1)
}

// Kind returns the kind of a link.
func (l *Log) Kind(link int32) LinkKind {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[link].Kind
}

// Close records the end of a link. Further calls for the same link have no effect.
func (l *Log) Close(link int32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if closing := &l.links[link]; closing.Closed == 0 {
		closing.Closed = l.Now()
	}
}

// Frame records a copy of a frame.
func (l *Log) Frame(link int32, fromController bool, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.discardFrames {
		return
	}
	if cap(l.arena)-len(l.arena) < len(data) {
		l.arena = make([]byte, 0, max(1<<20, len(data)))
	}
	offset := len(l.arena)
	l.arena = append(l.arena, data...)
	l.frames = append(l.frames, Frame{l.Now(), link, fromController, l.arena[offset:len(l.arena):len(l.arena)]})
}

// Event records an event with the current time.
func (l *Log) Event(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event.At = l.Now()
	l.events = append(l.events, event)
}

// Recording is a finished recording, with frames and events sorted by time.
type Recording struct {
	Links  []Link
	Frames []Frame
	Events []Event
	End    time.Duration
}

// Finish returns the recording up to now.
func (l *Log) Finish() Recording {
	l.mu.Lock()
	defer l.mu.Unlock()
	recording := Recording{slices.Clone(l.links), slices.Clone(l.frames), slices.Clone(l.events), l.Now()}
	slices.SortStableFunc(recording.Frames, func(a, b Frame) int { return int(a.At - b.At) })
	slices.SortStableFunc(recording.Events, func(a, b Event) int { return int(a.At - b.At) })
	return recording
}
