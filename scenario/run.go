package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbergauge/umbergauge/check"
	"github.com/umbergauge/umbergauge/controller"
	"github.com/umbergauge/umbergauge/daemon"
	"github.com/umbergauge/umbergauge/emulator"
	"github.com/umbergauge/umbergauge/hooks"
	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/policy"
	"github.com/umbergauge/umbergauge/record"
)

// Options control a run of a scenario.
type Options struct {
	Dial   func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP on loopback
	Listen func(addr string) (net.Listener, error)
	Log    zerolog.Logger
	Engine func(policy.Config) (controller.Engine, error) // nil: the routing engine of package policy
	// Slack is the checker's tolerance for the time between an action and its recording; see check.Spec.
	Slack time.Duration
	// GuardMargin is added to the controllers' guard, so that delays of the recording do not shorten it below the rule's.
	GuardMargin time.Duration
	// Hooks are the scripts that every controller runs. HooksFor, if set, replaces them by scripts for each exchange.
	Hooks    []hooks.Source
	HooksFor func(exchange int) []hooks.Source
	// FrameFault, if set, decides on a fault for each frame on the sockets of emulated switches and clients; u is nil for
	// frames without an ISUP message. Calls are serialised.
	FrameFault func(k record.LinkKind, fromController bool, m *m3ua.Message, u *isup.Message) emulator.FrameFault
	// Deadline is the deadline of hooks; 0: the default of the settings.
	Deadline time.Duration
	// Progress, if set, is called about every second with the time since the start.
	Progress func(at time.Duration)
	// During, if set, runs concurrently with the scenario, for example to do what operators do.
	During func(ctx context.Context, daemons []*daemon.Daemon)
}

// Result is the result of a run.
type Result struct {
	Name     string                         `json:"name"`
	Seed     uint64                         `json:"seed"`
	Report   check.Report                   `json:"report"`
	Counters map[uint32]controller.Counters `json:"controllers"`
	Clients  emulator.ClientCounts          `json:"clients"`
	Record   record.Recording               `json:"-"`
	Spec     check.Spec                     `json:"-"`
}

// runner is the state of a running scenario.
type runner struct {
	scenario      *Scenario
	plan          *plan
	options       Options
	recording     *record.Log
	net           *emulator.Network
	switches      []*emulator.Switch
	addrs         [][]string // of each switch: the current one first, then that of its replacement
	daemons       []*daemon.Daemon
	clients       [][]*emulator.Client // by exchange and tenant
	updateDelay   func(at time.Duration) time.Duration
	wg            sync.WaitGroup
	startedAt     time.Time
	updatesMu     sync.Mutex // guards addrs and updatesRandom
	updatesRandom *rand.Rand
	frameFaultMu  sync.Mutex
	started       atomic.Bool
}

// Spec returns what recordings of this scenario are evaluated against.
func (sc *Scenario) Spec(slack time.Duration) check.Spec {
	p := sc.plan()
	s := check.Spec{Guard: sc.Rules.Guard, DrainGrace: sc.Rules.DrainGrace, Slack: slack,
		ColdStart: check.ColdStart{Share: sc.Rules.ColdStart.Share, WarmUp: sc.Rules.ColdStart.WarmUp, Multiple: sc.Rules.ColdStart.Multiple, Span: sc.Rules.ColdStart.Span},
		Exchange: func(number string) (uint32, bool) {
			for _, x := range p.exchanges {
				if strings.HasPrefix(number, x.prefix) {
					return x.pointCode, true
				}
			}
			return 0, false
		}}
	for _, c := range sc.Traffic.Classes {
		s.Classes = append(s.Classes, check.Class{Name: c.Name, Category: isup.Category(c.Category), Aim: c.Aim, Patience: c.Patience, Ring: c.Ring,
			GiveUp: c.GiveUp, Worth: c.Worth, LateWorth: c.LateWorth})
	}
	return s
}

// settings returns the settings of the controller of exchange self.
func (sc *Scenario) settings(p *plan, self int, addrs [][]string, guardMargin time.Duration) (*config.Config, error) {
	cfg := config.Default()
	cfg.Exchange, cfg.Listen, cfg.Seed = p.exchanges[self].pointCode, "127.0.0.1:0", sc.Seed+uint64(self)
	cfg.Guard, cfg.RetransmitAfter, cfg.MaxAttempts, cfg.OverQuotaWorth = sc.Rules.Guard+guardMargin, sc.Network.Switch.Repeat, 4, 0.1
	cfg.ColdStart = config.ColdStart{WarmUp: sc.Rules.ColdStart.WarmUp, Share: sc.Rules.ColdStart.Share, CrashMultiple: sc.Rules.ColdStart.Multiple, CrashSpan: sc.Rules.ColdStart.Span}
	cfg.Timers = config.Timers{T1: 4 * time.Second, T5: 20 * time.Second, T7: 20 * time.Second, T9: 90 * time.Second, T16: 4 * time.Second, T28: 2 * time.Second, SignallingHold: 8 * time.Second}
	cfg.Association.Ack, cfg.Association.Beat, cfg.Association.BeatLimit = time.Second, time.Second, 3*time.Second
	cfg.Association.BackoffMax = time.Second
	for _, x := range sc.Traffic.Classes {
		cfg.Classes = append(cfg.Classes, config.Class{Name: x.Name, Aim: x.Aim, Patience: x.Patience, Ring: x.Ring, Worth: x.Worth, LateWorth: x.LateWorth, Categories: []int{x.Category}})
	}
	if sc.Traffic.AdmissionLimit > 0 {
		cfg.Limits.All.Rate = sc.Traffic.AdmissionLimit * sc.Traffic.Planned * p.originShares[self]
	}
	if sc.Traffic.ClientAdmissionLimit > 0 {
		largest, all := 1.0, 1.0
		if len(sc.Traffic.Tenants) > 0 {
			largest, all = 0, 0
			for _, x := range sc.Traffic.Tenants {
				largest, all = max(largest, x.Share), all+x.Share
			}
		}
		cfg.Limits.Client.Rate = sc.Traffic.ClientAdmissionLimit * sc.Traffic.Planned * p.originShares[self] * largest / all
		cfg.Limits.Client.Burst = max(5, cfg.Limits.Client.Rate)
	}
	for t, x := range sc.Traffic.Tenants {
		cfg.Tenants = append(cfg.Tenants, config.Tenant{Name: x.Name, Quota: x.Share * sc.Traffic.Planned})
		cfg.Clients = append(cfg.Clients, config.Client{Name: x.Name, ASP: clientPC(self, t), Tenant: x.Name})
	}
	for i, x := range p.exchanges {
		e := config.Exchange{PointCode: x.pointCode, Name: fmt.Sprintf("%s-%d", sc.Network.Regions[x.region], i+1), Switch: slices.Clone(addrs[i]), Prefixes: []string{x.prefix}}
		if i != self {
			e.Circuits = p.exchanges[self].circuits[x.pointCode]
		}
		cfg.Exchanges = append(cfg.Exchanges, e)
	}
	return &cfg, cfg.Check(fmt.Sprintf("controller of exchange %d", cfg.Exchange))
}

// clientPC returns the point code of a tenant's client at an exchange. It is unique for up to ten tenants.
func clientPC(exchange, tenant int) uint32 { return uint32(9000 + 10*exchange + tenant) }

// Run runs a scenario and evaluates its recording. It returns when everything that it started has ended.
func Run(ctx context.Context, sc *Scenario, options Options) (res Result, err error) {
	if options.Dial == nil {
		var dialer net.Dialer
		options.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	}
	if options.Listen == nil {
		options.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runner{scenario: sc, plan: sc.plan(), options: options, recording: record.New(), updatesRandom: sc.randomSource(purposeStateUpdates)}
	r.net = &emulator.Network{Dial: options.Dial, Listen: options.Listen, Log: r.recording}
	if options.FrameFault != nil {
		r.net.FrameFaults = r.frameFault
	}
	defer func() {
		cancel()
		for _, row := range r.clients {
			for _, c := range row {
				c.Close()
			}
		}
		r.wg.Wait()
		for _, s := range r.switches {
			s.Close()
		}
	}()
	if err := r.startAll(ctx); err != nil {
		return res, err
	}
	if err := r.waitReady(ctx); err != nil {
		return res, err
	}
	r.startedAt = time.Now()
	r.started.Store(true)
	if r.options.During != nil {
		r.spawn(func() { r.options.During(ctx, r.daemons) })
	}
	r.reportProgress(ctx)
	r.scheduleFaults(ctx)
	r.offerCalls(ctx)
	settle := time.Duration(0) // the time in which the last calls are answered or abandoned
	for _, c := range sc.Traffic.Classes {
		settleTime := c.Patience + 500*time.Millisecond
		if c.hasRinging() {
			settleTime += c.ringLimit()
		}
		settle = max(settle, settleTime)
	}
	for _, row := range r.clients {
		for _, c := range row {
			c.StopRedials()
		}
	}
	if !sleep(ctx, settle) {
		return res, ctx.Err()
	}
	res = Result{Name: sc.Name, Seed: sc.Seed, Record: r.recording.Finish(), Spec: sc.Spec(options.Slack), Counters: map[uint32]controller.Counters{}}
	for i, x := range r.daemons {
		res.Counters[r.plan.exchanges[i].pointCode] = x.Counters(ctx)
	}
	for _, row := range r.clients {
		for _, c := range row {
			t := c.Totals()
			res.Clients.Tries += t.Tries
			res.Clients.Answered += t.Answered
			res.Clients.Refused += t.Refused
			res.Clients.Abandoned += t.Abandoned
			res.Clients.Alerted += t.Alerted
			res.Clients.AbandonedRinging += t.AbandonedRinging
			res.Clients.Cut += t.Cut
			res.Clients.NoCircuit += t.NoCircuit
			res.Clients.NotConnected += t.NotConnected
		}
	}
	res.Report = check.Evaluate(res.Record, res.Spec)
	return res, nil
}

// frameFault calls Options.FrameFault for a frame, once the scenario has started.
func (r *runner) frameFault(kind record.LinkKind, fromController bool, frame []byte) emulator.FrameFault {
	r.frameFaultMu.Lock()
	defer r.frameFaultMu.Unlock()
	var m m3ua.Message
	var u isup.Message
	if !r.started.Load() || m3ua.Decode(frame, &m) != nil {
		return emulator.Pass
	}
	if m.Kind != m3ua.DATA || isup.Decode(m.Data.User, &u) != nil {
		return r.options.FrameFault(kind, fromController, &m, nil)
	}
	return r.options.FrameFault(kind, fromController, &m, &u)
}

// sleep waits for d and reports whether it elapsed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// startAll starts switches, controllers and clients.
func (r *runner) startAll(ctx context.Context) error {
	sc, p := r.scenario, r.plan
	switchConfig := sc.Network.Switch
	regions := map[uint32]int{}
	for _, x := range p.exchanges {
		regions[x.pointCode] = x.region
	}
	r.net.SetDelay(func(a, b uint32) time.Duration {
		switch {
		case a == b:
			return 0
		case regions[a] == regions[b]:
			return sc.Network.SameRegionDelay
		}
		return sc.Network.CrossRegionDelay
	})
	hold, ringing := time.Duration(0), map[isup.Category]emulator.Ringing{}
	for _, c := range sc.Traffic.Classes {
		hold = max(hold, c.Hold)
		if c.hasRinging() {
			ringing[isup.Category(c.Category)] = c.Ringing
		}
	}
	for i, x := range p.exchanges {
		s := emulator.NewSwitch(r.net, emulator.SwitchConfig{PC: x.pointCode, Prefixes: []string{x.prefix}, Circuits: x.circuits, Seed: sc.randomSource(purposeSwitches).Uint64() + uint64(i),
			Rate: x.setUpRate, FollowWork: switchConfig.FollowWork, RejectWork: switchConfig.RejectWork, FullAfter: switchConfig.FullAfter, AnswersFirst: switchConfig.AnswersFirst,
			Repeat: switchConfig.Repeat, RepeatWork: switchConfig.RepeatWork, DropAbandoned: switchConfig.DropAbandoned, Ring: switchConfig.Ring, Ringing: ringing, EarlyACM: switchConfig.EarlyACM, HangUp: switchConfig.HangUp, Hold: hold,
			ColdShare: sc.Rules.ColdStart.Share, WarmUp: sc.Rules.ColdStart.WarmUp, CrashMultiple: sc.Rules.ColdStart.Multiple, CrashSpan: sc.Rules.ColdStart.Span})
		r.switches = append(r.switches, s)
		first, err := s.Start("127.0.0.1:0", false)
		if err != nil {
			return err
		}
		l, err := r.options.Listen("127.0.0.1:0") // reserves the address of a possible replacement
		if err != nil {
			return err
		}
		defer l.Close() // after all addresses are assigned; a port that is closed earlier may be assigned again
		r.addrs = append(r.addrs, []string{first, l.Addr().String()})
	}
	for i, x := range p.exchanges {
		cfg, err := sc.settings(p, i, r.addrs, r.options.GuardMargin)
		if err != nil {
			return err
		}
		if r.options.Deadline > 0 {
			cfg.Hooks.Deadline = r.options.Deadline
		}
		controllerDaemon, err := daemon.New(daemon.Options{Config: cfg, Log: r.options.Log.With().Uint32("controller", x.pointCode).Logger(),
			Dial: r.options.Dial, Listen: r.options.Listen, Engine: r.options.Engine})
		if err != nil {
			return err
		}
		sources := r.options.Hooks
		if r.options.HooksFor != nil {
			sources = r.options.HooksFor(i)
		}
		if len(sources) > 0 {
			if err := controllerDaemon.InstallHooks(sources); err != nil {
				return err
			}
		}
		r.daemons = append(r.daemons, controllerDaemon)
		r.spawn(func() { controllerDaemon.Run(ctx) })
		var row []*emulator.Client
		for t := range max(1, len(sc.Traffic.Tenants)) {
			row = append(row, emulator.NewClient(r.net, emulator.ClientConfig{PC: clientPC(i, t), Controller: x.pointCode, Addr: controllerDaemon.Addr(), Seed: sc.Seed}))
		}
		r.clients = append(r.clients, row)
	}
	return nil
}

func (r *runner) spawn(f func()) {
	r.wg.Add(1)
	go func() { defer r.wg.Done(); f() }()
}

// waitReady waits until all controllers are ready and all clients connected, at most ten seconds.
func (r *runner) waitReady(ctx context.Context) error {
	for range 200 {
		all := true
		for _, d := range r.daemons {
			all = all && d.Ready(ctx)
		}
		for _, row := range r.clients {
			for _, c := range row {
				all = all && c.Connected()
			}
		}
		if all {
			return nil
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return errors.New("scenario: a controller is not ready or a client not connected after 10 s")
}

// offerCalls offers every call at its time through its client.
func (r *runner) offerCalls(ctx context.Context) {
	for _, a := range r.scenario.arrivals(r.plan) {
		if wait := a.at - time.Since(r.startedAt); wait > 0 && !sleep(ctx, wait) {
			return
		}
		r.clients[a.from][a.tenant].Offer(emulator.Call{Calling: a.calling, Called: a.called, Category: isup.Category(r.scenario.Traffic.Classes[a.class].Category),
			Hold: a.hold, Patience: a.patience, Ring: r.scenario.Traffic.Classes[a.class].Ring, Redials: a.redials, RedialAfter: a.redialAfter})
	}
	sleep(ctx, r.scenario.Length-time.Since(r.startedAt))
}

func (r *runner) reportProgress(ctx context.Context) {
	if r.options.Progress == nil {
		return
	}
	r.spawn(func() {
		for sleep(ctx, time.Second) {
			r.options.Progress(time.Since(r.startedAt))
		}
	})
}

// sendStateUpdates sends a state update about exchange i to the controllers of all others, to each after its own random
// delay of 0.2 to 1.2 s, plus extra and the delay of ListLate faults.
func (r *runner) sendStateUpdates(ctx context.Context, kind m3ua.Kind, i int, extra time.Duration) {
	for j, s := range r.switches {
		if j == i {
			continue
		}
		r.updatesMu.Lock()
		updateDelay := extra + time.Duration(200+r.updatesRandom.IntN(1000))*time.Millisecond
		r.updatesMu.Unlock()
		if r.updateDelay != nil {
			updateDelay += r.updateDelay(time.Since(r.startedAt))
		}
		r.spawn(func() {
			if sleep(ctx, updateDelay) {
				s.SendStatus(kind, r.plan.exchanges[i].pointCode)
			}
		})
	}
}

// scheduleFaults starts every fault at its time.
func (r *runner) scheduleFaults(ctx context.Context) {
	var lateUpdates []Fault
	for _, fault := range r.scenario.Faults {
		if fault.Kind == ListLate {
			lateUpdates = append(lateUpdates, fault)
		}
	}
	r.updateDelay = func(at time.Duration) (d time.Duration) {
		for _, fault := range lateUpdates {
			if at >= fault.At && at < fault.At+fault.For {
				d += time.Duration(fault.Size * float64(time.Second))
			}
		}
		return d
	}
	for k, fault := range r.scenario.Faults {
		rng := rand.New(rand.NewPCG(r.scenario.Seed, uint64(purposeFaults*1000+k)))
		targets := r.scenario.drawTargets(r.plan, fault, rng)
		r.spawn(func() {
			if !sleep(ctx, fault.At) {
				return
			}
			r.recording.Event(record.Event{Kind: record.Fault, Name: string(fault.Kind), Span: fault.For})
			r.injectFault(ctx, fault, targets, rng)
		})
	}
}

// injectFault injects a fault at the given exchanges and ends it after its duration.
func (r *runner) injectFault(ctx context.Context, fault Fault, targets []int, rng *rand.Rand) {
	each := func(f func(i int)) {
		for _, i := range targets {
			f(i)
		}
	}
	region := func(i int) int { return r.plan.exchanges[i].region }
	crossing := func(f func(i, j int)) { // calls f for every pair of an affected exchange and one of another region
		for _, i := range targets {
			for j := range r.switches {
				if region(i) != region(j) {
					f(i, j)
				}
			}
		}
	}
	switch fault.Kind {
	case Crash, RegionRestart:
		each(func(i int) {
			r.switches[i].Stop()
			r.sendStateUpdates(ctx, m3ua.DUNA, i, 0)
		})
		if sleep(ctx, fault.For) {
			each(func(i int) { r.restart(ctx, i) })
		}
	case Replace:
		drain := fault.For / 2
		each(func(i int) { r.sendStateUpdates(ctx, m3ua.DRST, i, 0) })
		if !sleep(ctx, drain) {
			return
		}
		each(func(i int) {
			r.switches[i].Stop()
			r.sendStateUpdates(ctx, m3ua.DUNA, i, 0)
		})
		if sleep(ctx, fault.For-drain) {
			each(func(i int) {
				r.updatesMu.Lock()
				r.addrs[i][0], r.addrs[i][1] = r.addrs[i][1], r.addrs[i][0]
				r.updatesMu.Unlock()
				r.restart(ctx, i)
			})
		}
	case Hang:
		each(func(i int) { r.switches[i].Hang(true) })
		sleep(ctx, fault.For)
		each(func(i int) { r.switches[i].Hang(false) })
	case CallFaultFull, CallFaultSilent, CallFaultReset:
		kind := map[FaultKind]emulator.CallFault{CallFaultFull: emulator.CallFaultFull, CallFaultSilent: emulator.CallFaultSilent, CallFaultReset: emulator.CallFaultReset}[fault.Kind]
		each(func(i int) { r.switches[i].SetCallFault(kind, fault.Size) })
		sleep(ctx, fault.For)
		each(func(i int) { r.switches[i].SetCallFault(kind, 0) })
	case Slow:
		each(func(i int) { r.switches[i].Slow(fault.Size) })
		sleep(ctx, fault.For)
		each(func(i int) { r.switches[i].Slow(1) })
	case Ageing:
		each(func(i int) { r.switches[i].Degrade(fault.For, fault.Size) })
		if !sleep(ctx, fault.For+300*time.Millisecond) {
			return
		}
		each(func(i int) { r.sendStateUpdates(ctx, m3ua.DUNA, i, 0) })
		if sleep(ctx, 3*time.Second) {
			each(func(i int) { r.restart(ctx, i) })
		}
	case CircuitsLost:
		lose := func(on bool) {
			crossing(func(i, j int) {
				r.switches[i].LoseCircuits(r.plan.exchanges[j].pointCode, fault.Size, on)
				r.switches[j].LoseCircuits(r.plan.exchanges[i].pointCode, fault.Size, on)
			})
		}
		lose(true)
		sleep(ctx, fault.For)
		lose(false)
	case RegionCut:
		cut := func(on bool) {
			crossing(func(i, j int) { r.net.Cut(r.plan.exchanges[i].pointCode, r.plan.exchanges[j].pointCode, on) })
		}
		cut(true)
		sleep(ctx, fault.For)
		cut(false)
	case CallsCut:
		for _, s := range r.switches {
			s.CutCalls(fault.Size)
		}
	case ControllerStall:
		each(func(i int) {
			// The event's span covers the time until the stall takes effect and the backlog that it leaves.
			r.recording.Event(record.Event{Kind: record.Stalled, PC: r.plan.exchanges[i].pointCode, Span: fault.For + 500*time.Millisecond})
			r.spawn(func() { r.daemons[i].Stall(ctx, fault.For) })
		})
	case MassCalling:
		number := r.scenario.massCallingNumber(r.plan)
		for _, s := range r.switches {
			s.LimitLines(number, massCallingLines)
		}
	case ListFlap:
		for end := time.Now().Add(fault.For); time.Now().Before(end); {
			i := targets[rng.IntN(len(targets))]
			r.sendStateUpdates(ctx, m3ua.DUNA, i, 0)
			if !sleep(ctx, time.Duration(300+rng.IntN(1200))*time.Millisecond) {
				return
			}
			r.sendStateUpdates(ctx, m3ua.DAVA, i, 1300*time.Millisecond) // after the last DUNA, which takes up to 1.2 s
			if !sleep(ctx, 3*time.Second) {
				return
			}
		}
	case AssocReset:
		each(func(i int) { r.switches[i].ResetAssociations() })
	}
}

// restart starts a switch again, cold.
func (r *runner) restart(ctx context.Context, i int) {
	r.updatesMu.Lock()
	addr := r.addrs[i][0]
	r.updatesMu.Unlock()
	for range 50 { // the port of a switch that has just stopped may still be in use
		if _, err := r.switches[i].Start(addr, true); err == nil {
			r.sendStateUpdates(ctx, m3ua.DAVA, i, 1300*time.Millisecond)
			return
		}
		if !sleep(ctx, 100*time.Millisecond) {
			return
		}
	}
	r.options.Log.Error().Uint32("switch", r.plan.exchanges[i].pointCode).Msg("emulated switch not restarted within 5 s")
}

// Classes returns the names of the classes that had calls, in the scenario's order.
func (r Result) Classes() []string {
	var out []string
	for _, c := range r.Spec.Classes {
		if _, ok := r.Report.Classes[c.Name]; ok {
			out = append(out, c.Name)
		}
	}
	return slices.Clip(out)
}
