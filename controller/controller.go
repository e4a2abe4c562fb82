// Package controller is one call controller without its sockets: frames and the time go in, frames come out. It keeps
// the call table, the circuits and the timers, tells package policy each event and does what that says. It makes no
// choice of its own of routes, windows, holds, refusals or further attempts.
//
// See docs/design/controller.md for the network that it stands in and for what each message means to it.
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

// Config is what a controller is told when it starts.
type Config struct {
	PointCode uint32
	Network   byte          // network indicator of DATA
	Policy    policy.Config // Self is taken from PointCode
	Exchanges []Exchange    // the own one among them
	Classes   []Class       // in the order of Brain.Classes
	Tenants   []string      // names, in the order of Brain.Tenants

	AnswerMargin time.Duration // a final answer leaves so long before the caller gives up, for its way
	CutMemory    time.Duration // a call that was cut and comes again is known as such so long
	Hops         byte          // hop counter of a call that brings none
	MaxCalls     int           // open calls; more are refused with cause 42
	Trunk        trunk.Timers
	ClientT1     time.Duration // REL to a client without RLC is sent again, five times
	T7           time.Duration // a set-up awaits ACM, ANM or CON so long at the most (Q.764, annex A); 0: 20 s
	T9           time.Duration // ... and a number that rings ANM; 0: 90 s

	// Recovery is T(r): calls of an application server outlive the loss of its last association so long, and
	// RecoveryOctets bounds what is kept for it meanwhile.
	Recovery       time.Duration
	RecoveryOctets int

	// Admission is the door in front of the module: limits of each client and of all, and of each tenant.
	Admission       admission.Config
	TenantAdmission admission.Limits

	// Hooks are the scripts' hooks; nil: there are none.
	Hooks Hooks
	// HookDeadline is how long a call waits for its hooks, before it goes on as without them.
	HookDeadline time.Duration

	// Engine makes the module; nil: policy.New. Another is for comparisons only, on days that are played.
	Engine func(policy.Config) (Engine, error)
}

// Hooks run scripts beside the controller. Its methods don't block.
type Hooks interface {
	// Live is the set that a call belongs to that comes now, or nil.
	Live() *hooks.Set
	// Submit hands an event to the hooks of a set; Core.Advise brings their answer, if it comes. false: they are too busy.
	Submit(a HookRequest) bool
}

// HookRequest is a question to hooks.
type HookRequest struct {
	Call  uint64
	Seq   uint32 // names the question among those of its call
	Set   *hooks.Set
	Kind  string // script.Arrival, with script.Route after it, or script.AttemptEnd
	Event script.Event
}

// Engine decides. In the program it is *policy.Engine.
type Engine interface {
	Handle(now time.Duration, ev policy.Event, out []policy.Action) []policy.Action
	View(out []policy.View) []policy.View
}

// Exchange is one exchange as settings know it.
type Exchange struct {
	PointCode uint32
	Name      string
	Address   string   // of its switch
	Circuits  int      // of the trunk group to it; 0: none
	Prefixes  []string // numbers behind it
}

// Class is a call class as signalling shows it.
type Class struct {
	Name       string
	Categories []isup.Category // calling party's categories that mark it; those of no class are of the first
	Patience   time.Duration   // its callers give up after this, unless it rings by then ...
	Ring       time.Duration   // ... and then they let it ring so long; 0: 60 s
}

// AssocID names an association.
type AssocID uint32

// PeerKind tells whom an association leads to.
type PeerKind uint8

// The kinds.
const (
	Client    PeerKind = iota
	FarSwitch          // the switch of another exchange
	OwnSwitch          // the own one
)

// Peer is the other end of an association.
type Peer struct {
	Kind    PeerKind
	PC      uint32 // of a switch
	Address string // of a switch: where it was reached
	Tenant  int    // of a client
	Name    string
	// ASP is a client's ASP identifier. With Override (RFC 4666, 4.3.4.3) the association takes the place of every other one
	// of that identifier: a client that comes again while its old connection is half open says so.
	ASP      uint32
	Override bool
	// Server names the application server that the association is one of several of, with its traffic mode; empty: the
	// association stands by itself, and its calls end with it.
	Server string
	Mode   uint32
}

// Port is where a controller's frames go. Its methods don't block.
type Port interface {
	// Send queues a frame, which is copied; false: the queue is full or the association is gone.
	Send(a AssocID, frame []byte) bool
	// Unsent takes the frames that were queued on an association which is lost, and never handed to its connection.
	Unsent(a AssocID) []byte
	// Close ends an association that is of no use any more; Down follows.
	Close(a AssocID, why string)
	// CallEnded tells of each call that has ended or been answered.
	CallEnded(e CallRecord)
	// ExchangeChanged tells of each change of the list of exchanges.
	ExchangeChanged(e policy.Entry, cold bool)
}

// Outcome is how a call came out.
type Outcome uint8

// The outcomes.
const (
	Answered  Outcome = iota // answered
	Refused                  // the module's Refuse, or a call that cannot be routed at all
	Failed                   // the module's Fail
	Abandoned                // the caller left before an answer
	Finished                 // stood, and was hung up
	Cut                      // stood, and was cut
)

func (o Outcome) String() string {
	return [...]string{"stands", "refused", "failed", "left", "finished", "cut"}[o]
}

// CallRecord is one line of a call's life.
type CallRecord struct {
	Outcome  Outcome
	Call     uint64
	Class    int
	Tenant   int
	Transit  bool
	Called   isup.Number
	To       uint32 // destination exchange
	Via      uint32 // last route's exchange; 0: none was tried
	Attempts int
	Cause    isup.Cause
	After    time.Duration // since the call came
	SetUp    time.Duration // of a call that stands: till it rang, or till the answer if none said so
	Calling  isup.Number
	Category isup.Category
	Set      *hooks.Set // of the call's hooks, or nil
	Tags     []string   // that they put on it
}

// Counters are totals since the start.
type Counters struct {
	Offered, Transit, Attempts, Established, Refused, Failed                    uint64
	Abandoned                                                                   uint64 `json:"Left"`
	Finished, Cut                                                               uint64
	TimedOut, NoContact, NotSent, LateAnswers, Malformed, Unexpected, QueueFull uint64
	Alerted, NoAnswer, Pending                                                  uint64
	NotAdmitted                                                                 uint64 `json:"KeptOut"`
	HookAsked, HookLate, HookBusy, HookRefused                                  uint64
}

type phase uint8

const (
	offered phase = iota
	standing
	over
)

// call is one open call.
type call struct {
	id       uint64
	leg      *leg // its client's circuit; nil in transit
	from     *far // in transit: the group that it came in by ...
	fromCIC  uint16
	class    int
	tenant   int
	phase    phase
	iam      isup.Message // as it goes out, but for circuit, hop counter and delay
	dest     uint32
	arrived  time.Duration
	delay    time.Duration // it had been under way so long when it came
	attempts int
	to       *far // the attempt out, or the standing call's way
	toCIC    uint16
	sentAt   time.Duration
	timeOut  timer.Handle
	via      uint32
	cut      bool              // it stood, was cut and comes again
	door     *admission.Client // its client's account; nil in transit
	account  int               // its client's tenant, whatever hooks make of it
	progress bool              // ACM has been passed back
	rings    bool              // the attempt out has passed ACM: the processor's part is over
	rangAt   time.Duration     // when the caller was first told so; 0: not yet
	cause    isup.Cause
	loc      isup.Location

	set     *hooks.Set // of its hooks
	asking  asking
	askSeq  uint32
	askTime timer.Handle
	tags    []string
}

// asking tells which hooks a call waits for.
type asking uint8

const (
	askNone    asking = iota
	askArrival        // the module has not been told of the call
	askEnd            // the attempt has ended, its circuit is free, and the module has not been told
)

// leg is one circuit of a client.
type leg struct {
	assoc   *assoc
	opc     uint32
	cic     uint16
	call    *call // nil: REL sent, RLC awaited
	cause   isup.Cause
	repeats int
	timer   timer.Handle
	// congestion is the automatic congestion level that its REL carries; 0: none
	congestion byte
}

type assoc struct {
	id   AssocID
	peer Peer
	far  *far
	legs map[uint64]*leg // of a client
	door *admission.Client
	// server is the client that the association is one of several of, and shares legs and door with; nil: it has no other.
	server *server
}

// server is a client with several associations.
type server struct {
	name  string
	as    *m3ua.AS
	first *assoc // whose legs, door and tenant are those of all
	timer timer.Handle
}

// far is another exchange.
type far struct {
	Exchange
	index  int
	assoc  *assoc
	group  *trunk.Group // nil: no group
	dirty  bool         // its circuits have changed since the module was told
	health policy.Health
	// launched is the start that the module was told; doubt: signalling was lost since, so it may have started anew.
	launched time.Duration
	doubt    bool
	known    bool // since then it has named a call that stands
	seen     bool // it has been reached once
	// asked is when REL went out on a circuit, by CIC; wait is how long the switch takes to answer it with RLC, smoothed:
	// processor's work that no subscriber has a part in. heard: the module has not been told of it.
	asked []time.Duration
	wait  time.Duration
	heard bool
}

type alarmKind uint8

const (
	moduleTimer alarmKind = iota
	attemptTimer
	trunkTimer
	legTimer
	hookTimer
	recoveryTimer
)

type alarm struct {
	kind alarmKind
	seq  uint32
	id   uint64
	far  *far
	wake trunk.TimerID
	leg  *leg
	as   *server
}

type pair struct{ calling, called isup.Number }

type cutCall struct {
	pair
	at time.Duration
}

// Core is one call controller. It is driven by one goroutine.
type Core struct {
	Counters Counters

	cfg       Config
	port      Port
	module    Engine
	now       time.Duration
	wheel     *timer.Wheel[alarm]
	calls     map[uint64]*call
	lastID    uint64
	waiting   int // calls owed a final answer
	numbers   numbering.Table[uint32]
	fars      []*far
	byPC      map[uint32]*far
	byAddr    map[string]*far
	assocs    map[AssocID]*assoc
	servers   map[string]*server
	routed    []uint32
	door      *admission.Limiter
	tenants   *admission.Limiter
	accounts  []*admission.Client // of tenants
	own       *assoc
	classOf   [256]uint8
	dirty     []*far
	events    []policy.Event
	actions   []policy.Action
	told      int // of events
	telling   bool
	draining  bool
	cuts      map[pair]time.Duration
	cutOrder  []cutCall
	frame     []byte
	user      []byte
	msg       isup.Message
	spareCall []*call
	ringing   int
	ownAddr   string
	late      time.Duration // sum of the lateness of events ...
	lateOf    int           // ... of so many
	lateTold  time.Duration
	ownHold   float64 // share of set-ups that the own switch asks to keep back, until it says otherwise
}

// New makes a controller. now is the present time, which must be above zero.
func New(cfg Config, port Port, now time.Duration) (*Core, error) {
	cfg.Policy.Self = int(cfg.PointCode)
	var module Engine
	var err error
	if cfg.Engine != nil {
		module, err = cfg.Engine(cfg.Policy)
	} else {
		module, err = policy.New(cfg.Policy)
	}
	if err != nil {
		return nil, err
	}
	if len(cfg.Classes) != len(cfg.Policy.Classes) {
		return nil, errors.New("the classes differ from the module's")
	}
	if cfg.MaxCalls <= 0 {
		cfg.MaxCalls = math.MaxInt32
	}
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&cfg.ClientT1, 15*time.Second)
	def(&cfg.T7, 20*time.Second)
	def(&cfg.T9, 90*time.Second)
	def(&cfg.Trunk.T1, 15*time.Second)
	cfg.Classes = slices.Clone(cfg.Classes)
	for i := range cfg.Classes {
		def(&cfg.Classes[i].Ring, time.Minute)
	}
	c := &Core{cfg: cfg, port: port, module: module, now: now, wheel: timer.New[alarm](now, time.Millisecond),
		calls: map[uint64]*call{}, byPC: map[uint32]*far{}, byAddr: map[string]*far{}, assocs: map[AssocID]*assoc{}, servers: map[string]*server{},
		cuts: map[pair]time.Duration{}}
	c.door, c.tenants = admission.New(cfg.Admission), admission.New(admission.Config{Client: cfg.TenantAdmission})
	for range cfg.Tenants {
		c.accounts = append(c.accounts, c.tenants.AddClient(now))
	}
	for i, cl := range cfg.Classes {
		for _, cat := range cl.Categories {
			c.classOf[cat] = uint8(i)
		}
	}
	if err := c.adopt(cfg.Exchanges); err != nil {
		return nil, err
	}
	entries := make([]policy.Entry, 0, len(c.fars))
	for _, f := range c.fars {
		entries = append(entries, f.entry())
	}
	for _, x := range cfg.Exchanges {
		if x.PointCode == cfg.PointCode {
			c.ownAddr = x.Address
			entries = append(entries, policy.Entry{Address: x.Address, PointCode: int(x.PointCode)})
		}
	}
	c.tell(policy.List{Full: true, Entries: entries})
	return c, nil
}

// adopt takes the exchanges of the settings. Those known before keep their groups and calls.
func (c *Core) adopt(exchanges []Exchange) error {
	var numbers numbering.Table[uint32]
	for _, x := range exchanges {
		for _, p := range x.Prefixes {
			if err := numbers.Add(p, x.PointCode); err != nil {
				return fmt.Errorf("exchange %d: %w", x.PointCode, err)
			}
		}
	}
	for _, x := range exchanges {
		if x.PointCode == c.cfg.PointCode {
			continue
		}
		f := c.byPC[x.PointCode]
		if f == nil {
			f = &far{Exchange: x, index: len(c.fars)}
			if x.Circuits > 0 {
				g, err := trunk.New(c.cfg.Trunk, c.cfg.PointCode, x.PointCode, x.Circuits)
				if err != nil {
					return err
				}
				f.group, f.asked = g, make([]time.Duration, x.Circuits+1)
			}
			c.fars = append(c.fars, f)
			c.byPC[x.PointCode] = f
			c.byAddr[x.Address] = f
		}
		f.Name, f.Prefixes = x.Name, x.Prefixes
		c.touch(f)
	}
	c.numbers = numbers
	return nil
}

// Reload takes a changed list of exchanges: names, prefixes and new exchanges. What it cannot change is an error, and
// then nothing is changed: sizes of groups, and exchanges that are missing.
func (c *Core) Reload(now time.Duration, exchanges []Exchange) error {
	c.now = now
	for _, f := range c.fars {
		i := slices.IndexFunc(exchanges, func(x Exchange) bool { return x.PointCode == f.PointCode })
		if i < 0 {
			return fmt.Errorf("exchange %d is missing: drain it and start anew to take it out", f.PointCode)
		}
		if exchanges[i].Circuits != f.Circuits {
			return fmt.Errorf("exchange %d: the size of its group changes only with a new start", f.PointCode)
		}
	}
	known := len(c.fars)
	if err := c.adopt(exchanges); err != nil {
		return err
	}
	var entries []policy.Entry
	for _, f := range c.fars[known:] {
		f.launched, f.doubt = now, true // nothing is known of it: taken for cold
		entries = append(entries, f.entry())
	}
	c.listed(entries...)
	return nil
}

// listed tells the module of changes of the list, and the hooks.
func (c *Core) listed(entries ...policy.Entry) {
	if len(entries) == 0 {
		return
	}
	c.tell(policy.List{Entries: entries})
	for _, e := range entries {
		c.port.ExchangeChanged(e, e.StartedAt > 0 && c.now < e.StartedAt+c.cfg.Policy.WarmUp)
	}
}

func (f *far) entry() policy.Entry {
	return policy.Entry{Address: f.Address, PointCode: int(f.PointCode), Health: f.health, StartedAt: f.launched}
}

// Next is the time at which Tick is due, or ok is false.
func (c *Core) Next() (time.Duration, bool) { return c.wheel.Next() }

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	c.wheel.Advance(now, func(a alarm) {
		switch a.kind {
		case moduleTimer:
			c.tell(policy.Timer{ID: a.id})
		case attemptTimer:
			if k := c.calls[a.id]; k != nil && k.phase == offered && k.to != nil {
				if k.rings { // T9, or as long as its caller lets it ring
					c.Counters.NoAnswer++
					c.abandon(k, isup.CauseNoAnswer)
					c.returned(k, policy.TimedOut, policy.NoAnswer, false)
					break
				}
				c.Counters.TimedOut++
				c.abandon(k, isup.CauseTimer)
				c.returned(k, policy.TimedOut, policy.NoReason, false)
			}
		case trunkTimer:
			a.far.group.TimerExpired(a.wake)
			c.acts(a.far)
		case legTimer:
			c.repeatRelease(a.leg)
		case hookTimer:
			c.hooksLate(a.id, a.seq)
		case recoveryTimer:
			if a.as.as.Expire(c.now) {
				c.serverGone(a.as)
			}
		}
	})
}

// Flush tells the module which trunk groups have changed. It is called when what has come in together is handled, and
// so often that no change waits.
func (c *Core) Flush(now time.Duration) {
	c.now = now
	for i := 0; i < len(c.dirty); i++ { // the module may seize circuits in between
		f := c.dirty[i]
		f.dirty = false
		r := f.report()
		if f.heard {
			r.Wait, f.heard = f.wait.Seconds(), false
		}
		c.tell(policy.Status{Exchange: f.Address, OK: true, Report: r})
	}
	c.dirty = c.dirty[:0]
	if c.ownAddr != "" && now >= c.lateTold+lateEvery {
		c.lateTold = now
		r := unknown
		r.Wait, r.Reduction = (c.late / time.Duration(max(1, c.lateOf))).Seconds(), c.ownHold
		c.late, c.lateOf = 0, 0
		c.tell(policy.Status{Exchange: c.ownAddr, OK: true, Report: r})
	}
}

// lateEvery is how often the module is told the own lateness.
const lateEvery = 500 * time.Millisecond

// RecordQueueDelay notes how long events have waited for the decision goroutine: the own lateness, of n of them together.
func (c *Core) RecordQueueDelay(sum time.Duration, n int) { c.late, c.lateOf = c.late+sum, c.lateOf+n }

// unknown is a report that tells nothing.
var unknown = policy.Report{Free: -1, Size: -1, Utilisation: -1, Queue: -1, Rate: -1, Wait: -1, Reduction: -1}

func (f *far) report() policy.Report {
	r := unknown
	if f.group != nil {
		r.Free, r.Size = float64(f.group.Free()), float64(f.group.Size())
	} else {
		r.Free, r.Size = 0, 0
	}
	return r
}

func (c *Core) touch(f *far) {
	if !f.dirty {
		f.dirty = true
		c.dirty = append(c.dirty, f)
	}
}

// tell hands events to the module, one after the other, and carries out what it says. A panic on the way leaves by here,
// but not before the events behind the one that set it off have been told: others' calls hang on them.
func (c *Core) tell(ev policy.Event) {
	c.events = append(c.events, ev)
	if c.telling {
		return
	}
	c.telling = true
	defer func() {
		for c.told < len(c.events) {
			func() {
				defer func() { recover() }()
				c.tellAll()
			}()
		}
		c.telling, c.events, c.told = false, c.events[:0], 0
	}()
	c.tellAll()
}

func (c *Core) tellAll() {
	for c.told < len(c.events) {
		ev := c.events[c.told]
		c.told++
		c.actions = c.module.Handle(c.now, ev, c.actions[:0])
		for _, a := range c.actions {
			switch a := a.(type) {
			case policy.SetUp:
				c.setUp(a)
			case policy.Refuse:
				c.final(a.Call, Refused)
			case policy.Fail:
				c.final(a.Call, Failed)
			case policy.SetTimer:
				c.wheel.Set(c.now+a.After, alarm{kind: moduleTimer, id: a.ID})
			}
		}
	}
}

// AssocUp takes an association that is active now.
func (c *Core) AssocUp(now time.Duration, id AssocID, p Peer) {
	c.now = now
	a := &assoc{id: id, peer: p}
	switch p.Kind {
	case Client:
		if p.Server != "" {
			c.serverUp(a)
			return
		}
		if c.assocs[id] != nil { // it is active already
			return
		}
		a.legs, a.door = map[uint64]*leg{}, c.door.AddClient(now)
		if p.Override && p.ASP != 0 {
			c.supersede(now, p.ASP)
		}
	case FarSwitch:
		f := c.byPC[p.PC]
		if f == nil {
			c.port.Close(id, "no such exchange")
			return
		}
		if f.assoc != nil { // an old association that has not been told dead yet
			c.AssocDown(now, f.assoc.id)
		}
		a.far, f.assoc = f, a
		if p.Address != f.Address {
			c.moved(f, p.Address)
		}
		f.known = false
		if f.group != nil {
			f.group.Sync()
			c.acts(f)
		}
		f.seen = true
	case OwnSwitch:
		c.own = a
		m := m3ua.Message{Kind: m3ua.DAUD} // what has changed meanwhile (RFC 4666, 4.5.3)
		for _, f := range c.fars {
			m.Affected = append(m.Affected, m3ua.Affected{PC: f.PointCode})
			if f.group != nil {
				f.group.SyncOwn()
			}
		}
		if len(m.Affected) > 0 {
			c.frame = m3ua.Append(c.frame[:0], &m)
			c.port.Send(id, c.frame)
		}
	}
	c.assocs[id] = a
	if p.Kind == OwnSwitch {
		for _, f := range c.fars {
			c.acts(f)
		}
	}
}

// supersede ends every other association of a client: their calls are over before the new one brings any.
func (c *Core) supersede(now time.Duration, asp uint32) {
	var old []AssocID
	for id, a := range c.assocs {
		if a.peer.Kind == Client && a.peer.ASP == asp {
			old = append(old, id)
		}
	}
	slices.Sort(old)
	for _, id := range old {
		c.port.Close(id, "the client has come again")
		c.AssocDown(now, id)
	}
}

// moved notes that an exchange's switch was reached under another address: another machine, cold until proven warm.
func (c *Core) moved(f *far, address string) {
	old := f.Address
	if c.byAddr[old] == f {
		delete(c.byAddr, old)
	}
	f.Address = address
	c.byAddr[address] = f
	if f.seen || f.doubt {
		f.launched, f.doubt = c.now, false
	}
	if f.health == policy.Ready {
		c.listed(f.entry())
	}
}

// Unreachable notes that an exchange's switch took no connection.
func (c *Core) Unreachable(now time.Duration, pc uint32) {
	c.now = now
	if f := c.byPC[pc]; f != nil {
		f.doubt = true
	}
}

// AssocDown takes the loss of an association, with all that was on it.
func (c *Core) AssocDown(now time.Duration, id AssocID) {
	c.now = now
	a := c.assocs[id]
	if a == nil {
		return
	}
	delete(c.assocs, id)
	switch a.peer.Kind {
	case Client: // its callers are gone with it
		if a.server != nil {
			c.serverDown(a)
			return
		}
		defer c.door.RemoveClient(a.door)
		for _, l := range a.legs {
			if l.call != nil {
				k := l.call
				k.leg = nil
				c.callerLeft(k, isup.CauseTemporary)
			}
			c.wheel.Stop(l.timer)
		}
	case FarSwitch:
		if f := a.far; f.assoc == a {
			f.assoc, f.doubt = nil, true
			clear(f.asked)
			if f.group != nil {
				f.group.Down()
				c.acts(f)
			}
		}
	case OwnSwitch:
		if c.own == a {
			c.own, c.ownHold = nil, 0
		}
	}
}

// acts carries out what a trunk group wants done.
func (c *Core) acts(f *far) {
	if f.group == nil {
		return
	}
	for len(f.group.Actions) > 0 {
		acts := f.group.Actions
		f.group.Actions = nil
		for i := range acts {
			switch a := acts[i].(type) {
			case trunk.SendToFar:
				c.toFar(f, &a.Msg)
			case trunk.SendToOwn:
				c.toOwn(f, &a.Msg)
			case trunk.StartTimer:
				c.wheel.Set(c.now+a.After, alarm{kind: trunkTimer, far: f, wake: a.TimerID})
			case trunk.CircuitLost:
				c.lost(f, a)
			}
		}
	}
	c.touch(f)
}

// data frames an ISUP message.
func (c *Core) data(dpc uint32, m *isup.Message) []byte {
	c.user = isup.Append(c.user[:0], m)
	c.frame = m3ua.Append(c.frame[:0], &m3ua.Message{Kind: m3ua.DATA, HasContext: true, Context: c.cfg.PointCode,
		Data: m3ua.ProtocolData{OPC: c.cfg.PointCode, DPC: dpc, SI: m3ua.ServiceISUP, NI: c.cfg.Network,
			SLS: byte(m.CIC & 15), User: c.user}})
	return c.frame
}

func (c *Core) toFar(f *far, m *isup.Message) bool {
	return f.assoc != nil && c.send(f.assoc.id, c.data(f.PointCode, m))
}

// send queues a frame; an association whose queue is full is of no use to its calls.
func (c *Core) send(id AssocID, frame []byte) bool {
	if c.port.Send(id, frame) {
		return true
	}
	c.Counters.QueueFull++
	return false
}

// toOwn sends a message about the group to f to the own switch.
func (c *Core) toOwn(f *far, m *isup.Message) {
	if c.own != nil && !c.send(c.own.id, c.data(f.PointCode, m)) {
		c.port.Close(c.own.id, "its queue is full")
	}
}

func (c *Core) toClient(l *leg, m *isup.Message) {
	m.CIC = l.cic
	if l.assoc.server != nil {
		c.toServer(l, c.data(l.opc, m))
		return
	}
	if !c.send(l.assoc.id, c.data(l.opc, m)) {
		c.port.Close(l.assoc.id, "its queue is full")
	}
}

// Handle takes one message of an association that is up: DATA, SSNM or NTFY.
func (c *Core) Handle(now time.Duration, id AssocID, m *m3ua.Message) {
	c.now = now
	a := c.assocs[id]
	if a == nil {
		return
	}
	switch m.Kind {
	case m3ua.DATA:
		if m.Data.SI != m3ua.ServiceISUP {
			c.Counters.Unexpected++
			return
		}
		if err := isup.Decode(m.Data.User, &c.msg); err != nil {
			c.malformed(a, m, err)
			return
		}
		switch a.peer.Kind {
		case Client:
			if a.server != nil && !a.server.as.Active(uint32(a.id)) { // RFC 4666, 4.3.4.3: another has its traffic
				c.Counters.Unexpected++
				return
			}
			c.fromClient(a, m.Data.OPC, &c.msg)
		case FarSwitch:
			if m.Data.OPC == a.far.PointCode && a.far.group != nil {
				c.fromFar(a.far, &c.msg)
			} else {
				c.Counters.Unexpected++
			}
		case OwnSwitch:
			if f := c.byPC[m.Data.OPC]; f != nil && f.group != nil {
				c.fromOwn(f, &c.msg)
			} else {
				c.Counters.Unexpected++
			}
		}
	case m3ua.DUNA, m3ua.DAVA, m3ua.DRST, m3ua.SCON:
		if a.peer.Kind != Client {
			c.destinations(a, m)
		}
	}
}

// malformed answers an IAM that cannot be read, so that its circuit does not stay taken; all else is dropped.
func (c *Core) malformed(a *assoc, m *m3ua.Message, err error) {
	c.Counters.Malformed++
	var e *isup.Error
	if a.peer.Kind == Client && errors.As(err, &e) && e.Type == isup.IAM {
		l := &leg{assoc: a, opc: m.Data.OPC, cic: c.msg.CIC}
		if a.legs[l.key()] == nil {
			a.legs[l.key()] = l
			c.clearLeg(l, isup.CauseProtocol, isup.LocationNetwork)
		}
	}
}

// destinations takes word of the state of exchanges: the list, and congestion.
func (c *Core) destinations(a *assoc, m *m3ua.Message) {
	var entries []policy.Entry
	for _, p := range m.Affected {
		if m.Kind == m3ua.SCON && a.peer.Kind == OwnSwitch && p.PC == c.cfg.PointCode { // its own: it is in every call's path
			c.ownHold = float64(m.Congestion) / 3
		}
		for _, f := range c.fars {
			if p.Mask > 24 || f.PointCode>>p.Mask != p.PC>>p.Mask {
				continue
			}
			if a.far != nil && a.far != f { // a far switch speaks for itself alone
				c.Counters.Unexpected++
				continue
			}
			if m.Kind == m3ua.SCON {
				r := f.report()
				r.Reduction = float64(m.Congestion) / 3
				c.tell(policy.Status{Exchange: f.Address, OK: true, Report: r})
				continue
			}
			health := policy.Ready
			switch m.Kind {
			case m3ua.DUNA:
				health = policy.Removed
			case m3ua.DRST:
				health = policy.Draining
			}
			if health == policy.Ready && f.health == policy.Removed && f.assoc == nil {
				f.doubt = true // whether it has started anew shows when it is reached
			}
			if health != f.health {
				f.health = health
				entries = append(entries, f.entry())
			}
		}
	}
	c.listed(entries...)
}

// returned tells the module that the attempt out has ended. The circuit has been dealt with.
func (c *Core) returned(k *call, cause policy.Cause, reason policy.Reason, final bool) {
	f := k.to
	c.wheel.Stop(k.timeOut)
	k.to = nil
	c.silence(k)
	if cause != policy.Failed && cause != policy.NotSetUp {
		k.cause, k.loc = told(cause, reason), isup.LocationNetwork
	}
	if k.from != nil && cause == policy.NotSent || cause == policy.NoContact {
		k.loc = isup.LocationTransit
	}
	c.tell(policy.AttemptEnded{Call: k.id, Attempt: k.attempts - 1, Exchange: f.Address, Final: final, Delay: c.now - k.sentAt,
		Cause: cause, Reason: reason})
}

// abandon releases the circuit of the attempt out or the standing call.
func (c *Core) abandon(k *call, cause isup.Cause) {
	loc := isup.LocationNetwork
	if k.from != nil {
		loc = isup.LocationTransit
	}
	if k.to.PointCode == k.dest {
		k.to.asked[k.toCIC] = c.now
	}
	k.to.group.Release(k.toCIC, cause, loc)
	c.acts(k.to)
}

// released takes RLC: the time since REL is the switch's own work.
func (f *far) released(cic uint16, now, limit time.Duration) {
	if int(cic) >= len(f.asked) || f.asked[cic] == 0 {
		return
	}
	if took := now - f.asked[cic]; took < limit { // else REL was repeated, or the circuit reset
		f.wait += (took - f.wait) / 8
		f.heard = true
	}
	f.asked[cic] = 0
}

// silence notes that a call rings no more.
func (c *Core) silence(k *call) {
	if k.rings {
		k.rings = false
		c.ringing--
	}
}

// alerting takes the word that the processor's part of an attempt is over. From now on it is bounded by T9 and by how long
// the caller lets it ring, counted from when that was first told so.
func (c *Core) alerting(k *call) {
	if k.rings {
		return
	}
	k.rings = true
	c.ringing++
	c.Counters.Alerted++
	if k.rangAt == 0 {
		k.rangAt = c.now
	}
	c.wheel.Stop(k.timeOut)
	end := min(c.now+c.cfg.T9, k.rangAt+c.cfg.Classes[k.class].Ring-c.cfg.AnswerMargin)
	k.timeOut = c.wheel.Set(max(c.now, end), alarm{kind: attemptTimer, id: k.id})
	c.tell(policy.Alerting{Call: k.id, Attempt: k.attempts - 1, Exchange: k.to.Address, Delay: c.now - k.sentAt})
}

// setUp carries out an attempt. It is the only place that sends an IAM, and never for a call that is over or has an
// attempt out, whatever is asked of it.
func (c *Core) setUp(a policy.SetUp) {
	k, f := c.calls[a.Call], c.byAddr[a.Exchange]
	if k == nil || k.phase != offered || k.to != nil || f == nil {
		c.Counters.NotSent++
		c.tell(policy.AttemptEnded{Call: a.Call, Exchange: a.Exchange, Final: k == nil || k.phase != offered, Cause: policy.NotSent})
		return
	}
	k.attempts++
	k.to, k.sentAt, k.via = f, c.now, f.PointCode
	c.Counters.Attempts++
	not := func(cause policy.Cause, reason policy.Reason) {
		if cause == policy.NoContact {
			c.Counters.NoContact++
		} else {
			c.Counters.NotSent++
		}
		c.touch(f)
		c.returned(k, cause, reason, false)
	}
	if c.own == nil {
		// Without the own switch the seizures of the other ends are not seen, and no circuit can be told free.
		not(policy.NotSent, policy.ProcessorFull)
		return
	}
	if f.assoc == nil {
		not(policy.NoContact, policy.NoReason)
		return
	}
	if f.group == nil {
		not(policy.NotSent, policy.NoCircuit)
		return
	}
	cic, ok := f.group.Seize(k.id)
	if !ok {
		not(policy.NotSent, policy.NoCircuit)
		return
	}
	m := k.iam
	m.CIC = cic
	m.HasHops, m.Hops = true, k.iam.Hops-1
	m.HasDelay, m.Delay = true, uint16(min(k.delay+c.now-k.arrived, math.MaxUint16*time.Millisecond)/time.Millisecond)
	if !c.toFar(f, &m) {
		f.group.Unseize(cic)
		not(policy.NotSent, policy.NoReason)
		return
	}
	c.touch(f)
	k.toCIC = cic
	k.timeOut = c.wheel.Set(c.now+min(a.TimeOut, c.cfg.T7), alarm{kind: attemptTimer, id: k.id})
}

// final gives a call its final answer that it does not stand.
func (c *Core) final(id uint64, o Outcome) {
	k := c.calls[id]
	if k == nil || k.phase != offered {
		return
	}
	cause, loc := k.cause, k.loc
	if cause == 0 {
		cause, loc = isup.CauseCongestion, isup.LocationNetwork
		if k.from != nil { // turned back without an attempt: no circuit onwards
			cause, loc = isup.CauseNoCircuit, isup.LocationTransit
		}
	}
	if k.to != nil && k.asking != askEnd { // it can only be so if the module has forgotten its attempt
		c.abandon(k, isup.CauseTimer)
		c.wheel.Stop(k.timeOut)
	}
	c.answerNo(k, cause, loc)
	c.close(k, o, cause)
}

// answerNo sends REL back to where a call came from.
func (c *Core) answerNo(k *call, cause isup.Cause, loc isup.Location) {
	switch {
	case k.from != nil:
		c.toOwn(k.from, &isup.Message{Type: isup.REL, CIC: k.fromCIC, Cause: cause, Location: loc})
	case k.leg != nil:
		l := k.leg
		k.leg, l.call = nil, nil
		c.clearLeg(l, cause, loc)
	}
}

// close takes a call from the table.
func (c *Core) close(k *call, o Outcome, cause isup.Cause) {
	if k.phase == offered {
		c.waiting--
	}
	c.silence(k)
	k.phase = over
	delete(c.calls, k.id)
	if k.door != nil {
		c.door.Done(k.door)
		if k.account < len(c.accounts) {
			c.tenants.Done(c.accounts[k.account])
		}
	}
	if k.asking != askNone {
		c.wheel.Stop(k.askTime)
	}
	switch o {
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
		c.rememberCut(k)
	}
	c.note(k, o, cause)
	if len(c.spareCall) < 1024 {
		opt := k.iam.Optional[:0]
		*k = call{phase: over}
		k.iam.Optional = opt
		c.spareCall = append(c.spareCall, k)
	}
}

func (c *Core) note(k *call, o Outcome, cause isup.Cause) {
	e := CallRecord{Outcome: o, Call: k.id, Class: k.class, Tenant: k.tenant, Transit: k.from != nil, Called: k.iam.Called,
		To: k.dest, Via: k.via, Attempts: k.attempts, Cause: cause, After: c.now - k.arrived,
		Calling: k.iam.Calling, Category: k.iam.Category, Set: k.set, Tags: k.tags}
	if o == Answered {
		e.SetUp = e.After
		if k.rangAt > 0 {
			e.SetUp = k.rangAt - k.arrived
		}
	}
	c.port.CallEnded(e)
}

// maxCuts bounds the memory of cut calls; the oldest goes first.
const maxCuts = 1 << 16

func (c *Core) rememberCut(k *call) {
	if k.from != nil || !k.iam.HasCalling || c.cfg.CutMemory <= 0 {
		return
	}
	p := pair{k.iam.Calling, k.iam.Called}
	c.cuts[p] = c.now
	c.cutOrder = append(c.cutOrder, cutCall{p, c.now})
	for len(c.cutOrder) > 0 && (len(c.cutOrder) > maxCuts || c.cutOrder[0].at < c.now-c.cfg.CutMemory) {
		if o := c.cutOrder[0]; c.cuts[o.pair] == o.at {
			delete(c.cuts, o.pair)
		}
		c.cutOrder = c.cutOrder[1:]
	}
}

// wasCut tells whether a call stood, was cut and comes again; it is asked once.
func (c *Core) wasCut(m *isup.Message) bool {
	if !m.HasCalling || len(c.cuts) == 0 {
		return false
	}
	p := pair{m.Calling, m.Called}
	at, ok := c.cuts[p]
	delete(c.cuts, p)
	return ok && c.now <= at+c.cfg.CutMemory
}

// Drain refuses all new calls from now on.
func (c *Core) Drain() { c.draining = true }

// Waiting is the number of calls that are owed a final answer, Open that of all calls.
func (c *Core) Waiting() int { return c.waiting }

// Ringing is the number of calls whose number rings.
func (c *Core) Ringing() int { return c.ringing }

// Open is the number of calls in the table.
func (c *Core) Open() int { return len(c.calls) }

// ReleaseAll ends every standing call, before the daemon ends.
func (c *Core) ReleaseAll(now time.Duration) {
	c.now = now
	ids := make([]uint64, 0, len(c.calls))
	for id, k := range c.calls {
		if k.phase == standing {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		k := c.calls[id]
		c.answerNo(k, isup.CauseTemporary, isup.LocationNetwork)
		c.endStanding(k, Cut, isup.CauseTemporary, policy.Reset)
	}
}
