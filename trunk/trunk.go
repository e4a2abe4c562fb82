// Package trunk keeps the circuits of one trunk group as one end sees them: which are seized and by whom, dual seizure,
// release, blocking, reset and query by Q.764. It does no I/O: calls and messages go in, acts come out.
//
// The two ends of a group share its circuits. The own end's seizures are made here; those of the far end are learnt
// from the own switch, which passes on what it receives on a circuit (see docs/design/controller.md).
package trunk

import (
	"fmt"
	"time"

	"github.com/umbergauge/umbergauge/isup"
)

// Timers of the circuits, by their names in Q.764, annex A. Zero values are replaced by the defaults in brackets.
type Timers struct {
	T1  time.Duration // REL without RLC is sent again (15 s)
	T5  time.Duration // ... and after this the circuit is reset (5 min)
	T16 time.Duration // RSC or GRS without an answer is sent again (15 s)
	T28 time.Duration // CQM without CQR is sent again (10 s)
	// SignallingHold is how long standing calls outlive the loss of signalling towards the far end, before they count as cut (10 s).
	SignallingHold time.Duration
}

func (t Timers) withDefaults() Timers {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&t.T1, 15*time.Second)
	def(&t.T5, 5*time.Minute)
	def(&t.T16, 15*time.Second)
	def(&t.T28, 10*time.Second)
	def(&t.SignallingHold, 10*time.Second)
	return t
}

// State is the state of a circuit.
type State uint8

// The states.
const (
	Idle      State = iota
	Outgoing        // seized here
	Incoming        // seized by the far end
	Releasing       // REL sent, RLC awaited
	Resetting       // RSC or GRS sent, its answer awaited
)

func (s State) String() string {
	return [...]string{"idle", "outgoing", "incoming", "releasing", "resetting"}[s]
}

// Reason tells how a call lost its circuit.
type Reason uint8

// The reasons.
const (
	DualSeizure     Reason = iota // dual seizure: the far end controls the circuit
	CircuitReset                  // RSC, GRS, or the far end knows nothing of the call
	HardwareBlocked               // blocked for hardware failure
	SignallingLost                // signalling to the far end is lost
)

func (w Reason) String() string {
	return [...]string{"dual seizure", "circuit reset", "hardware failure", "signalling lost"}[w]
}

// Action is something to be done for a group: one of the types below.
type Action interface{ act() }

type (
	// SendToFar sends a message to the far switch.
	SendToFar struct{ Msg isup.Message }
	// SendToOwn sends a message about the group's circuits to the own switch.
	SendToOwn struct{ Msg isup.Message }
	// CircuitLost tells that a call has lost its circuit; the group has already dealt with the circuit.
	CircuitLost struct {
		Call       uint64
		CIC        uint16
		SeizedHere bool // it was seized here
		Reason     Reason
	}
	// StartTimer asks to be handed back to Group.TimerExpired after the given time.
	StartTimer struct {
		After   time.Duration
		TimerID TimerID
	}
)

func (SendToFar) act()   {}
func (SendToOwn) act()   {}
func (CircuitLost) act() {}
func (StartTimer) act()  {}

// TimerID is the content of an Alarm.
type TimerID struct {
	CIC  uint16 // 0: the whole group
	Kind wakeKind
	Gen  uint32
}

type wakeKind uint8

const (
	wakeRelease wakeKind = iota // T1
	wakeReset                   // T16
	wakeQuery                   // T28
	wakeHold                    // Hold
)

type circuit struct {
	state      State
	answered   bool
	blockedFar bool // by BLO or CGB of the far end
	broken     bool // by CGB for hardware failure
	blocked    bool // by the own operators
	listed     bool // in the list of idle circuits
	next, prev uint16
	gen        uint32 // counts changes of state, so that old alarms are known
	repeats    int
	call       uint64
}

// Group is one trunk group. It is not safe for concurrent use.
type Group struct {
	Actions []Action // what is to be done; the owner takes them and cuts the slice

	t        Timers
	self     uint32
	far      uint32
	circuits []circuit // by CIC, from 1
	// Idle circuits: those that the own end controls, the longest idle first, and the others, the latest first, so that
	// the two ends meet on the same circuit last (Q.764, 2.9.1.3, method 2).
	head, tail [2]uint16
	free       int
	inService  int // circuits that are not blocked
	inSync     bool
	gen        uint32 // of queries
	queries    map[uint16]int

	// Counters, for the operators.
	DualSeizures, Resets, Leaks int
}

const (
	mine = iota
	theirs
)

// New makes a group of circuits 1 to size between the point codes self and far. It is in use after Sync.
func New(t Timers, self, far uint32, size int) (*Group, error) {
	if size < 1 || size > isup.MaxCIC {
		return nil, fmt.Errorf("trunk: a group of %d circuits; 1 to %d can be", size, isup.MaxCIC)
	}
	g := &Group{t: t.withDefaults(), self: self, far: far, circuits: make([]circuit, size+1), queries: map[uint16]int{}}
	g.inService = size
	for cic := 1; cic <= size; cic++ {
		g.list(uint16(cic))
	}
	return g, nil
}

// controls tells whether the own end controls a circuit: the exchange with the higher point code has the even ones, the
// other the odd ones (Q.764, 2.9.1.4).
func (g *Group) controls(cic uint16) bool { return (g.self > g.far) == (cic%2 == 0) }

func (g *Group) which(cic uint16) int {
	if g.controls(cic) {
		return mine
	}
	return theirs
}

// list puts a circuit into the idle list if it may be seized.
func (g *Group) list(cic uint16) {
	c := &g.circuits[cic]
	if c.listed || c.state != Idle || c.blockedFar || c.blocked || c.broken {
		return
	}
	c.listed, c.next, c.prev = true, 0, 0
	g.free++
	w := g.which(cic)
	if w == mine {
		if c.prev = g.tail[w]; c.prev != 0 {
			g.circuits[c.prev].next = cic
		} else {
			g.head[w] = cic
		}
		g.tail[w] = cic
		return
	}
	if c.next = g.head[w]; c.next != 0 {
		g.circuits[c.next].prev = cic
	} else {
		g.tail[w] = cic
	}
	g.head[w] = cic
}

func (g *Group) unlist(cic uint16) {
	c := &g.circuits[cic]
	if !c.listed {
		return
	}
	w := g.which(cic)
	if c.prev != 0 {
		g.circuits[c.prev].next = c.next
	} else {
		g.head[w] = c.next
	}
	if c.next != 0 {
		g.circuits[c.next].prev = c.prev
	} else {
		g.tail[w] = c.prev
	}
	c.listed = false
	g.free--
}

func (g *Group) set(cic uint16, s State, call uint64) {
	c := &g.circuits[cic]
	c.state, c.call, c.answered, c.repeats = s, call, false, 0
	c.gen++
	if s == Idle {
		g.list(cic)
	} else {
		g.unlist(cic)
	}
}

func (g *Group) do(a Action) { g.Actions = append(g.Actions, a) }

func (g *Group) toFar(t isup.Type, cic uint16) { g.do(SendToFar{isup.Message{Type: t, CIC: cic}}) }

func (g *Group) alarm(d time.Duration, cic uint16, k wakeKind) {
	gen := g.gen
	if cic != 0 {
		gen = g.circuits[cic].gen
	}
	g.do(StartTimer{d, TimerID{cic, k, gen}})
}

func (g *Group) has(cic uint16) bool { return cic >= 1 && int(cic) < len(g.circuits) }

// Far is the point code of the other end.
func (g *Group) Far() uint32 { return g.far }

// Free is the number of circuits that a call can seize now, Size that of circuits in service.
func (g *Group) Free() int {
	if !g.inSync {
		return 0
	}
	return g.free
}

// Size is the number of circuits that are not blocked.
func (g *Group) Size() int { return g.inService }

// InSync tells whether both ends have agreed on their circuits since signalling came up.
func (g *Group) InSync() bool { return g.inSync }

// Circuit tells the state of a circuit and the call on it.
func (g *Group) Circuit(cic uint16) (State, uint64) {
	if !g.has(cic) {
		return Idle, 0
	}
	return g.circuits[cic].state, g.circuits[cic].call
}

// Count is the number of circuits in a state.
func (g *Group) Count(s State) int {
	n := 0
	for i := range g.circuits[1:] {
		if g.circuits[i+1].state == s {
			n++
		}
	}
	return n
}

// Seize takes an idle circuit for a call; ok is false if there is none.
func (g *Group) Seize(call uint64) (cic uint16, ok bool) {
	if !g.inSync {
		return 0, false
	}
	if cic = g.head[mine]; cic == 0 {
		cic = g.head[theirs]
	}
	if cic == 0 {
		return 0, false
	}
	g.set(cic, Outgoing, call)
	return cic, true
}

// Unseize gives back a circuit whose IAM was never sent.
func (g *Group) Unseize(cic uint16) { g.set(cic, Idle, 0) }

// Answered notes that the call on a circuit seized here stands.
func (g *Group) Answered(cic uint16) { g.circuits[cic].answered = true }

// Release ends the call on a circuit seized here: REL goes out, and the circuit is taken until RLC has come.
func (g *Group) Release(cic uint16, cause isup.Cause, loc isup.Location) {
	g.set(cic, Releasing, 0)
	g.do(SendToFar{isup.Message{Type: isup.REL, CIC: cic, Cause: cause, Location: loc}})
	g.alarm(g.t.T1, cic, wakeRelease)
}

func (g *Group) toFarREL(cic uint16, cause isup.Cause) {
	g.do(SendToFar{isup.Message{Type: isup.REL, CIC: cic, Cause: cause, Location: isup.LocationNetwork}})
}

// SeizureResult is what is made of a seizure by the far end.
type SeizureResult uint8

// The verdicts.
const (
	SeizureAccepted    SeizureResult = iota // the far end's call has the circuit
	SeizureDisregarded                      // dual seizure on a circuit that we control: it is disregarded (Q.764, 2.9.1.4)
	SeizureInvalid                          // the circuit does not exist
)

// FarSeized takes an IAM of the far end, as the own switch passes it on.
func (g *Group) FarSeized(cic uint16, call uint64) SeizureResult {
	if !g.has(cic) {
		return SeizureInvalid
	}
	c := &g.circuits[cic]
	switch c.state {
	case Outgoing:
		// Dual seizure. The end that controls the circuit goes on, the other yields (Q.764, 2.9.1.4): also with an answer at
		// hand, for word of the far end's seizure may come late.
		g.DualSeizures++
		if g.controls(cic) {
			g.do(SendToOwn{isup.Message{Type: isup.RSC, CIC: cic}})
			return SeizureDisregarded
		}
		// The far switch has our IAM, and its controller may never have seen the two meet: it is told that the call is over,
		// so that no second attempt can meet the first.
		g.toFarREL(cic, isup.CauseTemporary)
		g.do(CircuitLost{c.call, cic, true, DualSeizure})
		g.set(cic, Incoming, call)
		return SeizureAccepted
	case Incoming: // the far end has cleared its last call there, and word of that is lost
		g.lose(cic, CircuitReset)
		g.set(cic, Incoming, call)
		return SeizureAccepted
	default:
		// The far end takes a circuit as idle only after it has heard the release or reset: our RLC is lost or on its way.
		g.set(cic, Incoming, call)
		return SeizureAccepted
	}
}

// FarReleased notes that the own switch saw the call of the far end on a circuit end.
func (g *Group) FarReleased(cic uint16) {
	if g.has(cic) && g.circuits[cic].state == Incoming {
		g.set(cic, Idle, 0)
	}
}

// lose tells the call on a circuit that it has lost it.
func (g *Group) lose(cic uint16, why Reason) {
	if c := &g.circuits[cic]; c.call != 0 && (c.state == Outgoing || c.state == Incoming) {
		g.do(CircuitLost{c.call, cic, c.state == Outgoing, why})
		c.call = 0
	}
}

// reset sends RSC for a circuit and awaits its RLC.
func (g *Group) reset(cic uint16) {
	g.set(cic, Resetting, 0)
	g.toFar(isup.RSC, cic)
	g.alarm(g.t.T16, cic, wakeReset)
}

// FromFar takes a message of the far switch about circuits: RLC, REL, all of supervision, and the answers to a set-up
// where no call of the owner's is on the circuit. Answers to its calls are the owner's.
func (g *Group) FromFar(m *isup.Message) {
	if !g.has(m.CIC) && !ofGroup(m.Type) {
		return
	}
	c := &g.circuits[0] // nobody's; a group message may begin below or end beyond the circuits that there are
	if g.has(m.CIC) {
		c = &g.circuits[m.CIC]
	}
	switch m.Type {
	case isup.REL: // of a call that we know nothing of, or crossing our own REL
		g.toFar(isup.RLC, m.CIC)
		if c.state == Outgoing {
			g.set(m.CIC, Idle, 0)
		}
	case isup.RLC:
		if c.state == Releasing || c.state == Resetting {
			g.set(m.CIC, Idle, 0)
		}
	case isup.ACM, isup.CPG, isup.ANM, isup.CON:
		if c.state == Idle { // it holds a call that we know nothing of (Q.764, 2.9.5.1 b)
			g.Leaks++
			g.reset(m.CIC)
		}
	case isup.BLO:
		g.block(m.CIC, true, false)
		g.toFar(isup.BLA, m.CIC)
	case isup.UBL:
		g.block(m.CIC, false, false)
		g.toFar(isup.UBA, m.CIC)
	case isup.CGB, isup.CGU:
		g.eachStatus(m, func(cic uint16) { g.block(cic, m.Type == isup.CGB, m.Supervision == isup.Hardware) })
		ack := *m
		ack.Type, ack.Optional = isup.CGBA, nil
		if m.Type == isup.CGU {
			ack.Type = isup.CGUA
		}
		ack.Status = append([]byte(nil), m.Status...)
		g.do(SendToFar{ack})
	case isup.CQR:
		g.response(m, true)
	case isup.GRA:
		for i := 0; i <= int(m.Range); i++ {
			if cic := m.CIC + uint16(i); g.has(cic) && g.circuits[cic].state == Resetting {
				g.set(cic, Idle, 0)
			}
		}
	case isup.RSC: // the far switch has lost the call that we have there
		g.Resets++
		g.lose(m.CIC, CircuitReset)
		if c.state != Incoming {
			g.set(m.CIC, Idle, 0)
		}
		g.toFar(isup.RLC, m.CIC)
	case isup.GRS:
		for i := 0; i <= int(m.Range); i++ {
			if cic := m.CIC + uint16(i); g.has(cic) && g.circuits[cic].state != Incoming {
				g.lose(cic, CircuitReset)
				g.set(cic, Idle, 0)
			}
		}
		g.do(SendToFar{isup.Message{Type: isup.GRA, CIC: m.CIC, Range: m.Range, Status: make([]byte, (m.Range+8)/8)}})
	}
}

// ofGroup tells that a message names a range of circuits.
func ofGroup(t isup.Type) bool {
	switch t {
	case isup.GRS, isup.GRA, isup.CGB, isup.CGU, isup.CGBA, isup.CGUA, isup.CQM, isup.CQR:
		return true
	}
	return false
}

// FromOwn takes a message that the own switch passes on from the far controller, or its own answer to a query. The own
// switch has answered the far end itself.
func (g *Group) FromOwn(m *isup.Message) {
	if !g.has(m.CIC) && !ofGroup(m.Type) {
		return
	}
	switch m.Type {
	case isup.REL:
		// The own switch answers for calls that end with it. One in transit ends here: until this RLC the far end may not
		// take the circuit again, or an answer of ours still under way would meet its next call.
		if c := &g.circuits[m.CIC]; c.state == Incoming && c.call != 0 || c.state == Idle {
			g.do(SendToOwn{isup.Message{Type: isup.RLC, CIC: m.CIC}})
		}
		g.FarReleased(m.CIC)
	case isup.RLC:
		g.FarReleased(m.CIC)
	case isup.RSC:
		g.clear(m.CIC)
	case isup.GRS:
		for i := 0; i <= int(m.Range); i++ {
			if cic := m.CIC + uint16(i); g.has(cic) {
				g.clear(cic)
			}
		}
	case isup.BLO:
		g.block(m.CIC, true, false)
	case isup.UBL:
		g.block(m.CIC, false, false)
	case isup.CGB, isup.CGU:
		g.eachStatus(m, func(cic uint16) {
			hardware := m.Supervision == isup.Hardware
			if hardware && m.Type == isup.CGB && g.circuits[cic].state == Outgoing {
				// The far switch may not know: it is told that our call is over, before another attempt is made.
				g.lose(cic, HardwareBlocked)
				g.Release(cic, isup.CauseTemporary, isup.LocationNetwork)
			}
			g.block(cic, m.Type == isup.CGB, hardware)
		})
	case isup.CQR:
		g.response(m, false)
	}
}

// clear takes what the far controller has reset: its own call on the circuit, or ours that it wants gone.
func (g *Group) clear(cic uint16) {
	c := &g.circuits[cic]
	g.Resets++
	switch c.state {
	case Outgoing:
		g.lose(cic, CircuitReset)
		g.Release(cic, isup.CauseTemporary, isup.LocationNetwork)
	case Incoming:
		g.lose(cic, CircuitReset)
		g.set(cic, Idle, 0)
	}
}

func (g *Group) eachStatus(m *isup.Message, f func(uint16)) {
	for i := 0; i <= int(m.Range); i++ {
		if cic := m.CIC + uint16(i); m.Status[i/8]>>(i%8)&1 == 1 && g.has(cic) {
			f(cic)
		}
	}
}

// block blocks or unblocks a circuit for the far end. Hardware failure ends the call on it (Q.764, 2.8.2.2).
func (g *Group) block(cic uint16, on, hardware bool) {
	c := &g.circuits[cic]
	was := g.served(c)
	if hardware {
		c.broken = on
		if on && (c.state == Outgoing || c.state == Incoming) {
			g.lose(cic, HardwareBlocked)
			g.set(cic, Idle, 0)
		}
	} else {
		c.blockedFar = on
	}
	g.relist(cic, was)
}

func (g *Group) served(c *circuit) bool { return !c.blocked && !c.blockedFar && !c.broken }

func (g *Group) relist(cic uint16, was bool) {
	c := &g.circuits[cic]
	is := g.served(c)
	if was && !is {
		g.inService--
		g.unlist(cic)
	} else if !was && is {
		g.inService++
		g.list(cic)
	}
}

// Block blocks or unblocks every circuit from this end, as operators ask. Calls on them go on.
func (g *Group) Block(on bool) {
	for cic := 1; cic < len(g.circuits); cic++ {
		was := g.served(&g.circuits[cic])
		g.circuits[cic].blocked = on
		g.relist(uint16(cic), was)
	}
	t := isup.CGU
	if on {
		t = isup.CGB
	}
	for first := 1; first < len(g.circuits); first += isup.MaxRange {
		n := min(isup.MaxRange, len(g.circuits)-first)
		if n == 1 { // a group message names two circuits at the least
			one := isup.UBL
			if on {
				one = isup.BLO
			}
			g.toFar(one, uint16(first))
			continue
		}
		status := make([]byte, (n+7)/8)
		for i := range n {
			status[i/8] |= 1 << (i % 8)
		}
		g.do(SendToFar{isup.Message{Type: t, CIC: uint16(first), Range: byte(n - 1), Status: status}})
	}
}

// Down notes that signalling to the far switch is lost. Calls being set up are lost at once, standing ones after Hold
// unless Sync finds them again.
func (g *Group) Down() {
	g.inSync, g.gen = false, g.gen+1
	clear(g.queries)
	for cic := uint16(1); g.has(cic); cic++ {
		if c := &g.circuits[cic]; c.state == Outgoing && !c.answered {
			g.lose(cic, SignallingLost)
		}
	}
	g.alarm(g.t.SignallingHold, 0, wakeHold)
}

// Sync asks the far switch, when signalling comes up, which circuits it takes for busy. The group carries no new call
// until it has answered (Q.764, 2.8.3).
func (g *Group) Sync() {
	g.inSync, g.gen = false, g.gen+1
	clear(g.queries)
	for first := 1; first < len(g.circuits); first += isup.MaxRange {
		n := min(isup.MaxRange, len(g.circuits)-first)
		g.queries[uint16(first)] = n
		g.query(uint16(first), n)
	}
	g.alarm(g.t.T28, 0, wakeQuery)
}

func (g *Group) query(first uint16, n int) {
	g.do(SendToFar{isup.Message{Type: isup.CQM, CIC: first, Range: byte(n - 1)}})
}

// SyncOwn asks the own switch which circuits the far end has seized.
func (g *Group) SyncOwn() {
	for first := 1; first < len(g.circuits); first += isup.MaxRange {
		n := min(isup.MaxRange, len(g.circuits)-first)
		g.do(SendToOwn{isup.Message{Type: isup.CQM, CIC: uint16(first), Range: byte(n - 1)}})
	}
}

// response compares a switch's view of its circuits with the own one.
func (g *Group) response(m *isup.Message, far bool) {
	if far {
		// One answer to each question: the answer to a repeated one may be older than what has been sent since.
		n, asked := g.queries[m.CIC]
		if !asked || len(m.Circuits) < n {
			return
		}
		delete(g.queries, m.CIC)
	}
	for i, s := range m.Circuits {
		cic := m.CIC + uint16(i)
		if !g.has(cic) {
			continue
		}
		c := &g.circuits[cic]
		busy := s&isup.CircuitStateMask == isup.CircuitIncoming
		if !far { // the own switch: busy are the far end's calls
			switch {
			case busy && c.state == Idle:
				g.Leaks++
				g.set(cic, Incoming, 0)
			case !busy && c.state == Incoming:
				g.Leaks++
				g.lose(cic, CircuitReset)
				g.set(cic, Idle, 0)
			}
			continue
		}
		switch { // the far switch: busy are calls seized here
		case busy && (c.state == Idle || c.state == Releasing || c.state == Resetting):
			g.Leaks++
			g.reset(cic)
		case busy && c.state == Outgoing && c.call == 0: // its call was given up while signalling was lost
			g.reset(cic)
		case busy && c.state == Incoming:
			// It holds a call of ours that we gave up for one of the far end's: each would wait for the other's release.
			g.Leaks++
			g.toFar(isup.RSC, cic)
		case !busy && c.state == Outgoing:
			g.Leaks++
			g.lose(cic, CircuitReset)
			g.set(cic, Idle, 0)
		case !busy && (c.state == Releasing || c.state == Resetting):
			g.set(cic, Idle, 0)
		}
	}
	if far {
		g.inSync = g.inSync || len(g.queries) == 0
	}
}

// Remembered tells, at an answer of the far switch and before FromFar has it, whether the switch knows a call that stands
// here. One that knows none of them has started anew.
func (g *Group) Remembered(m *isup.Message) bool {
	for i, s := range m.Circuits {
		if cic := m.CIC + uint16(i); g.has(cic) && g.circuits[cic].state == Outgoing && g.circuits[cic].answered &&
			s&isup.CircuitStateMask == isup.CircuitIncoming {
			return true
		}
	}
	return false
}

// TimerExpired takes an alarm that has run out.
func (g *Group) TimerExpired(w TimerID) {
	if w.CIC == 0 {
		if w.Gen != g.gen {
			return
		}
		switch w.Kind {
		case wakeQuery:
			for first := 1; first < len(g.circuits) && len(g.queries) > 0; first += isup.MaxRange {
				if n, open := g.queries[uint16(first)]; open {
					g.query(uint16(first), n)
				}
			}
			if len(g.queries) > 0 {
				g.alarm(g.t.T28, 0, wakeQuery)
			}
		case wakeHold:
			for cic := uint16(1); g.has(cic); cic++ {
				if g.circuits[cic].state == Outgoing {
					g.lose(cic, SignallingLost)
				}
			}
		}
		return
	}
	c := &g.circuits[w.CIC]
	if c.gen != w.Gen {
		return
	}
	switch {
	case w.Kind == wakeRelease && c.state == Releasing:
		if c.repeats++; time.Duration(c.repeats)*g.t.T1 >= g.t.T5 {
			g.Resets++
			g.reset(w.CIC)
			return
		}
		g.toFarREL(w.CIC, isup.CauseTimerExpiry)
		g.alarm(g.t.T1, w.CIC, wakeRelease)
	case w.Kind == wakeReset && c.state == Resetting:
		g.toFar(isup.RSC, w.CIC)
		g.alarm(g.t.T16, w.CIC, wakeReset)
	}
}
