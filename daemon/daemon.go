// Package daemon runs a call controller on sockets. One goroutine owns the controller; every association has a reader
// and a writer, which hand it events through one bounded queue and take its frames from bounded ones. All that is
// decided is decided in package controller and below.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/umbergauge/umbergauge/controller"
	"github.com/umbergauge/umbergauge/hooks"
	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/internal/taskgroup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/policy"
	"github.com/umbergauge/umbergauge/script"
)

// Options are the settings and what the daemon reaches the world by.
type Options struct {
	Config *config.Config
	Log    zerolog.Logger
	// Dial and Listen default to TCP; tests hand in pipes.
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Listen func(addr string) (net.Listener, error)
	Engine func(policy.Config) (controller.Engine, error) // for comparisons only; nil: policy.New
	// Capture, if set, is given every frame of every association; it must not wait.
	Capture func(at time.Time, from, to net.Addr, frame []byte)
}

// Daemon is one call controller on sockets.
type Daemon struct {
	cfg     *config.Config
	log     zerolog.Logger
	odd     *oddLog
	dial    func(ctx context.Context, addr string) (net.Conn, error)
	start   time.Time
	core    *controller.Core
	events  chan event
	links   map[controller.AssocID]*link // of the decision goroutine
	touched []*link
	lost    *link // that goes down now
	nextID  atomic.Uint32
	clients atomic.Int32 // connections of clients
	group   taskgroup.Group
	metrics *metrics
	hooks   *hookRunner
	capture func(at time.Time, from, to net.Addr, frame []byte)

	listener, control net.Listener
	metricsAt         net.Listener
	listen            func(addr string) (net.Listener, error)

	drain     chan struct{}
	drainOnce sync.Once
	peers     peers
	running   context.Context // of Run, for what a reload starts
	msg       m3ua.Message
}

type eventKind uint8

const (
	evFrames eventKind = iota
	evUp
	evDown
	evUnreachable
	evCall
	evAdvice
)

type event struct {
	kind   eventKind
	link   *link
	batch  *[]byte
	pc     uint32 // of an exchange; of advice the question's number
	id     uint64 // of a call
	call   func()
	advice *hooks.Advice
	at     time.Duration // of frames: when they were read
}

// base is added to the time since the start: the module takes 0 for long ago.
const base = time.Hour

func (d *Daemon) now() time.Duration { return base + time.Since(d.start) }

// New makes a daemon and opens its listeners, so that their addresses are known before Run.
func New(o Options) (*Daemon, error) {
	d := &Daemon{cfg: o.Config, log: o.Log, dial: o.Dial, listen: o.Listen, start: time.Now(), capture: o.Capture,
		events: make(chan event, o.Config.Limits.Events), links: map[controller.AssocID]*link{}, drain: make(chan struct{})}
	if d.dial == nil {
		var nd net.Dialer
		d.dial = func(ctx context.Context, addr string) (net.Conn, error) { return nd.DialContext(ctx, "tcp", addr) }
	}
	if d.listen == nil {
		d.listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	d.group.Panic = func(where string, r any, stack []byte) {
		d.metrics.panics.Inc()
		d.log.Error().Str("where", where).Interface("panic", r).Bytes("stack", stack).Msg("panic caught")
	}
	d.odd = &oddLog{log: o.Log, cfg: o.Config, limit: rate.NewLimiter(20, 50)}
	d.metrics = newMetrics(d)
	d.hooks = newHookRunner(d)
	if len(o.Config.Hooks.Files) > 0 {
		s, err := d.hooks.read(o.Config.Hooks.Files, o.Config.Hooks.Examples, nil)
		if err != nil {
			return nil, err
		}
		d.hooks.book.Activate(s)
	}
	var err error
	core := o.Config.Controller()
	core.Engine, core.Hooks = o.Engine, d.hooks
	if d.core, err = controller.New(core, port{d}, d.now()); err != nil {
		return nil, err
	}
	for _, l := range []struct {
		what, addr string
		to         *net.Listener
	}{{"listen", o.Config.Listen, &d.listener}, {"control", o.Config.Control, &d.control}, {"metrics", o.Config.Metrics, &d.metricsAt}} {
		if l.addr == "" {
			continue
		}
		if *l.to, err = d.listen(l.addr); err != nil {
			d.closeListeners()
			return nil, fmt.Errorf("%s: %w", l.what, err)
		}
	}
	return d, nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.listener, d.control, d.metricsAt} {
		if l != nil {
			l.Close()
		}
	}
}

// Addr is where clients connect.
func (d *Daemon) Addr() string { return d.listener.Addr().String() }

// ControlAddr is the address of the control port, or empty.
func (d *Daemon) ControlAddr() string {
	if d.control == nil {
		return ""
	}
	return d.control.Addr().String()
}

// MetricsAddr is where metrics are served, or empty.
func (d *Daemon) MetricsAddr() string {
	if d.metricsAt == nil {
		return ""
	}
	return d.metricsAt.Addr().String()
}

// Drain begins an orderly end: no new calls, open ones get their answers, standing ones may end until the limit of the
// settings. Run returns when it is done.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drain) }) }

// Run works until ctx ends, which cuts everything off, or a drain is done. It returns when all its goroutines have.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	d.running = ctx
	defer d.group.Wait()
	defer cancel()
	defer d.closeListeners()
	d.log.Info().Uint32("exchange", d.cfg.Exchange).Str("listen", d.Addr()).Msg("started")
	d.connectAll(ctx)
	for range d.cfg.Hooks.Workers {
		d.own(func() { d.hooks.work(ctx) })
	}
	d.own(func() { d.hooks.tick(ctx) })
	d.own(func() { d.accept(ctx) })
	if d.control != nil {
		d.own(func() { d.serveControl(ctx) })
	}
	if d.metricsAt != nil {
		d.own(func() { d.serveMetrics(ctx) })
	}
	err := d.loop(ctx)
	for _, l := range d.links {
		l.close("the daemon ends")
	}
	d.log.Info().Msg("ended")
	return err
}

// own starts a goroutine that Run waits for.
func (d *Daemon) own(f func()) { d.group.Go(f) }

// maxBatch bounds the events handled before timers run and writers are woken.
const maxBatch = 256

// loop is the decision goroutine.
func (d *Daemon) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	draining, drain := false, d.drain
	var drainUntil time.Duration
	for {
		if next, ok := d.core.Next(); ok {
			timer.Reset(max(0, next-d.now()))
		} else {
			timer.Reset(time.Second)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-drain:
			drain, draining = nil, true
			drainUntil = d.now() + d.cfg.DrainLimit
			d.core.Drain()
			d.log.Info().Int("open", d.core.Open()).Msg("draining")
		case ev := <-d.events:
			d.handle(ctx, ev)
			for n := 1; n < maxBatch; n++ {
				select {
				case ev := <-d.events:
					d.handle(ctx, ev)
					continue
				default:
				}
				break
			}
		case <-timer.C:
		}
		d.guarded("timers", nil, func() {
			d.core.Tick(d.now())
			d.core.Flush(d.now())
		})
		if draining {
			open := d.core.Open()
			if d.core.Waiting() == 0 && d.now() >= drainUntil && open > 0 {
				d.core.ReleaseAll(d.now())
				open = 0
			}
			if open == 0 {
				d.wakeWriters()
				d.farewell(ctx)
				return nil
			}
		}
		d.wakeWriters()
	}
}

// farewell lets the writers send what is queued, and says ASPDN.
func (d *Daemon) farewell(ctx context.Context) {
	for _, l := range d.links {
		l.finish()
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Association.WriteLimit)
	defer cancel()
	for _, l := range d.links {
		select {
		case <-l.flushed:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) wakeWriters() {
	for _, l := range d.touched {
		l.touched = false
		l.box.Notify()
	}
	d.touched = d.touched[:0]
}

// guarded runs f of the decision goroutine; a panic costs the link it came by, if any, and not the daemon.
func (d *Daemon) guarded(where string, l *link, f func()) {
	if !d.group.RunRecovered(where, f) && l != nil {
		l.close("panic")
	}
}

func (d *Daemon) handle(ctx context.Context, ev event) {
	l := ev.link
	switch ev.kind {
	case evUp:
		d.links[l.id] = l
		d.log.Info().Stringer("peer", l).Msg("association active")
		d.guarded("up", l, func() { d.core.AssocUp(d.now(), l.id, l.peer) })
	case evDown:
		if d.links[l.id] == l {
			delete(d.links, l.id)
			d.lost = l // for what it has not sent
			d.log.Warn().Stringer("peer", l).Str("why", l.box.Reason()).Msg("association down")
			d.guarded("down", nil, func() { d.core.AssocDown(d.now(), l.id) })
			d.lost = nil
		}
	case evUnreachable:
		d.core.Unreachable(d.now(), ev.pc)
	case evCall:
		d.guarded("call", nil, ev.call)
	case evAdvice:
		d.guarded("advice", nil, func() { d.core.Advise(d.now(), ev.id, ev.pc, ev.advice) })
	case evFrames:
		d.core.RecordQueueDelay(d.now()-ev.at, 1)
		d.guarded("frames", l, func() { d.frames(l, *ev.batch) })
		batches.Put(ev.batch)
	}
}

// frames hands the messages of a batch to the controller.
func (d *Daemon) frames(l *link, b []byte) {
	now := d.now()
	for len(b) >= m3ua.HeaderLen {
		n, err := m3ua.Length(b)
		if err != nil || n > len(b) { // the reader cuts batches between frames
			panic("a batch that is no sequence of frames")
		}
		if err := m3ua.Decode(b[:n], &d.msg); err != nil {
			l.malformed(err)
		} else {
			d.core.Handle(now, l.id, &d.msg)
		}
		b = b[n:]
	}
}

// do runs f in the decision goroutine and waits for it; every wait has an end.
func (d *Daemon) do(ctx context.Context, f func()) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	done := make(chan struct{})
	select {
	case d.events <- event{kind: evCall, call: func() { defer close(done); f() }}:
	case <-ctx.Done():
		return errors.New("the controller is too busy")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.New("the controller is too busy")
	}
}

// Ready tells whether the own switch is reached and every trunk group is in agreement with its far end.
func (d *Daemon) Ready(ctx context.Context) bool {
	ready := false
	if d.do(ctx, func() { ready = d.core.Ready() }) != nil {
		return false
	}
	return ready
}

// Counters are the controller's totals.
func (d *Daemon) Counters(ctx context.Context) (c controller.Counters) {
	d.do(ctx, func() { c = d.core.Counters })
	return c
}

// Stall stops the decision goroutine for a while, as a stopped process would: for days that play it.
func (d *Daemon) Stall(ctx context.Context, span time.Duration) {
	select {
	case d.events <- event{kind: evCall, call: func() { time.Sleep(span) }}:
	case <-ctx.Done():
	}
}

// Reload takes changed settings: names, prefixes and further exchanges. The error names what cannot be
// changed; then all stays as it was.
func (d *Daemon) Reload(ctx context.Context, cfg *config.Config) error {
	var err error
	if e := d.do(ctx, func() {
		if cfg.Exchange != d.cfg.Exchange {
			err = errors.New("the own point code changes only with a new start")
			return
		}
		if err = d.core.Reload(d.now(), cfg.ExchangeList()); err == nil {
			d.cfg.Exchanges = cfg.Exchanges
			d.connectAll(d.running)
		}
	}); e != nil {
		return e
	}
	return err
}

// port is the controller's way to the links.
type port struct{ d *Daemon }

func (p port) Send(a controller.AssocID, frame []byte) bool {
	l := p.d.links[a]
	if l == nil || !l.box.Put(frame) {
		return false
	}
	if !l.touched {
		l.touched = true
		p.d.touched = append(p.d.touched, l)
	}
	return true
}

func (p port) Close(a controller.AssocID, why string) {
	if l := p.d.links[a]; l != nil {
		l.close(why)
	}
}

// Unsent ends the link too: its writer takes nothing more from what is queued.
func (p port) Unsent(a controller.AssocID) []byte {
	l := p.d.links[a]
	if l == nil {
		l = p.d.lost
	}
	if l == nil || l.id != a {
		return nil
	}
	l.close("another association has its traffic")
	return l.box.Unsent()
}

func (p port) CallEnded(e controller.CallRecord) {
	p.d.metrics.ended(e)
	if e.Set.Has(script.Final) {
		if p.d.hooks.post(hookJob{final: &e}) {
			return
		}
		e.Set.CountTimeout(script.Final)
	}
	p.d.odd.line(e, nil)
}

// oddLog writes a line for each call that ends oddly or that hooks have a word on, but no more than a reader can take in a
// storm.
type oddLog struct {
	log        zerolog.Logger
	cfg        *config.Config
	limit      *rate.Limiter
	suppressed atomic.Int64
}

// line logs the end of a call, with what its final hooks made of it, if there were any.
func (o *oddLog) line(e controller.CallRecord, a *hooks.Advice) {
	switch {
	case e.Outcome == controller.Failed, e.Outcome == controller.Cut, e.Outcome == controller.Refused:
	case a != nil && len(a.Tags)+len(a.Logs) > 0:
	default:
		return
	}
	if !o.limit.Allow() {
		o.suppressed.Add(1)
		return
	}
	class := ""
	if e.Class < len(o.cfg.Classes) {
		class = o.cfg.Classes[e.Class].Name
	}
	line := o.log.Info().Stringer("outcome", e.Outcome).Uint64("call", e.Call).Str("class", class).Bool("transit", e.Transit).
		Stringer("called", e.Called).Uint32("to", e.To).Uint32("via", e.Via).Int("attempts", e.Attempts).
		Uint8("cause", uint8(e.Cause)).Dur("after", e.After)
	tags := e.Tags
	if a != nil {
		tags = append(tags[:len(tags):len(tags)], a.Tags...)
		for _, p := range a.Logs {
			line = line.Str("x_"+p.Key, p.Value) // apart from the daemon's own fields
		}
	}
	if len(tags) > 0 {
		line = line.Strs("tags", tags)
	}
	if n := o.suppressed.Swap(0); n > 0 {
		line = line.Int64("suppressed", n)
	}
	line.Msg("call")
}
