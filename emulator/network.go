// Package emulator emulates the peers of call controllers on sockets: switches with a processor, trunk groups and
// subscribers, and clients with callers. They speak M3UA and ISUP, share only the codecs with the controller under test,
// and record every frame. The faults of a scenario are injected here.
package emulator

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
)

// Network emulates the signalling network between exchanges, with delays and cut paths. Frames on a cut path are held back
// until the path is restored, as with a transport that retransmits lost data.
type Network struct {
	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Log    *record.Log
	// FrameFaults, if set, selects the fault of each frame on an active association; fromController is true for a frame that the
	// controller sent. It is called from many goroutines.
	FrameFaults func(k record.LinkKind, fromController bool, frame []byte) FrameFault

	mu    sync.Mutex
	delay func(a, b uint32) time.Duration
	cut   map[[2]uint32]int
}

// FrameFault is a fault injected at one frame.
type FrameFault uint8

// The frame faults.
const (
	Pass        FrameFault = iota // no fault
	ResetBefore                   // the connection is reset and the frame is lost
	ResetAfter                    // the frame is delivered, then the connection is reset
)

// SetDelay sets the function that returns the one-way delay between two exchanges.
func (n *Network) SetDelay(f func(a, b uint32) time.Duration) {
	n.mu.Lock()
	n.delay = f
	n.mu.Unlock()
}

// Cut cuts the path between two exchanges in both directions (on is true), or removes one cut. Cuts are counted: the path is
// restored when all of them have been removed.
func (n *Network) Cut(a, b uint32, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = map[[2]uint32]int{}
	}
	key := [2]uint32{min(a, b), max(a, b)}
	if on {
		n.cut[key]++
	} else if n.cut[key]--; n.cut[key] <= 0 {
		delete(n.cut, key)
	}
}

// path returns the one-way delay between two exchanges and whether their path is cut.
func (n *Network) path(a, b uint32) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	latency := time.Duration(0)
	if n.delay != nil {
		latency = n.delay(a, b)
	}
	return latency, n.cut[[2]uint32{min(a, b), max(a, b)}] > 0
}

// delayedFrame is a frame on its path between two exchanges, due at its destination at a given time.
type delayedFrame struct {
	due   time.Time
	frame []byte
}

// deliverDelayed passes queued frames to handle in order, each when it is due and its path is not cut. It returns when queue or
// done is closed or handle returns false.
func (a *association) deliverDelayed(queue <-chan delayedFrame, done <-chan struct{}, handle func([]byte) bool) {
	for {
		select {
		case next, ok := <-queue:
			if !ok {
				return
			}
			for {
				wait := time.Until(next.due)
				if _, cut := a.net.path(a.endExchange, a.controllerExchange.Load()); cut {
					wait = max(wait, 10*time.Millisecond)
				} else if wait <= 0 {
					break
				}
				select {
				case <-time.After(wait):
				case <-done:
					return
				}
			}
			if !handle(next.frame) {
				return
			}
		case <-done:
			return
		}
	}
}

// association is the emulated end of one connection, at a switch or a client.
type association struct {
	net                *Network
	conn               net.Conn
	endExchange        uint32        // exchange of the emulated switch or client, an end of the path
	controllerExchange atomic.Uint32 // exchange of the controller, the other end of the path
	linkID             int32         // number of the link in the recording; -1 until the association is active
	outgoing           chan delayedFrame
	done               chan struct{}
	once               sync.Once
	mu                 sync.Mutex
}

// frameQueueSize is the number of frames that may wait in each direction of an association.
const frameQueueSize = 8192

func newAssociation(network *Network, conn net.Conn, endExchange, controllerExchange uint32) *association {
	assoc := &association{net: network, conn: conn, endExchange: endExchange, linkID: -1, outgoing: make(chan delayedFrame, frameQueueSize), done: make(chan struct{})}
	assoc.controllerExchange.Store(controllerExchange)
	return assoc
}

// close closes the connection and records its end.
func (a *association) close() {
	a.once.Do(func() {
		close(a.done)
		a.conn.Close()
		a.recordClosed()
	})
}

// recordClosed records the end of the connection.
func (a *association) recordClosed() {
	a.mu.Lock()
	linkID := a.linkID
	a.mu.Unlock()
	if linkID >= 0 {
		a.net.Log.Close(linkID)
	}
}

// recordOpened sets the link under which frames are recorded from now on.
func (a *association) recordOpened(linkID int32) {
	a.mu.Lock()
	a.linkID = linkID
	a.mu.Unlock()
}

// send queues a frame. If the queue is full because the controller does not read, the connection is closed.
func (a *association) send(frame []byte) {
	delay, _ := a.net.path(a.endExchange, a.controllerExchange.Load())
	select {
	case a.outgoing <- delayedFrame{time.Now().Add(delay), frame}:
	case <-a.done:
	default:
		a.close()
	}
}

func (a *association) sendMessage(msg *m3ua.Message) { a.send(m3ua.Append(nil, msg)) }

// sendISUP sends an ISUP message in a DATA message.
func (a *association) sendISUP(opc, dpc uint32, msg *isup.Message) {
	a.sendMessage(&m3ua.Message{Kind: m3ua.DATA, HasRoutingContext: true, RoutingContext: dpc,
		Data: m3ua.ProtocolData{OPC: opc, DPC: dpc, SI: m3ua.ServiceISUP, NI: 2, SLS: byte(msg.CIC & 15), User: isup.Append(nil, msg)}})
}

// frameFault selects the fault to inject at a frame.
func (a *association) frameFault(linkID int32, fromController bool, frame []byte) FrameFault {
	if a.net.FrameFaults == nil || linkID < 0 {
		return Pass
	}
	return a.net.FrameFaults(a.net.Log.Kind(linkID), fromController, frame)
}

// writeLoop writes outgoing frames to the socket after their delay.
func (a *association) writeLoop() {
	a.deliverDelayed(a.outgoing, a.done, func(frame []byte) bool {
		a.mu.Lock()
		linkID := a.linkID
		a.mu.Unlock()
		frameFault := a.frameFault(linkID, false, frame)
		if frameFault == ResetBefore {
			a.close()
			return false
		}
		if linkID >= 0 {
			a.net.Log.Frame(linkID, false, frame)
		}
		_, err := a.conn.Write(frame)
		if frameFault == ResetAfter {
			a.close()
		}
		return err == nil
	})
}

// readLoop reads frames from the socket, records them at once, and passes them to handle after their delay.
func (a *association) readLoop(handle func([]byte) bool) {
	incoming := make(chan delayedFrame, frameQueueSize)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		a.deliverDelayed(incoming, a.done, handle)
	}()
	defer wg.Wait()
	defer close(incoming)
	scanner := m3ua.NewScanner(a.conn)
	for {
		frame, err := scanner.Next()
		if err != nil {
			a.recordClosed() // recorded here, because handling may last as long as a path is cut
			return
		}
		a.mu.Lock()
		linkID := a.linkID
		a.mu.Unlock()
		frameFault := a.frameFault(linkID, true, frame)
		if frameFault == ResetBefore { // recorded as sent by the controller, but not delivered
			a.net.Log.Frame(linkID, true, frame)
			a.close()
			return
		}
		if linkID >= 0 {
			a.net.Log.Frame(linkID, true, frame)
		}
		delay, _ := a.net.path(a.endExchange, a.controllerExchange.Load())
		select {
		case incoming <- delayedFrame{time.Now().Add(delay), append([]byte(nil), frame...)}:
		case <-a.done:
			return
		}
		if frameFault == ResetAfter {
			a.conn.Close() // frames already read are still delivered
			a.recordClosed()
			return
		}
	}
}
