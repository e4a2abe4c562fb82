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

// Totals are what became of calls.
type Totals struct {
	Offered          uint64            `json:"offered"` // first tries
	Tries            uint64            `json:"tries"`
	Alerted          uint64            `json:"rang"`
	Answered         uint64            `json:"stood"`
	Refused          uint64            `json:"refused"`
	Abandoned        uint64            `json:"given_up"`
	AbandonedRinging uint64            `json:"rang_out"` // callers who left while it rang
	Cut              uint64            `json:"cut"`
	Finished         uint64            `json:"finished"`
	NotConnected     uint64            `json:"not_connected"`
	NoCircuit        uint64            `json:"no_circuit"` // the client's own 4095 were all in use
	Causes           map[string]uint64 `json:"causes,omitempty"`
	// CongestionReports counts SCON messages.
	CongestionReports uint64 `json:"congestion_told"`
}

// Report is the outcome of a load.
type Report struct {
	Span             time.Duration  `json:"span"`
	Totals           Totals         `json:"totals"`
	SetUpUS          Quantiles      `json:"set_up_us"` // from when the call was due to ACM, or to its answer where no ACM came
	AnswerUS         Quantiles      `json:"answer_us"` // ... to its answer, ringing included
	LateUS           Quantiles      `json:"late_us"`   // from when it was due to when it was sent: this program's own lateness
	OfferedPerSecond float64        `json:"offered_per_second"`
	Seconds          []SecondTotals `json:"seconds"` // by when a call was first due
	// Histograms are what the quantiles are of, for Merge.
	Histograms *Histograms `json:"histograms,omitempty"`
}

// SecondTotals is what became of the calls that were first due in one second.
type SecondTotals struct {
	Offered  uint32 `json:"offered"`
	Answered uint32 `json:"stood"`
}

// Quantiles of a histogram, in microseconds.
type Quantiles struct {
	P50  int64 `json:"p50"`
	P90  int64 `json:"p90"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p999"`
	Max  int64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), h.Max()}
}

// Options are how a load reaches the controller and shows its progress.
type Options struct {
	Dial     func(ctx context.Context, addr string) (net.Conn, error)
	Progress io.Writer // a line a second; nil: none
}

// runner is a load under way. One goroutine owns the calls; each client's connection has a reader and a writer.
type runner struct {
	c       *Config
	o       Options
	start   time.Time
	wheel   *timer.Wheel[func()]
	clients []*client
	events  chan func()
	setUp   *hdrhistogram.Histogram
	answer  *hdrhistogram.Histogram
	late    *hdrhistogram.Histogram
	t       Totals
	seconds []SecondTotals
	refs    uint32
	open    int
	over    bool // nothing is dialled any more
}

type state uint8

const (
	waiting state = iota
	ringing
	standing
	releasing
)

type call struct {
	Arrival
	due     time.Duration // of this try
	first   time.Duration
	redials int
	cic     uint16
	state   state
	timer   timer.Handle
}

type client struct {
	r     *runner
	pc    uint32
	calls map[uint16]*call
	next  uint16
	out   chan []byte // nil while not connected
	buf   []byte
}

// queue is how many batches of frames wait for a client's socket; beyond, its connection is given up.
const queue = 1024

// Run offers a load and returns when its last call is over or given up, at most a minute after the span, or as long as
// its callers let it ring and talk, ten minutes at the most.
func Run(ctx context.Context, c *Config, o Options) (Report, error) {
	if o.Dial == nil {
		var d net.Dialer
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	own := *c
	c, own.Classes = &own, slices.Clone(c.Classes)
	for i := range own.Classes { // one that no file has been read for
		if own.Classes[i].Ring == 0 {
			own.Classes[i].Ring = time.Minute
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	r := &runner{c: c, o: o, start: time.Now(), wheel: timer.New[func()](0, time.Millisecond), events: make(chan func(), 4096),
		setUp: hdrhistogram.New(1, 120_000_000, 3), answer: hdrhistogram.New(1, 1_200_000_000, 3), late: hdrhistogram.New(1, 120_000_000, 3)}
	r.t.Causes = map[string]uint64{}
	var up sync.WaitGroup
	for i := range c.Clients {
		x := &client{r: r, pc: c.PointCode + uint32(i), calls: map[uint16]*call{}}
		r.clients = append(r.clients, x)
		wg.Add(1)
		up.Add(1)
		go func() {
			defer wg.Done()
			x.connect(ctx, sync.OnceFunc(up.Done))
		}()
	}
	ready := make(chan struct{})
	go func() { up.Wait(); close(ready) }()
	limit := time.NewTimer(10 * time.Second)
	defer limit.Stop()
	for waiting := true; waiting; {
		select {
		case <-ready:
			waiting = false
		case f := <-r.events:
			f()
		case <-limit.C:
			return Report{}, fmt.Errorf("load: %s takes not all of %d connections within ten seconds", c.Controller, c.Clients)
		case <-ctx.Done():
			return Report{}, ctx.Err()
		}
	}
	r.start = time.Now()
	r.wheel = timer.New[func()](0, time.Millisecond)
	r.loop(ctx)
	rep := Report{Span: time.Since(r.start), Totals: r.t, SetUpUS: quantiles(r.setUp), AnswerUS: quantiles(r.answer), LateUS: quantiles(r.late), OfferedPerSecond: float64(r.t.Offered) / c.Span.Seconds(), Seconds: r.seconds,
		Histograms: &Histograms{r.setUp.Export(), r.answer.Export(), r.late.Export()}}
	return rep, ctx.Err()
}

func (r *runner) now() time.Duration { return time.Since(r.start) }

func (r *runner) loop(ctx context.Context) {
	arrivals := NewArrivals(r.c)
	next, more := arrivals.Next()
	end := r.c.Span + time.Minute
	for _, cl := range r.c.Classes {
		end = max(end, r.c.Span+cl.Ring+cl.Hold*8)
	}
	end = min(end, r.c.Span+10*time.Minute)
	t := time.NewTimer(0)
	defer t.Stop()
	shown := time.Second
	for more || r.open > 0 {
		now := r.now()
		for more && next.At <= now {
			r.t.Offered++
			for len(r.seconds) <= int(next.At/time.Second) {
				r.seconds = append(r.seconds, SecondTotals{})
			}
			r.seconds[next.At/time.Second].Offered++
			r.clients[next.Client].try(&call{Arrival: next, due: next.At, first: next.At, redials: r.c.Redials})
			next, more = arrivals.Next()
		}
		r.wheel.Advance(now, func(f func()) { f() })
		for _, x := range r.clients {
			x.flush()
		}
		if now >= end {
			return
		}
		r.over = now > r.c.Span
		if now >= shown && r.o.Progress != nil {
			shown += time.Second
			fmt.Fprintf(r.o.Progress, "%4.0f s: offered %d, rang %d, stood %d, refused %d, given up %d, open %d\n", now.Seconds(), r.t.Offered, r.t.Alerted, r.t.Answered, r.t.Refused, r.t.Abandoned, r.open)
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

// connect keeps a client's connection up; first is called when it is up for the first time.
func (x *client) connect(ctx context.Context, first func()) {
	defer first()
	for ctx.Err() == nil {
		dctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		conn, err := x.r.o.Dial(dctx, x.r.c.Controller)
		cancel()
		if err == nil {
			x.serve(ctx, conn, first)
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (x *client) post(ctx context.Context, f func()) bool {
	select {
	case x.r.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

func (x *client) serve(ctx context.Context, conn net.Conn, first func()) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	out, done := make(chan []byte, queue), make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(done)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case b := <-out:
				conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
				if _, err := conn.Write(b); err != nil {
					conn.Close()
					return
				}
			case <-done:
				return
			}
		}
	}()
	out <- m3ua.Append(nil, &m3ua.Message{Kind: m3ua.ASPUP, HasASPID: true, ASPID: x.pc})
	sc := m3ua.NewScanner(conn)
	for {
		f, err := sc.Next()
		if err != nil {
			break
		}
		var m m3ua.Message
		if m3ua.Decode(f, &m) != nil {
			continue
		}
		var reply *m3ua.Message
		switch m.Kind {
		case m3ua.ASPUPAck:
			reply = &m3ua.Message{Kind: m3ua.ASPAC, TrafficMode: m3ua.TrafficOverride}
		case m3ua.ASPACAck:
			if !x.post(ctx, func() { x.out = out; first() }) {
				return
			}
		case m3ua.BEAT:
			reply = &m3ua.Message{Kind: m3ua.BEATAck, Heartbeat: m.Heartbeat}
		case m3ua.SCON:
			x.post(ctx, func() { x.r.t.CongestionReports++ })
		case m3ua.DATA:
			var u isup.Message
			if isup.Decode(m.Data.User, &u) != nil {
				continue
			}
			u = isup.Message{Type: u.Type, CIC: u.CIC, Cause: u.Cause}
			if !x.post(ctx, func() { x.take(&u) }) {
				return
			}
		}
		if reply != nil {
			select {
			case out <- m3ua.Append(nil, reply):
			case <-ctx.Done():
				return
			}
		}
	}
	x.post(ctx, x.lost)
}

// lost ends all calls with the connection.
func (x *client) lost() {
	x.out, x.buf = nil, nil
	for cic, k := range x.calls {
		x.r.wheel.Stop(k.timer)
		delete(x.calls, cic)
		x.r.open--
		if k.state != releasing {
			x.again(k)
		}
	}
}

func (x *client) send(m *isup.Message) {
	x.buf = m3ua.Append(x.buf, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: x.pc, DPC: x.r.c.Exchange, SI: m3ua.ServiceISUP, NI: 2,
		SLS: byte(m.CIC & 15), User: isup.Append(nil, m)}})
}

// flush hands what has gathered to the writer.
func (x *client) flush() {
	if len(x.buf) == 0 || x.out == nil {
		x.buf = x.buf[:0]
		return
	}
	select {
	case x.out <- x.buf:
		x.buf = nil
	default: // the controller does not read: the next flush tries again, and its calls wait
	}
}

func (x *client) try(k *call) {
	r := x.r
	r.t.Tries++
	if x.out == nil {
		r.t.NotConnected++
		x.again(k)
		return
	}
	for range isup.MaxCIC {
		x.next = x.next%isup.MaxCIC + 1
		if x.calls[x.next] == nil {
			k.cic = x.next
			break
		}
	}
	if k.cic == 0 {
		r.t.NoCircuit++
		return
	}
	called, err := isup.ParseNumber(4, k.Called)
	if err != nil {
		r.t.Refused++
		return
	}
	r.refs++
	calling, _ := isup.ParseNumber(4, fmt.Sprintf("9%08d", r.refs%100_000_000))
	cl := r.c.Classes[k.Class]
	x.calls[k.cic] = k
	k.state = waiting
	r.open++
	r.late.RecordValue(max(1, (r.now() - k.due).Microseconds()))
	x.send(&isup.Message{Type: isup.IAM, CIC: k.cic, Category: isup.Category(cl.Category), TransmissionMedium: 3, Called: called, HasCalling: true, Calling: calling,
		HasRef: true, Ref: isup.CallReference{ID: r.refs & 0xffffff, PC: uint16(x.pc)}})
	k.timer = r.wheel.Set(k.due+cl.Patience, func() {
		r.t.Abandoned++
		x.leave(k)
		x.again(k)
	})
}

// leave sends REL; the circuit is free after RLC, or four seconds.
func (x *client) leave(k *call) {
	x.r.wheel.Stop(k.timer)
	k.state = releasing
	x.send(&isup.Message{Type: isup.REL, CIC: k.cic, Cause: isup.CauseNormal})
	k.timer = x.r.wheel.Set(x.r.now()+4*time.Second, func() { x.free(k) })
}

func (x *client) free(k *call) {
	if x.calls[k.cic] == k {
		x.r.wheel.Stop(k.timer)
		delete(x.calls, k.cic)
		x.r.open--
	}
}

// again dials once more, if the caller has tries left.
func (x *client) again(k *call) {
	if k.redials <= 0 || x.r.over {
		return
	}
	due := x.r.now() + x.r.c.Redial
	x.r.wheel.Set(due, func() {
		if !x.r.over {
			x.try(&call{Arrival: k.Arrival, due: due, first: k.first, redials: k.redials - 1})
		}
	})
}

func (x *client) take(m *isup.Message) {
	k, r := x.calls[m.CIC], x.r
	switch m.Type {
	case isup.ACM, isup.CPG:
		if k == nil || k.state != waiting {
			return
		}
		r.t.Alerted++
		r.setUp.RecordValue(max(1, (r.now() - k.due).Microseconds()))
		r.wheel.Stop(k.timer)
		k.state = ringing
		k.timer = r.wheel.Set(r.now()+r.c.Classes[k.Class].Ring, func() {
			r.t.AbandonedRinging++
			x.leave(k)
		})
	case isup.ANM, isup.CON:
		if k == nil || k.state != waiting && k.state != ringing {
			return
		}
		r.t.Answered++
		r.seconds[k.first/time.Second].Answered++
		if k.state == waiting {
			r.setUp.RecordValue(max(1, (r.now() - k.due).Microseconds()))
		}
		r.answer.RecordValue(max(1, (r.now() - k.due).Microseconds()))
		r.wheel.Stop(k.timer)
		k.state = standing
		k.timer = r.wheel.Set(r.now()+k.Hold, func() {
			r.t.Finished++
			x.leave(k)
		})
	case isup.REL:
		x.send(&isup.Message{Type: isup.RLC, CIC: m.CIC})
		if k == nil || k.state == releasing {
			return
		}
		x.free(k)
		r.t.Causes[fmt.Sprint(m.Cause)]++
		switch {
		case k.state == waiting, k.state == ringing:
			r.t.Refused++
			if m.Cause != isup.CauseNoAnswer && m.Cause != isup.CauseNoUserResponding { // nobody is there
				x.again(k)
			}
		case m.Cause == isup.CauseNormal:
			r.t.Finished++
		default:
			r.t.Cut++
			x.again(k)
		}
	case isup.RLC:
		if k != nil && k.state == releasing {
			x.free(k)
		}
	}
}
