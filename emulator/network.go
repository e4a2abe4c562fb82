// Package emulator plays the world around call controllers on sockets: switches with a processor, trunk groups and
// subscribers, and clients with callers. They speak M3UA and ISUP, share only the codecs with what they test, and record
// every frame. All that goes wrong on a day is done here.
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

// Network is what lies between exchanges: how long messages take, and who cannot reach whom. Frames on a cut way wait, as a
// transport that repeats what is lost makes them.
type Network struct {
	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Log    *record.Log
	// FrameFaults, if set, is asked about each frame that passes a socket; fromController tells its direction. It is called from
	// many goroutines.
	FrameFaults func(k record.LinkKind, fromController bool, frame []byte) FrameFault

	mu    sync.Mutex
	delay func(a, b uint32) time.Duration
	cut   map[[2]uint32]int
}

// FrameFault is what befalls a frame.
type FrameFault uint8

// The faults.
const (
	Pass        FrameFault = iota
	ResetBefore            // the connection breaks and the frame is lost
	ResetAfter             // the frame passes, then the connection breaks
)

// SetDelay sets the one-way time between exchanges.
func (n *Network) SetDelay(f func(a, b uint32) time.Duration) {
	n.mu.Lock()
	n.delay = f
	n.mu.Unlock()
}

// Cut cuts or restores the way between two exchanges, both directions.
func (n *Network) Cut(a, b uint32, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = map[[2]uint32]int{}
	}
	k := [2]uint32{min(a, b), max(a, b)}
	if on {
		n.cut[k]++
	} else if n.cut[k]--; n.cut[k] <= 0 {
		delete(n.cut, k)
	}
}

func (n *Network) way(a, b uint32) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := time.Duration(0)
	if n.delay != nil {
		d = n.delay(a, b)
	}
	return d, n.cut[[2]uint32{min(a, b), max(a, b)}] > 0
}

// flight is a frame between two exchanges.
type flight struct {
	due  time.Time
	data []byte
}

// carry hands frames on after the time that the way takes, in order, until in is closed or done.
func (w *wire) carry(in <-chan flight, done <-chan struct{}, give func([]byte) bool) {
	for {
		select {
		case f, ok := <-in:
			if !ok {
				return
			}
			for {
				wait := time.Until(f.due)
				if _, cut := w.net.way(w.here, w.there.Load()); cut {
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
			if !give(f.data) {
				return
			}
		case <-done:
			return
		}
	}
}

// wire is one connection of a stand-in, that of a switch or a client.
type wire struct {
	net   *Network
	conn  net.Conn
	here  uint32        // exchange of the stand-in, for the way
	there atomic.Uint32 // exchange of the controller
	link  int32         // in the record; -1 until traffic may flow
	out   chan flight
	done  chan struct{}
	once  sync.Once
	mu    sync.Mutex
}

const wireQueue = 8192

func newWire(n *Network, conn net.Conn, here, there uint32) *wire {
	w := &wire{net: n, conn: conn, here: here, link: -1, out: make(chan flight, wireQueue), done: make(chan struct{})}
	w.there.Store(there)
	return w
}

// close ends the wire and its record.
func (w *wire) close() {
	w.once.Do(func() {
		close(w.done)
		w.conn.Close()
		w.closed()
	})
}

// closed notes the end of the connection in the record.
func (w *wire) closed() {
	w.mu.Lock()
	link := w.link
	w.mu.Unlock()
	if link >= 0 {
		w.net.Log.Close(link)
	}
}

func (w *wire) opened(link int32) {
	w.mu.Lock()
	w.link = link
	w.mu.Unlock()
}

// send queues a frame; a controller that doesn't read loses its connection.
func (w *wire) send(frame []byte) {
	d, _ := w.net.way(w.here, w.there.Load())
	select {
	case w.out <- flight{time.Now().Add(d), frame}:
	case <-w.done:
	default:
		w.close()
	}
}

func (w *wire) sendMessage(m *m3ua.Message) { w.send(m3ua.Append(nil, m)) }

// data sends an ISUP message.
func (w *wire) data(opc, dpc uint32, m *isup.Message) {
	w.sendMessage(&m3ua.Message{Kind: m3ua.DATA, HasRoutingContext: true, RoutingContext: dpc,
		Data: m3ua.ProtocolData{OPC: opc, DPC: dpc, SI: m3ua.ServiceISUP, NI: 2, SLS: byte(m.CIC & 15), User: isup.Append(nil, m)}})
}

func (w *wire) fault(link int32, fromController bool, f []byte) FrameFault {
	if w.net.FrameFaults == nil || link < 0 {
		return Pass
	}
	return w.net.FrameFaults(w.net.Log.Kind(link), fromController, f)
}

// writer writes frames to the socket as they come out of the way.
func (w *wire) writer() {
	w.carry(w.out, w.done, func(f []byte) bool {
		w.mu.Lock()
		link := w.link
		w.mu.Unlock()
		fault := w.fault(link, false, f)
		if fault == ResetBefore {
			w.close()
			return false
		}
		if link >= 0 {
			w.net.Log.Frame(link, false, f)
		}
		_, err := w.conn.Write(f)
		if fault == ResetAfter {
			w.close()
		}
		return err == nil
	})
}

// reader reads frames from the socket, records them at once, and gives them out of the other end of the way.
func (w *wire) reader(give func([]byte) bool) {
	in := make(chan flight, wireQueue)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		w.carry(in, w.done, give)
	}()
	defer wg.Wait()
	defer close(in)
	sc := m3ua.NewScanner(w.conn)
	for {
		f, err := sc.Next()
		if err != nil {
			w.closed() // what is still on its way may take long on a cut one
			return
		}
		w.mu.Lock()
		link := w.link
		w.mu.Unlock()
		fault := w.fault(link, true, f)
		if fault == ResetBefore { // the controller has sent it, and nobody has it
			w.net.Log.Frame(link, true, f)
			w.close()
			return
		}
		if link >= 0 {
			w.net.Log.Frame(link, true, f)
		}
		d, _ := w.net.way(w.here, w.there.Load())
		select {
		case in <- flight{time.Now().Add(d), append([]byte(nil), f...)}:
		case <-w.done:
			return
		}
		if fault == ResetAfter {
			w.conn.Close() // what is on its way still arrives
			w.closed()
			return
		}
	}
}
