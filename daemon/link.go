package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/umbergauge/umbergauge/controller"
	"github.com/umbergauge/umbergauge/internal/outbox"
	"github.com/umbergauge/umbergauge/m3ua"
)

// link is one association on one connection: a reader, a writer, and the state machine between them.
type link struct {
	d       *Daemon
	id      controller.AssocID
	peer    controller.Peer
	conn    net.Conn
	box     *outbox.Queue // frames on their way
	flushed chan struct{} // closed when the writer has ended
	touched bool          // of the decision goroutine

	mu  sync.Mutex
	asp *m3ua.ASP
	bad int // malformed frames
}

// batches are buffers of whole frames on their way to the decision goroutine.
var batches = sync.Pool{New: func() any { b := make([]byte, 0, 16*1024); return &b }}

func newBatch() *[]byte {
	b := batches.Get().(*[]byte)
	*b = (*b)[:0] // else it would bring frames of another association
	return b
}

func (d *Daemon) newLink(conn net.Conn, p controller.Peer, asp *m3ua.ASP) *link {
	return &link{d: d, id: controller.AssocID(d.nextID.Add(1)), peer: p, conn: conn, asp: asp,
		box: outbox.New(d.cfg.Association.Queue), flushed: make(chan struct{})}
}

func (l *link) String() string {
	switch l.peer.Kind {
	case controller.FarSwitch:
		return fmt.Sprintf("switch %d at %s", l.peer.PC, l.peer.Address)
	case controller.OwnSwitch:
		return fmt.Sprintf("own switch at %s", l.peer.Address)
	}
	return fmt.Sprintf("client %s", l.peer.Name)
}

// close ends the link at once; the first reason stays.
func (l *link) close(why string) {
	l.box.Close(why)
	l.conn.Close()
}

// finish lets the writer send what is queued and ASPDN, and end.
func (l *link) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asp.Close()
	l.box.Finish("")
}

// maxBad is how many malformed frames a peer may send on one connection.
const maxBad = 100

// malformed answers a frame that cannot be read with ERR, and ends a link that sends nothing else.
func (l *link) malformed(err error) {
	l.d.metrics.malformed.Inc()
	code := uint32(m3ua.ErrProtocol)
	var e *m3ua.Error
	if errors.As(err, &e) {
		code = e.Code
	}
	l.mu.Lock()
	l.bad++
	bad := l.bad
	if bad <= maxBad {
		l.asp.Out = m3ua.Append(l.asp.Out, &m3ua.Message{Kind: m3ua.ERR, ErrorCode: code})
	}
	l.mu.Unlock()
	if bad > maxBad {
		l.close("too many malformed frames")
		return
	}
	l.box.Notify()
}

// run serves the link until it ends; it is called in the goroutine that owns the connection.
func (l *link) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { l.close("the daemon ends") })
	defer stop()
	l.d.own(l.write)
	func() {
		defer func() {
			if l.d.group.Recovered("reader", recover()) {
				l.close("panic")
			}
		}()
		l.read(ctx)
	}()
	l.conn.Close()
	l.box.Notify()
	<-l.flushed
	// The loss must not get lost: the queue is waited for as long as there is one who takes from it.
	select {
	case l.d.events <- event{kind: evDown, link: l}:
	case <-ctx.Done():
	}
}

// read takes frames from the connection and hands them on in batches, as many as have come together.
func (l *link) read(ctx context.Context) {
	sc := m3ua.NewScanner(l.conn)
	var m m3ua.Message
	batch := newBatch()
	defer func() { batches.Put(batch) }()
	pass := func(ev event) bool {
		select {
		case l.d.events <- ev: // full: this peer's frames wait, and then its socket
			return true
		case <-ctx.Done():
			return false
		}
	}
	for {
		frame, err := sc.Next()
		if err != nil {
			l.close(err.Error())
			return
		}
		if l.d.capture != nil {
			l.d.capture(time.Now(), l.conn.RemoteAddr(), l.conn.LocalAddr(), frame)
		}
		user := m3ua.Kind(frame[2])<<8|m3ua.Kind(frame[3]) == m3ua.DATA
		now := l.d.now()
		l.mu.Lock()
		l.asp.Received(now)
		active := l.asp.State() == m3ua.Active
		l.mu.Unlock()
		if user && active {
			*batch = append(*batch, frame...)
		} else if err := m3ua.Decode(frame, &m); err != nil {
			l.malformed(err)
		} else {
			l.mu.Lock()
			outcome := l.asp.Handle(now, &m)
			asked := len(l.asp.Out) > 0
			id, override := l.asp.ID(), l.asp.Override()
			l.mu.Unlock()
			if asked {
				l.box.Notify()
			}
			switch outcome {
			case m3ua.Deliver:
				*batch = append(*batch, frame...)
			case m3ua.Activated:
				if l.peer.Kind == controller.Client {
					l.peer.ASP, l.peer.Override = id, override
				}
				if l.peer.Kind == controller.Client && !l.d.peers.admit(l, id) {
					l.close("an ASP identifier that is not in the settings")
					return
				}
				if !pass(event{kind: evUp, link: l}) {
					return
				}
			case m3ua.Deactivated, m3ua.Failed:
				// Traffic ends; a peer that wants it again connects anew, so that nothing old is mixed in.
				l.close("the peer has taken the association down")
				return
			}
		}
		if len(*batch) > 0 && (!sc.Buffered() || len(*batch) > 12*1024) {
			full := batch
			batch = newBatch()
			if !pass(event{kind: evFrames, link: l, batch: full, at: now}) {
				return
			}
		}
	}
}

// captured hands the frames of a batch to the capture.
func (l *link) captured(b []byte) {
	if l.d.capture == nil {
		return
	}
	now := time.Now()
	for len(b) >= m3ua.HeaderLen {
		n, err := m3ua.Length(b)
		if err != nil || n > len(b) {
			return
		}
		l.d.capture(now, l.conn.LocalAddr(), l.conn.RemoteAddr(), b[:n])
		b = b[n:]
	}
}

// write sends what is queued, all that has gathered at once, and keeps the association alive.
func (l *link) write() {
	defer close(l.flushed)
	defer func() {
		if l.d.group.Recovered("writer", recover()) {
			l.close("panic")
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var buf []byte
	for {
		now := l.d.now()
		var ending, closed bool
		l.mu.Lock() // over both, so that no goodbye is taken before what was queued ahead of it
		if buf, ending, closed = l.box.Take(buf[:0]); closed {
			l.mu.Unlock()
			return
		}
		broken := false
		if !ending && now >= l.asp.NextDeadline() {
			broken = l.asp.Tick(now) == m3ua.Failed
		}
		switch {
		case len(l.asp.Out) == 0:
		case ending: // what is queued goes before the goodbye
			buf = append(buf, l.asp.Out...)
		default:
			buf = slices.Insert(buf, 0, l.asp.Out...)
		}
		l.asp.Out = l.asp.Out[:0]
		next := l.asp.NextDeadline()
		l.mu.Unlock()
		if len(buf) > 0 {
			l.captured(buf)
			l.conn.SetWriteDeadline(time.Now().Add(l.d.cfg.Association.WriteLimit))
			if _, err := l.conn.Write(buf); err != nil {
				l.close("write: " + err.Error())
				return
			}
			if cap(buf) > 1<<18 { // a storm's buffer is not kept
				buf = nil
			}
			l.mu.Lock()
			more := len(l.asp.Out) > 0
			l.mu.Unlock()
			if more || l.box.Queued() > 0 {
				continue
			}
		}
		if broken {
			l.close("the peer is silent")
			return
		}
		if ending {
			return
		}
		timer.Reset(max(0, next-l.d.now()))
		select {
		case <-l.box.Ready():
		case <-timer.C:
		}
	}
}
