// Package controller implements one call controller without I/O: it is driven by received frames and the current
// time, and hands the frames to send to a Port. It keeps the call table, the circuits and the timers, reports each
// event to package policy and carries out the resulting actions. Routes, windows, the holding of calls, refusals and
// further attempts are decided by package policy alone.
//
// docs/design/controller.md describes the surrounding network and the handling of each message.
package controller

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/umbergauge/umbergauge/admission"
	"github.com/umbergauge/umbergauge/hooks"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/numbering"
	"github.com/umbergauge/umbergauge/policy"
	"github.com/umbergauge/umbergauge/script"
	"github.com/umbergauge/umbergauge/timer"
	"github.com/umbergauge/umbergauge/trunk"
)

// Config holds the settings of a controller.
type Config struct {
	PointCode uint32
	Network   byte          // network indicator in DATA messages
	Policy    policy.Config // Self is set from PointCode
	Exchanges []Exchange    // all exchanges, the own one included
	Classes   []Class       // in the order of Policy.Classes
	Tenants   []string      // names, in the order of Policy.Tenants

	AnswerMargin time.Duration // a final answer is sent this long before the caller abandons the call, to allow for its transmission
	CutMemory    time.Duration // how long a cut call is remembered, to recognise it when the caller dials again
	Hops         byte          // hop counter of a call that arrives without one
	MaxCalls     int           // limit of open calls; further ones are refused with cause 42
	Trunk        trunk.Timers
	ClientT1     time.Duration // interval of up to five retransmissions of REL to a client that does not send RLC
	T7           time.Duration // longest wait of a set-up for ACM, ANM or CON (Q.764, annex A); 0: 20 s
	T9           time.Duration // longest wait of a ringing call for ANM; 0: 90 s

	// Recovery is T(r): how long the calls of an application server survive the loss of its last association.
	// RecoveryOctets bounds the messages that are queued for it meanwhile.
	Recovery       time.Duration
	RecoveryOctets int

	// Admission limits the calls of each client and of all clients before they reach the policy engine, TenantAdmission
	// those of each tenant.
	Admission       admission.Config
	TenantAdmission admission.Limits

	// Hooks runs the scripts' hooks; nil: there are none.
	Hooks Hooks
	// HookDeadline is how long a call waits for the result of its hooks before it proceeds without them.
	HookDeadline time.Duration

	// Engine makes the policy engine; nil: policy.New. Others serve only as baselines in simulated scenarios.
	Engine func(policy.Config) (Engine, error)
}

// Hooks runs scripts outside the controller's goroutine. Its methods don't block.
type Hooks interface {
	// Live returns the hook set that new calls use, or nil.
	Live() *hooks.Set
	// Submit queues an event for the hooks of a set; their result, if any, is passed to Core.Advise. false: the queue is full.
	Submit(request HookRequest) bool
}

// HookRequest asks for one run of a call's hooks.
type HookRequest struct {
	Call  uint64
	Seq   uint32 // distinguishes the requests of one call
	Set   *hooks.Set
	Kind  string // script.Arrival, which includes script.Route, or script.AttemptEnd
	Event script.Event
}

// Engine makes the decisions on calls. In production it is *policy.Engine.
type Engine interface {
	// Handle handles an event and appends the resulting actions to out.
	Handle(now time.Duration, event policy.Event, out []policy.Action) []policy.Action
	// View appends the state of each exchange to out, the own one first.
	View(out []policy.View) []policy.View
}

// Exchange describes one exchange of the settings.
type Exchange struct {
	PointCode uint32
	Name      string
	Address   string   // of its switch
	Circuits  int      // size of the trunk group to it; 0: no trunk group
	Prefixes  []string // prefixes of the numbers that it serves
}

// Class describes how a call class appears in signalling, and how long its callers wait.
type Class struct {
	Name       string
	Categories []isup.Category // calling party's categories of the class; categories listed in no class belong to the first
	Patience   time.Duration   // callers abandon a call after this, unless it rings by then
	Ring       time.Duration   // how long callers let it ring; 0: 60 s
}

// AssocID identifies an association.
type AssocID uint32

// PeerKind is the kind of peer of an association.
type PeerKind uint8

// The kinds of peers.
const (
	Client    PeerKind = iota
	FarSwitch          // the switch of another exchange
	OwnSwitch          // the switch of the own exchange
)

// Peer describes the other end of an association.
type Peer struct {
	Kind    PeerKind
	PC      uint32 // of a switch: its point code
	Address string // of a switch: the address that was connected to
	Tenant  int    // of a client: index into Config.Tenants
	Name    string
	// ASP is a client's ASP identifier. With Override (RFC 4666, 4.3.4.3) the association replaces every other one with
	// that identifier: a client sets it when it reconnects while its old connection may be half-open.
	ASP      uint32
	Override bool
	// Server names the application server of a client with several associations, and Mode is its traffic mode. Empty: the
	// client has this association only, and its calls end when it is lost.
	Server string
	Mode   uint32
}

// Port sends a controller's frames and receives its notifications. Its methods don't block.
type Port interface {
	// Send copies and queues a frame; false: the queue is full or the association is closed.
	Send(id AssocID, frame []byte) bool
	// Unsent removes and returns the frames of a lost association that were queued but never passed to its connection.
	Unsent(id AssocID) []byte
	// Close closes an association that can no longer be used; Core.AssocDown is called afterwards.
	Close(id AssocID, reason string)
	// CallEnded reports each call that has been answered or has ended.
	CallEnded(e CallRecord)
	// ExchangeChanged reports each change in the list of exchanges.
	ExchangeChanged(e policy.Entry, cold bool)
}

// Outcome is the result of a call.
type Outcome uint8

// The outcomes.
const (
	Answered  Outcome = iota // answered: the call is established
	Refused                  // refused by the policy engine or a hook, or not routable
	Failed                   // failed by the policy engine, after an attempt that may have been carried out
	Abandoned                // released by the caller, or the caller's association lost, before an answer
	Finished                 // established, then released normally
	Cut                      // established, then lost to a fault
)

// String returns the outcome's name in metric labels and log lines.
func (outcome Outcome) String() string {
	return [...]string{"stands", "refused", "failed", "left", "finished", "cut"}[outcome]
}

// CallRecord reports that a call has been answered or has ended.
type CallRecord struct {
	Outcome  Outcome
	Call     uint64
	Class    int
	Tenant   int
	Transit  bool
	Called   isup.Number
	To       uint32 // destination exchange
	Via      uint32 // exchange of the last attempt; 0: no attempt was made
	Attempts int
	Cause    isup.Cause
	After    time.Duration // time since the call arrived
	SetUp    time.Duration // of an answered call: time until it rang, or until the answer if no ACM or CPG came
	Calling  isup.Number
	Category isup.Category
	Set      *hooks.Set // the call's hook set, or nil
	Tags     []string   // set by the hooks
}

// Counters are totals since the start. They are written out as JSON under their field names.
type Counters struct {
	Offered, Transit, Attempts, Established, Refused, Failed                    uint64
	Abandoned                                                                   uint64 `json:"Left"`
	Finished, Cut                                                               uint64
	TimedOut, NoContact, NotSent, LateAnswers, Malformed, Unexpected, QueueFull uint64
	Alerted, NoAnswer, Pending                                                  uint64
	NotAdmitted                                                                 uint64 `json:"KeptOut"`
	HookAsked, HookLate, HookBusy, HookRefused                                  uint64
}

// phase is the progress of an open call.
type phase uint8

const (
	phaseOffered phase = iota // no final answer yet
	phaseEstablished
	phaseEnded
)

// openCall is the state of an open call, from a client or in transit.
type openCall struct {
	id              uint64
	clientCircuit   *clientCircuit // the client's circuit; nil in transit
	inExchange      *farExchange   // in transit: the exchange whose trunk group the call came in on
	inCIC           uint16
	class           int
	tenant          int
	phase           phase
	iam             isup.Message // the IAM to send, except for circuit, hop counter and delay
	destination     uint32
	arrivedAt       time.Duration
	earlierDelay    time.Duration // delay that the call already had when it arrived
	attempts        int
	outExchange     *farExchange // exchange of the outstanding attempt or of the established call
	outCIC          uint16
	sentAt          time.Duration
	attemptTimer    timer.Handle
	via             uint32
	cutBefore       bool              // the caller dials again after an established call was cut
	limits          *admission.Client // the client's state in the limiter; nil in transit
	admissionTenant int               // the client's tenant, which the limits count it for even if hooks change tenant
	progressSent    bool              // ACM has been sent towards the caller
	alerting        bool              // the outstanding attempt has passed ACM: the far processor's part is done
	ringingSince    time.Duration     // when ringing was first reported to the caller; 0: not yet
	cause           isup.Cause
	location        isup.Location

	hookSet   *hooks.Set // the hook set of its arrival, or nil
	hookWait  hookWait
	hookSeq   uint32
	hookTimer timer.Handle // the hooks' deadline
	tags      []string
}

// hookWait is the kind of hooks that a call waits for.
type hookWait uint8

const (
	hookWaitNone       hookWait = iota
	hookWaitArrival             // the policy engine does not know the call yet
	hookWaitAttemptEnd          // the attempt has ended and its circuit is free, but the policy engine has not been notified
)

// clientCircuit is one circuit of a client that is in use or being released.
type clientCircuit struct {
	association     *association
	opc             uint32
	cic             uint16
	openCall        *openCall // nil: REL has been sent and RLC is awaited
	cause           isup.Cause
	retransmissions int
	timer           timer.Handle
	// congestion is the automatic congestion level in its REL; 0: none
	congestion byte
}

// association is the state kept for an association that is up.
type association struct {
	id          AssocID
	peer        Peer
	farExchange *farExchange
	circuits    map[uint64]*clientCircuit // of a client
	limits      *admission.Client
	// appServer is set for a client with several associations, which share circuits and limits; nil: it has only this one.
	appServer *appServer
}

// appServer is the state of a client with several associations.
type appServer struct {
	name       string
	as         *m3ua.AS
	firstAssoc *association // its circuits, limits and tenant are those of all
	timer      timer.Handle
}

// farExchange is the state of another exchange and of the trunk group to it.
type farExchange struct {
	Exchange
	index       int
	association *association
	group       *trunk.Group // nil: no group
	dirty       bool         // its circuits have changed since the policy engine was last notified
	health      policy.Health
	// startedAt is the start time reported to the policy engine. mayHaveRestarted: signalling was lost since then, so the
	// switch may have restarted.
	startedAt        time.Duration
	mayHaveRestarted bool
	knowsCalls       bool // since signalling came up it has reported an established call of ours
	reached          bool // an association to it has been up before
	// releaseSentAt is when REL was sent on a circuit, by CIC. releaseDelay is the smoothed time until the switch answers
	// with RLC, which depends on its processor alone and on no subscriber. releaseDelayChanged: the policy engine has not
	// been notified of it.
	releaseSentAt       []time.Duration
	releaseDelay        time.Duration
	releaseDelayChanged bool
}

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	timerPolicy timerKind = iota
	timerAttempt
	timerTrunk
	timerClientRelease
	timerHooks
	timerRecovery
)

// timerEvent is the content of a timer in the timer wheel.
type timerEvent struct {
	kind          timerKind
	seq           uint32
	id            uint64
	farExchange   *farExchange
	trunkTimer    trunk.TimerID
	clientCircuit *clientCircuit
	appServer     *appServer
}

// numberPair is the calling and called number of a call.
type numberPair struct{ calling, called isup.Number }

// cutCall is a call that was cut, with the time.
type cutCall struct {
	numberPair
	at time.Duration
}

// Core is one call controller. All its methods must be called from one goroutine.
type Core struct {
	Counters Counters

	cfg                  Config
	port                 Port
	engine               Engine
	now                  time.Duration
	wheel                *timer.Wheel[timerEvent]
	calls                map[uint64]*openCall
	lastID               uint64
	waiting              int // calls that have no final answer yet
	numbers              numbering.Table[uint32]
	farExchanges         []*farExchange
	byPC                 map[uint32]*farExchange
	byAddress            map[string]*farExchange
	assocs               map[AssocID]*association
	servers              map[string]*appServer
	routeBuffer          []uint32 // reused
	limits               *admission.Limiter
	tenantLimits         *admission.Limiter
	tenantClients        []*admission.Client // in tenantLimits, by tenant
	ownSwitch            *association
	classByCategory      [256]uint8
	dirty                []*farExchange // exchanges whose circuits have changed since the last Flush
	events               []policy.Event
	actions              []policy.Action
	handled              int // number of entries of events that have been passed to the engine
	dispatching          bool
	draining             bool
	cutCalls             map[numberPair]time.Duration
	cutCallOrder         []cutCall
	frameBuffer          []byte       // reused for each frame
	userBuffer           []byte       // reused for each ISUP message
	decoded              isup.Message // the message being handled; reused
	freeCalls            []*openCall  // for reuse
	ringing              int
	ownAddress           string
	queueDelaySum        time.Duration // sum of the event-queue delays since the last report
	queueDelayCount      int           // number of events in queueDelaySum
	queueDelayReportedAt time.Duration
	ownReduction         float64 // share by which the own switch asks to reduce set-ups, from its last SCON
}

// New makes a controller. now is the current time, which must be above zero.
func New(cfg Config, port Port, now time.Duration) (*Core, error) {
	cfg.Policy.Self = int(cfg.PointCode)
	var engine Engine
	var err error
	if cfg.Engine != nil {
		engine, err = cfg.Engine(cfg.Policy)
	} else {
		engine, err = policy.New(cfg.Policy)
	}
	if err != nil {
		return nil, err
	}
	if len(cfg.Classes) != len(cfg.Policy.Classes) {
		return nil, errors.New("number of classes differs from that of the policy's classes")
	}
	if cfg.MaxCalls <= 0 {
		cfg.MaxCalls = math.MaxInt32
	}
	setDefault := func(target *time.Duration, value time.Duration) {
		if *target <= 0 {
			*target = value
		}
	}
	setDefault(&cfg.ClientT1, 15*time.Second)
	setDefault(&cfg.T7, 20*time.Second)
	setDefault(&cfg.T9, 90*time.Second)
	setDefault(&cfg.Trunk.T1, 15*time.Second)
	cfg.Classes = slices.Clone(cfg.Classes)
	for i := range cfg.Classes {
		setDefault(&cfg.Classes[i].Ring, time.Minute)
	}
	c := &Core{cfg: cfg, port: port, engine: engine, now: now, wheel: timer.New[timerEvent](now, time.Millisecond),
		calls: map[uint64]*openCall{}, byPC: map[uint32]*farExchange{}, byAddress: map[string]*farExchange{}, assocs: map[AssocID]*association{}, servers: map[string]*appServer{},
		cutCalls: map[numberPair]time.Duration{}}
	c.limits, c.tenantLimits = admission.New(cfg.Admission), admission.New(admission.Config{Client: cfg.TenantAdmission})
	for range cfg.Tenants {
		c.tenantClients = append(c.tenantClients, c.tenantLimits.AddClient(now))
	}
	for i, class := range cfg.Classes {
		for _, category := range class.Categories {
			c.classByCategory[category] = uint8(i)
		}
	}
	if err := c.applyExchanges(cfg.Exchanges); err != nil {
		return nil, err
	}
	entries := make([]policy.Entry, 0, len(c.farExchanges))
	for _, far := range c.farExchanges {
		entries = append(entries, far.entry())
	}
	for _, exchange := range cfg.Exchanges {
		if exchange.PointCode == cfg.PointCode {
			c.ownAddress = exchange.Address
			entries = append(entries, policy.Entry{Address: exchange.Address, PointCode: int(exchange.PointCode)})
		}
	}
	c.dispatch(policy.List{Full: true, Entries: entries})
	return c, nil
}

// applyExchanges applies the exchanges of the settings. Exchanges that exist already keep their trunk groups and calls.
func (c *Core) applyExchanges(exchanges []Exchange) error {
	var numbers numbering.Table[uint32]
	for _, exchange := range exchanges {
		for _, prefix := range exchange.Prefixes {
			if err := numbers.Add(prefix, exchange.PointCode); err != nil {
				return fmt.Errorf("exchange %d: %w", exchange.PointCode, err)
			}
		}
	}
	for _, exchange := range exchanges {
		if exchange.PointCode == c.cfg.PointCode {
			continue
		}
		far := c.byPC[exchange.PointCode]
		if far == nil {
			far = &farExchange{Exchange: exchange, index: len(c.farExchanges)}
			if exchange.Circuits > 0 {
				g, err := trunk.New(c.cfg.Trunk, c.cfg.PointCode, exchange.PointCode, exchange.Circuits)
				if err != nil {
					return err
				}
				far.group, far.releaseSentAt = g, make([]time.Duration, exchange.Circuits+1)
			}
			c.farExchanges = append(c.farExchanges, far)
			c.byPC[exchange.PointCode] = far
			c.byAddress[exchange.Address] = far
		}
		far.Name, far.Prefixes = exchange.Name, exchange.Prefixes
		c.markDirty(far)
	}
	c.numbers = numbers
	return nil
}

// Reload applies changed settings of exchanges: names, prefixes and new exchanges. A changed size of a trunk group or a
// missing exchange is an error, and nothing is changed then.
func (c *Core) Reload(now time.Duration, exchanges []Exchange) error {
	c.now = now
	for _, far := range c.farExchanges {
		i := slices.IndexFunc(exchanges, func(exchange Exchange) bool { return exchange.PointCode == far.PointCode })
		if i < 0 {
			return fmt.Errorf("exchange %d is missing: removing it requires a drain and a restart", far.PointCode)
		}
		if exchanges[i].Circuits != far.Circuits {
			return fmt.Errorf("exchange %d: changing the size of its trunk group requires a restart", far.PointCode)
		}
	}
	known := len(c.farExchanges)
	if err := c.applyExchanges(exchanges); err != nil {
		return err
	}
	var entries []policy.Entry
	for _, far := range c.farExchanges[known:] {
		far.startedAt, far.mayHaveRestarted = now, true // its start time is unknown, so it is treated as cold
		entries = append(entries, far.entry())
	}
	c.listChanged(entries...)
	return nil
}

// listChanged notifies the policy engine and the hooks of changes in the list of exchanges.
func (c *Core) listChanged(entries ...policy.Entry) {
	if len(entries) == 0 {
		return
	}
	c.dispatch(policy.List{Entries: entries})
	for _, entry := range entries {
		c.port.ExchangeChanged(entry, entry.StartedAt > 0 && c.now < entry.StartedAt+c.cfg.Policy.WarmUp)
	}
}

func (far *farExchange) entry() policy.Entry {
	return policy.Entry{Address: far.Address, PointCode: int(far.PointCode), Health: far.health, StartedAt: far.startedAt}
}

// Next returns the time at which Tick is due; false: no timer is set.
func (c *Core) Next() (time.Duration, bool) { return c.wheel.Next() }

// Tick advances the time and handles the timers that have expired.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	c.wheel.Advance(now, func(event timerEvent) {
		switch event.kind {
		case timerPolicy:
			c.dispatch(policy.Timer{ID: event.id})
		case timerAttempt:
			if call := c.calls[event.id]; call != nil && call.phase == phaseOffered && call.outExchange != nil {
				if call.alerting { // T9, or the end of Class.Ring
					c.Counters.NoAnswer++
					c.releaseOutgoing(call, isup.CauseNoAnswer)
					c.endAttempt(call, policy.TimedOut, policy.NoAnswer, false)
					break
				}
				c.Counters.TimedOut++
				c.releaseOutgoing(call, isup.CauseTimerExpiry)
				c.endAttempt(call, policy.TimedOut, policy.NoReason, false)
			}
		case timerTrunk:
			event.farExchange.group.TimerExpired(event.trunkTimer)
			c.runGroupActions(event.farExchange)
		case timerClientRelease:
			c.retransmitRelease(event.clientCircuit)
		case timerHooks:
			c.hooksTimedOut(event.id, event.seq)
		case timerRecovery:
			if event.appServer.as.Expire(c.now) {
				c.closeServer(event.appServer)
			}
		}
	})
}

// Flush notifies the policy engine of the trunk groups that have changed and, every queueDelayReportInterval, of the own
// load. It is called after each batch of events, so that no change stays unreported.
func (c *Core) Flush(now time.Duration) {
	c.now = now
	for i := 0; i < len(c.dirty); i++ { // the policy engine may seize circuits meanwhile and extend the list
		far := c.dirty[i]
		far.dirty = false
		report := far.groupReport()
		if far.releaseDelayChanged {
			report.Wait, far.releaseDelayChanged = far.releaseDelay.Seconds(), false
		}
		c.dispatch(policy.Status{Exchange: far.Address, OK: true, Report: report})
	}
	c.dirty = c.dirty[:0]
	if c.ownAddress != "" && now >= c.queueDelayReportedAt+queueDelayReportInterval {
		c.queueDelayReportedAt = now
		report := unknownReport
		report.Wait, report.Reduction = (c.queueDelaySum / time.Duration(max(1, c.queueDelayCount))).Seconds(), c.ownReduction
		c.queueDelaySum, c.queueDelayCount = 0, 0
		c.dispatch(policy.Status{Exchange: c.ownAddress, OK: true, Report: report})
	}
}

// queueDelayReportInterval is how often the event-queue delay is reported to the policy engine.
const queueDelayReportInterval = 500 * time.Millisecond

// RecordQueueDelay adds the event-queue delay of n events: the sum of their waits for the decision goroutine.
func (c *Core) RecordQueueDelay(sum time.Duration, n int) {
	c.queueDelaySum, c.queueDelayCount = c.queueDelaySum+sum, c.queueDelayCount+n
}

// unknownReport is a report whose values are all unknown.
var unknownReport = policy.Report{Free: -1, Size: -1, Utilisation: -1, Queue: -1, Rate: -1, Wait: -1, Reduction: -1}

// groupReport reports the circuits of the trunk group; an exchange without one has none free.
func (far *farExchange) groupReport() policy.Report {
	report := unknownReport
	if far.group != nil {
		report.Free, report.Size = float64(far.group.Free()), float64(far.group.Size())
	} else {
		report.Free, report.Size = 0, 0
	}
	return report
}

// markDirty makes the next Flush report the exchange's circuits.
func (c *Core) markDirty(far *farExchange) {
	if !far.dirty {
		far.dirty = true
		c.dirty = append(c.dirty, far)
	}
}

// dispatch passes events to the policy engine, one after the other, and carries out the resulting actions. A dispatch that
// runs within another one only queues its event. A panic leaves the outer dispatch only after the events queued behind the
// failed one have been handled, because other calls depend on them.
func (c *Core) dispatch(event policy.Event) {
	c.events = append(c.events, event)
	if c.dispatching {
		return
	}
	c.dispatching = true
	defer func() {
		for c.handled < len(c.events) {
			func() {
				defer func() { recover() }()
				c.dispatchPending()
			}()
		}
		c.dispatching, c.events, c.handled = false, c.events[:0], 0
	}()
	c.dispatchPending()
}

// dispatchPending passes the queued events to the policy engine.
func (c *Core) dispatchPending() {
	for c.handled < len(c.events) {
		event := c.events[c.handled]
		c.handled++
		c.actions = c.engine.Handle(c.now, event, c.actions[:0])
		for _, action := range c.actions {
			switch action := action.(type) {
			case policy.SetUp:
				c.setUp(action)
			case policy.Refuse:
				c.reject(action.Call, Refused)
			case policy.Fail:
				c.reject(action.Call, Failed)
			case policy.SetTimer:
				c.wheel.Set(c.now+action.After, timerEvent{kind: timerPolicy, id: action.ID})
			}
		}
	}
}

// AssocUp adds an association that has become active.
func (c *Core) AssocUp(now time.Duration, id AssocID, p Peer) {
	c.now = now
	assoc := &association{id: id, peer: p}
	switch p.Kind {
	case Client:
		if p.Server != "" {
			c.serverAssocUp(assoc)
			return
		}
		if c.assocs[id] != nil { // it is active already
			return
		}
		assoc.circuits, assoc.limits = map[uint64]*clientCircuit{}, c.limits.AddClient(now)
		if p.Override && p.ASP != 0 {
			c.closeEarlierAssocs(now, p.ASP)
		}
	case FarSwitch:
		far := c.byPC[p.PC]
		if far == nil {
			c.port.Close(id, "no exchange with this point code in the settings")
			return
		}
		if far.association != nil { // an old association whose loss has not been reported yet
			c.AssocDown(now, far.association.id)
		}
		assoc.farExchange, far.association = far, assoc
		if p.Address != far.Address {
			c.addressChanged(far, p.Address)
		}
		far.knowsCalls = false
		if far.group != nil {
			far.group.Sync()
			c.runGroupActions(far)
		}
		far.reached = true
	case OwnSwitch:
		c.ownSwitch = assoc
		audit := m3ua.Message{Kind: m3ua.DAUD} // asks for state changes missed meanwhile (RFC 4666, 4.5.3)
		for _, far := range c.farExchanges {
			audit.Affected = append(audit.Affected, m3ua.Affected{PC: far.PointCode})
			if far.group != nil {
				far.group.SyncOwn()
			}
		}
		if len(audit.Affected) > 0 {
			c.frameBuffer = m3ua.Append(c.frameBuffer[:0], &audit)
			c.port.Send(id, c.frameBuffer)
		}
	}
	c.assocs[id] = assoc
	if p.Kind == OwnSwitch {
		for _, far := range c.farExchanges {
			c.runGroupActions(far)
		}
	}
}

// closeEarlierAssocs closes a client's other associations, so that their calls end before the new one brings any.
func (c *Core) closeEarlierAssocs(now time.Duration, asp uint32) {
	var earlier []AssocID
	for id, assoc := range c.assocs {
		if assoc.peer.Kind == Client && assoc.peer.ASP == asp {
			earlier = append(earlier, id)
		}
	}
	slices.Sort(earlier)
	for _, id := range earlier {
		c.port.Close(id, "replaced by a newer association of the same client")
		c.AssocDown(now, id)
	}
}

// addressChanged records that an exchange's switch was reached under another address than that of the settings or of the
// last contact. If the exchange had been reached before, or may have restarted, the switch is a different machine and is
// treated as freshly started.
func (c *Core) addressChanged(far *farExchange, address string) {
	oldAddress := far.Address
	if c.byAddress[oldAddress] == far {
		delete(c.byAddress, oldAddress)
	}
	far.Address = address
	c.byAddress[address] = far
	if far.reached || far.mayHaveRestarted {
		far.startedAt, far.mayHaveRestarted = c.now, false
	}
	if far.health == policy.Ready {
		c.listChanged(far.entry())
	}
}

// Unreachable records that an exchange's switch did not accept a connection and so may have restarted.
func (c *Core) Unreachable(now time.Duration, pc uint32) {
	c.now = now
	if far := c.byPC[pc]; far != nil {
		far.mayHaveRestarted = true
	}
}

// AssocDown handles the loss of an association and of the calls on it.
func (c *Core) AssocDown(now time.Duration, id AssocID) {
	c.now = now
	assoc := c.assocs[id]
	if assoc == nil {
		return
	}
	delete(c.assocs, id)
	switch assoc.peer.Kind {
	case Client: // its callers are lost with it
		if assoc.appServer != nil {
			c.serverAssocDown(assoc)
			return
		}
		defer c.limits.RemoveClient(assoc.limits)
		for _, circuit := range assoc.circuits {
			if circuit.openCall != nil {
				call := circuit.openCall
				call.clientCircuit = nil
				c.callerReleased(call, isup.CauseTemporary)
			}
			c.wheel.Stop(circuit.timer)
		}
	case FarSwitch:
		if far := assoc.farExchange; far.association == assoc {
			far.association, far.mayHaveRestarted = nil, true
			clear(far.releaseSentAt)
			if far.group != nil {
				far.group.Down()
				c.runGroupActions(far)
			}
		}
	case OwnSwitch:
		if c.ownSwitch == assoc {
			c.ownSwitch, c.ownReduction = nil, 0
		}
	}
}

// runGroupActions carries out the actions that a trunk group has queued.
func (c *Core) runGroupActions(far *farExchange) {
	if far.group == nil {
		return
	}
	for len(far.group.Actions) > 0 {
		actions := far.group.Actions
		far.group.Actions = nil
		for i := range actions {
			switch action := actions[i].(type) {
			case trunk.SendToFar:
				c.sendToFar(far, &action.Msg)
			case trunk.SendToOwn:
				c.sendToOwn(far, &action.Msg)
			case trunk.StartTimer:
				c.wheel.Set(c.now+action.After, timerEvent{kind: timerTrunk, farExchange: far, trunkTimer: action.TimerID})
			case trunk.CircuitLost:
				c.circuitLost(far, action)
			}
		}
	}
	c.markDirty(far)
}

// encodeData encodes an ISUP message in a DATA frame; the frame is valid until the next call.
func (c *Core) encodeData(dpc uint32, message *isup.Message) []byte {
	c.userBuffer = isup.Append(c.userBuffer[:0], message)
	c.frameBuffer = m3ua.Append(c.frameBuffer[:0], &m3ua.Message{Kind: m3ua.DATA, HasRoutingContext: true, RoutingContext: c.cfg.PointCode,
		Data: m3ua.ProtocolData{OPC: c.cfg.PointCode, DPC: dpc, SI: m3ua.ServiceISUP, NI: c.cfg.Network,
			SLS: byte(message.CIC & 15), User: c.userBuffer}})
	return c.frameBuffer
}

// sendToFar sends a message to an exchange's switch; false: it could not be queued.
func (c *Core) sendToFar(far *farExchange, message *isup.Message) bool {
	return far.association != nil && c.send(far.association.id, c.encodeData(far.PointCode, message))
}

// send queues a frame and counts a full queue. The calling function decides whether the association must be closed.
func (c *Core) send(id AssocID, frame []byte) bool {
	if c.port.Send(id, frame) {
		return true
	}
	c.Counters.QueueFull++
	return false
}

// sendToOwn sends a message about the trunk group to an exchange to the own switch.
func (c *Core) sendToOwn(far *farExchange, message *isup.Message) {
	if c.ownSwitch != nil && !c.send(c.ownSwitch.id, c.encodeData(far.PointCode, message)) {
		c.port.Close(c.ownSwitch.id, "send queue full")
	}
}

// sendToClient sends a message on a client's circuit.
func (c *Core) sendToClient(circuit *clientCircuit, message *isup.Message) {
	message.CIC = circuit.cic
	if circuit.association.appServer != nil {
		c.sendToServer(circuit, c.encodeData(circuit.opc, message))
		return
	}
	if !c.send(circuit.association.id, c.encodeData(circuit.opc, message)) {
		c.port.Close(circuit.association.id, "send queue full")
	}
}

// Handle handles one message of an association that is up: DATA, SSNM or NTFY.
func (c *Core) Handle(now time.Duration, id AssocID, message *m3ua.Message) {
	c.now = now
	assoc := c.assocs[id]
	if assoc == nil {
		return
	}
	switch message.Kind {
	case m3ua.DATA:
		if message.Data.SI != m3ua.ServiceISUP {
			c.Counters.Unexpected++
			return
		}
		if err := isup.Decode(message.Data.User, &c.decoded); err != nil {
			c.handleMalformed(assoc, message, err)
			return
		}
		switch assoc.peer.Kind {
		case Client:
			if assoc.appServer != nil && !assoc.appServer.as.Active(uint32(assoc.id)) { // RFC 4666, 4.3.4.3: another association has taken over the traffic
				c.Counters.Unexpected++
				return
			}
			c.handleFromClient(assoc, message.Data.OPC, &c.decoded)
		case FarSwitch:
			if message.Data.OPC == assoc.farExchange.PointCode && assoc.farExchange.group != nil {
				c.handleFromFar(assoc.farExchange, &c.decoded)
			} else {
				c.Counters.Unexpected++
			}
		case OwnSwitch:
			if far := c.byPC[message.Data.OPC]; far != nil && far.group != nil {
				c.handleFromOwn(far, &c.decoded)
			} else {
				c.Counters.Unexpected++
			}
		}
	case m3ua.DUNA, m3ua.DAVA, m3ua.DRST, m3ua.SCON:
		if assoc.peer.Kind != Client {
			c.handleSSNM(assoc, message)
		}
	}
}

// handleMalformed releases the circuit of a client's malformed IAM, so that it does not stay seized; other malformed
// messages are dropped.
func (c *Core) handleMalformed(assoc *association, message *m3ua.Message, err error) {
	c.Counters.Malformed++
	var decodeError *isup.Error
	if assoc.peer.Kind == Client && errors.As(err, &decodeError) && decodeError.Type == isup.IAM {
		circuit := &clientCircuit{association: assoc, opc: message.Data.OPC, cic: c.decoded.CIC}
		if assoc.circuits[circuit.key()] == nil {
			assoc.circuits[circuit.key()] = circuit
			c.releaseClientCircuit(circuit, isup.CauseProtocolError, isup.LocationNetwork)
		}
	}
}

// handleSSNM handles notifications of the availability and congestion of exchanges.
func (c *Core) handleSSNM(assoc *association, message *m3ua.Message) {
	var entries []policy.Entry
	for _, affected := range message.Affected {
		if message.Kind == m3ua.SCON && assoc.peer.Kind == OwnSwitch && affected.PC == c.cfg.PointCode { // congestion of the own switch, which is on the path of every call
			c.ownReduction = float64(message.CongestionLevel) / 3
		}
		for _, far := range c.farExchanges {
			if affected.Mask > 24 || far.PointCode>>affected.Mask != affected.PC>>affected.Mask {
				continue
			}
			if assoc.farExchange != nil && assoc.farExchange != far { // a far switch may report only its own state
				c.Counters.Unexpected++
				continue
			}
			if message.Kind == m3ua.SCON {
				report := far.groupReport()
				report.Reduction = float64(message.CongestionLevel) / 3
				c.dispatch(policy.Status{Exchange: far.Address, OK: true, Report: report})
				continue
			}
			health := policy.Ready
			switch message.Kind {
			case m3ua.DUNA:
				health = policy.Removed
			case m3ua.DRST:
				health = policy.Draining
			}
			if health == policy.Ready && far.health == policy.Removed && far.association == nil {
				far.mayHaveRestarted = true // whether it has restarted is found out when it is reached
			}
			if health != far.health {
				far.health = health
				entries = append(entries, far.entry())
			}
		}
	}
	c.listChanged(entries...)
}

// endAttempt notifies the policy engine that the outstanding attempt has ended. The attempt's circuit, if it has one, has
// been released or lost before.
func (c *Core) endAttempt(call *openCall, cause policy.Cause, reason policy.Reason, final bool) {
	far := call.outExchange
	c.wheel.Stop(call.attemptTimer)
	call.outExchange = nil
	c.stopRinging(call)
	if cause != policy.Failed && cause != policy.NotSetUp {
		call.cause, call.location = callerCause(cause, reason), isup.LocationNetwork
	}
	if call.inExchange != nil && cause == policy.NotSent || cause == policy.NoContact {
		call.location = isup.LocationTransit
	}
	c.dispatch(policy.AttemptEnded{Call: call.id, Attempt: call.attempts - 1, Exchange: far.Address, Final: final, Delay: c.now - call.sentAt,
		Cause: cause, Reason: reason})
}

// releaseOutgoing releases the circuit of the outstanding attempt or the established call.
func (c *Core) releaseOutgoing(call *openCall, cause isup.Cause) {
	location := isup.LocationNetwork
	if call.inExchange != nil {
		location = isup.LocationTransit
	}
	if call.outExchange.PointCode == call.destination {
		call.outExchange.releaseSentAt[call.outCIC] = c.now
	}
	call.outExchange.group.Release(call.outCIC, cause, location)
	c.runGroupActions(call.outExchange)
}

// recordReleaseDelay handles RLC: the time since REL measures the load of the switch's processor.
func (far *farExchange) recordReleaseDelay(cic uint16, now, limit time.Duration) {
	if int(cic) >= len(far.releaseSentAt) || far.releaseSentAt[cic] == 0 {
		return
	}
	if took := now - far.releaseSentAt[cic]; took < limit { // otherwise REL was retransmitted or the circuit reset
		far.releaseDelay += (took - far.releaseDelay) / 8
		far.releaseDelayChanged = true
	}
	far.releaseSentAt[cic] = 0
}

// stopRinging records that a call no longer rings.
func (c *Core) stopRinging(call *openCall) {
	if call.alerting {
		call.alerting = false
		c.ringing--
	}
}

// startRinging handles the first ACM or CPG of an attempt: the far processor's part is done. From now on the attempt is
// bounded by T9 and by the time that the caller lets it ring, which counts from the first ringing reported to the caller.
func (c *Core) startRinging(call *openCall) {
	if call.alerting {
		return
	}
	call.alerting = true
	c.ringing++
	c.Counters.Alerted++
	if call.ringingSince == 0 {
		call.ringingSince = c.now
	}
	c.wheel.Stop(call.attemptTimer)
	deadline := min(c.now+c.cfg.T9, call.ringingSince+c.cfg.Classes[call.class].Ring-c.cfg.AnswerMargin)
	call.attemptTimer = c.wheel.Set(max(c.now, deadline), timerEvent{kind: timerAttempt, id: call.id})
	c.dispatch(policy.Alerting{Call: call.id, Attempt: call.attempts - 1, Exchange: call.outExchange.Address, Delay: c.now - call.sentAt})
}

// setUp makes an attempt. It is the only place that sends an IAM, and it never does so for a call that has ended, is
// established or has an outstanding attempt, whatever the policy engine requests.
func (c *Core) setUp(action policy.SetUp) {
	call, far := c.calls[action.Call], c.byAddress[action.Exchange]
	if call == nil || call.phase != phaseOffered || call.outExchange != nil || far == nil {
		c.Counters.NotSent++
		c.dispatch(policy.AttemptEnded{Call: action.Call, Exchange: action.Exchange, Final: call == nil || call.phase != phaseOffered, Cause: policy.NotSent})
		return
	}
	call.attempts++
	call.outExchange, call.sentAt, call.via = far, c.now, far.PointCode
	c.Counters.Attempts++
	endUnsent := func(cause policy.Cause, reason policy.Reason) {
		if cause == policy.NoContact {
			c.Counters.NoContact++
		} else {
			c.Counters.NotSent++
		}
		c.markDirty(far)
		c.endAttempt(call, cause, reason, false)
	}
	if c.ownSwitch == nil {
		// Seizures by the far ends are reported by the own switch: without it no circuit is known to be free.
		endUnsent(policy.NotSent, policy.ProcessorFull)
		return
	}
	if far.association == nil {
		endUnsent(policy.NoContact, policy.NoReason)
		return
	}
	if far.group == nil {
		endUnsent(policy.NotSent, policy.NoCircuit)
		return
	}
	cic, ok := far.group.Seize(call.id)
	if !ok {
		endUnsent(policy.NotSent, policy.NoCircuit)
		return
	}
	outgoing := call.iam
	outgoing.CIC = cic
	outgoing.HasHops, outgoing.Hops = true, call.iam.Hops-1
	outgoing.HasPropagationDelay, outgoing.PropagationDelay = true, uint16(min(call.earlierDelay+c.now-call.arrivedAt, math.MaxUint16*time.Millisecond)/time.Millisecond)
	if !c.sendToFar(far, &outgoing) {
		far.group.CancelSeizure(cic)
		endUnsent(policy.NotSent, policy.NoReason)
		return
	}
	c.markDirty(far)
	call.outCIC = cic
	call.attemptTimer = c.wheel.Set(c.now+min(action.TimeOut, c.cfg.T7), timerEvent{kind: timerAttempt, id: call.id})
}

// reject releases a call that is not established. The REL is the call's final answer.
func (c *Core) reject(id uint64, outcome Outcome) {
	call := c.calls[id]
	if call == nil || call.phase != phaseOffered {
		return
	}
	cause, location := call.cause, call.location
	if cause == 0 {
		cause, location = isup.CauseCongestion, isup.LocationNetwork
		if call.inExchange != nil { // a transit call without an attempt: crankback to the preceding exchange
			cause, location = isup.CauseNoCircuit, isup.LocationTransit
		}
	}
	if call.outExchange != nil && call.hookWait != hookWaitAttemptEnd { // only possible if the policy engine no longer tracks the attempt
		c.releaseOutgoing(call, isup.CauseTimerExpiry)
		c.wheel.Stop(call.attemptTimer)
	}
	c.releaseTowardsCaller(call, cause, location)
	c.closeCall(call, outcome, cause)
}

// releaseTowardsCaller sends REL on the circuit that a call came in on.
func (c *Core) releaseTowardsCaller(call *openCall, cause isup.Cause, location isup.Location) {
	switch {
	case call.inExchange != nil:
		c.sendToOwn(call.inExchange, &isup.Message{Type: isup.REL, CIC: call.inCIC, Cause: cause, Location: location})
	case call.clientCircuit != nil:
		circuit := call.clientCircuit
		call.clientCircuit, circuit.openCall = nil, nil
		c.releaseClientCircuit(circuit, cause, location)
	}
}

// closeCall removes a call from the table, counts its outcome and keeps the memory for reuse.
func (c *Core) closeCall(call *openCall, outcome Outcome, cause isup.Cause) {
	if call.phase == phaseOffered {
		c.waiting--
	}
	c.stopRinging(call)
	call.phase = phaseEnded
	delete(c.calls, call.id)
	if call.limits != nil {
		c.limits.Done(call.limits)
		if call.admissionTenant < len(c.tenantClients) {
			c.tenantLimits.Done(c.tenantClients[call.admissionTenant])
		}
	}
	if call.hookWait != hookWaitNone {
		c.wheel.Stop(call.hookTimer)
	}
	switch outcome {
	case Refused:
		c.Counters.Refused++
	case Failed:
		c.Counters.Failed++
	case Abandoned:
		c.Counters.Abandoned++
	case Finished:
		c.Counters.Finished++
	case Cut:
		c.Counters.Cut++
		c.rememberCut(call)
	}
	c.recordCall(call, outcome, cause)
	if len(c.freeCalls) < 1024 {
		optionalBuffer := call.iam.Optional[:0]
		*call = openCall{phase: phaseEnded}
		call.iam.Optional = optionalBuffer
		c.freeCalls = append(c.freeCalls, call)
	}
}

// recordCall reports a call that has been answered or has ended.
func (c *Core) recordCall(call *openCall, outcome Outcome, cause isup.Cause) {
	record := CallRecord{Outcome: outcome, Call: call.id, Class: call.class, Tenant: call.tenant, Transit: call.inExchange != nil, Called: call.iam.Called,
		To: call.destination, Via: call.via, Attempts: call.attempts, Cause: cause, After: c.now - call.arrivedAt,
		Calling: call.iam.Calling, Category: call.iam.Category, Set: call.hookSet, Tags: call.tags}
	if outcome == Answered {
		record.SetUp = record.After
		if call.ringingSince > 0 {
			record.SetUp = call.ringingSince - call.arrivedAt
		}
	}
	c.port.CallEnded(record)
}

// maxCutCalls bounds the number of remembered cut calls; the oldest is dropped first.
const maxCutCalls = 1 << 16

// rememberCut keeps a record of a cut call for Config.CutMemory, if the call came from a client and has a calling number.
func (c *Core) rememberCut(call *openCall) {
	if call.inExchange != nil || !call.iam.HasCalling || c.cfg.CutMemory <= 0 {
		return
	}
	pair := numberPair{call.iam.Calling, call.iam.Called}
	c.cutCalls[pair] = c.now
	c.cutCallOrder = append(c.cutCallOrder, cutCall{pair, c.now})
	for len(c.cutCallOrder) > 0 && (len(c.cutCallOrder) > maxCutCalls || c.cutCallOrder[0].at < c.now-c.cfg.CutMemory) {
		if oldest := c.cutCallOrder[0]; c.cutCalls[oldest.numberPair] == oldest.at {
			delete(c.cutCalls, oldest.numberPair)
		}
		c.cutCallOrder = c.cutCallOrder[1:]
	}
}

// takeCutCall reports whether the caller of a set-up dials again after a call between the same numbers was cut, and deletes the
// record of the cut call.
func (c *Core) takeCutCall(iamMessage *isup.Message) bool {
	if !iamMessage.HasCalling || len(c.cutCalls) == 0 {
		return false
	}
	pair := numberPair{iamMessage.Calling, iamMessage.Called}
	cutAt, ok := c.cutCalls[pair]
	delete(c.cutCalls, pair)
	return ok && c.now <= cutAt+c.cfg.CutMemory
}

// Drain makes the controller refuse all new calls.
func (c *Core) Drain() { c.draining = true }

// Waiting returns the number of calls that have no final answer yet.
func (c *Core) Waiting() int { return c.waiting }

// Ringing returns the number of calls that ring.
func (c *Core) Ringing() int { return c.ringing }

// OpenCalls returns the number of calls in the table.
func (c *Core) OpenCalls() int { return len(c.calls) }

// ReleaseAll releases every established call, before the daemon exits.
func (c *Core) ReleaseAll(now time.Duration) {
	c.now = now
	ids := make([]uint64, 0, len(c.calls))
	for id, call := range c.calls {
		if call.phase == phaseEstablished {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		call := c.calls[id]
		c.releaseTowardsCaller(call, isup.CauseTemporary, isup.LocationNetwork)
		c.releaseEstablished(call, Cut, isup.CauseTemporary, policy.Reset)
	}
}
