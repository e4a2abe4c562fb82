// Package policy decides for one call control of a mesh of exchanges. Read api.go first: it holds the
// settings, the events and the actions. This file holds every decision and every tuned value.
//
// The mechanism is the fuzzy window: per far processor a window of first set-ups awaiting an answer,
// resized each step by Table I from that processor's load and from the share of its slots held. The own
// processor has a window of the same kind.
package policy

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The window and its step.
const (
	stepEvery     = 500 * time.Millisecond // between two steps of the windows
	startWindow   = 20.0                   // slots at start, shared by all senders to a processor
	ownStart      = 6.0                    // own window at start: a few times what is out usually
	maxWindow     = 200.0                  // ceiling of a window
	minSlots      = 1                      // a window always lets one set-up through
	holdAtMost    = time.Second            // a call without a slot or circuit waits no longer
	pressureDecay = 0.5                    // part of the evidence of load that is left after a step
	slowShare     = 0.5                    // an answer that takes this share of the shortest aim is full load
	reportKept    = 2 * time.Second        // a load report older than this is not read
	stallAt       = 150 * time.Millisecond // a step that comes so late: the controller itself stood still

	// The fuzzy sets: where Low ends, Medium peaks and High is full. High begins at the middle, so a reading
	// below 0.6 is never High.
	setLow, setMid, setHigh = 0.3, 0.6, 0.9

	// The outputs of Table I.
	fastDec, dec, slowDec, noChange, slowInc, inc = -0.6, -0.35, -0.15, 0.0, 0.15, 0.4

	// Routes and circuits.
	slotsForPrior  = 1               // slots beyond the window for calls of higher worth and cut calls
	quotaBurst     = 15.0            // calls that a tenant may have in hand of its quota
	maxTandems     = 2               // tandems tried for a call
	keptForDirect  = 2               // circuits of a group that transit and tandem calls leave free
	keptPart       = 0.05            // ... but of a thin group only this part, rounded up
	turnedBackKept = 2 * time.Second // a tandem that turned back is skipped for that destination so long ...

	// Health of far processors.
	silentAfter   = 2                      // set-ups without any sign of life: the exchange is silent
	overdueAt     = 0.75                   // share of the shortest aim after which an answer is overdue
	trialRate     = 16.0                   // trial calls a second that all controllers together make to it
	answerSpare   = 15 * time.Millisecond  // a held call is answered so long before its due time
	pause         = time.Second            // what is full, busy or silent gets nothing for so long at least
	fullInRow     = 3                      // so many turned away in a row by a quick exchange: it is full
	minTimeOut    = 300 * time.Millisecond // no attempt is given less
	lostDecay     = 0.9                    // part of it left after a step
	lossy         = 1.5                    // set-ups lost, decayed, from which on attempts are made again
	distanceGrows = 100                    // a distance grows by such a part a step till an answer is quicker
	tails         = 3                      // usual answer times after which an answer is taken for lost
	numberKept    = 10 * time.Second       // a number is forgotten after this; till then a call is a redial
	coldUse       = 2.4                    // of the budget that usual sends fill: a part of what it can do
	alike         = 4.0                    // sends that the mean of all counts for in the usual rate of one
	usualWeight   = 0.05                   // weight of one step in the usual rate of sends
)

const stepTimer = uint64(1) << 40 // the timer of the steps; calls have timers of their own id, below it

// exchange is a far processor, or the own one.
type exchange struct {
	code     int
	addr     string
	health   Health
	launched time.Duration
	waiting  []*call // held calls to it, in the order of before

	window    float64       // Wmax
	start     float64       // ... at the start
	held      int           // slots held now
	heldSum   time.Duration // slot time held in this step
	heldAt    time.Duration // heldSum is kept up to here
	heldAvg   [2]float64    // mean slots held, last step and the one before
	peak      int           // most slots held in this step
	fullUntil time.Duration // it was full: no set-ups until then, each would be work for nothing
	fulls     int           // set-ups turned away as full since it last took one

	answers, pressure float64 // decayed number of answers and the load that they showed
	load, latest      float64 // load by the last report, and as its latest answer read
	seen              float64 // first input of the last step
	loadAt            time.Duration
	wait              time.Duration // by the last report; 0: not told
	distance          time.Duration // the least that its answers take; 0: not known
	free, size        float64       // circuits of the trunk group; a size below zero is unknown

	out        []*call // attempts out towards it that its processor has, by time of send
	lastAnswer time.Duration
	lost       float64 // decayed number of set-ups lost while others were answered quickly
	unanswered int
	silent     bool
	trialAt    time.Duration
	turned     map[int]turnBacks // as tandem: by destination, the calls that it turned back
	via        int               // as destination: the tandem that last carried a call, tried first

	sends           []time.Duration // sends within the last CrashSpan
	permit, every   time.Duration   // of a cold budget below one send: of the next, and between two
	usual, steps    float64         // usual set-ups a second sent to it while it is warm, by so many steps
	sentStep, taken int             // set-ups sent to it in this step, and answered by it
}

// turnBacks counts the calls to one destination that a tandem has turned back since it last carried one.
type turnBacks struct {
	n    int
	last time.Duration
}

type phase uint8

const (
	held phase = iota
	setting
	standing
	over
)

// call is a call that is owed an answer, or stands.
type call struct {
	Offered
	phase           phase
	arrived, aimEnd time.Duration
	holdUntil       time.Duration
	earliest        time.Duration // not sent before: the release is awaited
	worth           float64
	attempts        int
	tried           []int     // tandems already tried
	to              *exchange // where the attempt out has gone
	slotted         bool      // it holds a slot at to and at the own exchange
	rings           bool      // the processor's part of the attempt out is over
	sentAt          time.Duration
	mayRun          bool // an attempt may have been carried out
	missed          bool // its attempt is known to be unanswered
	waits           bool // it is in the line of its destination
	late            bool // its aim cannot be met
	low             bool // it earns little: its aim cannot be met, or its tenant is beyond its quota
}

// number is the evidence on one dialled number.
type number struct {
	busyAt            time.Duration
	out               int
	refusedAt, aimEnd time.Duration // a call to it was last refused then; its aim ends then
}

// Engine is one call control. It is not safe for concurrent use.
type Engine struct {
	cfg        Config
	now        time.Duration
	out        []Action
	own        *exchange
	exchanges  map[int]*exchange
	order      []*exchange // by point code
	byAddr     map[string]*exchange
	calls      map[uint64]*call
	wanted     []*exchange // those with held calls
	lines      [][]*call   // of serve, and
	line       []*call     // what they are parts of
	numbers    map[string]*number
	stepDue    time.Duration // when the next step is due
	resumed    time.Duration // when the controller last went on after a stall
	aim        time.Duration // shortest aim of all classes
	slow       time.Duration // an answer that takes so long reads as full load
	least      float64       // lowest worth of a class
	trialEvery time.Duration // between two trial calls of this controller
	quotas     float64       // of all tenants
	usual      float64       // mean of the usual rates of exchanges
	credit     []float64     // per tenant, calls that it has left within its quota
	ownWait    time.Duration // wait at the own processor
	heard      int           // answers to direct set-ups in this step ...
	leastTime  time.Duration // ... and the least of their times
	answerTime time.Duration // usual time of an answer of any exchange
}

// New makes a controller.
func New(cfg Config) (*Engine, error) {
	if len(cfg.Classes) == 0 {
		return nil, errors.New("no call classes")
	}
	if min(cfg.Guard, cfg.Repeat, cfg.WarmUp, cfg.CrashSpan) < 0 ||
		min(cfg.ColdShare, cfg.CrashMultiple, float64(cfg.MaxAttempts), float64(cfg.Controllers)) < 0 {
		return nil, errors.New("a negative time, share or number")
	}
	c := &Engine{cfg: cfg, aim: math.MaxInt64, least: math.MaxFloat64,
		exchanges: map[int]*exchange{}, byAddr: map[string]*exchange{},
		calls: map[uint64]*call{}, numbers: map[string]*number{}, credit: make([]float64, len(cfg.Tenants))}
	for i, cl := range cfg.Classes {
		if cl.Aim <= 0 || cl.Worth < 0 {
			return nil, fmt.Errorf("class %d: the aim must be positive and the worth not negative", i)
		}
		c.aim, c.least = min(c.aim, cl.Aim), min(c.least, cl.Worth)
	}
	for i, t := range cfg.Tenants {
		c.credit[i], c.quotas = quotaBurst, c.quotas+t.Quota
	}
	c.slow = time.Duration(slowShare * float64(c.aim))
	if cfg.Repeat > 0 { // set-ups that wait longer are sent again, and each repeat is work
		c.slow = min(c.slow, cfg.Repeat)
	}
	c.trialEvery = max(pause, time.Duration(float64(cfg.Controllers-1)/trialRate*float64(time.Second)))
	c.own = &exchange{code: cfg.Self, window: ownStart, start: ownStart}
	return c, nil
}

// Handle takes one event at the time now and appends to out what is to be done.
func (c *Engine) Handle(now time.Duration, ev Event, out []Action) []Action {
	if c.stepDue > 0 && now > c.stepDue+stallAt {
		c.resume(now)
	}
	c.now, c.out = now, out
	if c.stepDue == 0 {
		c.nextStep()
		if c.cfg.SubscribeToList {
			c.do(Subscribe{})
		}
	}
	switch ev := ev.(type) {
	case List:
		c.list(ev)
	case Offered:
		c.offered(ev)
	case Alerting:
		c.alerting(ev)
	case Established:
		c.established(ev)
	case AttemptEnded:
		c.returned(ev)
	case CallerReleased:
		if k := c.calls[ev.Call]; k != nil && k.phase != over {
			c.end(k, false)
		}
	case Status:
		if x := c.byAddr[ev.Exchange]; x != nil {
			c.report(x, &ev.Report)
			if x != c.own {
				c.serve(x)
			}
		}
	case Timer:
		if ev.ID == stepTimer {
			c.nextStep()
			if c.now > c.resumed { // what a stall has done to the shares of slots held is no far load
				c.step()
			}
		} else if k := c.calls[ev.ID]; k != nil && k.phase == held {
			c.place(k)
			if k.phase == held { // a timer may come a little early: without another the call would be lost
				c.wake(k)
			}
		} else if k != nil && k.rings && k.slotted {
			c.free(k)
			c.serve(nil)
		}
	}
	out, c.out = c.out, nil
	return out
}

func (c *Engine) nextStep() {
	c.stepDue = c.now + stepEvery
	c.do(SetTimer{ID: stepTimer, After: stepEvery})
}

// resume notes that the controller stood still: its own timer comes late, and all that happened meanwhile
// comes at once. Late answers and slots held so long are its own doing and tell of no far load.
func (c *Engine) resume(now time.Duration) {
	c.resumed, c.stepDue, c.now = now, now, now
	for _, x := range append(c.order, c.own) {
		c.slot(x, 0)
		x.heldSum = 0
	}
}

func (c *Engine) do(a Action) { c.out = append(c.out, a) }

// list follows the list of exchanges.
func (c *Engine) list(ev List) {
	if ev.Failed {
		if c.cfg.SubscribeToList {
			c.do(Subscribe{})
		}
		return
	}
	seen := map[int]bool{}
	for _, e := range ev.Entries {
		if e.PointCode == c.cfg.Self && !c.cfg.Pools {
			c.byAddr[e.Address] = c.own // for what is told of the own lateness
			continue
		}
		x := c.exchanges[e.PointCode]
		if x == nil {
			x = &exchange{code: e.PointCode, addr: e.Address, health: e.Health,
				launched: e.Launched, heldAt: c.now, turned: map[int]turnBacks{}, via: -1, size: -1,
				start: max(minSlots, startWindow/float64(max(1, c.cfg.Controllers-1)))}
			x.window = x.start
			c.exchanges[e.PointCode] = x
			at, _ := slices.BinarySearchFunc(c.order, x, func(a, b *exchange) int { return a.code - b.code })
			c.order = slices.Insert(c.order, at, x)
		}
		c.byAddr[e.Address] = x
		if e.Health == Gone { // a machine that is gone tells nothing more
			defer delete(c.byAddr, e.Address)
		}
		seen[e.PointCode] = seen[e.PointCode] || e.Health != Gone
		switch {
		case e.Address == x.addr:
			x.health = e.Health
		case e.Health == Ready && (x.health != Ready || e.Launched >= x.launched):
			x.addr, x.health = e.Address, Ready // a replacement
		default:
			continue
		}
		if e.Health == Ready && e.Launched > x.launched {
			c.fresh(x, e.Launched)
		}
	}
	for _, x := range c.order {
		if ev.Full && !seen[x.code] {
			x.health = Gone
		}
	}
	c.serve(nil)
}

// fresh notes that the processor of x has started anew: it is cold, and what was known of its load is void.
func (c *Engine) fresh(x *exchange, launched time.Duration) {
	x.launched, x.latest = launched, 1
	for _, k := range x.out { // what its predecessor leaves unanswered says nothing of it
		k.missed = true
	}
	x.silent, x.unanswered, x.answers, x.pressure, x.loadAt, x.permit, x.every = false, 0, 0, 0, 0, 0, 0
	x.window = max(minSlots, x.window*c.cfg.ColdShare)
}

func (c *Engine) cold(x *exchange) bool {
	return x.launched > 0 && c.now < x.launched+c.cfg.WarmUp
}

// coldRoom tells whether one more set-up to x keeps within the own share of the cold budget. All controllers
// together push a fresh processor over by more than CrashMultiple times what it can do in CrashSpan. It could
// carry its usual load: each takes the part of the budget that it had of that. Of many controllers each has
// less than one in a span: a token bucket of one, filled from where the own number puts it, so that not all
// use theirs at once. While x has just answered as at a Low load, who has less than two may have one out.
func (c *Engine) coldRoom(x *exchange) bool {
	if !c.cold(x) {
		return true
	}
	// Nothing known, all controllers take the first window in a span, and none more than one. Where little is
	// sent to each exchange, the usual rate of one is mostly chance: the mean of all weighs in.
	part := c.cfg.CrashMultiple * c.cfg.ColdShare
	budget := min(1, part*startWindow/float64(max(1, c.cfg.Controllers-1)))
	if seen := min(x.steps, 2/usualWeight) * stepEvery.Seconds(); c.usual > 0 {
		budget = part * coldUse * c.cfg.CrashSpan.Seconds() * (x.usual*seen + alike) / (seen + alike/c.usual)
	}
	proved := x.latest <= setLow && len(x.out) == 0 && c.now < x.lastAnswer+c.cfg.CrashSpan
	if budget >= 1 {
		return float64(len(x.sends)+1) <= budget || proved && budget < 2
	}
	x.every = time.Duration(min(float64(c.cfg.WarmUp), float64(c.cfg.CrashSpan)/budget))
	_, turn := math.Modf(math.Phi * float64(c.cfg.Index+x.code))
	x.permit = max(x.permit, x.launched+time.Duration(turn*float64(x.every)))
	return x.permit <= c.now || proved
}

// offered takes a call.
func (c *Engine) offered(ev Offered) {
	if ev.Class < 0 || ev.Class >= len(c.cfg.Classes) {
		ev.Class = 0
	}
	cl := &c.cfg.Classes[ev.Class]
	if ev.Circuits <= 0 {
		ev.Circuits = max(1, cl.Circuits)
	}
	k := &call{Offered: ev, arrived: c.now, worth: cl.Worth}
	c.calls[ev.Call] = k
	k.aimEnd = k.arrived + cl.Aim
	// Dialled again, the aim runs from the first try. Where callers do not mark it, the number tells, but not
	// one found busy, which many dial: mass calling would make strangers' first calls late.
	if n := c.numbers[ev.Number]; ev.Transit {
		k.aimEnd = ev.Due
	} else if n != nil && !ev.CutBefore && n.refusedAt > 0 && c.now < n.refusedAt+numberKept &&
		(ev.Redial || !c.cfg.MarksRedials && n.busyAt == 0) {
		k.aimEnd = n.aimEnd
	}
	k.late = c.now+c.answerTime >= k.aimEnd
	if k.low = k.late; k.late {
		k.worth *= cl.LateWorth
	}
	if !ev.Transit && k.aimEnd == k.arrived+cl.Aim && c.overQuota(ev.Tenant) {
		k.low = true
		k.worth *= c.cfg.OverQuotaWorth
	}
	k.holdUntil = min(c.now+holdAtMost, k.aimEnd-c.answerTime, ev.Due-answerSpare)
	c.place(k)
}

// overQuota counts a first try of a tenant and tells whether it is beyond its quota. A controller does not
// see what tenants send elsewhere, so each may have the part of the own traffic that its quota is of all.
func (c *Engine) overQuota(tenant int) bool {
	if len(c.cfg.Tenants) < 2 || tenant < 0 || tenant >= len(c.cfg.Tenants) {
		return false
	}
	for i, t := range c.cfg.Tenants {
		c.credit[i] = min(quotaBurst, c.credit[i]+t.Quota/max(c.quotas, 1))
	}
	over := c.credit[tenant] < 1
	if !over {
		c.credit[tenant]--
	}
	return over
}

// evidence notes an answer of x that took d.
func (c *Engine) evidence(x *exchange, d time.Duration) {
	x.latest = min(1, max(0, d.Seconds()/c.slow.Seconds()))
	x.answers, x.pressure = x.answers+1, x.pressure+x.latest
}

// place sends a call, holds it or refuses it.
func (c *Engine) place(k *call) {
	wait := true
	if c.now >= k.earliest {
		var x *exchange
		if x, wait = c.route(k, nil); x != nil && c.send(k, x) {
			c.unwait(k)
			return
		}
	}
	if !wait || c.now >= k.holdUntil || k.earliest >= k.holdUntil {
		c.end(k, true)
		return
	}
	if d := c.exchanges[k.Destination]; !k.waits && d != nil {
		if len(d.waiting) == 0 && !slices.Contains(c.wanted, d) {
			c.wanted = append(c.wanted, d)
		}
		at, _ := slices.BinarySearchFunc(d.waiting, k, before)
		d.waiting, k.waits = slices.Insert(d.waiting, at, k), true
		c.wake(k)
	}
}

// unwait takes a call from the line of its destination.
func (c *Engine) unwait(k *call) {
	if d := c.exchanges[k.Destination]; k.waits {
		at, _ := slices.BinarySearchFunc(d.waiting, k, before)
		d.waiting, k.waits = slices.Delete(d.waiting, at, at+1), false
	}
}

// wake sets the timer of a held call: for the end of its release wait, then for the end of its hold.
func (c *Engine) wake(k *call) {
	at := k.holdUntil
	if k.earliest > c.now {
		at = k.earliest
	}
	c.do(SetTimer{ID: k.Call, After: (at - c.now).Truncate(time.Millisecond) + time.Millisecond})
}

// before orders held calls: cut calls first, then high worth, then the newest. With the oldest first a
// standing queue would set every call up just after its aim.
func before(a, b *call) int {
	if a.CutBefore != b.CutBefore {
		if a.CutBefore {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(b.arrived, a.arrived),
		cmp.Compare(b.Call, a.Call))
}

// serve tries the held calls again when something has come free: at x alone, unless it is nil. With many
// exchanges a scan of all tandems for each held call would cost too much, and so would one of all held calls:
// a line whose destination has no slot is left at once.
func (c *Engine) serve(x *exchange) {
	if c.own.held >= slots(c.own)+slotsForPrior {
		return
	}
	c.wanted = slices.DeleteFunc(c.wanted, func(d *exchange) bool { return len(d.waiting) == 0 })
	c.lines, c.line = c.lines[:0], c.line[:0]
	for _, d := range c.wanted {
		if c.room(d.waiting) != nil {
			from := len(c.line)
			c.line = append(c.line, d.waiting...)
			c.lines = append(c.lines, c.line[from:])
		}
	}
	for {
		best := -1
		for i, l := range c.lines {
			l = c.room(l)
			if c.lines[i] = l; len(l) > 0 && (best < 0 || before(l[0], c.lines[best][0]) < 0) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		k := c.lines[best][0]
		c.lines[best] = c.lines[best][1:]
		if to, _ := c.route(k, x); to != nil {
			c.place(k)
		}
	}
}

// room is the part of a line from the first call on that may go now and for which there are slots.
func (c *Engine) room(line []*call) []*call {
	for i, k := range line {
		if k.phase != held || c.now < k.earliest {
			continue
		}
		if c.admits(c.exchanges[k.Destination], k) && c.admits(c.own, k) {
			return line[i:]
		}
		if !k.CutBefore && k.worth <= c.least { // nor is there for one behind it
			return nil
		}
	}
	return nil
}

// slots are the set-ups that the window of x lets out at once.
func slots(x *exchange) int { return max(minSlots, int(x.window)) }

// admits tells whether a first set-up may take a slot at x.
func (c *Engine) admits(x *exchange, k *call) bool {
	if x.silent { // no load, but no sign of life either: single trials
		return len(x.out) == 0 && c.now >= x.trialAt
	}
	limit := slots(x)
	if c.prior(k) {
		limit += slotsForPrior
	}
	return x.held < limit && c.now >= x.fullUntil && c.coldRoom(x)
}

// prior tells whether a call goes before others when room is short: it was cut and comes again, or its
// worth is above that of other classes.
func (c *Engine) prior(k *call) bool {
	return !k.low && (k.CutBefore || k.worth > c.least)
}

// route chooses where a call goes next, or nil; wait tells whether it may be held for a slot or circuit. If
// only is set, no other tandem is tried.
func (c *Engine) route(k *call, only *exchange) (x *exchange, wait bool) {
	dest := c.exchanges[k.Destination]
	if dest == nil || dest.health != Ready || slices.Contains(k.Excluded, dest.code) {
		return nil, false
	}
	if k.attempts >= c.cfg.MaxAttempts || k.mayRun && !c.cfg.Classes[k.Class].Repeatable {
		return nil, false
	}
	if k.Transit {
		if !dest.silent && c.now >= dest.fullUntil && c.coldRoom(dest) &&
			(dest.size < 0 || dest.free >= k.Circuits+kept(dest)) {
			return dest, false
		}
		return nil, false
	}
	if n := c.numbers[k.Number]; n != nil && n.busyAt > 0 &&
		(n.out > 0 || c.now < n.busyAt+pause) {
		return nil, false
	}
	if !c.admits(dest, k) || !c.admits(c.own, k) {
		return nil, !dest.silent
	}
	room := dest.free
	if k.low {
		room -= kept(dest)
	}
	if dest.size < 0 || room >= k.Circuits {
		return dest, true
	}
	if len(k.tried) >= maxTandems || k.late {
		return nil, true
	}
	var choice *exchange
	var least uint64
	tandems := c.order
	if only != nil {
		tandems = []*exchange{only}
	}
	for _, t := range tandems {
		turned := t.turned[dest.code]
		if t == dest || t.health != Ready || t.size < 0 || c.cold(t) || !c.quick(t) || !c.admits(t, k) ||
			slices.Contains(k.tried, t.code) || slices.Contains(k.Excluded, t.code) ||
			t.free < k.Circuits+kept(t) ||
			turned.n > 0 && c.now < turned.last+turnedBackKept {
			continue
		}
		h := rand.NewPCG(c.cfg.Seed^k.Call, uint64(t.code)).Uint64()>>8 + uint64(min(turned.n+2, 255))<<56
		switch { // the one that last carried a call there goes first, then the advised one
		case t.code == dest.via && turned.n <= 0:
			h = 0
		case t.code == k.AdvisedTandem:
			h = 1
		}
		if choice == nil || h < least {
			choice, least = t, h
		}
	}
	return choice, true
}

// kept are the circuits of the group to x that transit, tandem and low calls leave free: trunk reservation.
// In a thin group two circuits are a large part, and calls without a direct group would find no way.
func kept(x *exchange) float64 { return min(keptForDirect, math.Ceil(keptPart*x.size)) }

// send starts an attempt. It is the one place that does, and here the rules hold whatever asked for it:
// the call is live, within its time and has no attempt out, the exchange neither drains nor is gone, the
// cold budget has room, and the release has been awaited.
func (c *Engine) send(k *call, x *exchange) bool {
	if k.phase != held || c.now >= k.Due || c.now < k.earliest || k.attempts >= c.cfg.MaxAttempts ||
		x.health != Ready || !c.coldRoom(x) || k.Transit && x.code != k.Destination || x == c.own {
		return false
	}
	timeOut := k.Due - c.now
	if !k.Transit {
		left := k.aimEnd - c.now
		// An exchange that answers quickly but loses some set-ups is tried a second time within the aim.
		first := max(minTimeOut, tails*c.answerTime)
		if k.attempts == 0 && x.code == k.Destination && x.lost >= lossy && c.quick(x) &&
			first+c.cfg.Guard+2*c.answerTime < left {
			left = first
		}
		timeOut = min(timeOut, max(minTimeOut, left))
		c.slot(x, 1)
		c.slot(c.own, 1)
		k.slotted = true
	}
	k.phase, k.to, k.sentAt, k.missed, k.rings, k.attempts = setting, x, c.now, false, false, k.attempts+1
	if x.code != k.Destination {
		k.tried = append(k.tried, x.code)
	}
	if x.silent {
		x.trialAt = c.now + c.trialEvery
	}
	if n := c.numbers[k.Number]; n != nil {
		n.out++
	}
	x.out = append(x.out, k)
	x.permit, x.sends = max(x.permit, c.now)+x.every, append(x.sends, c.now)
	x.sentStep, x.free = x.sentStep+1, x.free-k.Circuits
	c.do(SetUp{Call: k.Call, Exchange: x.addr, TimeOut: timeOut})
	return true
}

// slot takes (1) or frees (-1) a slot at x and keeps the account of slots held over time.
func (c *Engine) slot(x *exchange, n int) {
	x.heldSum += time.Duration(x.held) * (c.now - x.heldAt)
	x.heldAt, x.held = c.now, x.held+n
	x.peak = max(x.peak, x.held)
}

// answered takes the attempt that is out from the books.
func (c *Engine) answered(k *call) {
	if k.to == nil {
		return
	}
	if !k.rings {
		k.to.out = slices.DeleteFunc(k.to.out, func(o *call) bool { return o == k })
	}
	c.free(k)
	if n := c.numbers[k.Number]; n != nil && n.out > 0 {
		n.out--
	}
	k.to = nil
}

// free gives back the slots of an attempt.
func (c *Engine) free(k *call) {
	if k.slotted {
		c.slot(k.to, -1)
		c.slot(c.own, -1)
		k.slotted = false
	}
}

// end closes a call, with its final answer if that is owed still. No other place does. A call fails if an
// attempt may have been carried out, else it is refused.
func (c *Engine) end(k *call, owed bool) {
	if owed && k.phase != over && k.phase != standing {
		if k.mayRun {
			c.do(Fail{Call: k.Call})
		} else {
			// Till the processor has rested the caller is to stay away; of other states no end is known.
			var wait time.Duration
			if x := c.exchanges[k.Destination]; x != nil {
				wait = max(0, x.fullUntil-c.now)
			}
			c.do(Refuse{Call: k.Call, Wait: wait})
		}
		if !k.Transit {
			n := c.number(k.Number)
			n.refusedAt, n.aimEnd = c.now, k.aimEnd
		}
	}
	c.unwait(k)
	k.phase = over
	if k.to == nil { // an attempt that is out still returns
		delete(c.calls, k.Call)
	}
}

// quick tells whether x answers and its load reads more Low than Medium.
func (c *Engine) quick(x *exchange) bool { return !x.silent && x.seen <= (setLow+setMid)/2 }

// alive notes a sign of life of x.
func (c *Engine) alive(x *exchange) {
	if x.silent { // what kept it silent may be over for others: a region comes back at once
		for _, y := range c.order {
			y.trialAt = c.now
		}
	}
	x.lastAnswer, x.unanswered, x.silent = c.now, 0, false
}

// alerting ends the processor's part of an attempt. It is out still, but ringing is the subscriber's affair:
// no slot is held for it. An exchange may say so at once and do the work later; the wait that it is reported
// to have then tells how long the slot is held.
func (c *Engine) alerting(ev Alerting) {
	k := c.calls[ev.Call]
	if k == nil || k.to == nil || k.rings {
		return
	}
	x := k.to
	c.carried(k, ev.Exchange, ev.Delay)
	x.out = slices.DeleteFunc(x.out, func(o *call) bool { return o == k })
	k.rings = true
	rest := max(k.sentAt+x.wait-c.now, x.wait-x.distance) // the answer waits there too
	if rest > c.slow/20 && k.slotted && c.now-x.loadAt <= reportKept {
		c.do(SetTimer{ID: k.Call, After: rest})
		return
	}
	c.free(k)
	c.serve(nil)
}

// beyond is how much of d is beyond the least that answers of x take: that is its distance, and no load.
func (c *Engine) beyond(x *exchange, d time.Duration) time.Duration {
	if x.distance == 0 || d < x.distance {
		x.distance = max(0, min(d, c.slow/2))
	}
	return d - x.distance
}

// carried notes what the end of the processor's part after d tells of the exchange that an attempt went to.
func (c *Engine) carried(k *call, at string, took time.Duration) {
	x, d := k.to, took
	same := x.addr == at
	if same {
		c.alive(x)
		x.fulls, x.taken, c.own.taken = 0, x.taken+1, c.own.taken+1
	}
	if same && x.code == k.Destination && k.sentAt >= c.resumed {
		if d -= c.ownWait; c.told() { // else what answers have in common is taken for the own wait
			d = c.beyond(x, d)
		}
		c.evidence(x, d)
		c.heard, c.leastTime = c.heard+1, min(c.leastTime, took)
		c.answerTime += (took - c.answerTime) / 8
	} else if y := c.exchanges[k.Destination]; y != nil && y != x {
		y.via = x.code
		x.turned[y.code] = turnBacks{n: -1}
	}
}

func (c *Engine) established(ev Established) {
	k := c.calls[ev.Call]
	if k == nil || k.to == nil {
		return
	}
	if !k.rings {
		c.carried(k, ev.Exchange, ev.Delay)
	}
	if y := c.exchanges[k.Destination]; y != nil && y != k.to { // a tandem may say early that it rings
		c.alive(y)
	}
	c.answered(k)
	if k.phase == setting {
		k.phase = standing
	}
	c.serve(nil)
}

func (c *Engine) returned(ev AttemptEnded) {
	x := c.byAddr[ev.Exchange]
	if x != nil && ev.Report != nil {
		c.report(x, ev.Report)
	}
	k := c.calls[ev.Call]
	if k == nil {
		return
	}
	direct := x != nil && x.code == k.Destination
	setUp := k.to != nil // it had not stood
	if setUp && ev.Reason == ProcessorFull && ev.Cause != NotSent {
		c.full(k.to, ev.Wait)
	}
	c.answered(k)
	if setUp && x != nil && x.addr == ev.Exchange { // a replaced machine tells nothing of its successor
		c.learn(k, x, direct, ev)
	}
	if ev.Final || k.phase != setting {
		k.phase = max(k.phase, standing)
		c.end(k, false)
		c.serve(nil)
		return
	}
	k.phase = held
	again := true
	switch ev.Cause {
	case TimedOut, Reset, Cancelled: // what the attempt held may stay taken: the release is awaited
		k.mayRun = true
		k.earliest = c.now + c.cfg.Guard
		again = ev.Cause != TimedOut || !k.rings && (!direct || c.quick(x) && x.lost >= lossy)
	case Failed:
		k.mayRun = true
		again = ev.Reason != NumberBusy && ev.Reason != NoAnswer
	case NoContact:
		again = !direct
	case NotSent:
		again = ev.Reason == NoCircuit
	case NotSetUp:
		// A full destination is not asked again, neither direct nor over a tandem.
		again = ev.Reason != CrankbackFull && !(ev.Reason == ProcessorFull && direct && c.now < x.fullUntil)
	}
	if again && !k.Transit && c.now < k.Due-answerSpare {
		c.place(k)
	} else {
		c.end(k, true)
	}
	c.serve(nil)
}

// learn draws from an attempt that has ended what it tells of the exchange and the number.
func (c *Engine) learn(k *call, x *exchange, direct bool, ev AttemptEnded) {
	switch ev.Cause {
	case Completed, Failed, NotSetUp:
		c.alive(x)
	case TimedOut, NoContact:
		// An attempt that its caller has given less than an answer may take tells nothing.
		short := ev.Cause == TimedOut && (k.rings || c.now-k.sentAt < tails*c.answerTime)
		if direct && !k.missed && !short {
			c.unanswered(x, k.sentAt)
		} else if !direct && !short {
			// Whether it or the destination is at fault, not that way again.
			c.turnBack(x, k.Destination)
		}
	}
	if ev.Cause == NotSent && ev.Reason == NoCircuit {
		x.free = min(x.free, k.Circuits-1)
	}
	switch ev.Reason {
	case ProcessorFull:
		if ev.Cause != NotSent {
			c.evidence(x, c.aim)
		}
	case CrankbackFull:
		c.evidence(c.exchanges[k.Destination], c.aim)
		fallthrough
	case Crankback:
		c.turnBack(x, k.Destination)
	case NumberBusy:
		c.number(k.Number).busyAt = c.now
	}
}

// full notes that a set-up came back for want of the processor of x. An exchange that answers quickly and
// turns one away now and then is not full: a rest would cost the calls of a second for one.
func (c *Engine) full(x *exchange, wait time.Duration) {
	if x.fulls++; wait > 0 || x.fulls >= fullInRow || !c.quick(x) {
		x.fullUntil = c.now + max(pause, wait)
	}
}

// turnBack notes that x as tandem did not carry a call to the destination.
func (c *Engine) turnBack(x *exchange, destination int) {
	x.turned[destination] = turnBacks{max(0, x.turned[destination].n) + 1, c.now}
}

// number is the evidence on one number.
func (c *Engine) number(key string) *number {
	n := c.numbers[key]
	if n == nil {
		n = &number{}
		if key != "" { // calls without a number have nothing in common
			c.numbers[key] = n
		}
	}
	return n
}

// unanswered notes a set-up to x, sent at the given time, that has had no answer.
func (c *Engine) unanswered(x *exchange, sent time.Duration) {
	if x.lastAnswer >= sent {
		if c.quick(x) { // others were answered, and quickly: it was lost
			x.lost++
		}
		if x.lost < lossy { // a loss that lasts is no load
			c.evidence(x, c.aim)
		}
		return
	}
	if x.unanswered++; x.unanswered >= silentAfter && !x.silent {
		x.silent, x.trialAt = true, c.now+c.trialEvery
	}
}

// report takes what is told of x.
func (c *Engine) report(x *exchange, r *Report) {
	if r.Free >= 0 && r.Size >= 0 {
		x.free, x.size = r.Free, r.Size
	}
	load := r.Utilisation
	if r.Wait >= 0 {
		// What was under way while the controller stood still tells of that alone.
		if wait := time.Duration(r.Wait * float64(time.Second)); wait <= c.now-c.resumed || c.resumed == 0 {
			x.wait = wait
			load = max(load, min(1, max(0, wait-x.distance).Seconds()/c.slow.Seconds()))
		}
	} else if r.Queue >= 0 && r.Rate > 0 {
		load = max(load, min(1, r.Queue/r.Rate/c.slow.Seconds()))
	}
	if load = max(load, r.Reduction); load >= 0 {
		x.load, x.loadAt = load, c.now
	}
}

// told tells whether the own lateness is told, and need not be guessed from answers.
func (c *Engine) told() bool { return c.own.loadAt > 0 && c.now-c.own.loadAt <= reportKept }

// step resizes every window, in the order of the point codes.
func (c *Engine) step() {
	told := c.told()
	if told {
		c.ownWait = c.own.wait
	} else if c.heard >= 2 { // what all answers have in common is the wait at the own processor
		c.ownWait = c.leastTime
	}
	c.heard, c.leastTime = 0, math.MaxInt64
	var usual, known float64
	for _, x := range c.order {
		for _, k := range x.out { // a set-up is missed once: when it is overdue here, or else at its time-out
			age := (c.now - k.sentAt - c.ownWait).Seconds()
			if x.code == k.Destination && !k.missed && age > overdueAt*c.aim.Seconds() {
				k.missed = true
				c.unanswered(x, k.sentAt)
			}
		}
		for len(x.sends) > 0 && x.sends[0] <= c.now-c.cfg.CrashSpan {
			x.sends = x.sends[1:]
		}
		if x.health == Ready && !x.silent && !c.cold(x) {
			x.steps++
			x.usual += (float64(x.sentStep)/stepEvery.Seconds() - x.usual) * max(usualWeight, 1/x.steps)
		}
		usual, known = usual+x.usual, known+min(1, x.steps)
		x.sentStep, x.lost, x.distance = 0, x.lost*lostDecay, x.distance+x.distance/distanceGrows
		c.resize(x)
	}
	c.usual = usual / max(1, known)
	c.own.answers, c.own.pressure = 0, 0
	if !told {
		c.evidence(c.own, c.beyond(c.own, c.ownWait))
		c.own.distance += c.own.distance / distanceGrows
	} else { // of the slots only what waits here is held by the own processor; the rest waits at far ones
		c.own.heldSum, c.own.heldAt = time.Duration(c.own.taken)*c.own.wait, c.now
	}
	c.resize(c.own)
	if told && c.own.seen <= setLow { // what the far windows let out it can carry: it is not late
		var all float64
		for _, x := range c.order {
			all += x.window
		}
		c.own.window = max(c.own.window, all)
	}
	for key, n := range c.numbers {
		if n.out == 0 && c.now > max(n.busyAt, n.refusedAt)+numberKept {
			delete(c.numbers, key)
		}
	}
	c.serve(nil)
}

// resize is the step of one window: Wmax += dW * Wmax, dW from Table I.
func (c *Engine) resize(x *exchange) {
	c.slot(x, 0)
	x.heldAvg[1], x.heldAvg[0] = x.heldAvg[0], x.heldSum.Seconds()/stepEvery.Seconds()
	peak := x.peak
	x.heldSum, x.peak = 0, x.held
	defer func() { x.taken = 0 }()
	load := 0.0
	if x.answers > 0 {
		load = x.pressure / x.answers
	}
	if x.loadAt > 0 && c.now-x.loadAt <= reportKept {
		load = max(load, x.load)
	}
	x.answers, x.pressure = x.answers*pressureDecay, x.pressure*pressureDecay
	x.seen = load
	if x.silent { // silence is no load: the window waits as it was
		return
	}
	full := float64(slots(x))
	share := full
	if load < setMid {
		// A window that a short pause has cut has all its few slots held, which reads High though nothing is
		// wrong, and Table I would keep it shut. Under its starting size it is measured by that size. Demand
		// for more would read High too: it is measured by what the exchange has proved to carry, the set-ups
		// that it would answer, as fast as in this step, before an answer read Medium (Little's law).
		rate := float64(x.taken) / stepEvery.Seconds()
		share = max(full, x.start, rate*(x.distance.Seconds()+setMid*c.slow.Seconds()))
	}
	change := deltaW(load, min(1, (x.heldAvg[0]+x.heldAvg[1])/2/share))
	if change > 0 && float64(peak) < full-1 {
		return // it grows only when its slots were nearly all used
	}
	ceiling := maxWindow
	if x == c.own { // it stands before all others
		ceiling *= float64(max(1, len(c.order)))
	}
	x.window = min(ceiling, max(minSlots, x.window*(1+change)))
}

// table is Table I: rows by load, columns by share of slots held; Low, Medium, High.
var table = [3][3]float64{
	{inc, slowInc, slowDec},
	{slowInc, noChange, dec},
	{slowDec, dec, fastDec},
}

// grades are the memberships of v in Low, Medium and High.
func grades(v float64) [3]float64 {
	up := func(from, to float64) float64 { return min(1, max(0, (v-from)/(to-from))) }
	low, high := 1-up(setLow, setMid), up(setMid, setHigh)
	return [3]float64{low, min(up(setLow, setMid), 1-high), high}
}

// deltaW is the Mamdani controller: rules fire by the lesser of their grades, rules with the same output
// merge by the greater, and the central average of the outputs is the change.
func deltaW(load, heldShare float64) float64 {
	a, b := grades(load), grades(heldShare)
	outputs := [...]float64{fastDec, dec, slowDec, noChange, slowInc, inc}
	var sum, weight float64
	for _, out := range outputs {
		var fired float64
		for i := range table {
			for j := range table[i] {
				if table[i][j] == out {
					fired = max(fired, min(a[i], b[j]))
				}
			}
		}
		sum, weight = sum+fired*out, weight+fired
	}
	return sum / weight
}
