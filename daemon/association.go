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

// association is an M3UA association on one connection: a reader, a writer, and the state machine that they share.
type association struct {
	d           *Daemon
	id          controller.AssocID
	peer        controller.Peer
	conn        net.Conn
	queue       *outbox.Queue // frames to be sent
	writerDone  chan struct{} // closed when the writer has ended
	wakePending bool          // owned by the event loop

	mu             sync.Mutex
	asp            *m3ua.ASP
	malformedCount int // malformed frames received
}

// batchPool holds buffers for the whole frames that readers pass to the event loop.
var batchPool = sync.Pool{New: func() any { b := make([]byte, 0, 16*1024); return &b }}

func newBatch() *[]byte {
	b := batchPool.Get().(*[]byte)
	*b = (*b)[:0] // a reused buffer still holds frames of another association
	return b
}

func (d *Daemon) newAssociation(conn net.Conn, p controller.Peer, asp *m3ua.ASP) *association {
	return &association{d: d, id: controller.AssocID(d.nextID.Add(1)), peer: p, conn: conn, asp: asp,
		queue: outbox.New(d.cfg.Association.Queue), writerDone: make(chan struct{})}
}

func (a *association) String() string {
	switch a.peer.Kind {
	case controller.FarSwitch:
		return fmt.Sprintf("switch %d at %s", a.peer.PC, a.peer.Address)
	case controller.OwnSwitch:
		return fmt.Sprintf("own switch at %s", a.peer.Address)
	}
	return fmt.Sprintf("client %s", a.peer.Name)
}

// close closes the association at once; the first reason given is kept.
func (a *association) close(why string) {
	a.queue.Close(why)
	a.conn.Close()
}

// finish makes the writer send the queued frames and ASPDN and then end.
func (a *association) finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asp.Close()
	a.queue.Finish("")
}

// maxMalformed is the number of malformed frames that a peer may send on one connection.
const maxMalformed = 100

// malformedFrame answers a frame that cannot be decoded with ERR, and closes the association after maxMalformed of them.
func (a *association) malformedFrame(err error) {
	a.d.metrics.malformedFrame.Inc()
	code := uint32(m3ua.ErrProtocol)
	var m3uaErr *m3ua.Error
	if errors.As(err, &m3uaErr) {
		code = m3uaErr.Code
	}
	a.mu.Lock()
	a.malformedCount++
	malformedCount := a.malformedCount
	if malformedCount <= maxMalformed {
		a.asp.Out = m3ua.Append(a.asp.Out, &m3ua.Message{Kind: m3ua.ERR, ErrorCode: code})
	}
	a.mu.Unlock()
	if malformedCount > maxMalformed {
		a.close("too many malformed frames")
		return
	}
	a.queue.Notify()
}

// run serves the association until it ends; it is called in the goroutine that owns the connection.
func (a *association) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { a.close("daemon shutting down") })
	defer stop()
	a.d.spawn(a.write)
	func() {
		defer func() {
			if a.d.group.Recovered("reader", recover()) {
				a.close("panic")
			}
		}()
		a.read(ctx)
	}()
	a.conn.Close()
	a.queue.Notify()
	<-a.writerDone
	// The controller must be notified of the loss: wait for room in the event queue as long as the event loop runs.
	select {
	case a.d.events <- event{kind: evDown, association: a}:
	case <-ctx.Done():
	}
}

// read reads frames from the connection and posts them to the event loop. Frames that arrived together form one batch.
func (a *association) read(ctx context.Context) {
	scanner := m3ua.NewScanner(a.conn)
	var msg m3ua.Message
	batch := newBatch()
	defer func() { batchPool.Put(batch) }()
	post := func(ev event) bool {
		select {
		case a.d.events <- ev: // when the queue is full, reading stops, and TCP flow control stops the peer
			return true
		case <-ctx.Done():
			return false
		}
	}
	for {
		frame, err := scanner.Next()
		if err != nil {
			a.close(err.Error())
			return
		}
		if a.d.capture != nil {
			a.d.capture(time.Now(), a.conn.RemoteAddr(), a.conn.LocalAddr(), frame)
		}
		isData := m3ua.Kind(frame[2])<<8|m3ua.Kind(frame[3]) == m3ua.DATA
		now := a.d.now()
		a.mu.Lock()
		a.asp.Received(now)
		active := a.asp.State() == m3ua.Active
		a.mu.Unlock()
		if isData && active {
			*batch = append(*batch, frame...)
		} else if err := m3ua.Decode(frame, &msg); err != nil {
			a.malformedFrame(err)
		} else {
			a.mu.Lock()
			outcome := a.asp.Handle(now, &msg)
			replyQueued := len(a.asp.Out) > 0
			id, override := a.asp.ID(), a.asp.Override()
			a.mu.Unlock()
			if replyQueued {
				a.queue.Notify()
			}
			switch outcome {
			case m3ua.Deliver:
				*batch = append(*batch, frame...)
			case m3ua.Activated:
				if a.peer.Kind == controller.Client {
					a.peer.ASP, a.peer.Override = id, override
				}
				if a.peer.Kind == controller.Client && !a.d.peers.identify(a, id) {
					a.close("ASP identifier not in the settings")
					return
				}
				if !post(event{kind: evUp, association: a}) {
					return
				}
			case m3ua.Deactivated, m3ua.Failed:
				// To become active again the peer must open a new connection, so that no frames of the old one mix in.
				a.close("association taken down by the peer")
				return
			}
		}
		if len(*batch) > 0 && (!scanner.Buffered() || len(*batch) > 12*1024) {
			filled := batch
			batch = newBatch()
			if !post(event{kind: evFrames, association: a, batch: filled, readAt: now}) {
				return
			}
		}
	}
}

// captureSent passes frames that are about to be sent to the capture.
func (a *association) captureSent(frames []byte) {
	if a.d.capture == nil {
		return
	}
	now := time.Now()
	for len(frames) >= m3ua.HeaderLen {
		length, err := m3ua.Length(frames)
		if err != nil || length > len(frames) {
			return
		}
		a.d.capture(now, a.conn.LocalAddr(), a.conn.RemoteAddr(), frames[:length])
		frames = frames[length:]
	}
}

// write sends the queued frames, all that are ready in one Write, and monitors the association with heartbeats.
func (a *association) write() {
	defer close(a.writerDone)
	defer func() {
		if a.d.group.Recovered("writer", recover()) {
			a.close("panic")
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var buf []byte
	for {
		now := a.d.now()
		var ending, closed bool
		a.mu.Lock() // held over queue and asp.Out, so that ASPDN is not taken before frames queued ahead of it
		if buf, ending, closed = a.queue.Take(buf[:0]); closed {
			a.mu.Unlock()
			return
		}
		broken := false
		if !ending && now >= a.asp.NextDeadline() {
			broken = a.asp.Tick(now) == m3ua.Failed
		}
		switch {
		case len(a.asp.Out) == 0:
		case ending: // queued frames go before ASPDN
			buf = append(buf, a.asp.Out...)
		default:
			buf = slices.Insert(buf, 0, a.asp.Out...)
		}
		a.asp.Out = a.asp.Out[:0]
		next := a.asp.NextDeadline()
		a.mu.Unlock()
		if len(buf) > 0 {
			a.captureSent(buf)
			a.conn.SetWriteDeadline(time.Now().Add(a.d.cfg.Association.WriteLimit))
			if _, err := a.conn.Write(buf); err != nil {
				a.close("write: " + err.Error())
				return
			}
			if cap(buf) > 1<<18 { // free a buffer grown by a burst
				buf = nil
			}
			a.mu.Lock()
			more := len(a.asp.Out) > 0
			a.mu.Unlock()
			if more || a.queue.Queued() > 0 {
				continue
			}
		}
		if broken {
			a.close("peer unresponsive: no answer within the M3UA time limits")
			return
		}
		if ending {
			return
		}
		timer.Reset(max(0, next-a.d.now()))
		select {
		case <-a.queue.Ready():
		case <-timer.C:
		}
	}
}
