// Package daemon runs a call controller on sockets. One goroutine, the event loop, owns the controller. Every association has
// a reader, which posts events to the loop through one bounded queue, and a writer with a bounded send queue. All routing
// decisions are made in package controller and the packages below it.
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

// Options are the settings of a daemon and its access to network and captures.
type Options struct {
	Config *config.Config
	Log    zerolog.Logger
	// Dial and Listen default to TCP; tests pass an in-memory network.
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Listen func(addr string) (net.Listener, error)
	Engine func(policy.Config) (controller.Engine, error) // replaces the policy engine for comparisons; nil: policy.New
	// Capture, if set, is called with every frame of every association; it must not block.
	Capture func(at time.Time, from, to net.Addr, frame []byte)
}

// Daemon is a call controller with its sockets.
type Daemon struct {
	cfg          *config.Config
	log          zerolog.Logger
	callLog      *callLogger
	dial         func(ctx context.Context, addr string) (net.Conn, error)
	start        time.Time
	core         *controller.Core
	events       chan event
	associations map[controller.AssocID]*association // owned by the event loop
	wakePending  []*association                      // associations whose writers have to be woken
	goingDown    *association                        // the association whose loss is being handled
	nextID       atomic.Uint32
	clients      atomic.Int32 // open connections of clients
	group        taskgroup.Group
	metrics      *metrics
	hooks        *hookRunner
	capture      func(at time.Time, from, to net.Addr, frame []byte)

	clientListener, controlListener net.Listener
	metricsListener                 net.Listener
	listen                          func(addr string) (net.Listener, error)

	drain     chan struct{}
	drainOnce sync.Once
	peers     peers
	runCtx    context.Context // the context of Run, for connectors that a reload starts
	decoded   m3ua.Message
}

type eventKind uint8

const (
	evFrames      eventKind = iota // a batch of frames was read
	evUp                           // an association became active
	evDown                         // an association was lost
	evUnreachable                  // dialling a switch of an exchange failed
	evFunc                         // a function to run in the event loop
	evAdvice                       // the hooks' advice on a request
)

type event struct {
	kind        eventKind
	association *association
	batch       *[]byte
	pc          uint32 // point code of an exchange; with evAdvice the number of the request
	id          uint64 // of a call
	fn          func()
	advice      *hooks.Advice
	readAt      time.Duration // with evFrames: when the frames were read
}

// clockOffset is added to the time since the start, because to the policy engine a time of 0 means that an event has not
// happened.
const clockOffset = time.Hour

func (d *Daemon) now() time.Duration { return clockOffset + time.Since(d.start) }

// New creates a daemon and opens its listeners, so that their addresses are known before Run.
func New(o Options) (*Daemon, error) {
	d := &Daemon{cfg: o.Config, log: o.Log, dial: o.Dial, listen: o.Listen, start: time.Now(), capture: o.Capture,
		events: make(chan event, o.Config.Limits.Events), associations: map[controller.AssocID]*association{}, drain: make(chan struct{})}
	if d.dial == nil {
		var dialer net.Dialer
		d.dial = func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	}
	if d.listen == nil {
		d.listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	d.group.Panic = func(where string, r any, stack []byte) {
		d.metrics.panics.Inc()
		d.log.Error().Str("where", where).Interface("panic", r).Bytes("stack", stack).Msg("panic caught")
	}
	d.callLog = &callLogger{log: o.Log, cfg: o.Config, limit: rate.NewLimiter(20, 50)}
	d.metrics = newMetrics(d)
	d.hooks = newHookRunner(d)
	if len(o.Config.Hooks.Files) > 0 {
		set, err := d.hooks.readFiles(o.Config.Hooks.Files, o.Config.Hooks.Examples, nil)
		if err != nil {
			return nil, err
		}
		d.hooks.registry.Activate(set)
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
	}{{"listen", o.Config.Listen, &d.clientListener}, {"control", o.Config.Control, &d.controlListener}, {"metrics", o.Config.Metrics, &d.metricsListener}} {
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
	for _, l := range []net.Listener{d.clientListener, d.controlListener, d.metricsListener} {
		if l != nil {
			l.Close()
		}
	}
}

// Addr returns the address where clients connect.
func (d *Daemon) Addr() string { return d.clientListener.Addr().String() }

// ControlAddr returns the address of the control port; empty: there is none.
func (d *Daemon) ControlAddr() string {
	if d.controlListener == nil {
		return ""
	}
	return d.controlListener.Addr().String()
}

// MetricsAddr returns the address where metrics are served; empty: there is none.
func (d *Daemon) MetricsAddr() string {
	if d.metricsListener == nil {
		return ""
	}
	return d.metricsListener.Addr().String()
}

// Drain begins an orderly shutdown: new calls are refused, those without a final answer still get one, and established ones
// may continue until the drain limit of the settings. Run returns when the drain is done.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drain) }) }

// Run serves until a drain is done, or until ctx ends, which closes all connections at once. It returns when all goroutines
// of the daemon have ended.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	d.runCtx = ctx
	defer d.group.Wait()
	defer cancel()
	defer d.closeListeners()
	d.log.Info().Uint32("exchange", d.cfg.Exchange).Str("listen", d.Addr()).Msg("started")
	d.connectAll(ctx)
	for range d.cfg.Hooks.Workers {
		d.spawn(func() { d.hooks.work(ctx) })
	}
	d.spawn(func() { d.hooks.runPeriodic(ctx) })
	d.spawn(func() { d.accept(ctx) })
	if d.controlListener != nil {
		d.spawn(func() { d.serveControl(ctx) })
	}
	if d.metricsListener != nil {
		d.spawn(func() { d.serveMetrics(ctx) })
	}
	err := d.loop(ctx)
	for _, a := range d.associations {
		a.close("daemon shutting down")
	}
	d.log.Info().Msg("ended")
	return err
}

// spawn runs f in a goroutine that Run waits for.
func (d *Daemon) spawn(f func()) { d.group.Go(f) }

// maxEventsPerTurn limits the events handled before timers run and writers are woken.
const maxEventsPerTurn = 256

// loop is the event loop.
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
			d.log.Info().Int("open", d.core.OpenCalls()).Msg("draining")
		case ev := <-d.events:
			d.handle(ctx, ev)
			for n := 1; n < maxEventsPerTurn; n++ {
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
		d.runRecovered("timers", nil, func() {
			d.core.Tick(d.now())
			d.core.Flush(d.now())
		})
		if draining {
			open := d.core.OpenCalls()
			if d.core.Waiting() == 0 && d.now() >= drainUntil && open > 0 {
				d.core.ReleaseAll(d.now())
				open = 0
			}
			if open == 0 {
				d.wakeWriters()
				d.finishAssociations(ctx)
				return nil
			}
		}
		d.wakeWriters()
	}
}

// finishAssociations makes every writer send its queued frames and then ASPDN, and waits for the writers up to the write limit.
func (d *Daemon) finishAssociations(ctx context.Context) {
	for _, a := range d.associations {
		a.finish()
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Association.WriteLimit)
	defer cancel()
	for _, a := range d.associations {
		select {
		case <-a.writerDone:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) wakeWriters() {
	for _, a := range d.wakePending {
		a.wakePending = false
		a.queue.Notify()
	}
	d.wakePending = d.wakePending[:0]
}

// runRecovered runs f in the event loop. A panic closes the association whose event caused it, if any; the daemon goes on.
func (d *Daemon) runRecovered(where string, a *association, f func()) {
	if !d.group.RunRecovered(where, f) && a != nil {
		a.close("panic")
	}
}

func (d *Daemon) handle(ctx context.Context, ev event) {
	a := ev.association
	switch ev.kind {
	case evUp:
		d.associations[a.id] = a
		d.log.Info().Stringer("peer", a).Msg("association active")
		d.runRecovered("up", a, func() { d.core.AssocUp(d.now(), a.id, a.peer) })
	case evDown:
		if d.associations[a.id] == a {
			delete(d.associations, a.id)
			d.goingDown = a // Unsent returns its unsent frames
			d.log.Warn().Stringer("peer", a).Str("why", a.queue.Reason()).Msg("association down")
			d.runRecovered("down", nil, func() { d.core.AssocDown(d.now(), a.id) })
			d.goingDown = nil
		}
	case evUnreachable:
		d.core.Unreachable(d.now(), ev.pc)
	case evFunc:
		d.runRecovered("call", nil, ev.fn)
	case evAdvice:
		d.runRecovered("advice", nil, func() { d.core.Advise(d.now(), ev.id, ev.pc, ev.advice) })
	case evFrames:
		d.core.RecordQueueDelay(d.now()-ev.readAt, 1)
		d.runRecovered("frames", a, func() { d.handleFrames(a, *ev.batch) })
		batchPool.Put(ev.batch)
	}
}

// handleFrames passes the messages of a batch to the controller.
func (d *Daemon) handleFrames(a *association, batch []byte) {
	now := d.now()
	for len(batch) >= m3ua.HeaderLen {
		length, err := m3ua.Length(batch)
		if err != nil || length > len(batch) { // cannot happen: the reader puts only whole frames into a batch
			panic("batch does not consist of whole frames")
		}
		if err := m3ua.Decode(batch[:length], &d.decoded); err != nil {
			a.malformedFrame(err)
		} else {
			d.core.Handle(now, a.id, &d.decoded)
		}
		batch = batch[length:]
	}
}

// onLoop runs f in the event loop and waits for it, at most 2 s.
func (d *Daemon) onLoop(ctx context.Context, f func()) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	done := make(chan struct{})
	select {
	case d.events <- event{kind: evFunc, fn: func() { defer close(done); f() }}:
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

// Ready reports whether the own switch is connected and every trunk group is in sync with its far end.
func (d *Daemon) Ready(ctx context.Context) bool {
	ready := false
	if d.onLoop(ctx, func() { ready = d.core.Ready() }) != nil {
		return false
	}
	return ready
}

// Counters returns the controller's totals; zero if the event loop does not answer in time.
func (d *Daemon) Counters(ctx context.Context) (c controller.Counters) {
	d.onLoop(ctx, func() { c = d.core.Counters })
	return c
}

// Stall blocks the event loop for span, as if the process were stopped; scenarios inject the fault with it.
func (d *Daemon) Stall(ctx context.Context, span time.Duration) {
	select {
	case d.events <- event{kind: evFunc, fn: func() { time.Sleep(span) }}:
	case <-ctx.Done():
	}
}

// Reload applies changed names and prefixes of exchanges and adds new exchanges. Settings that change the own point code or the
// size of a trunk group, or lack an exchange, are an error, and then nothing is applied.
func (d *Daemon) Reload(ctx context.Context, cfg *config.Config) error {
	var err error
	if e := d.onLoop(ctx, func() {
		if cfg.Exchange != d.cfg.Exchange {
			err = errors.New("a change of the own point code needs a restart")
			return
		}
		if err = d.core.Reload(d.now(), cfg.ExchangeList()); err == nil {
			d.cfg.Exchanges = cfg.Exchanges
			d.connectAll(d.runCtx)
		}
	}); e != nil {
		return e
	}
	return err
}

// port implements controller.Port on the daemon's associations.
type port struct{ d *Daemon }

func (p port) Send(assocID controller.AssocID, frame []byte) bool {
	a := p.d.associations[assocID]
	if a == nil || !a.queue.Put(frame) {
		return false
	}
	if !a.wakePending {
		a.wakePending = true
		p.d.wakePending = append(p.d.wakePending, a)
	}
	return true
}

func (p port) Close(assocID controller.AssocID, why string) {
	if a := p.d.associations[assocID]; a != nil {
		a.close(why)
	}
}

// Unsent also closes the association, so that its writer sends none of the frames returned here.
func (p port) Unsent(assocID controller.AssocID) []byte {
	a := p.d.associations[assocID]
	if a == nil {
		a = p.d.goingDown
	}
	if a == nil || a.id != assocID {
		return nil
	}
	a.close("its traffic moved to another association")
	return a.queue.Unsent()
}

func (p port) CallEnded(call controller.CallRecord) {
	p.d.metrics.recordEnd(call)
	if call.Set.Has(script.Final) {
		if p.d.hooks.post(hookJob{final: &call}) {
			return
		}
		call.Set.CountTimeout(script.Final)
	}
	p.d.callLog.record(call, nil)
}

// callLogger logs each call that is refused, failed or cut, or for which final hooks give tags or log fields. The rate is
// limited; suppressed counts the calls left out since the last line.
type callLogger struct {
	log        zerolog.Logger
	cfg        *config.Config
	limit      *rate.Limiter
	suppressed atomic.Int64
}

// record logs the end of a call, with the tags and log fields of its final hooks; advice is nil if none ran.
func (l *callLogger) record(call controller.CallRecord, advice *hooks.Advice) {
	switch {
	case call.Outcome == controller.Failed, call.Outcome == controller.Cut, call.Outcome == controller.Refused:
	case advice != nil && len(advice.Tags)+len(advice.Logs) > 0:
	default:
		return
	}
	if !l.limit.Allow() {
		l.suppressed.Add(1)
		return
	}
	class := ""
	if call.Class < len(l.cfg.Classes) {
		class = l.cfg.Classes[call.Class].Name
	}
	record := l.log.Info().Stringer("outcome", call.Outcome).Uint64("call", call.Call).Str("class", class).Bool("transit", call.Transit).
		Stringer("called", call.Called).Uint32("to", call.To).Uint32("via", call.Via).Int("attempts", call.Attempts).
		Uint8("cause", uint8(call.Cause)).Dur("after", call.After)
	tags := call.Tags
	if advice != nil {
		tags = append(tags[:len(tags):len(tags)], advice.Tags...)
		for _, field := range advice.Logs {
			record = record.Str("x_"+field.Key, field.Value) // the prefix keeps hooks' keys apart from the daemon's
		}
	}
	if len(tags) > 0 {
		record = record.Strs("tags", tags)
	}
	if n := l.suppressed.Swap(0); n > 0 {
		record = record.Int64("suppressed", n)
	}
	record.Msg("call")
}
