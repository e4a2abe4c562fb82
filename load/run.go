package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/timer"
)

// Totals count the outcomes of calls.
type Totals struct {
	Offered          uint64            `json:"offered"` // calls, without redials
	Tries            uint64            `json:"tries"`   // attempts, including redials
	Alerted          uint64            `json:"rang"`
	Answered         uint64            `json:"stood"`
	Refused          uint64            `json:"refused"`
	Abandoned        uint64            `json:"given_up"`
	AbandonedRinging uint64            `json:"rang_out"` // abandoned by the caller while ringing
	Cut              uint64            `json:"cut"`      // released after the answer with a cause other than 16 (normal)
	Finished         uint64            `json:"finished"`
	NotConnected     uint64            `json:"not_connected"`
	NoCircuit        uint64            `json:"no_circuit"` // all 4095 circuits of the client were in use
	Causes           map[string]uint64 `json:"causes,omitempty"`
	// CongestionReports counts SCON messages from the controller.
	CongestionReports uint64 `json:"congestion_told"`
}

// Report is the result of a load.
type Report struct {
	Span             time.Duration  `json:"span"`
	Totals           Totals         `json:"totals"`
	SetUpUS          Quantiles      `json:"set_up_us"` // from when the attempt was due to ACM, or to the answer if no ACM came
	AnswerUS         Quantiles      `json:"answer_us"` // from when the attempt was due to the answer, ringing included
	LateUS           Quantiles      `json:"late_us"`   // from when the attempt was due to when its IAM was sent: scheduling delay of this program
	OfferedPerSecond float64        `json:"offered_per_second"`
	Seconds          []SecondTotals `json:"seconds"` // by the second in which the first attempt of a call was due
	// Histograms hold the values behind the quantiles, for Merge.
	Histograms *Histograms `json:"histograms,omitempty"`
}

// SecondTotals counts the calls whose first attempt was due in one second.
type SecondTotals struct {
	Offered  uint32 `json:"offered"`
	Answered uint32 `json:"stood"`
}

// Quantiles are those of a histogram, in microseconds.
type Quantiles struct {
	P50  int64 `json:"p50"`
	P90  int64 `json:"p90"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
	Max  int64 `json:"max"`
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	return Quantiles{histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(90), histogram.ValueAtQuantile(99), histogram.ValueAtQuantile(99.9), histogram.Max()}
}

// Options set how a load connects to the controller and shows its progress.
type Options struct {
	Dial     func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP
	Progress io.Writer                                                // gets a line every second; nil: none
}

// runner runs a load. One goroutine, the event loop, owns the calls; each client's connection has a reader and a writer.
type runner struct {
	cfg           *Config
	options       Options
	start         time.Time
	wheel         *timer.Wheel[func()]
	clients       []*client
	events        chan func()
	setUp         *hdrhistogram.Histogram
	answer        *hdrhistogram.Histogram
	sendDelay     *hdrhistogram.Histogram
	totals        Totals
	seconds       []SecondTotals
	lastReference uint32
	openCalls     int
	spanOver      bool // the span is over: no more redials
}

// state is the state of an attempt.
type state uint8

const (
	statePending state = iota
	stateAlerted
	stateEstablished
	stateReleasing
)

// attempt is one attempt to set up a call, and the call after that.
type attempt struct {
	Arrival
	due      time.Duration // when this attempt is due
	firstDue time.Duration
	redials  int
	cic      uint16
	state    state
	timer    timer.Handle
}

// client is one client and its connection. All but the connection's goroutines run in the event loop.
type client struct {
	r        *runner
	pc       uint32
	calls    map[uint16]*attempt
	lastCIC  uint16
	outgoing chan []byte // batches of frames for the writer; nil while not connected
	pending  []byte
}

// writeQueueSize is the number of batches of frames that may wait for a client's socket. While the queue is full, frames are
// collected in the client's pending batch.
const writeQueueSize = 1024

// Run offers a load and returns when its last call has ended. It waits for that until a minute after the span, or longer if the
// ringing and holding times of the classes require it, but at most ten minutes.
func Run(ctx context.Context, cfg *Config, options Options) (Report, error) {
	if options.Dial == nil {
		var d net.Dialer
		options.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	copied := *cfg
	cfg, copied.Classes = &copied, slices.Clone(cfg.Classes)
	for i := range copied.Classes { // Ring is 0 if the Config was not returned by Parse and does not set it
		if copied.Classes[i].Ring == 0 {
			copied.Classes[i].Ring = time.Minute
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	r := &runner{cfg: cfg, options: options, start: time.Now(), wheel: timer.New[func()](0, time.Millisecond), events: make(chan func(), 4096),
		setUp: hdrhistogram.New(1, 120_000_000, 3), answer: hdrhistogram.New(1, 1_200_000_000, 3), sendDelay: hdrhistogram.New(1, 120_000_000, 3)}
	r.totals.Causes = map[string]uint64{}
	var connected sync.WaitGroup
	for i := range cfg.Clients {
		newClient := &client{r: r, pc: cfg.PointCode + uint32(i), calls: map[uint16]*attempt{}}
		r.clients = append(r.clients, newClient)
		wg.Add(1)
		connected.Add(1)
		go func() {
			defer wg.Done()
			newClient.connect(ctx, sync.OnceFunc(connected.Done))
		}()
	}
	ready := make(chan struct{})
	go func() { connected.Wait(); close(ready) }()
	timeout := time.NewTimer(10 * time.Second)
	defer timeout.Stop()
	for connecting := true; connecting; {
		select {
		case <-ready:
			connecting = false
		case f := <-r.events:
			f()
		case <-timeout.C:
			return Report{}, fmt.Errorf("load: %s did not accept all of %d clients within 10 s", cfg.Controller, cfg.Clients)
		case <-ctx.Done():
			return Report{}, ctx.Err()
		}
	}
	r.start = time.Now()
	r.wheel = timer.New[func()](0, time.Millisecond)
	r.loop(ctx)
	report := Report{Span: time.Since(r.start), Totals: r.totals, SetUpUS: quantiles(r.setUp), AnswerUS: quantiles(r.answer), LateUS: quantiles(r.sendDelay), OfferedPerSecond: float64(r.totals.Offered) / cfg.Span.Seconds(), Seconds: r.seconds,
		Histograms: &Histograms{r.setUp.Export(), r.answer.Export(), r.sendDelay.Export()}}
	return report, ctx.Err()
}

func (r *runner) now() time.Duration { return time.Since(r.start) }

// loop is the event loop.
func (r *runner) loop(ctx context.Context) {
	arrivals := NewArrivals(r.cfg)
	next, more := arrivals.Next()
	end := r.cfg.Span + time.Minute
	for _, class := range r.cfg.Classes {
		end = max(end, r.cfg.Span+class.Ring+class.Hold*8)
	}
	end = min(end, r.cfg.Span+10*time.Minute)
	t := time.NewTimer(0)
	defer t.Stop()
	nextProgress := time.Second
	for more || r.openCalls > 0 {
		now := r.now()
		for more && next.At <= now {
			r.totals.Offered++
			for len(r.seconds) <= int(next.At/time.Second) {
				r.seconds = append(r.seconds, SecondTotals{})
			}
			r.seconds[next.At/time.Second].Offered++
			r.clients[next.Client].dial(&attempt{Arrival: next, due: next.At, firstDue: next.At, redials: r.cfg.Redials})
			next, more = arrivals.Next()
		}
		r.wheel.Advance(now, func(f func()) { f() })
		for _, x := range r.clients {
			x.flush()
		}
		if now >= end {
			return
		}
		r.spanOver = now > r.cfg.Span
		if now >= nextProgress && r.options.Progress != nil {
			nextProgress += time.Second
			fmt.Fprintf(r.options.Progress, "%4.0f s: offered %d, rang %d, stood %d, refused %d, given up %d, open %d\n", now.Seconds(), r.totals.Offered, r.totals.Alerted, r.totals.Answered, r.totals.Refused, r.totals.Abandoned, r.openCalls)
		}
		wake := 100 * time.Millisecond
		if more {
			wake = min(wake, next.At-now)
		}
		if at, ok := r.wheel.Next(); ok {
			wake = min(wake, at-now)
		}
		t.Reset(max(0, wake))
		select {
		case f := <-r.events:
			f()
			for range 256 {
				select {
				case f := <-r.events:
					f()
					continue
				default:
				}
				break
			}
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// connect connects the client, and again whenever the connection ends, until ctx is done. It calls onActive whenever the
// association becomes active, and before it returns.
func (c *client) connect(ctx context.Context, onActive func()) {
	defer onActive()
	for ctx.Err() == nil {
		dialCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		conn, err := c.r.options.Dial(dialCtx, c.r.cfg.Controller)
		cancel()
		if err == nil {
			c.serve(ctx, conn, onActive)
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// post queues f for the event loop; it returns false if ctx is done.
func (c *client) post(ctx context.Context, f func()) bool {
	select {
	case c.r.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// serve runs the association on one connection until it ends.
func (c *client) serve(ctx context.Context, conn net.Conn, onActive func()) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	outgoing, done := make(chan []byte, writeQueueSize), make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(done)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case batch := <-outgoing:
				conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
				if _, err := conn.Write(batch); err != nil {
					conn.Close()
					return
				}
			case <-done:
				return
			}
		}
	}()
	outgoing <- m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPUP, HasASPID: true, ASPID: c.pc})
	scanner := m3ua.NewScanner(conn)
	for {
		frame, err := scanner.Next()
		if err != nil {
			break
		}
		var msg m3ua.Message
		if m3ua.Decode(frame, &msg) != nil {
			continue
		}
		var reply *m3ua.Message
		switch msg.Kind {
		case m3ua.ASPUPAck:
			reply = &m3ua.Message{Kind: m3ua.ASPAC, TrafficMode: m3ua.TrafficOverride}
		case m3ua.ASPACAck:
			if !c.post(ctx, func() { c.outgoing = outgoing; onActive() }) {
				return
			}
		case m3ua.BEAT:
			reply = &m3ua.Message{Kind: m3ua.BEATAck, Heartbeat: msg.Heartbeat}
		case m3ua.SCON:
			c.post(ctx, func() { c.r.totals.CongestionReports++ })
		case m3ua.DATA:
			var isupMsg isup.Message
			if isup.Decode(msg.Data.User, &isupMsg) != nil {
				continue
			}
			isupMsg = isup.Message{Type: isupMsg.Type, CIC: isupMsg.CIC, Cause: isupMsg.Cause}
			if !c.post(ctx, func() { c.handleMessage(&isupMsg) }) {
				return
			}
		}
		if reply != nil {
			select {
			case outgoing <- m3ua.Append(nil, reply):
			case <-ctx.Done():
				return
			}
		}
	}
	c.post(ctx, c.connectionLost)
}

// connectionLost drops all calls of the lost connection; callers redial unless the call was being released.
func (c *client) connectionLost() {
	c.outgoing, c.pending = nil, nil
	for cic, call := range c.calls {
		c.r.wheel.Stop(call.timer)
		delete(c.calls, cic)
		c.r.openCalls--
		if call.state != stateReleasing {
			c.redial(call)
		}
	}
}

// send adds an ISUP message to the pending batch.
func (c *client) send(msg *isup.Message) {
	c.pending = m3ua.Append(c.pending, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: c.pc, DPC: c.r.cfg.Exchange, SI: m3ua.ServiceISUP, NI: 2,
		SLS: byte(msg.CIC & 15), User: isup.Append(nil, msg)}})
}

// flush passes the pending batch to the writer.
func (c *client) flush() {
	if len(c.pending) == 0 || c.outgoing == nil {
		c.pending = c.pending[:0]
		return
	}
	select {
	case c.outgoing <- c.pending:
		c.pending = nil
	default: // the controller does not read: the batch stays pending for the next flush, and its calls wait
	}
}

// dial makes an attempt on a free circuit.
func (c *client) dial(call *attempt) {
	r := c.r
	r.totals.Tries++
	if c.outgoing == nil {
		r.totals.NotConnected++
		c.redial(call)
		return
	}
	for range isup.MaxCIC {
		c.lastCIC = c.lastCIC%isup.MaxCIC + 1
		if c.calls[c.lastCIC] == nil {
			call.cic = c.lastCIC
			break
		}
	}
	if call.cic == 0 {
		r.totals.NoCircuit++
		return
	}
	called, err := isup.ParseNumber(4, call.Called)
	if err != nil {
		r.totals.Refused++
		return
	}
	r.lastReference++
	calling, _ := isup.ParseNumber(4, fmt.Sprintf("9%08d", r.lastReference%100_000_000))
	class := r.cfg.Classes[call.Class]
	c.calls[call.cic] = call
	call.state = statePending
	r.openCalls++
	r.sendDelay.RecordValue(max(1, (r.now() - call.due).Microseconds()))
	c.send(&isup.Message{Type: isup.IAM, CIC: call.cic, Category: isup.Category(class.Category), TransmissionMedium: 3, Called: called, HasCalling: true, Calling: calling,
		HasRef: true, Ref: isup.CallReference{ID: r.lastReference & 0xffffff, PC: uint16(c.pc)}})
	call.timer = r.wheel.Set(call.due+class.Patience, func() {
		r.totals.Abandoned++
		c.release(call)
		c.redial(call)
	})
}

// release sends REL. The circuit is free again after RLC, or after 4 s without one.
func (c *client) release(call *attempt) {
	c.r.wheel.Stop(call.timer)
	call.state = stateReleasing
	c.send(&isup.Message{Type: isup.REL, CIC: call.cic, Cause: isup.CauseNormal})
	call.timer = c.r.wheel.Set(c.r.now()+4*time.Second, func() { c.freeCircuit(call) })
}

// freeCircuit ends a call, unless its circuit already carries another one.
func (c *client) freeCircuit(call *attempt) {
	if c.calls[call.cic] == call {
		c.r.wheel.Stop(call.timer)
		delete(c.calls, call.cic)
		c.r.openCalls--
	}
}

// redial schedules another attempt if the call has redials left and the span is not over.
func (c *client) redial(call *attempt) {
	if call.redials <= 0 || c.r.spanOver {
		return
	}
	due := c.r.now() + c.r.cfg.Redial
	c.r.wheel.Set(due, func() {
		if !c.r.spanOver {
			c.dial(&attempt{Arrival: call.Arrival, due: due, firstDue: call.firstDue, redials: call.redials - 1})
		}
	})
}

func (c *client) handleMessage(msg *isup.Message) {
	call, r := c.calls[msg.CIC], c.r
	switch msg.Type {
	case isup.ACM, isup.CPG:
		if call == nil || call.state != statePending {
			return
		}
		r.totals.Alerted++
		r.setUp.RecordValue(max(1, (r.now() - call.due).Microseconds()))
		r.wheel.Stop(call.timer)
		call.state = stateAlerted
		call.timer = r.wheel.Set(r.now()+r.cfg.Classes[call.Class].Ring, func() {
			r.totals.AbandonedRinging++
			c.release(call)
		})
	case isup.ANM, isup.CON:
		if call == nil || call.state != statePending && call.state != stateAlerted {
			return
		}
		r.totals.Answered++
		r.seconds[call.firstDue/time.Second].Answered++
		if call.state == statePending {
			r.setUp.RecordValue(max(1, (r.now() - call.due).Microseconds()))
		}
		r.answer.RecordValue(max(1, (r.now() - call.due).Microseconds()))
		r.wheel.Stop(call.timer)
		call.state = stateEstablished
		call.timer = r.wheel.Set(r.now()+call.Hold, func() {
			r.totals.Finished++
			c.release(call)
		})
	case isup.REL:
		c.send(&isup.Message{Type: isup.RLC, CIC: msg.CIC})
		if call == nil || call.state == stateReleasing {
			return
		}
		c.freeCircuit(call)
		r.totals.Causes[fmt.Sprint(msg.Cause)]++
		switch {
		case call.state == statePending, call.state == stateAlerted:
			r.totals.Refused++
			if msg.Cause != isup.CauseNoAnswer && msg.Cause != isup.CauseNoUserResponding { // the called party does not answer: an immediate redial would be of no use
				c.redial(call)
			}
		case msg.Cause == isup.CauseNormal:
			r.totals.Finished++
		default:
			r.totals.Cut++
			c.redial(call)
		}
	case isup.RLC:
		if call != nil && call.state == stateReleasing {
			c.freeCircuit(call)
		}
	}
}
