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

// Options are how a day is played.
type Options struct {
	Dial   func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP on loopback
	Listen func(addr string) (net.Listener, error)
	Log    zerolog.Logger
	Engine func(policy.Config) (controller.Engine, error) // nil: the module
	// Slack is what the checker allows for the time between an act and its record: 0 where time is exact.
	Slack time.Duration
	// GuardMargin is added to the guard that controllers keep, beyond that of the rule, for the same reason.
	GuardMargin time.Duration
	// Hooks are scripts that every controller runs; with HooksOf, some run others.
	Hooks   []hooks.Source
	HooksOf func(exchange int) []hooks.Source
	// FrameFault, if set, is asked about each frame on a stand-in's socket; u is nil where there is no ISUP message. One at a time.
	FrameFault func(k record.LinkKind, fromController bool, m *m3ua.Message, u *isup.Message) emulator.FrameFault
	// Deadline of hooks; 0: as the settings' default.
	Deadline time.Duration
	// Watch, if set, is called about every second with the time of the day.
	Watch func(at time.Duration)
	// During, if set, runs beside the day and may do what operators do.
	During func(ctx context.Context, d []*daemon.Daemon)
}

// Result is a played day.
type Result struct {
	Name     string                         `json:"name"`
	Seed     uint64                         `json:"seed"`
	Report   check.Report                   `json:"report"`
	Counters map[uint32]controller.Counters `json:"controllers"`
	Clients  emulator.ClientCounts          `json:"clients"`
	Record   record.Recording               `json:"-"`
	Spec     check.Spec                     `json:"-"`
}

// world is a day in play.
type world struct {
	day      *Scenario
	plan     *plan
	opt      Options
	log      *record.Log
	net      *emulator.Network
	switches []*emulator.Switch
	addrs    [][]string // of each switch: now first
	daemons  []*daemon.Daemon
	clients  [][]*emulator.Client // by exchange and tenant
	late     func(at time.Duration) time.Duration
	wg       sync.WaitGroup
	start    time.Time
	listMu   sync.Mutex // of addrs and listRng
	listRng  *rand.Rand
	faultMu  sync.Mutex
	begun    atomic.Bool
}

// Spec is what the checker of this day takes for right.
func (d *Scenario) Spec(slack time.Duration) check.Spec {
	p := d.plan()
	s := check.Spec{Guard: d.Rules.Guard, DrainGrace: d.Rules.DrainGrace, Slack: slack,
		ColdStart: check.ColdStart{Share: d.Rules.ColdStart.Share, WarmUp: d.Rules.ColdStart.WarmUp, Multiple: d.Rules.ColdStart.Multiple, Span: d.Rules.ColdStart.Span},
		Exchange: func(number string) (uint32, bool) {
			for _, x := range p.exchanges {
				if strings.HasPrefix(number, x.prefix) {
					return x.pc, true
				}
			}
			return 0, false
		}}
	for _, c := range d.Traffic.Classes {
		s.Classes = append(s.Classes, check.Class{Name: c.Name, Category: isup.Category(c.Category), Aim: c.Aim, Patience: c.Patience, Ring: c.Ring,
			GiveUp: c.GiveUp, Worth: c.Worth, LateWorth: c.LateWorth})
	}
	return s
}

// settings are those of one controller of the day.
func (d *Scenario) settings(p *plan, self int, addrs [][]string, margin time.Duration) (*config.Config, error) {
	c := config.Default()
	c.Exchange, c.Listen, c.Seed = p.exchanges[self].pc, "127.0.0.1:0", d.Seed+uint64(self)
	c.Guard, c.RetransmitAfter, c.MaxAttempts, c.OverQuotaWorth = d.Rules.Guard+margin, d.Network.Switch.Repeat, 4, 0.1
	c.ColdStart = config.ColdStart{WarmUp: d.Rules.ColdStart.WarmUp, Share: d.Rules.ColdStart.Share, CrashMultiple: d.Rules.ColdStart.Multiple, CrashSpan: d.Rules.ColdStart.Span}
	c.Timers = config.Timers{T1: 4 * time.Second, T5: 20 * time.Second, T7: 20 * time.Second, T9: 90 * time.Second, T16: 4 * time.Second, T28: 2 * time.Second, SignallingHold: 8 * time.Second}
	c.Association.Ack, c.Association.Beat, c.Association.BeatLimit = time.Second, time.Second, 3*time.Second
	c.Association.BackoffMax = time.Second
	for _, x := range d.Traffic.Classes {
		c.Classes = append(c.Classes, config.Class{Name: x.Name, Aim: x.Aim, Patience: x.Patience, Ring: x.Ring, Worth: x.Worth, LateWorth: x.LateWorth, Categories: []int{x.Category}})
	}
	if d.Traffic.AdmissionLimit > 0 {
		c.Limits.All.Rate = d.Traffic.AdmissionLimit * d.Traffic.Planned * p.streams[self]
	}
	if d.Traffic.ClientAdmissionLimit > 0 {
		most, all := 1.0, 1.0
		if len(d.Traffic.Tenants) > 0 {
			most, all = 0, 0
			for _, x := range d.Traffic.Tenants {
				most, all = max(most, x.Share), all+x.Share
			}
		}
		c.Limits.Client.Rate = d.Traffic.ClientAdmissionLimit * d.Traffic.Planned * p.streams[self] * most / all
		c.Limits.Client.Burst = max(5, c.Limits.Client.Rate)
	}
	for t, x := range d.Traffic.Tenants {
		c.Tenants = append(c.Tenants, config.Tenant{Name: x.Name, Quota: x.Share * d.Traffic.Planned})
		c.Clients = append(c.Clients, config.Client{Name: x.Name, ASP: clientPC(self, t), Tenant: x.Name})
	}
	for i, x := range p.exchanges {
		e := config.Exchange{PointCode: x.pc, Name: fmt.Sprintf("%s-%d", d.Network.Regions[x.region], i+1), Switch: slices.Clone(addrs[i]), Prefixes: []string{x.prefix}}
		if i != self {
			e.Circuits = p.exchanges[self].circuits[x.pc]
		}
		c.Exchanges = append(c.Exchanges, e)
	}
	return &c, c.Check(fmt.Sprintf("controller of exchange %d", c.Exchange))
}

func clientPC(exchange, tenant int) uint32 { return uint32(9000 + 10*exchange + tenant) }

// Run plays a day and judges it. It returns when everything that it started has ended.
func Run(ctx context.Context, d *Scenario, opt Options) (res Result, err error) {
	if opt.Dial == nil {
		var nd net.Dialer
		opt.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return nd.DialContext(ctx, "tcp", addr) }
	}
	if opt.Listen == nil {
		opt.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &world{day: d, plan: d.plan(), opt: opt, log: record.New(), listRng: d.stream(forList)}
	w.net = &emulator.Network{Dial: opt.Dial, Listen: opt.Listen, Log: w.log}
	if opt.FrameFault != nil {
		w.net.FrameFaults = w.fault
	}
	defer func() {
		cancel()
		for _, row := range w.clients {
			for _, c := range row {
				c.Close()
			}
		}
		w.wg.Wait()
		for _, s := range w.switches {
			s.Close()
		}
	}()
	if err := w.build(ctx); err != nil {
		return res, err
	}
	if err := w.ready(ctx); err != nil {
		return res, err
	}
	w.start = time.Now()
	w.begun.Store(true)
	if w.opt.During != nil {
		w.own(func() { w.opt.During(ctx, w.daemons) })
	}
	w.watch(ctx)
	w.troubles(ctx)
	w.offer(ctx)
	settle := time.Duration(0)
	for _, c := range d.Traffic.Classes {
		wait := c.Patience + 500*time.Millisecond
		if c.rings() {
			wait += c.ringPatience()
		}
		settle = max(settle, wait)
	}
	for _, row := range w.clients {
		for _, c := range row {
			c.StopRedials()
		}
	}
	if !sleep(ctx, settle) {
		return res, ctx.Err()
	}
	res = Result{Name: d.Name, Seed: d.Seed, Record: w.log.Finish(), Spec: d.Spec(opt.Slack), Counters: map[uint32]controller.Counters{}}
	for i, x := range w.daemons {
		res.Counters[w.plan.exchanges[i].pc] = x.Counters(ctx)
	}
	for _, row := range w.clients {
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

// fault asks the script of faults about a frame, once the day has begun.
func (w *world) fault(k record.LinkKind, fromController bool, frame []byte) emulator.FrameFault {
	w.faultMu.Lock()
	defer w.faultMu.Unlock()
	var m m3ua.Message
	var u isup.Message
	if !w.begun.Load() || m3ua.Decode(frame, &m) != nil {
		return emulator.Pass
	}
	if m.Kind != m3ua.DATA || isup.Decode(m.Data.User, &u) != nil {
		return w.opt.FrameFault(k, fromController, &m, nil)
	}
	return w.opt.FrameFault(k, fromController, &m, &u)
}

// sleep waits; false: ctx has ended.
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

// build starts switches, controllers and clients.
func (w *world) build(ctx context.Context) error {
	d, p := w.day, w.plan
	f := d.Network.Switch
	regions := map[uint32]int{}
	for _, x := range p.exchanges {
		regions[x.pc] = x.region
	}
	w.net.SetDelay(func(a, b uint32) time.Duration {
		switch {
		case a == b:
			return 0
		case regions[a] == regions[b]:
			return d.Network.SameRegionDelay
		}
		return d.Network.CrossRegionDelay
	})
	hold, ringing := time.Duration(0), map[isup.Category]emulator.Ringing{}
	for _, c := range d.Traffic.Classes {
		hold = max(hold, c.Hold)
		if c.rings() {
			ringing[isup.Category(c.Category)] = c.Ringing
		}
	}
	for i, x := range p.exchanges {
		s := emulator.NewSwitch(w.net, emulator.SwitchConfig{PC: x.pc, Prefixes: []string{x.prefix}, Circuits: x.circuits, Seed: d.stream(forSwitches).Uint64() + uint64(i),
			Rate: x.rate, FollowWork: f.FollowWork, RejectWork: f.RejectWork, FullAfter: f.FullAfter, AnswersFirst: f.AnswersFirst,
			Repeat: f.Repeat, RepeatWork: f.RepeatWork, DropAbandoned: f.DropAbandoned, Ring: f.Ring, Ringing: ringing, EarlyACM: f.EarlyACM, HangUp: f.HangUp, Hold: hold,
			ColdShare: d.Rules.ColdStart.Share, WarmUp: d.Rules.ColdStart.WarmUp, CrashMultiple: d.Rules.ColdStart.Multiple, CrashSpan: d.Rules.ColdStart.Span})
		w.switches = append(w.switches, s)
		first, err := s.Start("127.0.0.1:0", false)
		if err != nil {
			return err
		}
		l, err := w.opt.Listen("127.0.0.1:0") // the address of a machine that may replace it
		if err != nil {
			return err
		}
		defer l.Close() // only when all have theirs, or it would be given out again
		w.addrs = append(w.addrs, []string{first, l.Addr().String()})
	}
	for i, x := range p.exchanges {
		cfg, err := d.settings(p, i, w.addrs, w.opt.GuardMargin)
		if err != nil {
			return err
		}
		if w.opt.Deadline > 0 {
			cfg.Hooks.Deadline = w.opt.Deadline
		}
		dm, err := daemon.New(daemon.Options{Config: cfg, Log: w.opt.Log.With().Uint32("controller", x.pc).Logger(),
			Dial: w.opt.Dial, Listen: w.opt.Listen, Engine: w.opt.Engine})
		if err != nil {
			return err
		}
		src := w.opt.Hooks
		if w.opt.HooksOf != nil {
			src = w.opt.HooksOf(i)
		}
		if len(src) > 0 {
			if err := dm.InstallHooks(src); err != nil {
				return err
			}
		}
		w.daemons = append(w.daemons, dm)
		w.own(func() { dm.Run(ctx) })
		var row []*emulator.Client
		for t := range max(1, len(d.Traffic.Tenants)) {
			row = append(row, emulator.NewClient(w.net, emulator.ClientConfig{PC: clientPC(i, t), Controller: x.pc, Addr: dm.Addr(), Seed: d.Seed}))
		}
		w.clients = append(w.clients, row)
	}
	return nil
}

func (w *world) own(f func()) {
	w.wg.Add(1)
	go func() { defer w.wg.Done(); f() }()
}

// ready waits until all groups are in agreement and all clients connected.
func (w *world) ready(ctx context.Context) error {
	for range 200 {
		all := true
		for _, d := range w.daemons {
			all = all && d.Ready(ctx)
		}
		for _, row := range w.clients {
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
	return errors.New("scenario: the fleet has not come up within ten seconds")
}

// offer hands all calls to the clients, each at its time.
func (w *world) offer(ctx context.Context) {
	for _, a := range w.day.arrivals(w.plan) {
		if wait := a.at - time.Since(w.start); wait > 0 && !sleep(ctx, wait) {
			return
		}
		w.clients[a.from][a.tenant].Offer(emulator.Call{Calling: a.calling, Called: a.called, Category: isup.Category(w.day.Traffic.Classes[a.class].Category),
			Hold: a.hold, Patience: a.patience, Ring: w.day.Traffic.Classes[a.class].Ring, Redials: a.redials, RedialAfter: a.redialing})
	}
	sleep(ctx, w.day.Length-time.Since(w.start))
}

func (w *world) watch(ctx context.Context) {
	if w.opt.Watch == nil {
		return
	}
	w.own(func() {
		for sleep(ctx, time.Second) {
			w.opt.Watch(time.Since(w.start))
		}
	})
}

// announce hands the register's word on an exchange to every controller, late and at each at another time.
func (w *world) announce(ctx context.Context, k m3ua.Kind, i int, extra time.Duration) {
	for j, s := range w.switches {
		if j == i {
			continue
		}
		w.listMu.Lock()
		late := extra + time.Duration(200+w.listRng.IntN(1000))*time.Millisecond
		w.listMu.Unlock()
		if w.late != nil {
			late += w.late(time.Since(w.start))
		}
		w.own(func() {
			if sleep(ctx, late) {
				s.SendStatus(k, w.plan.exchanges[i].pc)
			}
		})
	}
}

// troubles starts what goes wrong.
func (w *world) troubles(ctx context.Context) {
	var lates []Fault
	for _, x := range w.day.Faults {
		if x.Kind == ListLate {
			lates = append(lates, x)
		}
	}
	w.late = func(at time.Duration) (d time.Duration) {
		for _, x := range lates {
			if at >= x.At && at < x.At+x.For {
				d += time.Duration(x.Size * float64(time.Second))
			}
		}
		return d
	}
	for k, x := range w.day.Faults {
		rng := rand.New(rand.NewPCG(w.day.Seed, uint64(forTroubles*1000+k)))
		struck := w.day.strike(w.plan, x, rng)
		w.own(func() {
			if !sleep(ctx, x.At) {
				return
			}
			w.log.Event(record.Event{Kind: record.Fault, Name: string(x.Kind), Span: x.For})
			w.trouble(ctx, x, struck, rng)
		})
	}
}

// trouble plays one trouble on the exchanges that it strikes.
func (w *world) trouble(ctx context.Context, x Fault, struck []int, rng *rand.Rand) {
	each := func(f func(i int)) {
		for _, i := range struck {
			f(i)
		}
	}
	region := func(i int) int { return w.plan.exchanges[i].region }
	crossing := func(f func(i, j int)) { // pairs between a struck exchange and one of another region
		for _, i := range struck {
			for j := range w.switches {
				if region(i) != region(j) {
					f(i, j)
				}
			}
		}
	}
	switch x.Kind {
	case Crash, RegionRestart:
		each(func(i int) {
			w.switches[i].Stop()
			w.announce(ctx, m3ua.DUNA, i, 0)
		})
		if sleep(ctx, x.For) {
			each(func(i int) { w.restart(ctx, i) })
		}
	case Replace:
		drain := x.For / 2
		each(func(i int) { w.announce(ctx, m3ua.DRST, i, 0) })
		if !sleep(ctx, drain) {
			return
		}
		each(func(i int) {
			w.switches[i].Stop()
			w.announce(ctx, m3ua.DUNA, i, 0)
		})
		if sleep(ctx, x.For-drain) {
			each(func(i int) {
				w.listMu.Lock()
				w.addrs[i][0], w.addrs[i][1] = w.addrs[i][1], w.addrs[i][0]
				w.listMu.Unlock()
				w.restart(ctx, i)
			})
		}
	case Hang:
		each(func(i int) { w.switches[i].Hang(true) })
		sleep(ctx, x.For)
		each(func(i int) { w.switches[i].Hang(false) })
	case CallFaultFull, CallFaultSilent, CallFaultReset:
		kind := map[FaultKind]emulator.CallFault{CallFaultFull: emulator.CallFaultFull, CallFaultSilent: emulator.CallFaultSilent, CallFaultReset: emulator.CallFaultReset}[x.Kind]
		each(func(i int) { w.switches[i].SetCallFault(kind, x.Size) })
		sleep(ctx, x.For)
		each(func(i int) { w.switches[i].SetCallFault(kind, 0) })
	case Slow:
		each(func(i int) { w.switches[i].Slow(x.Size) })
		sleep(ctx, x.For)
		each(func(i int) { w.switches[i].Slow(1) })
	case Ageing:
		each(func(i int) { w.switches[i].Degrade(x.For, x.Size) })
		if !sleep(ctx, x.For+300*time.Millisecond) {
			return
		}
		each(func(i int) { w.announce(ctx, m3ua.DUNA, i, 0) })
		if sleep(ctx, 3*time.Second) {
			each(func(i int) { w.restart(ctx, i) })
		}
	case CircuitsLost:
		lose := func(on bool) {
			crossing(func(i, j int) {
				w.switches[i].LoseCircuits(w.plan.exchanges[j].pc, x.Size, on)
				w.switches[j].LoseCircuits(w.plan.exchanges[i].pc, x.Size, on)
			})
		}
		lose(true)
		sleep(ctx, x.For)
		lose(false)
	case RegionCut:
		cut := func(on bool) {
			crossing(func(i, j int) { w.net.Cut(w.plan.exchanges[i].pc, w.plan.exchanges[j].pc, on) })
		}
		cut(true)
		sleep(ctx, x.For)
		cut(false)
	case CallsCut:
		for _, s := range w.switches {
			s.CutCalls(x.Size)
		}
	case ControllerStall:
		each(func(i int) {
			// The mark covers the instant until the stop takes hold and the work that has gathered meanwhile.
			w.log.Event(record.Event{Kind: record.Stalled, PC: w.plan.exchanges[i].pc, Span: x.For + 500*time.Millisecond})
			w.own(func() { w.daemons[i].Stall(ctx, x.For) })
		})
	case MassCalling:
		number := w.day.hotNumber(w.plan)
		for _, s := range w.switches {
			s.LimitLines(number, hotLines)
		}
	case ListFlap:
		for end := time.Now().Add(x.For); time.Now().Before(end); {
			i := struck[rng.IntN(len(struck))]
			w.announce(ctx, m3ua.DUNA, i, 0)
			if !sleep(ctx, time.Duration(300+rng.IntN(1200))*time.Millisecond) {
				return
			}
			w.announce(ctx, m3ua.DAVA, i, 1300*time.Millisecond) // not before the last word that it is gone
			if !sleep(ctx, 3*time.Second) {
				return
			}
		}
	case AssocReset:
		each(func(i int) { w.switches[i].ResetAssociations() })
	}
}

// restart brings a switch back, cold.
func (w *world) restart(ctx context.Context, i int) {
	w.listMu.Lock()
	addr := w.addrs[i][0]
	w.listMu.Unlock()
	for range 50 { // the port of a switch that has just ended may still be taken
		if _, err := w.switches[i].Start(addr, true); err == nil {
			w.announce(ctx, m3ua.DAVA, i, 1300*time.Millisecond)
			return
		}
		if !sleep(ctx, 100*time.Millisecond) {
			return
		}
	}
	w.opt.Log.Error().Uint32("switch", w.plan.exchanges[i].pc).Msg("cannot be started again")
}

// Classes are the names of the classes that had calls, in the order of the script.
func (r Result) Classes() []string {
	var out []string
	for _, c := range r.Spec.Classes {
		if _, ok := r.Report.Classes[c.Name]; ok {
			out = append(out, c.Name)
		}
	}
	return slices.Clip(out)
}
