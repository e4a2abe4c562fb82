// Package policy holds the overload control and the routing of one call controller in a mesh of exchanges.
// It sees events and returns actions, see api.go. This file holds every decision and every tuned value.
//
// Overload control keeps a window per far processor: the number of set-ups that may await an answer there at
// the same time. A step every stepInterval resizes the window by a fuzzy rule table, Table I (see tableI).
// Its inputs are the load of that processor and the share of the window's slots that were held. The own
// processor has a window of the same kind. Calls in transit take no slot.
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

// Windows and load.
const (
	stepInterval       = 500 * time.Millisecond // time between two steps
	initialWindowTotal = 20.0                   // slots at one processor, shared by all controllers
	ownInitialWindow   = 6.0                    // slots, a few times the set-ups that are usually outstanding
	maxWindow          = 200.0                  // slots
	minSlots           = 1                      // a window always admits one set-up
	maxHold            = time.Second            // longest wait of a call for a slot or a circuit
	evidenceDecay      = 0.5                    // share of the load evidence that is kept from step to step
	fullLoadDelayShare = 0.5                    // answer delay at full load, as a share of the shortest aim
	reportMaxAge       = 2 * time.Second        // older load reports are ignored
	stallThreshold     = 150 * time.Millisecond // a step this late shows that the controller stalled

	// Breakpoints of the fuzzy sets: Low is full up to lowFull, Medium peaks at mediumPeak, and High is full
	// from highFull. High begins at mediumPeak, so a reading below 0.6 is never High.
	lowFull, mediumPeak, highFull = 0.3, 0.6, 0.9

	// Outputs of Table I: relative change of a window in one step.
	fastDecrease, decrease, slowDecrease,
	noChange, slowIncrease, increase = -0.6, -0.35, -0.15, 0.0, 0.15, 0.4

	// Routes and circuits.

	prioritySlots    = 1               // slots beyond the window for priority calls, see hasPriority
	quotaBurst       = 15.0            // calls; the most unused quota that a tenant can save up
	maxTandems       = 2               // tandems tried per call
	reservedCircuits = 2               // circuits per group reserved for direct calls, see circuitReserve
	reservedShare    = 0.05            // limit of the reserve as a share of the group, rounded up
	crankbackBackOff = 2 * time.Second // how long a tandem is skipped for a destination after a crankback

	// Health of far processors.

	unresponsiveAfter   = 2                      // set-ups in a row without any response
	overdueShare        = 0.75                   // an answer is overdue after this share of the shortest aim
	probeCallRate       = 16.0                   // probe calls per second to an exchange, of all controllers
	answerMargin        = 15 * time.Millisecond  // a hold ends at least this long before the due time
	minBackOff          = time.Second            // for full exchanges, busy numbers and probe calls
	fullAfterRejections = 3                      // a lightly loaded one is full after this many in a row
	minAttemptTimeOut   = 300 * time.Millisecond // shorter only if the call is due earlier
	lossDecay           = 0.9                    // share of the counted losses kept from step to step
	lossThreshold       = 1.5                    // number of losses from which lost set-ups are retried
	// baseDelayGrowthDivisor lets a base delay grow by 1/100 per step until a quicker answer lowers it, so
	// that it follows a path that has become longer.
	baseDelayGrowthDivisor = 100
	answerTimeMultiple     = 3                // an answer later than this many usual answer times is lost
	numberRetention        = 10 * time.Second // for this long a new call to a refused number is a redial
	capacityMultiple       = 2.4              // assumed capacity, as a multiple of the usual rate
	meanRateWeight         = 4.0              // set-ups; weight of the mean rate of all exchanges
	usualRateWeight        = 0.05             // weight of one step in the moving average of the usual rate
)

// stepTimer is the timer of the steps. A call's timer has the id of the call, which is below it.
const stepTimer = uint64(1) << 40

// exchangeState is what the controller knows of a far exchange, or of its own.
type exchangeState struct {
	pointCode int
	address   string
	health    Health
	startedAt time.Duration
	queue     []*callState // held calls to it, in the order of compareHeld

	window         float64       // size in slots (Wmax)
	initialWindow  float64       // slots
	slotsHeld      int           // slots held now
	slotTime       time.Duration // time for which slots were held in this step, summed over the slots
	slotTimeUntil  time.Duration // slotTime is accounted up to here
	meanSlotsHeld  [2]float64    // mean slots held in the last step and in the one before
	peakSlotsHeld  int           // most slots held in this step
	fullUntil      time.Duration // its processor was full: no set-ups before this time
	fullRejections int           // set-ups rejected by a full processor since one was last accepted

	loadSamples, loadSum    float64       // decayed number of load samples, and the sum of their loads
	load, latestLoad        float64       // load by the last report, and by the latest sample
	stepLoad                float64       // load input of the last step
	loadReportedAt          time.Duration // time of the report behind load; 0: none
	wait                    time.Duration // queueing delay by the last report; 0: not reported
	baseDelay               time.Duration // shortest answer delay, due to distance and not load; 0: not known
	freeCircuits, groupSize float64       // circuits of the trunk group; a size below zero is unknown

	outstanding   []*callState // attempts that its processor has yet to answer, by time of sending
	lastAnswerAt  time.Duration
	losses        float64 // decayed number of set-ups lost while others were answered quickly
	unanswered    int     // set-ups in a row without any response
	unresponsive  bool
	nextProbeCall time.Duration           // no probe call before this time
	crankbacks    map[int]crankbackRecord // as tandem: crankbacks by destination
	lastTandem    int                     // as destination: tandem that last carried a call; -1: none

	recentSends []time.Duration // times of the set-ups sent within the last CrashSpan
	// nextColdSend and coldSendInterval spread the set-ups of a cold budget below one per CrashSpan.
	nextColdSend, coldSendInterval time.Duration
	// usualRate is a moving average of the set-ups per second sent to it while it was warm, over rateSteps.
	usualRate, rateSteps       float64
	sentInStep, answeredInStep int // set-ups sent to it in this step, and answered by it
}

// crankbackRecord counts the calls to one destination that a tandem turned back since it last carried one. A
// tandem that carried the last one has n = -1.
type crankbackRecord struct {
	n      int
	lastAt time.Duration
}

// phase is the state of a call.
type phase uint8

const (
	phaseHeld phase = iota
	phaseSettingUp
	phaseEstablished
	phaseOver
)

// callState is a call that awaits its final answer or is established.
type callState struct {
	Offered
	phase             phase
	arrivedAt, aimEnd time.Duration
	holdUntil         time.Duration
	notBefore         time.Duration // no attempt before this time: the guard after the last one runs
	worth             float64
	attempts          int
	triedTandems      []int
	target            *exchangeState // exchange of the outstanding attempt; nil: none
	holdsSlot         bool           // it holds a slot at target and at the own exchange
	alerted           bool           // the target's processor has done its part of the attempt
	sentAt            time.Duration
	maybeExecuted     bool // an earlier attempt may have been carried out
	countedUnanswered bool // the attempt has been counted as unanswered, or must not be
	queued            bool // it is in the queue of its destination
	late              bool // its aim cannot be met
	lowPriority       bool // it is late, or its tenant is beyond its quota
}

// dialledNumber is what is known of a dialled number.
type dialledNumber struct {
	busyAt      time.Duration // when its lines were last found busy; 0: never
	outstanding int           // attempts to it
	// refusedAt is when a call to it was last refused or failed; aimEnd is the end of that call's aim.
	refusedAt, aimEnd time.Duration
}

// Engine makes the decisions of one call controller. It is not safe for concurrent use.
type Engine struct {
	cfg                Config
	now                time.Duration
	out                []Action // actions for the event being handled
	own                *exchangeState
	exchanges          map[int]*exchangeState
	byPointCode        []*exchangeState // the far exchanges, sorted
	byAddress          map[string]*exchangeState
	calls              map[uint64]*callState
	queuedDestinations []*exchangeState // exchanges with held calls
	scanQueues         [][]*callState   // buffer of retryHeld: the queues that it scans
	scanCalls          []*callState     // buffer of retryHeld that scanQueues are slices of
	numbers            map[string]*dialledNumber
	nextStepAt         time.Duration
	resumedAt          time.Duration // end of the controller's last stall
	shortestAim        time.Duration // of all classes
	fullLoadDelay      time.Duration // an answer delay that counts as full load
	lowestWorth        float64       // of all classes
	probeCallInterval  time.Duration // time between two probe calls of this controller to an exchange
	quotaTotal         float64       // of all tenants, in calls per second
	usualRate          float64       // mean of the usual rates of the exchanges
	quotaCredit        []float64     // per tenant, calls left within its quota
	ownWait            time.Duration // queueing delay at the own processor
	directAnswers      int           // answers to direct set-ups in this step
	minAnswerTime      time.Duration // shortest time of these answers
	usualAnswerTime    time.Duration // moving average over the direct set-ups to all exchanges
}

// New returns an Engine for the given configuration.
func New(cfg Config) (*Engine, error) {
	if len(cfg.Classes) == 0 {
		return nil, errors.New("no call classes configured")
	}
	if min(cfg.Guard, cfg.RetransmitAfter, cfg.WarmUp, cfg.CrashSpan) < 0 ||
		min(cfg.ColdShare, cfg.CrashMultiple, float64(cfg.MaxAttempts), float64(cfg.Controllers)) < 0 {
		return nil, errors.New("a time, a share or a number in the configuration is negative")
	}
	c := &Engine{cfg: cfg, shortestAim: math.MaxInt64, lowestWorth: math.MaxFloat64,
		exchanges: map[int]*exchangeState{}, byAddress: map[string]*exchangeState{},
		calls: map[uint64]*callState{}, numbers: map[string]*dialledNumber{},
		quotaCredit: make([]float64, len(cfg.Tenants))}
	for i, class := range cfg.Classes {
		if class.Aim <= 0 || class.Worth < 0 {
			return nil, fmt.Errorf("class %d: the aim must be positive and the worth not negative", i)
		}
		c.shortestAim, c.lowestWorth = min(c.shortestAim, class.Aim), min(c.lowestWorth, class.Worth)
	}
	for i, t := range cfg.Tenants {
		c.quotaCredit[i], c.quotaTotal = quotaBurst, c.quotaTotal+t.Quota
	}
	c.fullLoadDelay = time.Duration(fullLoadDelayShare * float64(c.shortestAim))
	if cfg.RetransmitAfter > 0 { // a set-up that waits longer is retransmitted, and that adds work
		c.fullLoadDelay = min(c.fullLoadDelay, cfg.RetransmitAfter)
	}
	c.probeCallInterval = max(minBackOff,
		time.Duration(float64(cfg.Controllers-1)/probeCallRate*float64(time.Second)))
	c.own = &exchangeState{pointCode: cfg.Self, window: ownInitialWindow, initialWindow: ownInitialWindow}
	return c, nil
}

// Handle processes one event at the time now and appends the resulting actions to out.
func (c *Engine) Handle(now time.Duration, ev Event, out []Action) []Action {
	if c.nextStepAt > 0 && now > c.nextStepAt+stallThreshold {
		c.noteStall(now)
	}
	c.now, c.out = now, out
	if c.nextStepAt == 0 {
		c.scheduleStep()
		if c.cfg.SubscribeToList {
			c.emit(Subscribe{})
		}
	}
	switch ev := ev.(type) {
	case List:
		c.handleList(ev)
	case Offered:
		c.handleOffered(ev)
	case Alerting:
		c.handleAlerting(ev)
	case Established:
		c.handleEstablished(ev)
	case AttemptEnded:
		c.handleAttemptEnded(ev)
	case CallerReleased:
		if call := c.calls[ev.Call]; call != nil && call.phase != phaseOver {
			c.endCall(call, false)
		}
	case Status:
		if exchange := c.byAddress[ev.Exchange]; exchange != nil {
			c.applyReport(exchange, &ev.Report)
			if exchange != c.own {
				c.retryHeld(exchange)
			}
		}
	case Timer:
		if ev.ID == stepTimer {
			c.scheduleStep()
			if c.now > c.resumedAt { // slots held during a stall show no far load: no step right after it
				c.resizeWindows()
			}
		} else if call := c.calls[ev.ID]; call != nil && call.phase == phaseHeld {
			c.placeCall(call)
			if call.phase == phaseHeld {
				// The timer may fire slightly early. Without a new one the call would get no final answer.
				c.setHoldTimer(call)
			}
		} else if call != nil && call.alerted && call.holdsSlot {
			c.releaseSlots(call)
			c.retryHeld(nil)
		}
	}
	out, c.out = c.out, nil
	return out
}

// scheduleStep sets the timer of the next step.
func (c *Engine) scheduleStep() {
	c.nextStepAt = c.now + stepInterval
	c.emit(SetTimer{ID: stepTimer, After: stepInterval})
}

// noteStall records that the controller stalled, which the late step timer shows. The events of that time
// arrive all at once; late answers and slots held meanwhile are due to the stall and show no far load.
func (c *Engine) noteStall(now time.Duration) {
	c.resumedAt, c.nextStepAt, c.now = now, now, now
	for _, exchange := range append(c.byPointCode, c.own) {
		c.adjustSlots(exchange, 0)
		exchange.slotTime = 0
	}
}

// emit adds an action to those that Handle returns.
func (c *Engine) emit(a Action) { c.out = append(c.out, a) }

// handleList applies an update of the list of exchanges.
func (c *Engine) handleList(ev List) {
	if ev.Failed {
		if c.cfg.SubscribeToList {
			c.emit(Subscribe{})
		}
		return
	}
	listed := map[int]bool{}
	for _, entry := range ev.Entries {
		if entry.PointCode == c.cfg.Self && !c.cfg.Pools {
			c.byAddress[entry.Address] = c.own // for status updates of the own processor
			continue
		}
		exchange := c.exchanges[entry.PointCode]
		if exchange == nil {
			exchange = &exchangeState{pointCode: entry.PointCode, address: entry.Address,
				health: entry.Health, startedAt: entry.StartedAt, slotTimeUntil: c.now,
				crankbacks: map[int]crankbackRecord{}, lastTandem: -1, groupSize: -1,
				initialWindow: max(minSlots, initialWindowTotal/float64(max(1, c.cfg.Controllers-1)))}
			exchange.window = exchange.initialWindow
			c.exchanges[entry.PointCode] = exchange
			index, _ := slices.BinarySearchFunc(c.byPointCode, exchange,
				func(a, b *exchangeState) int { return a.pointCode - b.pointCode })
			c.byPointCode = slices.Insert(c.byPointCode, index, exchange)
		}
		c.byAddress[entry.Address] = exchange
		if entry.Health == Removed { // reports of a removed machine are ignored after this update
			defer delete(c.byAddress, entry.Address)
		}
		listed[entry.PointCode] = listed[entry.PointCode] || entry.Health != Removed
		switch {
		case entry.Address == exchange.address:
			exchange.health = entry.Health
		case entry.Health == Ready && (exchange.health != Ready || entry.StartedAt >= exchange.startedAt):
			exchange.address, exchange.health = entry.Address, Ready // another machine has replaced it
		default:
			continue
		}
		if entry.Health == Ready && entry.StartedAt > exchange.startedAt {
			c.noteRestart(exchange, entry.StartedAt)
		}
	}
	for _, exchange := range c.byPointCode {
		if ev.Full && !listed[exchange.pointCode] {
			exchange.health = Removed
		}
	}
	c.retryHeld(nil)
}

// noteRestart records that the processor of an exchange has started anew: it is cold, and what was known of
// its load no longer applies.
func (c *Engine) noteRestart(exchange *exchangeState, startedAt time.Duration) {
	exchange.startedAt, exchange.latestLoad = startedAt, 1
	for _, call := range exchange.outstanding { // set-ups left unanswered before the start do not count
		call.countedUnanswered = true
	}
	exchange.unresponsive, exchange.unanswered, exchange.loadSamples, exchange.loadSum,
		exchange.loadReportedAt, exchange.nextColdSend, exchange.coldSendInterval = false, 0, 0, 0, 0, 0, 0
	exchange.window = max(minSlots, exchange.window*c.cfg.ColdShare)
}

// isCold reports whether an exchange is still warming up after a start.
func (c *Engine) isCold(exchange *exchangeState) bool {
	return exchange.startedAt > 0 && c.now < exchange.startedAt+c.cfg.WarmUp
}

// withinColdBudget reports whether one more set-up to an exchange keeps within this controller's share of
// the cold budget. A cold processor fails when all controllers together send it more than CrashMultiple
// times its cold capacity within CrashSpan. The warm capacity is assumed to be capacityMultiple times the
// usual rate, and a controller's share of the budget is its share of the usual rate.
//
// Among many controllers that share is less than one set-up per span. It is then enforced by a token bucket
// that holds one token. The first token comes at an offset that depends on the controller's index, so that
// not all controllers send at once. While the latest answer shows a Low load, a controller whose share is
// below two set-ups may always have one outstanding.
func (c *Engine) withinColdBudget(exchange *exchangeState) bool {
	if !c.isCold(exchange) {
		return true
	}
	// Without a usual rate a controller's budget is crashShare times its share of initialWindowTotal, and at
	// most one set-up. Where few set-ups go to each exchange, the usual rate of one is mostly chance, so the
	// mean rate of all exchanges counts too.
	crashShare := c.cfg.CrashMultiple * c.cfg.ColdShare
	budget := min(1, crashShare*initialWindowTotal/float64(max(1, c.cfg.Controllers-1)))
	if observed := min(exchange.rateSteps, 2/usualRateWeight) * stepInterval.Seconds(); c.usualRate > 0 {
		budget = crashShare * capacityMultiple * c.cfg.CrashSpan.Seconds() *
			(exchange.usualRate*observed + meanRateWeight) / (observed + meanRateWeight/c.usualRate)
	}
	recentLowLoad := exchange.latestLoad <= lowFull && len(exchange.outstanding) == 0 &&
		c.now < exchange.lastAnswerAt+c.cfg.CrashSpan
	if budget >= 1 {
		return float64(len(exchange.recentSends)+1) <= budget || recentLowLoad && budget < 2
	}
	exchange.coldSendInterval = time.Duration(min(float64(c.cfg.WarmUp), float64(c.cfg.CrashSpan)/budget))
	_, offset := math.Modf(math.Phi * float64(c.cfg.Index+exchange.pointCode))
	exchange.nextColdSend = max(exchange.nextColdSend,
		exchange.startedAt+time.Duration(offset*float64(exchange.coldSendInterval)))
	return exchange.nextColdSend <= c.now || recentLowLoad
}

// handleOffered takes a new call and sends, holds or refuses it.
func (c *Engine) handleOffered(ev Offered) {
	if ev.Class < 0 || ev.Class >= len(c.cfg.Classes) {
		ev.Class = 0
	}
	class := &c.cfg.Classes[ev.Class]
	if ev.Circuits <= 0 {
		ev.Circuits = max(1, class.Circuits)
	}
	call := &callState{Offered: ev, arrivedAt: c.now, worth: class.Worth}
	c.calls[ev.Call] = call
	call.aimEnd = call.arrivedAt + class.Aim
	// The aim of a redial runs from the first try. Where callers do not mark redials, a call to a number that
	// was refused lately is taken for one, unless its lines were found busy: many callers may dial such a
	// number (mass calling), and their first calls must not count as late.
	if number := c.numbers[ev.Number]; ev.Transit {
		call.aimEnd = ev.Due
	} else if number != nil && !ev.CutBefore &&
		number.refusedAt > 0 && c.now < number.refusedAt+numberRetention &&
		(ev.Redial || !c.cfg.MarksRedials && number.busyAt == 0) {
		call.aimEnd = number.aimEnd
	}
	call.late = c.now+c.usualAnswerTime >= call.aimEnd
	if call.lowPriority = call.late; call.late {
		call.worth *= class.LateWorth
	}
	if !ev.Transit && call.aimEnd == call.arrivedAt+class.Aim && c.overQuota(ev.Tenant) {
		call.lowPriority = true
		call.worth *= c.cfg.OverQuotaWorth
	}
	call.holdUntil = min(c.now+maxHold, call.aimEnd-c.usualAnswerTime, ev.Due-answerMargin)
	c.placeCall(call)
}

// overQuota counts a first try of a tenant and reports whether it is beyond the tenant's quota. A
// controller does not see what tenants send to other controllers, so the quota here is a share of the calls
// offered here: the share that the tenant's quota has in the sum of all quotas.
func (c *Engine) overQuota(tenant int) bool {
	if len(c.cfg.Tenants) < 2 || tenant < 0 || tenant >= len(c.cfg.Tenants) {
		return false
	}
	for i, t := range c.cfg.Tenants {
		c.quotaCredit[i] = min(quotaBurst, c.quotaCredit[i]+t.Quota/max(c.quotaTotal, 1))
	}
	exceeded := c.quotaCredit[tenant] < 1
	if !exceeded {
		c.quotaCredit[tenant]--
	}
	return exceeded
}

// addLoadSample records the load that an answer delay of an exchange shows.
func (c *Engine) addLoadSample(exchange *exchangeState, delay time.Duration) {
	exchange.latestLoad = min(1, max(0, delay.Seconds()/c.fullLoadDelay.Seconds()))
	exchange.loadSamples, exchange.loadSum = exchange.loadSamples+1, exchange.loadSum+exchange.latestLoad
}

// placeCall sends a call, holds it or ends it.
func (c *Engine) placeCall(call *callState) {
	mayHold := true
	if c.now >= call.notBefore {
		var exchange *exchangeState
		if exchange, mayHold = c.route(call, nil); exchange != nil && c.sendSetUp(call, exchange) {
			c.dequeue(call)
			return
		}
	}
	if !mayHold || c.now >= call.holdUntil || call.notBefore >= call.holdUntil {
		c.endCall(call, true)
		return
	}
	if dest := c.exchanges[call.Destination]; !call.queued && dest != nil {
		if len(dest.queue) == 0 && !slices.Contains(c.queuedDestinations, dest) {
			c.queuedDestinations = append(c.queuedDestinations, dest)
		}
		index, _ := slices.BinarySearchFunc(dest.queue, call, compareHeld)
		dest.queue, call.queued = slices.Insert(dest.queue, index, call), true
		c.setHoldTimer(call)
	}
}

// dequeue takes a call from the queue of its destination, if it is there.
func (c *Engine) dequeue(call *callState) {
	if dest := c.exchanges[call.Destination]; call.queued {
		index, _ := slices.BinarySearchFunc(dest.queue, call, compareHeld)
		dest.queue, call.queued = slices.Delete(dest.queue, index, index+1), false
	}
}

// setHoldTimer sets the timer of a held call to the end of its guard, or to the end of its hold if no guard
// is running.
func (c *Engine) setHoldTimer(call *callState) {
	expiry := call.holdUntil
	if call.notBefore > c.now {
		expiry = call.notBefore
	}
	c.emit(SetTimer{ID: call.Call, After: (expiry - c.now).Truncate(time.Millisecond) + time.Millisecond})
}

// compareHeld orders held calls: calls that were cut before go first, then those of higher worth, then the
// newest. With the oldest first, a lasting queue would delay every call until just after its aim.
func compareHeld(a, b *callState) int {
	if a.CutBefore != b.CutBefore {
		if a.CutBefore {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(b.arrivedAt, a.arrivedAt),
		cmp.Compare(b.Call, a.Call))
}

// retryHeld tries held calls again after a slot or a circuit has become free. If exchange is set, no other
// exchange is tried as tandem: in a large mesh a scan of all tandems for each held call would cost too much.
// For the same reason a queue whose destination has no free slot is skipped as a whole.
func (c *Engine) retryHeld(exchange *exchangeState) {
	if c.own.slotsHeld >= windowSlots(c.own)+prioritySlots {
		return
	}
	c.queuedDestinations = slices.DeleteFunc(c.queuedDestinations,
		func(dest *exchangeState) bool { return len(dest.queue) == 0 })
	c.scanQueues, c.scanCalls = c.scanQueues[:0], c.scanCalls[:0]
	for _, dest := range c.queuedDestinations {
		if c.admissible(dest.queue) != nil {
			start := len(c.scanCalls)
			c.scanCalls = append(c.scanCalls, dest.queue...)
			c.scanQueues = append(c.scanQueues, c.scanCalls[start:])
		}
	}
	for {
		best := -1
		for i, rest := range c.scanQueues {
			rest = c.admissible(rest)
			if c.scanQueues[i] = rest; len(rest) > 0 &&
				(best < 0 || compareHeld(rest[0], c.scanQueues[best][0]) < 0) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		call := c.scanQueues[best][0]
		c.scanQueues[best] = c.scanQueues[best][1:]
		if target, _ := c.route(call, exchange); target != nil {
			c.placeCall(call)
		}
	}
}

// admissible returns the part of a queue that starts with the first call that may be sent now and finds free
// slots; nil if there is none.
func (c *Engine) admissible(queue []*callState) []*callState {
	for i, call := range queue {
		if call.phase != phaseHeld || c.now < call.notBefore {
			continue
		}
		if c.admits(c.exchanges[call.Destination], call) && c.admits(c.own, call) {
			return queue[i:]
		}
		if !call.CutBefore && call.worth <= c.lowestWorth { // the calls behind it have no priority either
			return nil
		}
	}
	return nil
}

// windowSlots returns the whole number of slots in the window of an exchange.
func windowSlots(exchange *exchangeState) int { return max(minSlots, int(exchange.window)) }

// admits reports whether an attempt of a call may take a slot at an exchange.
func (c *Engine) admits(exchange *exchangeState, call *callState) bool {
	if exchange.unresponsive { // only probe calls, one at a time
		return len(exchange.outstanding) == 0 && c.now >= exchange.nextProbeCall
	}
	limit := windowSlots(exchange)
	if c.hasPriority(call) {
		limit += prioritySlots
	}
	return exchange.slotsHeld < limit && c.now >= exchange.fullUntil && c.withinColdBudget(exchange)
}

// hasPriority reports whether a call may use prioritySlots: it is offered again after a cut, or its worth is
// above the lowest of all classes, and it is not of low priority.
func (c *Engine) hasPriority(call *callState) bool {
	return !call.lowPriority && (call.CutBefore || call.worth > c.lowestWorth)
}

// route chooses the exchange for the next attempt of a call; nil: none. mayHold reports whether the call may
// be held for a slot or a circuit. If onlyTandem is set, no other tandem is considered.
func (c *Engine) route(call *callState, onlyTandem *exchangeState) (target *exchangeState, mayHold bool) {
	dest := c.exchanges[call.Destination]
	if dest == nil || dest.health != Ready || slices.Contains(call.Excluded, dest.pointCode) {
		return nil, false
	}
	if call.attempts >= c.cfg.MaxAttempts || call.maybeExecuted && !c.cfg.Classes[call.Class].Repeatable {
		return nil, false
	}
	if call.Transit {
		if !dest.unresponsive && c.now >= dest.fullUntil && c.withinColdBudget(dest) &&
			(dest.groupSize < 0 || dest.freeCircuits >= call.Circuits+circuitReserve(dest)) {
			return dest, false
		}
		return nil, false
	}
	if n := c.numbers[call.Number]; n != nil && n.busyAt > 0 &&
		(n.outstanding > 0 || c.now < n.busyAt+minBackOff) {
		return nil, false
	}
	if !c.admits(dest, call) || !c.admits(c.own, call) {
		return nil, !dest.unresponsive
	}
	available := dest.freeCircuits
	if call.lowPriority {
		available -= circuitReserve(dest)
	}
	if dest.groupSize < 0 || available >= call.Circuits {
		return dest, true
	}
	if len(call.triedTandems) >= maxTandems || call.late {
		return nil, true
	}
	var best *exchangeState
	var bestRank uint64
	tandems := c.byPointCode
	if onlyTandem != nil {
		tandems = []*exchangeState{onlyTandem}
	}
	for _, tandem := range tandems {
		crankbacks := tandem.crankbacks[dest.pointCode]
		if tandem == dest || tandem.health != Ready || tandem.groupSize < 0 ||
			c.isCold(tandem) || !c.lightlyLoaded(tandem) || !c.admits(tandem, call) ||
			slices.Contains(call.triedTandems, tandem.pointCode) ||
			slices.Contains(call.Excluded, tandem.pointCode) ||
			tandem.freeCircuits < call.Circuits+circuitReserve(tandem) ||
			crankbacks.n > 0 && c.now < crankbacks.lastAt+crankbackBackOff {
			continue
		}
		// The lowest rank is chosen: the tandem of the last call to the destination, then the advised one,
		// then those with the fewest crankbacks, in an order that differs from call to call.
		rank := rand.NewPCG(c.cfg.Seed^call.Call, uint64(tandem.pointCode)).Uint64()>>8 +
			uint64(min(crankbacks.n+2, 255))<<56
		switch {
		case tandem.pointCode == dest.lastTandem && crankbacks.n <= 0:
			rank = 0
		case tandem.pointCode == call.AdvisedTandem:
			rank = 1
		}
		if best == nil || rank < bestRank {
			best, bestRank = tandem, rank
		}
	}
	return best, true
}

// circuitReserve returns the circuits of the group to an exchange that calls in transit, over a tandem or of
// low priority leave free (trunk reservation). In a small group two circuits would be a large part, and calls
// that need a tandem would find no route: there the reserve is smaller.
func circuitReserve(exchange *exchangeState) float64 {
	return min(reservedCircuits, math.Ceil(reservedShare*exchange.groupSize))
}

// sendSetUp starts an attempt and reports whether it did. No other function does, so these rules hold for
// every attempt: the call is held and not yet due, its guard has passed, it has attempts left, the exchange
// is ready and not the own one, the cold budget has room, and a call in transit goes to its destination only.
func (c *Engine) sendSetUp(call *callState, exchange *exchangeState) bool {
	if call.phase != phaseHeld || c.now >= call.Due || c.now < call.notBefore ||
		call.attempts >= c.cfg.MaxAttempts ||
		exchange.health != Ready || !c.withinColdBudget(exchange) ||
		call.Transit && exchange.pointCode != call.Destination || exchange == c.own {
		return false
	}
	timeOut := call.Due - c.now
	if !call.Transit {
		remaining := call.aimEnd - c.now
		// Where an exchange answers quickly but loses set-ups, the first attempt times out early enough for a
		// second one within the aim.
		firstTimeOut := max(minAttemptTimeOut, answerTimeMultiple*c.usualAnswerTime)
		if call.attempts == 0 && exchange.pointCode == call.Destination &&
			exchange.losses >= lossThreshold && c.lightlyLoaded(exchange) &&
			firstTimeOut+c.cfg.Guard+2*c.usualAnswerTime < remaining {
			remaining = firstTimeOut
		}
		timeOut = min(timeOut, max(minAttemptTimeOut, remaining))
		c.adjustSlots(exchange, 1)
		c.adjustSlots(c.own, 1)
		call.holdsSlot = true
	}
	call.phase, call.target, call.sentAt, call.countedUnanswered, call.alerted, call.attempts =
		phaseSettingUp, exchange, c.now, false, false, call.attempts+1
	if exchange.pointCode != call.Destination {
		call.triedTandems = append(call.triedTandems, exchange.pointCode)
	}
	if exchange.unresponsive {
		exchange.nextProbeCall = c.now + c.probeCallInterval
	}
	if number := c.numbers[call.Number]; number != nil {
		number.outstanding++
	}
	exchange.outstanding = append(exchange.outstanding, call)
	exchange.nextColdSend, exchange.recentSends =
		max(exchange.nextColdSend, c.now)+exchange.coldSendInterval, append(exchange.recentSends, c.now)
	exchange.sentInStep, exchange.freeCircuits = exchange.sentInStep+1, exchange.freeCircuits-call.Circuits
	c.emit(SetUp{Call: call.Call, Exchange: exchange.address, TimeOut: timeOut})
	return true
}

// adjustSlots takes (1) or releases (-1) a slot at an exchange and keeps account of the slots held over time.
// A change of 0 brings the account up to date.
func (c *Engine) adjustSlots(exchange *exchangeState, change int) {
	exchange.slotTime += time.Duration(exchange.slotsHeld) * (c.now - exchange.slotTimeUntil)
	exchange.slotTimeUntil, exchange.slotsHeld = c.now, exchange.slotsHeld+change
	exchange.peakSlotsHeld = max(exchange.peakSlotsHeld, exchange.slotsHeld)
}

// closeAttempt removes the outstanding attempt of a call, if there is one.
func (c *Engine) closeAttempt(call *callState) {
	if call.target == nil {
		return
	}
	if !call.alerted {
		call.target.outstanding = slices.DeleteFunc(call.target.outstanding,
			func(other *callState) bool { return other == call })
	}
	c.releaseSlots(call)
	if number := c.numbers[call.Number]; number != nil && number.outstanding > 0 {
		number.outstanding--
	}
	call.target = nil
}

// releaseSlots releases the slots that the outstanding attempt of a call still holds.
func (c *Engine) releaseSlots(call *callState) {
	if call.holdsSlot {
		c.adjustSlots(call.target, -1)
		c.adjustSlots(c.own, -1)
		call.holdsSlot = false
	}
}

// endCall ends a call, with its final answer if one is still owed. No other function sends final answers. The
// call fails if an attempt may have been carried out, otherwise it is refused.
func (c *Engine) endCall(call *callState, answerOwed bool) {
	if answerOwed && call.phase != phaseOver && call.phase != phaseEstablished {
		if call.maybeExecuted {
			c.emit(Fail{Call: call.Call})
		} else {
			// While the destination is full the caller is asked to stay away until its back-off ends. For
			// other causes no end is known.
			var wait time.Duration
			if exchange := c.exchanges[call.Destination]; exchange != nil {
				wait = max(0, exchange.fullUntil-c.now)
			}
			c.emit(Refuse{Call: call.Call, Wait: wait})
		}
		if !call.Transit {
			number := c.dialledNumber(call.Number)
			number.refusedAt, number.aimEnd = c.now, call.aimEnd
		}
	}
	c.dequeue(call)
	call.phase = phaseOver
	if call.target == nil { // the end of an outstanding attempt is still to come
		delete(c.calls, call.Call)
	}
}

// lightlyLoaded reports whether an exchange responds and its load reads more Low than Medium.
func (c *Engine) lightlyLoaded(exchange *exchangeState) bool {
	return !exchange.unresponsive && exchange.stepLoad <= (lowFull+mediumPeak)/2
}

// noteResponse records that an exchange has responded.
func (c *Engine) noteResponse(exchange *exchangeState) {
	if exchange.unresponsive { // others may have recovered too, as a whole region does: probe them all now
		for _, other := range c.byPointCode {
			other.nextProbeCall = c.now
		}
	}
	exchange.lastAnswerAt, exchange.unanswered, exchange.unresponsive = c.now, 0, false
}

// handleAlerting records that the processor's part of an attempt is over. The attempt stays outstanding, but
// ringing depends on the subscriber, so it holds no slot. An exchange may report alerting at once and do the
// work later: if it has reported a queueing delay, the slot is held for that time.
func (c *Engine) handleAlerting(ev Alerting) {
	call := c.calls[ev.Call]
	if call == nil || call.target == nil || call.alerted {
		return
	}
	exchange := call.target
	c.noteProcessorDone(call, ev.Exchange, ev.Delay)
	exchange.outstanding = slices.DeleteFunc(exchange.outstanding,
		func(other *callState) bool { return other == call })
	call.alerted = true
	// The answer passes the same queue as the set-up.
	remaining := max(call.sentAt+exchange.wait-c.now, exchange.wait-exchange.baseDelay)
	if remaining > c.fullLoadDelay/20 && call.holdsSlot && c.now-exchange.loadReportedAt <= reportMaxAge {
		c.emit(SetTimer{ID: call.Call, After: remaining})
		return
	}
	c.releaseSlots(call)
	c.retryHeld(nil)
}

// excessDelay returns the part of an answer delay that is beyond the base delay of the exchange. A shorter
// delay becomes the new base delay.
func (c *Engine) excessDelay(exchange *exchangeState, delay time.Duration) time.Duration {
	if exchange.baseDelay == 0 || delay < exchange.baseDelay {
		exchange.baseDelay = max(0, min(delay, c.fullLoadDelay/2))
	}
	return delay - exchange.baseDelay
}

// noteProcessorDone records what the end of the processor's part of an attempt, reported by the sender after
// the given delay, shows about the exchange that it went to.
func (c *Engine) noteProcessorDone(call *callState, sender string, delay time.Duration) {
	exchange, excess := call.target, delay
	sameMachine := exchange.address == sender
	if sameMachine {
		c.noteResponse(exchange)
		exchange.fullRejections, exchange.answeredInStep, c.own.answeredInStep =
			0, exchange.answeredInStep+1, c.own.answeredInStep+1
	}
	if sameMachine && exchange.pointCode == call.Destination && call.sentAt >= c.resumedAt {
		if excess -= c.ownWait; c.ownWaitReported() { // otherwise ownWait has the common base delay in it
			excess = c.excessDelay(exchange, excess)
		}
		c.addLoadSample(exchange, excess)
		c.directAnswers, c.minAnswerTime = c.directAnswers+1, min(c.minAnswerTime, delay)
		c.usualAnswerTime += (delay - c.usualAnswerTime) / 8
	} else if dest := c.exchanges[call.Destination]; dest != nil && dest != exchange {
		dest.lastTandem = exchange.pointCode
		exchange.crankbacks[dest.pointCode] = crankbackRecord{n: -1}
	}
}

// handleEstablished records that a call is answered.
func (c *Engine) handleEstablished(ev Established) {
	call := c.calls[ev.Call]
	if call == nil || call.target == nil {
		return
	}
	if !call.alerted {
		c.noteProcessorDone(call, ev.Exchange, ev.Delay)
	}
	// An answer over a tandem is a response of the destination. Alerting is none: a tandem may send it early.
	if dest := c.exchanges[call.Destination]; dest != nil && dest != call.target {
		c.noteResponse(dest)
	}
	c.closeAttempt(call)
	if call.phase == phaseSettingUp {
		call.phase = phaseEstablished
	}
	c.retryHeld(nil)
}

// handleAttemptEnded records how an attempt or an established call ended. A call without a final answer is
// tried again, held or ended.
func (c *Engine) handleAttemptEnded(ev AttemptEnded) {
	exchange := c.byAddress[ev.Exchange]
	if exchange != nil && ev.Report != nil {
		c.applyReport(exchange, ev.Report)
	}
	call := c.calls[ev.Call]
	if call == nil {
		return
	}
	direct := exchange != nil && exchange.pointCode == call.Destination
	outstanding := call.target != nil // an attempt; otherwise the call was established
	if outstanding && ev.Reason == ProcessorFull && ev.Cause != NotSent {
		c.noteFull(call.target, ev.Wait)
	}
	c.closeAttempt(call)
	if outstanding && exchange != nil && exchange.address == ev.Exchange { // not a machine that was replaced
		c.noteOutcome(call, exchange, direct, ev)
	}
	if ev.Final || call.phase != phaseSettingUp {
		call.phase = max(call.phase, phaseEstablished)
		c.endCall(call, false)
		c.retryHeld(nil)
		return
	}
	call.phase = phaseHeld
	retry := true
	switch ev.Cause {
	case TimedOut, Reset, Cancelled: // circuits of the attempt may still be seized until the guard has passed
		call.maybeExecuted = true
		call.notBefore = c.now + c.cfg.Guard
		retry = ev.Cause != TimedOut ||
			!call.alerted && (!direct || c.lightlyLoaded(exchange) && exchange.losses >= lossThreshold)
	case Failed:
		call.maybeExecuted = true
		retry = ev.Reason != NumberBusy && ev.Reason != NoAnswer
	case NoContact:
		retry = !direct
	case NotSent:
		retry = ev.Reason == NoCircuit
	case NotSetUp:
		// A full destination is not tried again, neither directly nor over a tandem.
		retry = ev.Reason != CrankbackFull &&
			!(ev.Reason == ProcessorFull && direct && c.now < exchange.fullUntil)
	}
	if retry && !call.Transit && c.now < call.Due-answerMargin {
		c.placeCall(call)
	} else {
		c.endCall(call, true)
	}
	c.retryHeld(nil)
}

// noteOutcome records what an ended attempt shows about the exchange, the destination and the number.
func (c *Engine) noteOutcome(call *callState, exchange *exchangeState, direct bool, ev AttemptEnded) {
	switch ev.Cause {
	case Completed, Failed, NotSetUp:
		c.noteResponse(exchange)
	case TimedOut, NoContact:
		// A time-out shorter than an answer may take shows nothing, nor does one while the number rings.
		inconclusive := ev.Cause == TimedOut &&
			(call.alerted || c.now-call.sentAt < answerTimeMultiple*c.usualAnswerTime)
		if direct && !call.countedUnanswered && !inconclusive {
			c.noteUnanswered(exchange, call.sentAt)
		} else if !direct && !inconclusive {
			// The tandem or the destination is at fault: the tandem is skipped for it as after a crankback.
			c.noteCrankback(exchange, call.Destination)
		}
	}
	if ev.Cause == NotSent && ev.Reason == NoCircuit {
		exchange.freeCircuits = min(exchange.freeCircuits, call.Circuits-1)
	}
	switch ev.Reason {
	case ProcessorFull:
		if ev.Cause != NotSent {
			c.addLoadSample(exchange, c.shortestAim)
		}
	case CrankbackFull:
		c.addLoadSample(c.exchanges[call.Destination], c.shortestAim)
		fallthrough
	case Crankback:
		c.noteCrankback(exchange, call.Destination)
	case NumberBusy:
		c.dialledNumber(call.Number).busyAt = c.now
	}
}

// noteFull records that the processor of an exchange rejected a set-up because it was full. A lightly loaded
// exchange that rejects one now and then is not full: a back-off would stop all calls to it for a second.
func (c *Engine) noteFull(exchange *exchangeState, wait time.Duration) {
	if exchange.fullRejections++; wait > 0 ||
		exchange.fullRejections >= fullAfterRejections || !c.lightlyLoaded(exchange) {
		exchange.fullUntil = c.now + max(minBackOff, wait)
	}
}

// noteCrankback records that an exchange, as tandem, did not carry a call to a destination.
func (c *Engine) noteCrankback(exchange *exchangeState, destination int) {
	exchange.crankbacks[destination] = crankbackRecord{max(0, exchange.crankbacks[destination].n) + 1, c.now}
}

// dialledNumber returns the state of a dialled number and creates it if needed.
func (c *Engine) dialledNumber(key string) *dialledNumber {
	number := c.numbers[key]
	if number == nil {
		number = &dialledNumber{}
		if key != "" { // calls without a number share no state
			c.numbers[key] = number
		}
	}
	return number
}

// noteUnanswered records that a set-up, sent to an exchange at the given time, has had no answer.
func (c *Engine) noteUnanswered(exchange *exchangeState, sentAt time.Duration) {
	if exchange.lastAnswerAt >= sentAt {
		if c.lightlyLoaded(exchange) { // others were answered, and quickly: this one was lost
			exchange.losses++
		}
		if exchange.losses < lossThreshold { // lasting losses are no sign of load
			c.addLoadSample(exchange, c.shortestAim)
		}
		return
	}
	if exchange.unanswered++; exchange.unanswered >= unresponsiveAfter && !exchange.unresponsive {
		exchange.unresponsive, exchange.nextProbeCall = true, c.now+c.probeCallInterval
	}
}

// applyReport takes over a status report of an exchange.
func (c *Engine) applyReport(exchange *exchangeState, report *Report) {
	if report.Free >= 0 && report.Size >= 0 {
		exchange.freeCircuits, exchange.groupSize = report.Free, report.Size
	}
	load := report.Utilisation
	if report.Wait >= 0 {
		// A wait longer than the time since the last stall of the controller includes that stall.
		if wait := time.Duration(report.Wait * float64(time.Second)); wait <= c.now-c.resumedAt ||
			c.resumedAt == 0 {
			exchange.wait = wait
			load = max(load, min(1, max(0, wait-exchange.baseDelay).Seconds()/c.fullLoadDelay.Seconds()))
		}
	} else if report.Queue >= 0 && report.Rate > 0 {
		load = max(load, min(1, report.Queue/report.Rate/c.fullLoadDelay.Seconds()))
	}
	if load = max(load, report.Reduction); load >= 0 {
		exchange.load, exchange.loadReportedAt = load, c.now
	}
}

// ownWaitReported reports whether the queueing delay at the own processor is known from recent reports.
// Otherwise it is estimated from answers.
func (c *Engine) ownWaitReported() bool {
	return c.own.loadReportedAt > 0 && c.now-c.own.loadReportedAt <= reportMaxAge
}

// resizeWindows is one step: it updates the averages and resizes every window, in the order of point codes.
func (c *Engine) resizeWindows() {
	ownWaitReported := c.ownWaitReported()
	if ownWaitReported {
		c.ownWait = c.own.wait
	} else if c.directAnswers >= 2 { // the delay that all answers have in common counts as own wait
		c.ownWait = c.minAnswerTime
	}
	c.directAnswers, c.minAnswerTime = 0, math.MaxInt64
	var usualRate, rateCount float64
	for _, exchange := range c.byPointCode {
		// A set-up is counted as unanswered once: here when it is overdue, otherwise at its time-out.
		for _, call := range exchange.outstanding {
			age := (c.now - call.sentAt - c.ownWait).Seconds()
			if exchange.pointCode == call.Destination && !call.countedUnanswered &&
				age > overdueShare*c.shortestAim.Seconds() {
				call.countedUnanswered = true
				c.noteUnanswered(exchange, call.sentAt)
			}
		}
		for len(exchange.recentSends) > 0 && exchange.recentSends[0] <= c.now-c.cfg.CrashSpan {
			exchange.recentSends = exchange.recentSends[1:]
		}
		if exchange.health == Ready && !exchange.unresponsive && !c.isCold(exchange) {
			exchange.rateSteps++
			exchange.usualRate += (float64(exchange.sentInStep)/stepInterval.Seconds() - exchange.usualRate) *
				max(usualRateWeight, 1/exchange.rateSteps)
		}
		usualRate, rateCount = usualRate+exchange.usualRate, rateCount+min(1, exchange.rateSteps)
		exchange.sentInStep, exchange.losses, exchange.baseDelay =
			0, exchange.losses*lossDecay, exchange.baseDelay+exchange.baseDelay/baseDelayGrowthDivisor
		c.resizeWindow(exchange)
	}
	c.usualRate = usualRate / max(1, rateCount)
	c.own.loadSamples, c.own.loadSum = 0, 0
	if !ownWaitReported {
		c.addLoadSample(c.own, c.excessDelay(c.own, c.ownWait))
		c.own.baseDelay += c.own.baseDelay / baseDelayGrowthDivisor
	} else { // own slots count only while the set-up waits here, not while it waits at a far processor
		c.own.slotTime, c.own.slotTimeUntil = time.Duration(c.own.answeredInStep)*c.own.wait, c.now
	}
	c.resizeWindow(c.own)
	if ownWaitReported && c.own.stepLoad <= lowFull { // it can carry what the far windows admit
		var windowSum float64
		for _, exchange := range c.byPointCode {
			windowSum += exchange.window
		}
		c.own.window = max(c.own.window, windowSum)
	}
	for key, number := range c.numbers {
		if number.outstanding == 0 && c.now > max(number.busyAt, number.refusedAt)+numberRetention {
			delete(c.numbers, key)
		}
	}
	c.retryHeld(nil)
}

// resizeWindow is the step of one window: Wmax += dW * Wmax, with dW from Table I.
func (c *Engine) resizeWindow(exchange *exchangeState) {
	c.adjustSlots(exchange, 0)
	exchange.meanSlotsHeld[1], exchange.meanSlotsHeld[0] =
		exchange.meanSlotsHeld[0], exchange.slotTime.Seconds()/stepInterval.Seconds()
	peakSlotsHeld := exchange.peakSlotsHeld
	exchange.slotTime, exchange.peakSlotsHeld = 0, exchange.slotsHeld
	defer func() { exchange.answeredInStep = 0 }()
	load := 0.0
	if exchange.loadSamples > 0 {
		load = exchange.loadSum / exchange.loadSamples
	}
	if exchange.loadReportedAt > 0 && c.now-exchange.loadReportedAt <= reportMaxAge {
		load = max(load, exchange.load)
	}
	exchange.loadSamples, exchange.loadSum =
		exchange.loadSamples*evidenceDecay, exchange.loadSum*evidenceDecay
	exchange.stepLoad = load
	if exchange.unresponsive { // missing answers show no load: the window is kept until it responds again
		return
	}
	slotCount := float64(windowSlots(exchange))
	base := slotCount
	if load < mediumPeak {
		// The share of slots held is taken of the window, but at least of two other sizes. One is the
		// initial window: after a short disturbance has cut a window, all of its few slots are held. That
		// share would read High, and Table I would keep the window small. The other is the number of
		// set-ups outstanding when the exchange answers them at the rate of this step and with a delay that
		// reads Medium (Little's law). Without it, demand beyond the window would read High and Table I
		// would cut the window down to its initial size, though the exchange can carry more.
		rate := float64(exchange.answeredInStep) / stepInterval.Seconds()
		base = max(slotCount, exchange.initialWindow,
			rate*(exchange.baseDelay.Seconds()+mediumPeak*c.fullLoadDelay.Seconds()))
	}
	change := deltaW(load, min(1, (exchange.meanSlotsHeld[0]+exchange.meanSlotsHeld[1])/2/base))
	if change > 0 && float64(peakSlotsHeld) < slotCount-1 {
		return // it grows only when its slots were nearly all used
	}
	ceiling := maxWindow
	if exchange == c.own { // every set-up passes the own processor
		ceiling *= float64(max(1, len(c.byPointCode)))
	}
	exchange.window = min(ceiling, max(minSlots, exchange.window*(1+change)))
}

// tableI is Table I: rows by load, columns by share of slots held, each in the order Low, Medium, High.
var tableI = [3][3]float64{
	{increase, slowIncrease, slowDecrease},
	{slowIncrease, noChange, decrease},
	{slowDecrease, decrease, fastDecrease},
}

// memberships returns the degrees to which a reading is Low, Medium and High.
func memberships(reading float64) [3]float64 {
	ramp := func(from, to float64) float64 { return min(1, max(0, (reading-from)/(to-from))) }
	low, high := 1-ramp(lowFull, mediumPeak), ramp(mediumPeak, highFull)
	return [3]float64{low, min(ramp(lowFull, mediumPeak), 1-high), high}
}

// deltaW returns the relative change of a window by Mamdani inference: a rule fires to the smaller degree of
// its two memberships, an output gets the greatest degree of its rules, and the result is the mean of the
// outputs weighted by these degrees.
func deltaW(load, heldShare float64) float64 {
	loadGrades, heldGrades := memberships(load), memberships(heldShare)
	outputs := [...]float64{fastDecrease, decrease, slowDecrease, noChange, slowIncrease, increase}
	var sum, weight float64
	for _, output := range outputs {
		var fired float64
		for i := range tableI {
			for j := range tableI[i] {
				if tableI[i][j] == output {
					fired = max(fired, min(loadGrades[i], heldGrades[j]))
				}
			}
		}
		sum, weight = sum+fired*output, weight+fired
	}
	return sum / weight
}
